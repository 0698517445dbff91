package router

import (
	"context"
	"fmt"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/planner"
)

const (
	// stallCheckInterval is the time between two checks of the batches in flight for stalled
	// owners.
	stallCheckInterval = 20 * time.Millisecond
	// maxSendsPerShard is the maximum number of batches that contain one shard within a plan.
	maxSendsPerShard = 3
	// maxRefusals is the maximum number of refusals per shard that do not count as sends. A dock
	// refuses a shard that it does not own. While ownership moves, two docks may each report the
	// other as owner for some time. With the backoff between them, maxRefusals refusals last
	// longer than views take to reach all docks.
	maxRefusals = 40
	// maxFailedSends is the maximum number of failed sends per shard that do not count as sends
	// either, because a dock that stops is unreachable before all views show it.
	maxFailedSends = 5
	// refusalBackoff is the amount by which the delay before a resend grows with each refusal or
	// failed send after the first. maxRefusalBackoff is the maximum delay.
	refusalBackoff    = 20 * time.Millisecond
	maxRefusalBackoff = 100 * time.Millisecond
)

// shardProgress is the state of one shard of a scatterGather.
type shardProgress struct {
	isCovered bool
	inFlight  int
	sends     int
	// refusals is the number of sends that a dock refused because it does not own the shard.
	// failedSends is the number of sends that did not leave this process. After the first of
	// either, the shard is resent at once, after later ones at resendAt. A zero resendAt means
	// that no resend is scheduled.
	refusals    int
	failedSends int
	resendAt    time.Time
	// missing is the reason why the last batch had no result. It is valid if inFlight is 0.
	missing encoder.MissingShard
	// mayHaveRun reports whether any batch of the shard may have run.
	mayHaveRun bool
	// lastHost is the dock that the shard was last sent to.
	lastHost identifier.HostName
	// isExpected and isNewlyCovered are only used while one reply is checked and processed.
	isExpected     bool
	isNewlyCovered bool
}

// scatterGather sends the shards of one plan to their owners and collects the results. Only the
// query's goroutine uses it.
type scatterGather struct {
	// Set at creation.
	run       *queryRun
	snapshot  Snapshot
	candidate planner.Candidate
	shards    []identifier.ShardNumber

	// Changed by the query's goroutine.
	// progress is indexed by shard number. Entries of shards outside the query are unused.
	progress []shardProgress
	pending  int
	covered  int
	rows     []encoder.Row
	total    float64
	calls    map[uint32]*batchCall
	replies  chan batchResult
	stalls   chan *batchCall
}

// newScatterGather prepares a plan. Shards without a replica are missing from the start.
func newScatterGather(q *queryRun, s Snapshot, c planner.Candidate, shards []identifier.ShardNumber) *scatterGather {
	g := &scatterGather{
		run:       q,
		snapshot:  s,
		candidate: c,
		shards:    shards,
		progress:  make([]shardProgress, c.ShardCount),
		pending:   len(shards),
		calls:     map[uint32]*batchCall{},
		replies:   make(chan batchResult, len(shards)*maxSendsPerShard),
		stalls:    make(chan *batchCall, len(shards)*maxSendsPerShard),
	}
	for _, n := range shards {
		p := &g.progress[n]
		p.missing = encoder.MissingShard{Shard: n, Reason: encoder.MissingNoReplica}
		if !c.Covers(n) {
			g.pending--
			p.sends = maxSendsPerShard
		}
	}
	return g
}

// gather sends all pending shards to their owners. It returns when each shard is answered or has
// failed, when the contract's coverage can no longer be reached, or when the context ends.
func (g *scatterGather) gather(ctx context.Context) {
	if !g.isCoverageReachable() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.send(ctx, g.unsentShards(), g.preferredHost)
	ticker := g.run.router.clock.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for g.pending > 0 && g.isCoverageReachable() {
		select {
		case r := <-g.replies:
			g.handleResult(ctx, r)
		case c := <-g.stalls:
			g.bypass(ctx, c)
		case <-ticker.C:
			g.probeSlowBatches(ctx)
			g.resendDelayed(ctx)
		case <-ctx.Done():
			g.failInFlight(encoder.MissingDeadline)
			return
		}
	}
	g.failInFlight(encoder.MissingAbandoned)
}

// unsentShards returns the shards that may be sent, are in no batch in flight and are not covered.
func (g *scatterGather) unsentShards() []identifier.ShardNumber {
	var list []identifier.ShardNumber
	for _, n := range g.shards {
		p := &g.progress[n]
		mayBeSent := p.sends < maxSendsPerShard && (g.run.contract.Idempotent || !p.mayHaveRun)
		if !p.isCovered && p.inFlight == 0 && mayBeSent {
			list = append(list, n)
		}
	}
	return list
}

// send groups shards by the dock that pickHost returns and sends one batch to each dock. Shards
// for which pickHost returns false fail.
func (g *scatterGather) send(ctx context.Context, shards []identifier.ShardNumber, pickHost func(identifier.ShardNumber) (encoder.Host, bool)) {
	byHost := map[identifier.HostName][]identifier.ShardNumber{}
	hosts := map[identifier.HostName]encoder.Host{}
	for _, n := range shards {
		h, ok := pickHost(n)
		if !ok {
			g.failShard(n, encoder.MissingShard{Shard: n, Reason: encoder.MissingOwner})
			continue
		}
		hosts[h.Name] = h
		byHost[h.Name] = append(byHost[h.Name], n)
	}
	for name, list := range byHost {
		g.sendBatch(ctx, hosts[name], list)
	}
}

// sendBatch sends one batch in a new goroutine.
func (g *scatterGather) sendBatch(ctx context.Context, host encoder.Host, shards []identifier.ShardNumber) {
	batch := g.run.batch(g.snapshot.Placement.Epoch, g.candidate, shards)
	batch.Adopt = g.isAdoption(host, shards)
	for _, n := range shards {
		p := &g.progress[n]
		p.inFlight++
		p.sends++
		p.lastHost = host.Name
	}
	c := &batchCall{
		router:  g.run.router,
		host:    host,
		batch:   batch,
		sent:    g.run.router.clock.Now(),
		results: g.replies,
	}
	g.calls[batch.Attempt] = c
	g.run.router.metricSet.batches.Inc(1)
	g.run.router.tasks.Add(1)
	go c.run(ctx)
}

// handleResult processes the reply to a batch, or the loss of the batch.
func (g *scatterGather) handleResult(ctx context.Context, r batchResult) {
	delete(g.calls, r.call.batch.Attempt)
	if r.err != nil {
		g.handleLoss(ctx, r)
		return
	}
	g.run.router.detector.clear(r.call.host.Name)
	if !g.isReplyValid(r) {
		g.run.router.metricSet.strayReplies.Inc(1)
		g.run.router.onViolation("reply_matches_batch", fmt.Sprintf("reply for %s attempt %d version %d", r.reply.Request, r.reply.Attempt, r.reply.Version))
		r.err = errBadReply
		g.handleLoss(ctx, r)
		return
	}
	g.run.router.admitter.Report(g.run.query.Service, r.call.host.Name, r.reply.QueueDelay)
	g.addCovered(r.reply)
	for _, m := range r.reply.Missing {
		g.recordMissing(m)
		g.recordCrash(m)
		if m.Reason == encoder.MissingOwner && !m.Started {
			g.recordRefusal(m.Shard)
		}
	}
	g.scheduleResends(ctx, r.call.batch.Shards)
}

// recordCrash counts a crash of the fingerprint if a shard was lost to a crash and its retry, which
// runs as a server's only subrequest, did not clear it.
func (g *scatterGather) recordCrash(m encoder.MissingShard) {
	if m.Reason != encoder.MissingCrash {
		return
	}
	g.run.router.recentSuccesses.remove(g.run.fingerprint)
	g.run.router.quarantine.AddCrashes(g.run.fingerprint, 1)
}

// isReplyValid reports whether a reply matches its batch: it has the same request, attempt and
// version, and each shard of the batch occurs in it once.
func (g *scatterGather) isReplyValid(r batchResult) bool {
	b := r.call.batch
	if r.reply.Request != b.Request || r.reply.Attempt != b.Attempt || r.reply.Version != b.Version {
		return false
	}
	if len(r.reply.Totals) != len(r.reply.Covered) || len(r.reply.Covered)+len(r.reply.Missing) != len(b.Shards) {
		return false
	}
	for _, n := range b.Shards {
		g.progress[n].isExpected = true
	}
	isValid := true
	for _, n := range r.reply.Covered {
		isValid = g.markAnswered(n) && isValid
	}
	for _, m := range r.reply.Missing {
		isValid = g.markAnswered(m.Shard) && isValid
	}
	for _, n := range b.Shards {
		g.progress[n].isExpected = false
	}
	return isValid
}

// markAnswered marks a reply's shard as answered. It reports whether the shard is part of the
// batch and has not been marked before.
func (g *scatterGather) markAnswered(n identifier.ShardNumber) bool {
	if int(n) >= len(g.progress) || !g.progress[n].isExpected {
		return false
	}
	g.progress[n].isExpected = false
	return true
}

// addCovered adds the rows and totals of the shards that no earlier reply covered.
func (g *scatterGather) addCovered(reply encoder.BatchReply) {
	for i, n := range reply.Covered {
		p := &g.progress[n]
		p.inFlight--
		p.mayHaveRun = true
		if p.isCovered {
			continue
		}
		p.isCovered = true
		p.isNewlyCovered = true
		g.covered++
		g.pending--
		g.total += reply.Totals[i]
	}
	for _, row := range reply.Rows {
		if int(row.Shard) < len(g.progress) && g.progress[row.Shard].isNewlyCovered {
			g.rows = append(g.rows, row)
		}
	}
	for _, n := range reply.Covered {
		g.progress[n].isNewlyCovered = false
	}
}

// recordMissing records why a batch has no result for a shard.
func (g *scatterGather) recordMissing(m encoder.MissingShard) {
	p := &g.progress[m.Shard]
	p.inFlight--
	p.missing = m
	p.mayHaveRun = p.mayHaveRun || m.Started
}

// recordRefusal records that a dock refused a shard because it does not own it. The refused batch
// does not count as a send, because nothing was run. After maxRefusals it does.
func (g *scatterGather) recordRefusal(n identifier.ShardNumber) {
	p := &g.progress[n]
	if p.refusals < maxRefusals {
		p.refusals++
		p.sends--
	}
}

// recordFailedSend records that a shard could not be sent to a dock. It does not count as a send,
// up to maxFailedSends. This limit is separate from maxRefusals because, when views are slow,
// many refusals precede the failed sends to the stopped dock.
func (g *scatterGather) recordFailedSend(n identifier.ShardNumber) {
	p := &g.progress[n]
	if p.failedSends < maxFailedSends {
		p.failedSends++
		p.sends--
	}
}

// uncountedSends returns the number of refusals and failed sends, which do not count as sends.
func (p *shardProgress) uncountedSends() int { return p.refusals + p.failedSends }

// backoff returns the delay before the next send of a shard that was refused or could not be sent.
func (p *shardProgress) backoff() time.Duration {
	return min(maxRefusalBackoff, time.Duration(p.uncountedSends()-1)*refusalBackoff)
}

// handleLoss records that a batch was not delivered or its reply was lost, and resends its shards
// where that is allowed.
func (g *scatterGather) handleLoss(ctx context.Context, r batchResult) {
	started := !r.isNotSent()
	if ctx.Err() == nil {
		g.run.router.detector.markSuspect(r.call.host)
	}
	defer g.retryBypass(ctx, r.call.batch.Shards)
	for _, n := range r.call.batch.Shards {
		g.recordMissing(encoder.MissingShard{Shard: n, Reason: encoder.MissingOwner, Started: started})
		if !started {
			g.recordFailedSend(n)
		}
	}
	g.scheduleResends(ctx, r.call.batch.Shards)
}

// scheduleResends resends the missing shards that another dock may answer, some of them after a
// backoff, and marks the others as failed.
func (g *scatterGather) scheduleResends(ctx context.Context, shards []identifier.ShardNumber) {
	var again []identifier.ShardNumber
	for _, n := range shards {
		p := &g.progress[n]
		if p.isCovered || p.inFlight > 0 {
			continue
		}
		switch {
		case !g.canResend(p):
			g.failShard(n, p.missing)
		case p.uncountedSends() > 1:
			p.resendAt = g.run.router.clock.Now().Add(p.backoff())
		default:
			again = append(again, n)
		}
	}
	g.resend(ctx, again)
}

// resendDelayed resends the shards whose backoff has elapsed.
func (g *scatterGather) resendDelayed(ctx context.Context) {
	now := g.run.router.clock.Now()
	var again []identifier.ShardNumber
	for _, n := range g.shards {
		p := &g.progress[n]
		if !p.resendAt.IsZero() && !now.Before(p.resendAt) && !p.isCovered && p.inFlight == 0 {
			p.resendAt = time.Time{}
			again = append(again, n)
		}
	}
	g.resend(ctx, again)
}

// resend sends shards again: to the owner that the last refusal of the shard contained, or else to
// a dock of the newest placement.
func (g *scatterGather) resend(ctx context.Context, shards []identifier.ShardNumber) {
	if len(shards) == 0 {
		return
	}
	g.run.router.metricSet.resends.Inc(int64(len(shards)))
	// The owner may have refused because ownership moved. The newest view has the new owner.
	g.snapshot = g.run.router.control.Snapshot()
	g.send(ctx, shards, g.ownerFromRefusal)
}

// canResend reports whether a shard may be sent to another dock. A shard of a query that is not
// idempotent must not be resent if it may have run.
func (g *scatterGather) canResend(p *shardProgress) bool {
	if p.missing.Reason != encoder.MissingOwner || p.sends >= maxSendsPerShard {
		return false
	}
	return g.run.contract.Idempotent || !p.mayHaveRun
}

// failShard records that a shard has no result and will not be sent again.
func (g *scatterGather) failShard(n identifier.ShardNumber, m encoder.MissingShard) {
	p := &g.progress[n]
	p.missing = m
	p.sends = maxSendsPerShard
	g.pending--
}

// failInFlight marks the shards in flight as missing when the query ends. Their subrequests may
// have run.
func (g *scatterGather) failInFlight(reason encoder.MissingReason) {
	for _, n := range g.shards {
		p := &g.progress[n]
		if p.isCovered || p.inFlight == 0 {
			continue
		}
		p.mayHaveRun = true
		p.missing = encoder.MissingShard{Shard: n, Reason: reason, Started: true}
	}
}
