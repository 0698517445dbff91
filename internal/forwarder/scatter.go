package forwarder

import (
	"banyandock.example/banyandock/internal/matcher"
)

// gathering is a request to all shards of an index.
type gathering struct {
	query       *query
	destination matcher.Scatter
	results     chan result

	parts  [][]byte
	stamps []string
	failed int
}

// scatter asks one server of each shard and gathers their parts.
func (q *query) scatter(d matcher.Scatter) Outcome {
	g := &gathering{query: q, destination: d, results: make(chan result, len(d.Services))}
	f := q.forwarder
	now := f.clock.Now()
	reachable := 0
	for _, s := range d.Services {
		if f.selector.Has(s, now) {
			reachable++
		}
	}
	if !g.isEnough(reachable) {
		return Refused{After: f.comeBack(), Reason: ReasonNoServer}
	}
	for _, s := range d.Services {
		j := newJob(q, s)
		j.done = g.results
		defer j.stop()
		q.jobs = append(q.jobs, j)
		go j.run()
	}
	return g.collect()
}

// collect waits for the parts: for all of them until the latency target, then for enough.
func (g *gathering) collect() Outcome {
	q := g.query
	f := q.forwarder
	now := f.clock.Now()
	inTime, late := q.target, q.target.Add(q.route.LatencyTarget)
	if q.target.IsZero() {
		// Without a target, only the whole answer or the end of the time counts.
		inTime, late = q.giveUpAt(), q.giveUpAt()
	}
	target := f.clock.NewTimer(inTime.Sub(now))
	defer target.Stop()
	second := f.clock.NewTimer(late.Sub(now))
	defer second.Stop()
	giveUp := f.clock.NewTimer(q.giveUpAt().Sub(now))
	defer giveUp.Stop()
	isLate := false
	for g.pending() > 0 {
		select {
		case r := <-g.results:
			g.take(r)
			if isLate && g.isEnough(len(g.parts)) {
				return g.answer()
			}
			if !g.isEnough(len(g.parts) + g.pending()) {
				return g.tooFew()
			}
		case <-target.C:
			if g.isEnough(len(g.parts)) {
				return g.answer()
			}
		case <-second.C:
			isLate = true
			if g.isEnough(len(g.parts)) {
				return g.answer()
			}
		case <-giveUp.C:
			return g.tooFew()
		case <-q.ctx.Done():
			return Failed{Reason: ReasonCallerLeft}
		}
	}
	return g.answer()
}

// take adds one shard's result.
func (g *gathering) take(r result) {
	if !r.isSuccess() {
		g.failed++
		return
	}
	g.parts = append(g.parts, r.reply.Body)
	g.stamps = append(g.stamps, r.reply.Facts.Stamp)
}

// pending is the number of shards without a result.
func (g *gathering) pending() int {
	return len(g.destination.Services) - len(g.parts) - g.failed
}

// isEnough tells whether a number of parts makes an answer.
func (g *gathering) isEnough(parts int) bool {
	return parts > 0 && float64(parts) >= g.destination.MinimumCoverage*float64(len(g.destination.Services))
}

// answer puts the parts together.
func (g *gathering) answer() Outcome {
	if !g.isEnough(len(g.parts)) {
		return g.tooFew()
	}
	return Gathered{
		Stamps:  g.stamps,
		Missing: len(g.destination.Services) - len(g.parts),
		Body:    greatest(g.parts, g.destination.RowLimit),
	}
}

// tooFew is the outcome without enough parts. Such requests are idempotent, and some shards
// may have run them.
func (g *gathering) tooFew() Outcome {
	return Failed{Reason: ReasonCoverage}
}
