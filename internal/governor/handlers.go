package governor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/registrar"
)

// Submit proposes a manifest and waits until it is committed. It is idempotent, so a caller may
// retry it. An invalid manifest is not proposed. The outcome is SubmitNotLeader or SubmitUnknown,
// with a hint to the leader, if the proposal failed; the error is always nil.
func (g *Governor) Submit(ctx context.Context, request encoder.SubmitRequest) (encoder.SubmitReply, error) {
	if detail := g.invalidReason(request.Manifest); detail != "" {
		return encoder.SubmitReply{Outcome: encoder.SubmitInvalid, Detail: detail}, nil
	}
	reply, err := propose[encoder.SubmitReply](ctx, g, registrar.SubmitCommand(request))
	switch {
	case err == nil:
		if reply.Outcome == encoder.SubmitAccepted {
			committed := g.registrar.Manifest().Number
			g.invariants.Check(committed >= request.Manifest.Number, "accepted_manifest_stands", "%d accepted while %d stands", request.Manifest.Number, committed)
		}
		return reply, nil
	case errors.Is(err, ErrNotLeader):
		return encoder.SubmitReply{Outcome: encoder.SubmitNotLeader, Leader: g.leaderHint()}, nil
	default:
		return encoder.SubmitReply{Outcome: encoder.SubmitUnknown, Detail: err.Error(), Leader: g.leaderHint()}, nil
	}
}

// invalidReason returns why a manifest cannot be submitted, or an empty string if it is valid.
func (g *Governor) invalidReason(m encoder.ManifestText) string {
	if m.Number == 0 {
		return "the number must not be zero"
	}
	if len(m.Text) > manifestreader.MaxBytes {
		return fmt.Sprintf("the text has %d bytes, more than %d", len(m.Text), manifestreader.MaxBytes)
	}
	sum := sha256.Sum256(m.Text)
	if digest := hex.EncodeToString(sum[:]); digest != m.Digest {
		return "the text's digest is " + digest
	}
	number, err := g.parse(m.Text)
	if err != nil {
		return err.Error()
	}
	if number != m.Number {
		return fmt.Sprintf("the text has number %d, the submission %d", number, m.Number)
	}
	return ""
}

// Claim claims a key in the ledger, so that the request may be dispatched. It is idempotent. If
// the key is held by a dock process that is no longer in the directory, the key becomes in doubt.
// A late copy of a claim that was released is not proposed. The outcome is ClaimNoQuorum if a proposal failed; the error is always nil.
func (g *Governor) Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error) {
	if g.registrar.HasReleased(request) {
		return encoder.ClaimReply{Outcome: encoder.ClaimReleased}, nil
	}
	command := registrar.NewClaimCommand(request, g.clock.Now(), g.limits)
	reply, err := propose[encoder.ClaimReply](ctx, g, command)
	if err == nil && reply.Outcome == encoder.ClaimHeld && !g.isHolderPresent(ctx, reply) {
		command.Gone = &registrar.Claimant{Holder: reply.Holder, Request: reply.HolderRequest}
		reply, err = propose[encoder.ClaimReply](ctx, g, command)
	}
	if err != nil {
		return encoder.ClaimReply{Outcome: encoder.ClaimNoQuorum, Leader: g.leaderHint()}, nil
	}
	return reply, nil
}

// isHolderPresent reports whether the dock process that holds the key may still be running.
func (g *Governor) isHolderPresent(ctx context.Context, held encoder.ClaimReply) bool {
	present := true
	// If the directory cannot be read, the holder counts as present.
	_ = g.runInLoop(ctx, func() {
		g.updateLeadership(g.replicatedLog.GroupStatus())
		present = g.publisher.IsPresent(publisher.Dock{Name: held.HolderDock, Incarnation: held.Holder})
	})
	return present
}

// Settle records the outcome of a claim. It is idempotent. A result of more than
// registrar.ResultBytes bytes is omitted. The outcome is SettleUnknown if the proposal failed; the
// error is always nil.
func (g *Governor) Settle(ctx context.Context, request encoder.SettleRequest) (encoder.SettleReply, error) {
	if len(request.Result) > registrar.ResultBytes {
		request.Result = nil
		request.ResultOmitted = true
	}
	reply, err := propose[encoder.SettleReply](ctx, g, registrar.SettleCommand{Settle: request})
	if err != nil {
		return encoder.SettleReply{Outcome: encoder.SettleUnknown, Leader: g.leaderHint()}, nil
	}
	return reply, nil
}

// Evacuate orders that nothing more is sent to the servers of a failure domain, or withdraws that, and waits
// until the order is committed. It is idempotent. The caller must make sure that all voters know the command.
// The outcome is EvacuateUnknown if the proposal failed.
func (g *Governor) Evacuate(ctx context.Context, request encoder.EvacuateRequest) encoder.EvacuateReply {
	command := registrar.EvacuateCommand{Evacuate: request, DomainLimit: registrar.MaxEvacuations}
	reply, err := propose[encoder.EvacuateReply](ctx, g, command)
	if err != nil {
		return encoder.EvacuateReply{Detail: err.Error()}
	}
	return reply
}

// ReportCrash records that a backend server crashed while it ran a request with a fingerprint, as
// observed by the dock named from. Only the leader accepts the report; a reply that is not accepted
// names the leader. The error is not nil if the directory was not reached.
func (g *Governor) ReportCrash(ctx context.Context, from identifier.HostName, notice encoder.QuarantineNotice) (encoder.QuarantineReply, error) {
	reply := encoder.QuarantineReply{}
	err := g.runInLoop(ctx, func() {
		g.updateLeadership(g.replicatedLog.GroupStatus())
		reply.Accepted = g.publisher.RecordCrashes(g.clock.Now(), from, notice)
	})
	if !reply.Accepted {
		reply.Leader = g.leaderHint()
	}
	return reply, err
}

// Status returns the keeper's state for operators. On a leader that still has its quorum, it
// includes everything that was committed before the call.
func (g *Governor) Status(ctx context.Context) (encoder.StatusReply, error) {
	s := g.replicatedLog.GroupStatus()
	if s.IsLeader {
		// The status is also useful without a quorum, although it may be outdated then.
		bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
		_ = g.replicatedLog.Barrier(bounded)
		cancel()
		s = g.replicatedLog.GroupStatus()
	}
	reply := encoder.StatusReply{
		Poll:          g.newPollReply(s, encoder.PollRequest{}),
		Claims:        g.registrar.Claims(),
		NewestCommand: registrar.NewestCommand,
	}
	reply.Evacuated, _ = g.registrar.Evacuations()
	err := g.runInLoop(ctx, func() {
		reply.Docks = g.publisher.Docks(g.clock.Now())
		reply.Servers = g.publisher.Servers()
		reply.Poll.LeaderReady = g.publisher.IsReady()
	})
	return reply, err
}

// propose commits a command and decodes the result of the state machine. Its errors are those of
// ReplicatedLog.Propose and of the encoding.
func propose[A any](ctx context.Context, g *Governor, command registrar.Command) (A, error) {
	var none A
	b, err := registrar.EncodeCommand(command)
	if err != nil {
		return none, err
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	result, err := g.replicatedLog.Propose(bounded, b)
	if err != nil {
		return none, err
	}
	return encoder.Decode[A](result)
}
