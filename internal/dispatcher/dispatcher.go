// Package dispatcher sends batches to the owners of shards: to this dock's own owner by a function
// call, to other docks over links. It also runs the canaries of the fingerprints that are assigned
// to this dock.
package dispatcher

import (
	"context"
	"errors"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/quarantiner"
	"banyandock.example/banyandock/internal/timekeeper"
)

// LocalOwner handles batches for the shards that this dock owns.
type LocalOwner interface {
	Handle(ctx context.Context, batch encoder.ShardBatch) encoder.BatchReply
}

// Dispatcher sends batches, canaries and probes to docks. It is safe for concurrent use.
type Dispatcher struct {
	clock            timekeeper.Clock
	self             identifier.HostName
	local            LocalOwner
	pool             *linker.Pool
	quarantine       *quarantiner.Quarantiner
	placement        func() *placer.Placement
	notifyQuarantine func(encoder.QuarantineNotice)
}

// New returns a dispatcher for the dock of the given name. placement returns the newest
// placement. notifyQuarantine reports a quarantined fingerprint to the keepers and must not block.
func New(clock timekeeper.Clock, self identifier.HostName, local LocalOwner, pool *linker.Pool, quarantine *quarantiner.Quarantiner, placement func() *placer.Placement, notifyQuarantine func(encoder.QuarantineNotice)) *Dispatcher {
	return &Dispatcher{
		clock:            clock,
		self:             self,
		local:            local,
		pool:             pool,
		quarantine:       quarantine,
		placement:        placement,
		notifyQuarantine: notifyQuarantine,
	}
}

// Query sends a batch of shards to an owner and returns its reply. For another dock it returns the
// errors of linker.Call.
func (d *Dispatcher) Query(ctx context.Context, host encoder.Host, batch encoder.ShardBatch) (encoder.BatchReply, error) {
	if host.Name == d.self {
		return d.local.Handle(ctx, batch), nil
	}
	return linker.Call[encoder.ShardBatch, encoder.BatchReply](ctx, d.pool.Link(host.Address), encoder.KindShardBatch, batch)
}

// Canary sends a canary to the dock that its fingerprint is assigned to. For another dock it
// returns the errors of linker.Call.
func (d *Dispatcher) Canary(ctx context.Context, host encoder.Host, request encoder.CanaryRequest) (encoder.CanaryReply, error) {
	if host.Name == d.self {
		return d.ServeCanary(ctx, request)
	}
	return linker.Call[encoder.CanaryRequest, encoder.CanaryReply](ctx, d.pool.Link(host.Address), encoder.KindCanary, request)
}

// Probe requests an echo from a dock and returns nil if it answers, or at once for this dock.
func (d *Dispatcher) Probe(ctx context.Context, host encoder.Host) error {
	if host.Name == d.self {
		return nil
	}
	return d.pool.Link(host.Address).Probe(ctx)
}

// ServeCanary runs a canary on behalf of any dock. It runs the canaries of a fingerprint one at a
// time. The error is always nil; the reply contains the reasons for missing shards.
func (d *Dispatcher) ServeCanary(ctx context.Context, request encoder.CanaryRequest) (encoder.CanaryReply, error) {
	batch := request.Batch
	arrival := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, batch.Timeout)
	defer cancel()
	err := d.quarantine.Begin(ctx, batch.Fingerprint)
	if errors.Is(err, quarantiner.ErrQuarantined) {
		return encoder.CanaryReply{Quarantined: true, RetryAfter: d.quarantine.Remaining(batch.Fingerprint)}, nil
	}
	if err != nil {
		return encoder.CanaryReply{Reply: missingAll(batch, encoder.MissingDeadline, false)}, nil
	}
	batch.Timeout -= d.clock.Now().Sub(arrival)
	reply, err := d.queryOwner(ctx, batch)
	// A lost reply does not show whether a server crashed, so that it neither counts as a crash
	// nor clears the fingerprint.
	isQuarantined := d.quarantine.End(batch.Fingerprint, reply.Crashes, err == nil && len(reply.Covered) > 0)
	if isQuarantined {
		d.notifyQuarantine(encoder.QuarantineNotice{Fingerprint: batch.Fingerprint, Crashes: reply.Crashes})
	}
	if err != nil {
		return encoder.CanaryReply{Reply: missingAll(batch, encoder.MissingOwner, true)}, nil
	}
	return encoder.CanaryReply{
		Reply:       reply,
		Quarantined: isQuarantined,
		RetryAfter:  d.quarantine.Remaining(batch.Fingerprint),
	}, nil
}

// queryOwner sends the canary to the owner of its shard, which may be another dock. If this dock
// is the shard's second dock, or the shard has no owner, it runs the canary here.
func (d *Dispatcher) queryOwner(ctx context.Context, batch encoder.ShardBatch) (encoder.BatchReply, error) {
	a, ok := d.placement().Assignment(batch.Service, batch.Shards[0])
	if !ok || a.Second.Name == d.self {
		return d.local.Handle(ctx, batch), nil
	}
	reply, err := d.Query(ctx, a.Owner, batch)
	if err == nil && len(reply.Missing) == 1 && reply.Missing[0].Owner != nil && !reply.Missing[0].Started {
		// Ownership moved. The refusal contains the new owner.
		reply, err = d.Query(ctx, *reply.Missing[0].Owner, batch)
	}
	if errors.Is(err, linker.ErrNotSent) {
		return missingAll(batch, encoder.MissingOwner, false), nil
	}
	return reply, err
}

// missingAll returns a reply in which all shards of the batch are missing for the same reason.
func missingAll(batch encoder.ShardBatch, reason encoder.MissingReason, started bool) encoder.BatchReply {
	reply := encoder.BatchReply{Request: batch.Request, Attempt: batch.Attempt, Version: batch.Version}
	for _, n := range batch.Shards {
		reply.Missing = append(reply.Missing, encoder.MissingShard{Shard: n, Reason: reason, Started: started})
	}
	return reply
}
