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

// Submit passes a manifest to the agreement. It is safe to resend.
func (g *Governor) Submit(ctx context.Context, request encoder.SubmitRequest) (encoder.SubmitReply, error) {
	if detail := g.objection(request.Manifest); detail != "" {
		return encoder.SubmitReply{Outcome: encoder.SubmitInvalid, Detail: detail}, nil
	}
	reply, err := propose[encoder.SubmitReply](ctx, g, registrar.SubmitCommand(request))
	switch {
	case err == nil:
		if reply.Outcome == encoder.SubmitAccepted {
			standing := g.registrar.Manifest().Number
			g.invariants.Check(standing >= request.Manifest.Number, "accepted_manifest_stands", "%d accepted while %d stands", request.Manifest.Number, standing)
		}
		return reply, nil
	case errors.Is(err, ErrNotLeader):
		return encoder.SubmitReply{Outcome: encoder.SubmitNotLeader, Leader: g.leaderHint()}, nil
	default:
		return encoder.SubmitReply{Outcome: encoder.SubmitUnknown, Detail: err.Error(), Leader: g.leaderHint()}, nil
	}
}

// objection says why a manifest cannot be submitted. It is empty for a valid one.
func (g *Governor) objection(m encoder.ManifestText) string {
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

// Claim asks the ledger for the right to dispatch. It is safe to resend. A key whose
// holder is gone from the directory becomes in doubt.
func (g *Governor) Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error) {
	command := registrar.NewClaimCommand(request, g.clock.Now(), g.limits)
	reply, err := propose[encoder.ClaimReply](ctx, g, command)
	if err == nil && reply.Outcome == encoder.ClaimHeld && !g.isPresent(ctx, reply) {
		command.Gone = &registrar.Claimant{Holder: reply.Holder, Request: reply.HolderRequest}
		reply, err = propose[encoder.ClaimReply](ctx, g, command)
	}
	if err != nil {
		return encoder.ClaimReply{Outcome: encoder.ClaimNoQuorum, Leader: g.leaderHint()}, nil
	}
	return reply, nil
}

// isPresent says whether the holder that a reply names may still be running.
func (g *Governor) isPresent(ctx context.Context, held encoder.ClaimReply) bool {
	present := true
	// If the directory cannot be asked, the holder counts as present.
	_ = g.inLoop(ctx, func() {
		g.follow(g.agreement.GroupStatus())
		present = g.publisher.IsPresent(publisher.Dock{Name: held.HolderDock, Incarnation: held.Holder})
	})
	return present
}

// Settle records the outcome of a claim. It is safe to resend.
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

// ReportCrash takes in a crash that a dock counted for a fingerprint.
func (g *Governor) ReportCrash(ctx context.Context, from identifier.HostName, notice encoder.QuarantineNotice) (encoder.QuarantineReply, error) {
	reply := encoder.QuarantineReply{}
	err := g.inLoop(ctx, func() {
		g.follow(g.agreement.GroupStatus())
		reply.Accepted = g.publisher.Notice(g.clock.Now(), from, notice)
	})
	if !reply.Accepted {
		reply.Leader = g.leaderHint()
	}
	return reply, err
}

// Status reports the keeper's state. On a leader it holds all that was committed before
// the call, if the leader still has its quorum.
func (g *Governor) Status(ctx context.Context) (encoder.StatusReply, error) {
	s := g.agreement.GroupStatus()
	if s.IsLeader {
		// Without a quorum the report is still wanted; then it may be old.
		bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
		_ = g.agreement.Barrier(bounded)
		cancel()
		s = g.agreement.GroupStatus()
	}
	reply := encoder.StatusReply{
		Poll:   g.describe(s, encoder.PollRequest{}),
		Claims: g.registrar.Claims(),
	}
	err := g.inLoop(ctx, func() {
		reply.Docks = g.publisher.Docks(g.clock.Now())
		reply.Servers = g.publisher.Servers()
		reply.Poll.LeaderReady = g.publisher.IsReady()
	})
	return reply, err
}

// propose commits a command and decodes the state machine's answer.
func propose[A any](ctx context.Context, g *Governor, command registrar.Command) (A, error) {
	var none A
	b, err := registrar.EncodeCommand(command)
	if err != nil {
		return none, err
	}
	bounded, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	answer, err := g.agreement.Propose(bounded, b)
	if err != nil {
		return none, err
	}
	return encoder.Decode[A](answer)
}
