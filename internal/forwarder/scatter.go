package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/matcher"
)

// targetSlack is how long after the target a wake-up still counts as being in time. Timers on a
// host with a small share of a processor are late.
const targetSlack = 20 * time.Millisecond

// gathering puts the parts of all shards of an index together.
type scatterCollector struct {
	query       *query
	destination matcher.Scatter

	topRecords   topRecords
	stamps       []string
	failedShards int
}

// scatter asks one server of each shard and gathers their parts.
func (q *query) scatter(d matcher.Scatter) Outcome {
	c := &scatterCollector{query: q, destination: d, topRecords: topRecords{limit: d.RowLimit}}
	f := q.forwarder
	now := f.clock.Now()
	reachable := 0
	for _, s := range d.Services {
		if f.selector.Has(s, now) {
			reachable++
		}
	}
	if !c.hasCoverage(reachable) {
		return Refused{After: f.retryAfter(), Reason: ReasonNoServer}
	}
	return q.run(c, d.Services...)
}

// ended adds one shard's result.
func (c *scatterCollector) addResult(r result) Outcome {
	if r.isSuccess() {
		c.topRecords.add(r.reply.Body)
		c.stamps = append(c.stamps, r.reply.Facts.Stamp)
	} else {
		c.failedShards++
	}
	if c.pending() == 0 {
		return c.answer()
	}
	if !c.hasCoverage(len(c.stamps) + c.pending()) {
		return c.insufficientCoverage()
	}
	return nil
}

// answerAt notes how long after the planned moment an answer leaves.
func (c *scatterCollector) answerAtTarget(planned time.Time) Outcome {
	c.query.forwarder.overshoot.observe(c.query.forwarder.clock.Now().Sub(planned))
	return c.answer()
}

// due answers with the parts that there are, if they are enough, when the latency target has
// come. If they are not enough then, the answer is late, and waits one target more for the
// rest before enough parts suffice.
func (c *scatterCollector) checkTime(now time.Time) (Outcome, time.Time) {
	q := c.query
	if !now.Before(q.giveUpAt()) {
		return c.insufficientCoverage(), now
	}
	if q.target.IsZero() {
		// Without a target, only the whole answer or the end of the time counts.
		return nil, q.giveUpAt()
	}
	extendedTarget := q.target.Add(q.route.LatencyTarget)
	switch {
	case now.Before(q.target):
		return nil, q.target
	case now.Before(q.target.Add(targetSlack)) && c.hasCoverage(len(c.stamps)):
		return c.answerAtTarget(q.target), now
	case !now.Before(extendedTarget) && c.hasCoverage(len(c.stamps)):
		return c.answer(), now
	}
	if now.Before(extendedTarget) {
		return nil, extendedTarget
	}
	return nil, q.giveUpAt()
}

// isCritical tells whether one more missing shard is too many.
func (c *scatterCollector) isCritical() bool {
	return !c.hasCoverage(len(c.destination.Services) - c.failedShards - 1)
}

// pending is the number of shards without a result.
func (c *scatterCollector) pending() int {
	return len(c.destination.Services) - len(c.stamps) - c.failedShards
}

// isEnough tells whether a number of parts makes an answer.
func (c *scatterCollector) hasCoverage(parts int) bool {
	return parts > 0 && float64(parts) >= c.destination.MinimumCoverage*float64(len(c.destination.Services))
}

// answer puts the parts together.
func (c *scatterCollector) answer() Outcome {
	if !c.hasCoverage(len(c.stamps)) {
		return c.insufficientCoverage()
	}
	return Gathered{
		Stamps:  c.stamps,
		Missing: len(c.destination.Services) - len(c.stamps),
		Body:    c.topRecords.body(),
	}
}

// tooFew is the outcome without enough parts. Such requests are idempotent, and some shards
// may have run them.
func (c *scatterCollector) insufficientCoverage() Outcome {
	return Failed{Reason: ReasonCoverage}
}
