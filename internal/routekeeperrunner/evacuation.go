package routekeeperrunner

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
)

// disconnectWait is how long an order waits before it is proposed. A keeper that was paused reads orders whose
// senders have given up meanwhile, and is told within this time that their connections are closed. Such an
// order must not be committed, because the sender may have sent the opposite one to another keeper since.
const disconnectWait = 20 * time.Millisecond

// Evacuate commits an order to send nothing more to the servers of a failure domain, or with isWithdrawn the
// opposite. It returns false if the order may or may not be committed or cannot be yet.
func (k *Keeper) Evacuate(ctx context.Context, domain identifier.DomainName, isWithdrawn bool) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	request := encoder.EvacuateRequest{Domain: domain, IsWithdrawn: isWithdrawn}
	c := leaderCaller[encoder.EvacuateReply]{clock: k.process.Clock, leader: k.leader, call: func(ctx context.Context, leader netip.AddrPort) (encoder.EvacuateReply, bool) {
		return k.evacuateAt(ctx, leader, request)
	}}
	reply := encoder.EvacuateReply{Detail: "no leader answered in time"}
	if k.waitForDisconnect(ctx) {
		if answer, ok := c.callUntilAnswered(ctx); ok {
			reply = answer
		}
	}
	k.process.Log.Warn().Str(recorder.FieldDomain, string(domain)).Bool(recorder.FieldWithdrawn, isWithdrawn).
		Stringer(recorder.FieldOutcome, reply.Outcome).Str(recorder.FieldDetail, reply.Detail).Msg(recorder.EventEvacuationOrdered)
	return reply.Outcome == encoder.EvacuateAccepted
}

// waitForDisconnect waits for disconnectWait. It returns false if the context ends, because the sender of the order has
// given up.
func (k *Keeper) waitForDisconnect(ctx context.Context) bool {
	timer := k.process.Clock.NewTimer(disconnectWait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// evacuateAt commits an order at the leader, which may be this keeper. It returns false if the order must be
// sent again, which is safe because orders are idempotent.
func (k *Keeper) evacuateAt(ctx context.Context, leader netip.AddrPort, request encoder.EvacuateRequest) (encoder.EvacuateReply, bool) {
	if leader == k.settings.LinkAddress {
		reply := k.propose(ctx, request)
		return reply, reply.Outcome != encoder.EvacuateUnknown
	}
	reply, err := linker.Call[encoder.EvacuateRequest, encoder.EvacuateReply](ctx, k.pool.Link(leader), encoder.KindEvacuate, request)
	return reply, err == nil && reply.Outcome != encoder.EvacuateUnknown
}

// evacuateFor commits an order that another keeper received.
func (k *Keeper) evacuateFor(ctx context.Context, request encoder.EvacuateRequest) encoder.EvacuateReply {
	if !k.waitForDisconnect(ctx) {
		return encoder.EvacuateReply{Detail: "the sender has given up"}
	}
	return k.propose(ctx, request)
}

// propose proposes an order if all voters know the command.
func (k *Keeper) propose(ctx context.Context, request encoder.EvacuateRequest) encoder.EvacuateReply {
	if !k.replicator.Status().IsLeader {
		return encoder.EvacuateReply{Detail: errNotLeader.Error()}
	}
	if !k.allKnowEvacuations(ctx) {
		return encoder.EvacuateReply{Outcome: encoder.EvacuateUnsupported, Detail: "not all voters are known to be of a release with evacuations"}
	}
	if ctx.Err() != nil {
		return encoder.EvacuateReply{Detail: "the sender has given up"}
	}
	return k.governor.Evacuate(ctx, request)
}
