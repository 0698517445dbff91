package owner

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// HandoverSender sends handover requests to other docks.
type HandoverSender interface {
	// SendHandover sends a request to stop dispatching to a dock and returns its reply.
	SendHandover(ctx context.Context, host encoder.Host, request encoder.HandoverRequest) (encoder.HandoverReply, error)
}

// handover requests one former owner to stop dispatching to the shards that this dock took
// over, until it has no subrequests of them in flight.
type handover struct {
	owner   *Owner
	service *service
	host    encoder.Host
	self    encoder.Host
	epoch   identifier.Epoch
	shards  []identifier.Shard
}

// startHandovers starts a handover with the former owner of each shard that was taken over.
func (o *Owner) startHandovers(s *service, view *encoder.View, takenOver map[identifier.HostName][]identifier.Shard) {
	if o.settings.handoverSender == nil {
		return
	}
	var self encoder.Host
	for _, host := range view.Hosts {
		if host.Name == o.self {
			self = host
		}
	}
	for _, host := range view.Hosts {
		shards := takenOver[host.Name]
		if len(shards) == 0 {
			continue
		}
		h := &handover{owner: o, service: s, host: host, self: self, epoch: view.Epoch, shards: shards}
		o.goroutines.Add(1)
		go h.run()
	}
}

// run repeats the request until all shards are released or HandoverLimit has passed.
func (h *handover) run() {
	defer h.owner.goroutines.Done()
	policy := &h.owner.settings.policy
	ctx, cancel := context.WithTimeout(h.owner.ctx, policy.HandoverLimit)
	defer cancel()
	for len(h.shards) > 0 {
		reply, err := h.owner.settings.handoverSender.SendHandover(ctx, h.host, encoder.HandoverRequest{Epoch: h.epoch, Shards: h.shards, Owner: h.self})
		if err == nil {
			h.apply(reply)
		}
		if !h.sleep(ctx, policy.HandoverInterval) {
			return
		}
	}
}

// apply ends the transitions of the shards that the former owner has no subrequests in flight
// for.
func (h *handover) apply(reply encoder.HandoverReply) {
	if reply.Epoch != h.epoch || len(reply.InFlight) != len(h.shards) {
		return
	}
	var done []identifier.ShardNumber
	var remaining []identifier.Shard
	for i, shard := range h.shards {
		if reply.InFlight[i] == 0 {
			done = append(done, shard.Number)
		} else {
			remaining = append(remaining, shard)
		}
	}
	h.shards = remaining
	h.service.endAcknowledgedTransitions(done, h.epoch)
}

// sleep waits for an interval. It returns false if no shard is left or the context has ended.
func (h *handover) sleep(ctx context.Context, interval time.Duration) bool {
	if len(h.shards) == 0 {
		return false
	}
	timer := h.owner.settings.clock.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
