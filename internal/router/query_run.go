package router

import (
	"context"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/planner"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// maxPlans is the maximum number of plans of a query. A query is replanned if its index
	// version is no longer available.
	maxPlans = 3
	// replyMargin is the time before the deadline that is reserved for the root to answer the
	// caller. Owners get the deadline less this margin.
	replyMargin = 3 * time.Millisecond
	// minimumReplanTime is the minimum remaining time for which a query is replanned.
	minimumReplanTime = 10 * time.Millisecond
)

// queryRun is one admitted query in progress. Only one goroutine uses it.
type queryRun struct {
	// Set at creation.
	router      *Router
	query       Query
	contract    manifestreader.Contract
	manifest    uint64
	deadline    time.Time
	fingerprint identifier.Fingerprint

	// Changed by the goroutine that runs the query.
	attempt  uint32
	excluded []identifier.IndexVersion
	// mayHaveRun reports whether a backend server may have run a subrequest of any plan of the
	// query.
	mayHaveRun bool
}

// runIdempotent answers an idempotent query, which is replanned if its index version is lost.
func (q *queryRun) runIdempotent(ctx context.Context) Outcome {
	if remaining := q.router.quarantine.Remaining(q.fingerprint); remaining > 0 {
		return q.quarantinedOutcome(remaining)
	}
	for plans := 1; ; plans++ {
		snapshot := q.router.control.Snapshot()
		candidate, ok := snapshot.Plans.Choose(q.query.Service, q.excluded)
		if !ok {
			return q.noReplicaOutcome()
		}
		g := q.newScatterGather(snapshot, candidate)
		if !g.isCoverageReachable() {
			// Too many shards have no replica, so that sending to the others would be useless.
			return q.outcome(g)
		}
		mayScatter, refusal := q.runCanary(ctx, g)
		if refusal != nil {
			return refusal
		}
		if mayScatter {
			g.gather(ctx)
		} else {
			g.abandonUnsent()
		}
		q.mayHaveRun = q.mayHaveRun || g.mayHaveRun()
		if !g.hasLostVersion() || plans == maxPlans || !q.canReplan(candidate) {
			return q.outcome(g)
		}
		q.router.events.Record(tracer.AttemptStarted, q.query.Request, "index version vanished, planning anew")
		q.router.metricSet.replans.Inc(1)
		q.excluded = append(q.excluded, candidate.Version)
	}
}

// canReplan reports whether another version is available and enough time remains for it.
func (q *queryRun) canReplan(lost planner.Candidate) bool {
	if q.deadline.Sub(q.router.clock.Now()) < minimumReplanTime {
		return false
	}
	excluded := append(slices.Clone(q.excluded), lost.Version)
	_, ok := q.router.control.Snapshot().Plans.Choose(q.query.Service, excluded)
	return ok
}

// newScatterGather returns a scatterGather for the shards in the contract's scope.
func (q *queryRun) newScatterGather(s Snapshot, c planner.Candidate) *scatterGather {
	var shards []identifier.ShardNumber
	switch q.contract.Scope {
	case manifestreader.ScopeOne:
		shards = []identifier.ShardNumber{q.shardOfKey(c.ShardCount)}
	case manifestreader.ScopeAll:
		shards = make([]identifier.ShardNumber, c.ShardCount)
		for n := range shards {
			shards[n] = identifier.ShardNumber(n)
		}
	}
	return newScatterGather(q, s, c, shards)
}

// shardOfKey returns the shard of a request that is sent to one shard, selected by the hash of its
// routing key or else its idempotency key.
func (q *queryRun) shardOfKey(count uint32) identifier.ShardNumber {
	key := q.query.RoutingKey
	if key == "" {
		key = q.query.Key
	}
	hash := identifier.NewFingerprint(q.query.Service, "", []byte(key))
	return identifier.ShardNumber(uint64(hash) % uint64(count))
}

// batch builds the message for some shards.
func (q *queryRun) batch(epoch identifier.Epoch, c planner.Candidate, shards []identifier.ShardNumber) encoder.ShardBatch {
	q.attempt++
	return encoder.ShardBatch{
		Request:        q.query.Request,
		Attempt:        q.attempt,
		Root:           q.router.self,
		Epoch:          epoch,
		Service:        q.query.Service,
		Operation:      q.query.Operation,
		Version:        c.Version,
		ShardCount:     c.ShardCount,
		Shards:         shards,
		Urgency:        q.contract.Urgency,
		Idempotent:     q.contract.Idempotent,
		IdempotencyKey: q.idempotencyKey(),
		Timeout:        max(0, q.deadline.Sub(q.router.clock.Now())-replyMargin),
		Fingerprint:    q.fingerprint,
		Merge:          q.contract.Merge,
		RowLimit:       q.contract.RowLimit,
		Body:           q.query.Body,
	}
}

// idempotencyKey returns the key that is sent to the backend server: the caller's name and key, or
// "" if the request is idempotent.
func (q *queryRun) idempotencyKey() string {
	if q.contract.Idempotent {
		return ""
	}
	return string(q.query.Caller) + "/" + q.query.Key
}

// noReplicaOutcome returns the outcome of a query for which no index version is available.
func (q *queryRun) noReplicaOutcome() Outcome {
	const detail = "no backend server holds an index version of the service"
	if q.mayHaveRun {
		return Failed{Code: CodeNoReplica, Detail: detail, RetryAfter: coverageRetryAfter}
	}
	return NotRun{Code: CodeNoReplica, Detail: detail, RetryAfter: coverageRetryAfter}
}

// quarantinedOutcome returns the outcome of a query whose fingerprint is quarantined for the
// remaining time.
func (q *queryRun) quarantinedOutcome(remaining time.Duration) Outcome {
	if q.mayHaveRun {
		return Failed{Code: CodeQuarantined, Detail: "the request ran and backend servers crashed while they ran it", RetryAfter: remaining}
	}
	return NotRun{Code: CodeQuarantined, Detail: "an equal request ran before and crashed backend servers; this one was not run", RetryAfter: remaining}
}

// outcome returns the outcome of a query from the results of its last plan.
func (q *queryRun) outcome(g *scatterGather) Outcome {
	coverage := g.coverage()
	if len(coverage.Missing) == 0 {
		return Complete{g.answer(coverage)}
	}
	if g.isCoverageReached() && coverage.Covered > 0 {
		return Partial{g.answer(coverage)}
	}
	code, detail := explainMissing(coverage)
	retryAfter := longestRetryAfter(coverage.Missing)
	if q.mayHaveRun {
		return Failed{Code: code, Detail: detail, RetryAfter: retryAfter, Coverage: coverage}
	}
	return NotRun{Code: code, Detail: detail, RetryAfter: retryAfter, Coverage: coverage}
}

// explainMissing returns the code and detail for the missing shards. If there are several reasons,
// it chooses the most useful one for the caller.
func explainMissing(c Coverage) (Code, string) {
	byReason := map[encoder.MissingReason]int{}
	for _, m := range c.Missing {
		byReason[m.Reason]++
	}
	switch {
	case byReason[encoder.MissingQuarantine] > 0:
		return CodeQuarantined, "the request crashed backend servers"
	case byReason[encoder.MissingCrash] > 0:
		return CodeCrashed, "a backend server broke down while it ran the request"
	case byReason[encoder.MissingOverload] > 0:
		return CodeOverloaded, "the queues of some shards are too long to meet the deadline"
	case byReason[encoder.MissingServerError] > 0:
		return CodeServerError, "a backend server answered with an error"
	case byReason[encoder.MissingDeadline] > 0:
		return CodeDeadline, "some shards did not answer before the deadline"
	case byReason[encoder.MissingNoReplica] > 0 && c.Covered == 0:
		return CodeNoReplica, "no backend server holds the shards"
	default:
		return CodeCoverage, "fewer shards answered than the contract demands"
	}
}

// longestRetryAfter returns the time after which all missing shards may accept requests again, or
// coverageRetryAfter if no owner gave one.
func longestRetryAfter(missing []encoder.MissingShard) time.Duration {
	longest := time.Duration(0)
	for _, m := range missing {
		longest = max(longest, m.RetryAfter)
	}
	if longest == 0 {
		return coverageRetryAfter
	}
	return longest
}
