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
	// stallCheckInterval is how often batches in flight are checked for a stalled owner.
	stallCheckInterval = 20 * time.Millisecond
	// maxSendsPerShard bounds the batches that carry one shard within a plan.
	maxSendsPerShard = 3
	// maxRefusals bounds the batches that docks refused for want of ownership, which count
	// apart: while ownership moves, two docks may each name the other for some time. With the
	// pauses between them they last longer than views take to reach all docks.
	maxRefusals = 40
	// maxUnsent bounds the batches that could not be sent, which count apart as well: a dock that
	// stops is gone before all views say so.
	maxUnsent = 5
	// refusalPause is by how much the time until a shard is sent again grows with each refusal
	// after the first, and longestPause bounds it.
	refusalPause = 20 * time.Millisecond
	longestPause = 100 * time.Millisecond
)

// shardProgress is the state of one shard of a gathering.
type shardProgress struct {
	isCovered   bool
	outstanding int
	sends       int
	// refusals are the sends that were refused for want of ownership, and unsent those that did
	// not leave. After the first of either the shard waits until resendAt.
	refusals int
	unsent   int
	resendAt time.Time
	// missing is why the last batch has no result. It counts once outstanding is zero.
	missing encoder.MissingShard
	// mayHaveRun tells whether any batch of the shard may have run.
	mayHaveRun bool
	// lastHost is where the shard was last sent.
	lastHost identifier.HostName
	// isAwaited and isFresh are used while one reply is checked and taken in.
	isAwaited bool
	isFresh   bool
}

// gathering collects the results of one plan. It belongs to the query's goroutine.
type gathering struct {
	// Set at creation.
	run       *queryRun
	snapshot  Snapshot
	candidate planner.Candidate
	shards    []identifier.ShardNumber

	// Changed by the query's goroutine.
	// progress is indexed by shard number. Shards that the query does not ask stay unused.
	progress []shardProgress
	open     int
	covered  int
	rows     []encoder.Row
	total    float64
	calls    map[uint32]*batchCall
	replies  chan batchResult
	stalls   chan *batchCall
}

// newGathering prepares a plan. Shards without any replica are missing from the start.
func newGathering(q *queryRun, s Snapshot, c planner.Candidate, shards []identifier.ShardNumber) *gathering {
	g := &gathering{
		run:       q,
		snapshot:  s,
		candidate: c,
		shards:    shards,
		progress:  make([]shardProgress, c.ShardCount),
		open:      len(shards),
		calls:     map[uint32]*batchCall{},
		replies:   make(chan batchResult, len(shards)*maxSendsPerShard),
		stalls:    make(chan *batchCall, len(shards)*maxSendsPerShard),
	}
	for _, n := range shards {
		p := &g.progress[n]
		p.missing = encoder.MissingShard{Shard: n, Reason: encoder.MissingNoReplica}
		if !c.Covers(n) {
			g.open--
			p.sends = maxSendsPerShard
		}
	}
	return g
}

// gather sends all open shards to their owners and returns when each shard is answered or
// given up, when the contract's coverage is out of reach, or when the context ends.
func (g *gathering) gather(ctx context.Context) {
	if !g.isCoverageReachable() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.send(ctx, g.unsent(), g.ownerOf)
	ticker := g.run.router.clock.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for g.open > 0 && g.isCoverageReachable() {
		select {
		case r := <-g.replies:
			g.accept(ctx, r)
		case c := <-g.stalls:
			g.bypass(ctx, c)
		case <-ticker.C:
			g.probeSlow(ctx)
			g.sendRefused(ctx)
		case <-ctx.Done():
			g.expire(encoder.MissingDeadline)
			return
		}
	}
	g.expire(encoder.MissingAbandoned)
}

// unsent lists the shards that no batch carries and no reply covers.
func (g *gathering) unsent() []identifier.ShardNumber {
	var list []identifier.ShardNumber
	for _, n := range g.shards {
		p := &g.progress[n]
		mayBeSent := p.sends < maxSendsPerShard && (g.run.contract.Idempotent || !p.mayHaveRun)
		if !p.isCovered && p.outstanding == 0 && mayBeSent {
			list = append(list, n)
		}
	}
	return list
}

// send groups shards by the dock that pick names and sends one batch to each.
func (g *gathering) send(ctx context.Context, shards []identifier.ShardNumber, pick func(identifier.ShardNumber) (encoder.Host, bool)) {
	byHost := map[identifier.HostName][]identifier.ShardNumber{}
	hosts := map[identifier.HostName]encoder.Host{}
	for _, n := range shards {
		h, ok := pick(n)
		if !ok {
			g.giveUp(n, encoder.MissingShard{Shard: n, Reason: encoder.MissingOwner})
			continue
		}
		hosts[h.Name] = h
		byHost[h.Name] = append(byHost[h.Name], n)
	}
	for name, list := range byHost {
		g.sendBatch(ctx, hosts[name], list)
	}
}

// sendBatch starts one batch in a goroutine of its own.
func (g *gathering) sendBatch(ctx context.Context, host encoder.Host, shards []identifier.ShardNumber) {
	batch := g.run.batch(g.snapshot.Placement.Epoch, g.candidate, shards)
	batch.Adopt = g.isAdoption(host, shards)
	for _, n := range shards {
		p := &g.progress[n]
		p.outstanding++
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
	g.run.router.meters.batches.Inc(1)
	g.run.router.tasks.Add(1)
	go c.run(ctx)
}

// accept takes a batch's result, or deals with its loss.
func (g *gathering) accept(ctx context.Context, r batchResult) {
	delete(g.calls, r.call.batch.Attempt)
	if r.err != nil {
		g.acceptLoss(ctx, r)
		return
	}
	g.run.router.detector.clear(r.call.host.Name)
	if !g.isReplyValid(r) {
		g.run.router.meters.strays.Inc(1)
		g.run.router.onViolation("reply_matches_batch", fmt.Sprintf("reply for %s attempt %d version %d", r.reply.Request, r.reply.Attempt, r.reply.Version))
		r.err = errBadReply
		g.acceptLoss(ctx, r)
		return
	}
	g.run.router.admitter.Report(g.run.query.Service, r.call.host.Name, r.reply.QueueDelay)
	g.acceptCovered(r.reply)
	for _, m := range r.reply.Missing {
		g.acceptMissing(m)
		g.noteCrash(m)
		if m.Reason == encoder.MissingOwner && !m.Started {
			g.acceptRefusal(m.Shard)
		}
	}
	g.resend(ctx, r.call.batch.Shards)
}

// noteCrash makes the fingerprint suspect if a shard was lost to a crash and its lone retry
// did not clear it.
func (g *gathering) noteCrash(m encoder.MissingShard) {
	if m.Reason != encoder.MissingCrash {
		return
	}
	g.run.router.cleared.remove(g.run.fingerprint)
	g.run.router.quarantine.AddCrashes(g.run.fingerprint, 1)
}

// isReplyValid checks that a reply belongs to its batch: same request, attempt and version,
// and each shard of the batch answered once.
func (g *gathering) isReplyValid(r batchResult) bool {
	b := r.call.batch
	if r.reply.Request != b.Request || r.reply.Attempt != b.Attempt || r.reply.Version != b.Version {
		return false
	}
	if len(r.reply.Totals) != len(r.reply.Covered) || len(r.reply.Covered)+len(r.reply.Missing) != len(b.Shards) {
		return false
	}
	for _, n := range b.Shards {
		g.progress[n].isAwaited = true
	}
	isValid := true
	for _, n := range r.reply.Covered {
		isValid = g.takeAwaited(n) && isValid
	}
	for _, m := range r.reply.Missing {
		isValid = g.takeAwaited(m.Shard) && isValid
	}
	for _, n := range b.Shards {
		g.progress[n].isAwaited = false
	}
	return isValid
}

// takeAwaited tells whether a reply's shard is part of its batch and was not taken before.
func (g *gathering) takeAwaited(n identifier.ShardNumber) bool {
	if int(n) >= len(g.progress) || !g.progress[n].isAwaited {
		return false
	}
	g.progress[n].isAwaited = false
	return true
}

// acceptCovered adds the rows of shards that no other batch covered before.
func (g *gathering) acceptCovered(reply encoder.BatchReply) {
	for i, n := range reply.Covered {
		p := &g.progress[n]
		p.outstanding--
		p.mayHaveRun = true
		if p.isCovered {
			continue
		}
		p.isCovered = true
		p.isFresh = true
		g.covered++
		g.open--
		g.total += reply.Totals[i]
	}
	for _, row := range reply.Rows {
		if int(row.Shard) < len(g.progress) && g.progress[row.Shard].isFresh {
			g.rows = append(g.rows, row)
		}
	}
	for _, n := range reply.Covered {
		g.progress[n].isFresh = false
	}
}

// acceptMissing notes why a batch has no result for a shard.
func (g *gathering) acceptMissing(m encoder.MissingShard) {
	p := &g.progress[m.Shard]
	p.outstanding--
	p.missing = m
	p.mayHaveRun = p.mayHaveRun || m.Started
}

// acceptRefusal notes that a dock refused a shard for want of ownership. Nothing was run, so it
// does not count as a send, up to a number.
func (g *gathering) acceptRefusal(n identifier.ShardNumber) {
	p := &g.progress[n]
	if p.refusals < maxRefusals {
		p.refusals++
		p.sends--
	}
}

// acceptUnsent notes that a dock could not be sent a shard, which does not count as a send either,
// up to a number of its own: when views are slow, many refusals come before the stopped dock.
func (g *gathering) acceptUnsent(n identifier.ShardNumber) {
	p := &g.progress[n]
	if p.unsent < maxUnsent {
		p.unsent++
		p.sends--
	}
}

// waits are the sends that came to nothing because ownership moves.
func (p *shardProgress) waits() int { return p.refusals + p.unsent }

// acceptLoss notes that a batch was not delivered or its reply was lost.
func (g *gathering) acceptLoss(ctx context.Context, r batchResult) {
	started := !r.isNotSent()
	if ctx.Err() == nil {
		g.run.router.detector.suspect(r.call.host)
	}
	defer g.bypassAgain(ctx, r.call.batch.Shards)
	for _, n := range r.call.batch.Shards {
		g.acceptMissing(encoder.MissingShard{Shard: n, Reason: encoder.MissingOwner, Started: started})
		if !started {
			g.acceptUnsent(n)
		}
	}
	g.resend(ctx, r.call.batch.Shards)
}

// resend sends shards that are missing for a reason that another dock may not have, and
// gives up the others.
func (g *gathering) resend(ctx context.Context, shards []identifier.ShardNumber) {
	var again []identifier.ShardNumber
	for _, n := range shards {
		p := &g.progress[n]
		if p.isCovered || p.outstanding > 0 {
			continue
		}
		switch {
		case !g.canResend(p):
			g.giveUp(n, p.missing)
		case p.waits() > 1:
			pause := min(longestPause, time.Duration(p.waits()-1)*refusalPause)
			p.resendAt = g.run.router.clock.Now().Add(pause)
		default:
			again = append(again, n)
		}
	}
	g.sendAgain(ctx, again)
}

// sendRefused sends shards again that were refused for want of ownership and have waited.
func (g *gathering) sendRefused(ctx context.Context) {
	now := g.run.router.clock.Now()
	var again []identifier.ShardNumber
	for _, n := range g.shards {
		p := &g.progress[n]
		if !p.resendAt.IsZero() && !now.Before(p.resendAt) && !p.isCovered && p.outstanding == 0 {
			p.resendAt = time.Time{}
			again = append(again, n)
		}
	}
	g.sendAgain(ctx, again)
}

// sendAgain sends shards to the docks that own them now.
func (g *gathering) sendAgain(ctx context.Context, shards []identifier.ShardNumber) {
	if len(shards) == 0 {
		return
	}
	g.run.router.meters.resends.Inc(int64(len(shards)))
	// The owner may have refused because ownership moved: the newest view says where to.
	g.snapshot = g.run.router.control.Snapshot()
	g.send(ctx, shards, g.ownerNamed)
}

// canResend tells whether a shard may go to another dock.
func (g *gathering) canResend(p *shardProgress) bool {
	if p.missing.Reason != encoder.MissingOwner || p.sends >= maxSendsPerShard {
		return false
	}
	return g.run.contract.Idempotent || !p.mayHaveRun
}

// giveUp ends a shard without a result.
func (g *gathering) giveUp(n identifier.ShardNumber, m encoder.MissingShard) {
	p := &g.progress[n]
	p.missing = m
	p.sends = maxSendsPerShard
	g.open--
}

// expire marks what is open when the query ends. Its subrequests may have run.
func (g *gathering) expire(reason encoder.MissingReason) {
	for _, n := range g.shards {
		p := &g.progress[n]
		if p.isCovered || p.outstanding == 0 {
			continue
		}
		p.mayHaveRun = true
		p.missing = encoder.MissingShard{Shard: n, Reason: reason, Started: true}
	}
}
