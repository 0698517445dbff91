package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/matcher"
)

// targetSlack is how long after the target a wake-up still counts as being in time. Timers fire
// late on a host with a small share of a processor.
const targetSlack = 20 * time.Millisecond

// scatterCollector merges the parts of the shards of an index.
type scatterCollector struct {
	query       *query
	destination matcher.Scatter

	topRecords   topRecords
	stamps       []string
	failedShards int
}

// scatter sends the request to one server of each shard and gathers their parts. It refuses the
// request if too few shards have a server.
func (q *query) scatter(d matcher.Scatter) Outcome {
	c := &scatterCollector{query: q, destination: d, topRecords: topRecords{limit: d.RowLimit}}
	if o := c.refuseUnreachable(q.forwarder.clock.Now()); o != nil {
		return o
	}
	return q.run(c, d.Services...)
}

// refuseUnreachable refuses the request if too few shards have a server. It returns nil otherwise.
func (c *scatterCollector) refuseUnreachable(now time.Time) Outcome {
	f := c.query.forwarder
	reachable := 0
	for _, s := range c.destination.Services {
		if f.selector.HasReachable(s, now) {
			reachable++
		}
	}
	if c.hasCoverage(reachable) {
		return nil
	}
	return Refused{After: f.retryAfter(), Reason: ReasonNoServer}
}

// addResult adds one shard's result. It returns an outcome when all shards have a result or the
// coverage can no longer be reached.
func (c *scatterCollector) addResult(r result) Outcome {
	if r.isSuccess() && c.query.stamps.add(r.reply.Metadata.Stamp) {
		c.topRecords.add(r.reply.Body)
		c.stamps = append(c.stamps, r.reply.Metadata.Stamp)
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

// answerAtTarget records how long after the planned time an answer leaves, and returns the answer.
func (c *scatterCollector) answerAtTarget(planned time.Time) Outcome {
	c.query.forwarder.overshoot.observe(c.query.forwarder.clock.Now().Sub(planned))
	return c.answer()
}

// checkTime returns the answer with the parts received so far at the latency target, if they reach
// the required coverage. If they do not, the answer is late. It then waits for all parts for one
// more latency target, and after that only for the required coverage.
func (c *scatterCollector) checkTime(now time.Time) (Outcome, time.Time) {
	q := c.query
	if !now.Before(q.giveUpAt()) {
		return c.end(), now
	}
	if q.target.IsZero() {
		// Without a target, the query waits for all parts or for the end of its time.
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

// end returns the answer with the parts received so far, or a failure if they do not reach the required
// coverage.
func (c *scatterCollector) end() Outcome { return c.answer() }

// isCritical reports whether the required coverage is out of reach if one more shard fails.
func (c *scatterCollector) isCritical() bool {
	return !c.hasCoverage(len(c.destination.Services) - c.failedShards - 1)
}

// pending returns the number of shards without a result.
func (c *scatterCollector) pending() int {
	return len(c.destination.Services) - len(c.stamps) - c.failedShards
}

// hasCoverage reports whether a number of parts reaches the required coverage.
func (c *scatterCollector) hasCoverage(parts int) bool {
	return parts > 0 && float64(parts) >= c.destination.MinimumCoverage*float64(len(c.destination.Services))
}

// answer returns the merged answer, or a failure if the parts do not reach the required coverage.
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

// insufficientCoverage returns the outcome for too few parts: Refused if no server can have run the
// request, so that the caller knows that it may repeat it, and Failed otherwise.
func (c *scatterCollector) insufficientCoverage() Outcome {
	if !c.query.endUnsent() {
		return Failed{Reason: ReasonCoverage}
	}
	return Refused{After: c.query.forwarder.retryAfter(), Reason: ReasonCoverage}
}
