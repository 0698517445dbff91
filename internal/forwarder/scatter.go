package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/matcher"
)

// targetSlack is how long after the target a wake-up still counts as being in time. Timers on a
// host with a small share of a processor are late.
const targetSlack = 20 * time.Millisecond

// gathering puts the parts of all shards of an index together.
type gathering struct {
	query       *query
	destination matcher.Scatter

	ranking ranking
	stamps  []string
	failed  int
}

// scatter asks one server of each shard and gathers their parts.
func (q *query) scatter(d matcher.Scatter) Outcome {
	g := &gathering{query: q, destination: d, ranking: ranking{limit: d.RowLimit}}
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
	return q.run(g, d.Services...)
}

// ended adds one shard's result.
func (g *gathering) ended(r result) Outcome {
	if r.isSuccess() {
		g.ranking.add(r.reply.Body)
		g.stamps = append(g.stamps, r.reply.Metadata.Stamp)
	} else {
		g.failed++
	}
	if g.pending() == 0 {
		return g.answer()
	}
	if !g.isEnough(len(g.stamps) + g.pending()) {
		return g.tooFew()
	}
	return nil
}

// answerAt notes how long after the planned moment an answer leaves.
func (g *gathering) answerAt(planned time.Time) Outcome {
	g.query.forwarder.overshoot.observe(g.query.forwarder.clock.Now().Sub(planned))
	return g.answer()
}

// due answers with the parts that there are, if they are enough, when the latency target has
// come. If they are not enough then, the answer is late, and waits one target more for the
// rest before enough parts suffice.
func (g *gathering) due(now time.Time) (Outcome, time.Time) {
	q := g.query
	if !now.Before(q.giveUpAt()) {
		return g.tooFew(), now
	}
	if q.target.IsZero() {
		// Without a target, only the whole answer or the end of the time counts.
		return nil, q.giveUpAt()
	}
	late := q.target.Add(q.route.LatencyTarget)
	switch {
	case now.Before(q.target):
		return nil, q.target
	case now.Before(q.target.Add(targetSlack)) && g.isEnough(len(g.stamps)):
		return g.answerAt(q.target), now
	case !now.Before(late) && g.isEnough(len(g.stamps)):
		return g.answer(), now
	}
	if now.Before(late) {
		return nil, late
	}
	return nil, q.giveUpAt()
}

// isCritical tells whether one more missing shard is too many.
func (g *gathering) isCritical() bool {
	return !g.isEnough(len(g.destination.Services) - g.failed - 1)
}

// pending is the number of shards without a result.
func (g *gathering) pending() int {
	return len(g.destination.Services) - len(g.stamps) - g.failed
}

// isEnough tells whether a number of parts makes an answer.
func (g *gathering) isEnough(parts int) bool {
	return parts > 0 && float64(parts) >= g.destination.MinimumCoverage*float64(len(g.destination.Services))
}

// answer puts the parts together.
func (g *gathering) answer() Outcome {
	if !g.isEnough(len(g.stamps)) {
		return g.tooFew()
	}
	return Gathered{
		Stamps:  g.stamps,
		Missing: len(g.destination.Services) - len(g.stamps),
		Body:    g.ranking.body(),
	}
}

// tooFew is the outcome without enough parts. Such requests are idempotent, and some shards
// may have run them.
func (g *gathering) tooFew() Outcome {
	return Failed{Reason: ReasonCoverage}
}
