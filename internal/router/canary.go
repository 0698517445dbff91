package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// successTTL is the maximum time for which a fingerprint needs no canary after a success.
	successTTL = time.Minute
	// maxCanaryAttempts is the maximum number of canaries of one plan.
	maxCanaryAttempts = 3
	// maxSuccesses is the maximum number of fingerprints in the success cache.
	maxSuccesses = 65536
)

// successCache holds the fingerprints that succeeded recently. It is safe for concurrent use.
type successCache struct {
	clock timekeeper.Clock

	// Guarded by mutex. Two generations bound the size and age of entries without a timer: recent
	// replaces older when it contains half of maxSuccesses or has reached half of successTTL.
	mutex     sync.Mutex
	recent    map[identifier.Fingerprint]struct{}
	older     map[identifier.Fingerprint]struct{}
	rotatedAt time.Time
}

func newSuccessCache(clock timekeeper.Clock) *successCache {
	return &successCache{
		clock:     clock,
		recent:    map[identifier.Fingerprint]struct{}{},
		older:     map[identifier.Fingerprint]struct{}{},
		rotatedAt: clock.Now(),
	}
}

// contains reports whether the fingerprint succeeded recently.
func (s *successCache) contains(f identifier.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rotate()
	if _, ok := s.recent[f]; ok {
		return true
	}
	_, ok := s.older[f]
	return ok
}

// add records a success.
func (s *successCache) add(f identifier.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rotate()
	s.recent[f] = struct{}{}
}

// remove deletes a fingerprint that crashed a server.
func (s *successCache) remove(f identifier.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.recent, f)
	delete(s.older, f)
}

// rotate starts a new generation if the recent one is full or old.
func (s *successCache) rotate() {
	now := s.clock.Now()
	age := now.Sub(s.rotatedAt)
	if age < successTTL/2 && len(s.recent) < maxSuccesses/2 {
		return
	}
	s.older = s.recent
	if age >= successTTL {
		s.older = map[identifier.Fingerprint]struct{}{}
	}
	s.recent = map[identifier.Fingerprint]struct{}{}
	s.rotatedAt = now
}

// needsCanary reports whether the query runs on one shard first. A query of one shard also goes
// through the canary's dock, because that dock counts its crashes. A fingerprint that crashed a
// server recently needs a canary even if the contract has none.
func (q *queryRun) needsCanary() bool {
	if q.router.quarantine.IsSuspect(q.fingerprint) {
		return true
	}
	return q.contract.Canary == manifestreader.CanaryAlways && !q.router.recentSuccesses.contains(q.fingerprint)
}

// runCanary runs a query without a recent success on one shard before the others. It returns true
// if the query may be sent to all shards, and an outcome if the fingerprint is quarantined. It
// retries a canary that was lost without a crash, at another dock or on another shard, because a
// query must not be sent to all shards before one of them has answered it. A canary that no owner took
// is no attempt: it waits until the views agree on the owner.
func (q *queryRun) runCanary(ctx context.Context, g *scatterGather) (bool, Outcome) {
	if !q.needsCanary() {
		return true, nil
	}
	for attempts := 0; attempts < maxCanaryAttempts; {
		shard, hasShard := g.canaryShard()
		host, hasHost := g.canaryHost()
		if !hasShard || !hasHost || ctx.Err() != nil {
			return false, nil
		}
		p := &g.progress[shard]
		uncounted := p.uncountedSends()
		reply, result := q.sendCanary(ctx, g, host, shard)
		if result.err == nil && reply.Quarantined {
			p.inFlight--
			q.mayHaveRun = q.mayHaveRun || reply.Reply.Crashes > 0
			return false, q.quarantinedOutcome(reply.RetryAfter)
		}
		g.handleCanaryResult(ctx, result)
		q.mayHaveRun = q.mayHaveRun || p.mayHaveRun
		if p.isCovered {
			q.router.recentSuccesses.add(q.fingerprint)
			return true, nil
		}
		if p.missing.Reason == encoder.MissingCrash || p.missing.Reason == encoder.MissingQuarantine {
			return false, nil
		}
		if p.uncountedSends() == uncounted {
			attempts++
			continue
		}
		g.awaitOwner(ctx, p)
	}
	return false, nil
}

// awaitOwner waits before the next send of a shard that no owner took, and takes the newest view.
func (g *scatterGather) awaitOwner(ctx context.Context, p *shardProgress) {
	timer := g.run.router.clock.NewTimer(p.backoff())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	g.snapshot = g.run.router.control.Snapshot()
}

// sendCanary sends the canary to a dock and waits for its reply. It stops waiting if the dock does
// not echo a probe.
func (q *queryRun) sendCanary(ctx context.Context, g *scatterGather, host encoder.Host, shard identifier.ShardNumber) (encoder.CanaryReply, batchResult) {
	r := q.router
	batch := q.batch(g.snapshot.Placement.Epoch, g.candidate, []identifier.ShardNumber{shard})
	batch.Canary = true
	r.metricSet.canaries.Inc(1)
	r.events.Record(tracer.CanarySent, q.query.Request, "", tracer.F("dock", host.Name), tracer.F("shard", shard))
	p := &g.progress[shard]
	p.inFlight++
	p.sends++
	p.lastHost = host.Name
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &canaryCall{
		batchCall: batchCall{router: r, host: host, batch: batch, sent: r.clock.Now()},
		replies:   make(chan encoder.CanaryReply, 1),
		failures:  make(chan error, 1),
	}
	r.tasks.Add(1)
	go c.run(ctx)
	return c.wait(ctx)
}

// canaryCall is one canary in flight.
type canaryCall struct {
	batchCall
	replies  chan encoder.CanaryReply
	failures chan error
}

// run sends the canary and reports its reply or error.
func (c *canaryCall) run(ctx context.Context) {
	defer c.router.tasks.Done()
	reply, err := c.router.owners.Canary(ctx, c.host, encoder.CanaryRequest{Batch: c.batch})
	if err != nil {
		c.failures <- err
		return
	}
	c.replies <- reply
}

// wait returns the canary's reply, or an error if it is lost, its dock stalls or the
// context ends.
func (c *canaryCall) wait(ctx context.Context) (encoder.CanaryReply, batchResult) {
	stalls := make(chan *batchCall, 1)
	timer := c.router.clock.NewTimer(stallCheckInterval)
	defer timer.Stop()
	for {
		select {
		case reply := <-c.replies:
			return reply, batchResult{call: &c.batchCall, reply: reply.Reply}
		case err := <-c.failures:
			return encoder.CanaryReply{}, batchResult{call: &c.batchCall, err: err}
		case <-timer.C:
			if c.host.Name != c.router.self {
				c.router.tasks.Add(1)
				go (&stallProbe{router: c.router, call: &c.batchCall, stalls: stalls}).run(ctx)
			}
		case <-stalls:
			return encoder.CanaryReply{}, batchResult{call: &c.batchCall, err: errStalled}
		case <-ctx.Done():
			return encoder.CanaryReply{}, batchResult{call: &c.batchCall, err: ctx.Err()}
		}
	}
}

// canaryHost returns the dock that runs the canaries of this fingerprint, which all docks choose
// in the same way. For a query of all shards it also owns the canary's first shard. It returns
// this dock if the preferred dock is suspect, which means that all ready docks are suspect.
func (g *scatterGather) canaryHost() (encoder.Host, bool) {
	host, ok := g.preferredHost(identifier.ShardNumber(uint64(g.run.fingerprint) % uint64(g.candidate.ShardCount)))
	if ok && g.run.router.detector.isSuspect(host.Name) {
		return encoder.Host{Name: g.run.router.self}, true
	}
	return host, ok
}

// canaryShard returns the shard that the canary runs on: the one that the fingerprint selects, or
// the next one that may still be sent. Shards whose owner is suspect come last.
func (g *scatterGather) canaryShard() (identifier.ShardNumber, bool) {
	n, ok := g.nextCanaryShard(func(n identifier.ShardNumber) bool {
		a, isAssigned := g.snapshot.Placement.Assignment(g.run.query.Service, n)
		return isAssigned && !g.run.router.detector.isSuspect(a.Owner.Name)
	})
	if ok {
		return n, true
	}
	return g.nextCanaryShard(func(identifier.ShardNumber) bool { return true })
}

// nextCanaryShard returns the first shard, starting with the one that the fingerprint selects, that
// may be sent and is accepted.
func (g *scatterGather) nextCanaryShard(isAccepted func(identifier.ShardNumber) bool) (identifier.ShardNumber, bool) {
	preferred := identifier.ShardNumber(uint64(g.run.fingerprint) % uint64(g.candidate.ShardCount))
	start, _ := slices.BinarySearch(g.shards, preferred)
	for i := range g.shards {
		n := g.shards[(start+i)%len(g.shards)]
		if p := &g.progress[n]; !p.isCovered && p.sends < maxSendsPerShard && isAccepted(n) {
			return n, true
		}
	}
	return 0, false
}

// abandonUnsent marks the shards that could still be sent as abandoned.
func (g *scatterGather) abandonUnsent() {
	for _, n := range g.unsentShards() {
		g.failShard(n, encoder.MissingShard{Shard: n, Reason: encoder.MissingAbandoned})
	}
}

// handleCanaryResult records the canary's result. The shard of a lost canary stays pending if it
// may be resent.
func (g *scatterGather) handleCanaryResult(ctx context.Context, r batchResult) {
	shard := r.call.batch.Shards[0]
	p := &g.progress[shard]
	if r.err != nil {
		if ctx.Err() == nil {
			g.run.router.detector.markSuspect(r.call.host)
		}
		g.recordMissing(encoder.MissingShard{Shard: shard, Reason: encoder.MissingOwner, Started: !r.isNotSent()})
		if r.isNotSent() {
			g.recordFailedSend(shard)
		}
		g.finishCanary(p, shard)
		return
	}
	if !g.isReplyValid(r) {
		g.run.router.onViolation("reply_matches_batch", "canary reply of another batch")
		g.recordMissing(encoder.MissingShard{Shard: shard, Reason: encoder.MissingOwner, Started: true})
		g.finishCanary(p, shard)
		return
	}
	g.run.router.admitter.Report(g.run.query.Service, r.call.host.Name, r.reply.QueueDelay)
	g.addCovered(r.reply)
	for _, m := range r.reply.Missing {
		g.recordMissing(m)
		if m.Reason == encoder.MissingOwner && !m.Started {
			g.recordRefusal(m.Shard)
		}
		g.finishCanary(p, m.Shard)
	}
}

// finishCanary marks the canary's shard as failed unless it may be resent.
func (g *scatterGather) finishCanary(p *shardProgress, shard identifier.ShardNumber) {
	if !g.canResend(p) {
		g.failShard(shard, p.missing)
	}
}
