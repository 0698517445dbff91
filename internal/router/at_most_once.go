package router

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/tracer"
)

// settleTimeout is the maximum time that an answer waits for the ledger to record it.
const settleTimeout = 200 * time.Millisecond

// runAtMostOnce answers a query that is not idempotent. Nothing is dispatched before the ledger has
// granted the claim, and nothing that may have run is dispatched again under it.
func (q *queryRun) runAtMostOnce(ctx context.Context) Outcome {
	if remaining := q.router.quarantine.Remaining(q.fingerprint); remaining > 0 {
		return q.quarantinedOutcome(remaining)
	}
	reply, err := q.router.ledger.Claim(ctx, encoder.ClaimRequest{
		Caller:  q.query.Caller,
		Key:     q.query.Key,
		Body:    q.fingerprint,
		Dock:    q.router.self,
		Holder:  q.router.incarnation,
		Request: q.query.Request,
	})
	if err != nil {
		return refuse(CodeLedgerUnavailable, "the keepers did not agree on a claim in time; nothing was dispatched", controlRetryAfter)
	}
	if reply.Outcome != encoder.ClaimGranted {
		return outcomeOfClaim(reply)
	}
	return q.runClaimed(ctx)
}

// runClaimed dispatches a query with a granted claim and settles the claim.
func (q *queryRun) runClaimed(ctx context.Context) Outcome {
	snapshot := q.router.control.Snapshot()
	candidate, ok := snapshot.Plans.Choose(q.query.Service, nil)
	if !ok {
		q.settle(encoder.SettleRequest{Released: true})
		return q.noReplicaOutcome()
	}
	g := q.newScatterGather(snapshot, candidate)
	outcome := q.dispatchAtMostOnce(ctx, g)
	switch o := outcome.(type) {
	case Complete:
		q.settleAnswer(o.Answer)
		return outcome
	case Partial:
		q.settleAnswer(o.Answer)
		return outcome
	case NotRun:
		q.settle(encoder.SettleRequest{Released: true})
		return outcome
	default:
		q.settle(encoder.SettleRequest{InDoubt: true})
		return InDoubt{Code: CodeInDoubt, Detail: "the request may have run and will not be run again under this key"}
	}
}

// dispatchAtMostOnce sends each shard at most one subrequest that may run.
func (q *queryRun) dispatchAtMostOnce(ctx context.Context, g *scatterGather) Outcome {
	if g.isCoverageReachable() {
		mayScatter, refusal := q.runCanary(ctx, g)
		if refusal != nil {
			return refusal
		}
		if mayScatter {
			g.gather(ctx)
		}
	}
	g.abandonUnsent()
	q.mayHaveRun = q.mayHaveRun || g.mayHaveRun()
	return q.outcome(g)
}

// settleAnswer stores an answer in the ledger for repeated requests with the same key.
func (q *queryRun) settleAnswer(a Answer) {
	result, err := encoder.Encode(a)
	if err != nil {
		q.settle(encoder.SettleRequest{InDoubt: true})
		return
	}
	q.settle(encoder.SettleRequest{Result: result})
}

// settle records the outcome of a claim. It waits for at most settleTimeout, because the caller's
// answer is correct whether or not the ledger has recorded it: the ledger's client continues in
// the background, and an unsettled claim is never granted again.
func (q *queryRun) settle(s encoder.SettleRequest) {
	s.Caller = q.query.Caller
	s.Key = q.query.Key
	s.Holder = q.router.incarnation
	s.Request = q.query.Request
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := q.router.ledger.Settle(ctx, s); err != nil {
		q.router.events.Record(tracer.ClaimDecided, q.query.Request, "outcome is not recorded in the ledger yet: "+err.Error())
	}
}

// outcomeOfClaim returns the outcome of a request whose claim was not granted.
func outcomeOfClaim(reply encoder.ClaimReply) Outcome {
	switch reply.Outcome {
	case encoder.ClaimSettled:
		if reply.ResultOmitted {
			return InDoubt{Code: CodeResultOmitted, Detail: "the request ran to its end; its answer was too large to keep"}
		}
		answer, err := encoder.Decode[Answer](reply.Result)
		if err != nil {
			return InDoubt{Code: CodeInDoubt, Detail: "the request ran; its stored answer cannot be read"}
		}
		answer.IsRepeated = true
		if len(answer.Coverage.Missing) > 0 {
			return Partial{answer}
		}
		return Complete{answer}
	case encoder.ClaimHeld:
		return InDoubt{Code: CodeKeyHeld, Detail: "an earlier request under this key is running or was cut off; it will not be run again"}
	case encoder.ClaimMismatch:
		return refuse(CodeKeyReused, "the key was used for another request", 0)
	case encoder.ClaimUndated, encoder.ClaimAhead:
		return refuse(CodeKeyMalformed, "the key is not a version 7 UUID of the present time", 0)
	case encoder.ClaimTooOld:
		return refuse(CodeKeyTooOld, "the key is older than the ledger's window", 0)
	case encoder.ClaimInDoubt:
		return InDoubt{Code: CodeInDoubt, Detail: "the request may have run and will not be run again under this key"}
	default:
		return refuse(CodeLedgerUnavailable, "the keepers did not agree on a claim; nothing was dispatched", controlRetryAfter)
	}
}
