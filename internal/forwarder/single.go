package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// sendSingle sends the request to a service, or hands it over to a dock that may if this one may not.
func (q *query) sendSingle(service identifier.ServiceName) Outcome {
	f := q.forwarder
	if q.sendsItself(service) {
		return q.run(&singleCollector{query: q}, service)
	}
	if !f.selector.HasReachable(service, f.clock.Now()) {
		return Refused{After: f.retryAfter(), Reason: ReasonNoServer}
	}
	if o := q.relayTo(f.delegator.SendersOf(service)); o != nil {
		return o
	}
	return Refused{After: f.retryAfter(), Reason: ReasonNoSender}
}

// sendsItself reports whether this dock sends a request for a single service itself.
func (q *query) sendsItself(service identifier.ServiceName) bool {
	return q.forwarder.selector.Connections(service) > 0 || q.request.isRelayed
}

// singleCollector passes on the answer of a single service.
type singleCollector struct {
	query *query
}

// addResult turns the result of the only job into the outcome.
func (c *singleCollector) addResult(r result) Outcome {
	switch {
	case r.reply != nil:
		return Answer{Reply: *r.reply}
	case r.hasRun:
		return Failed{Reason: r.reason}
	case r.reason == ReasonLimited:
		return c.query.refuseLimited([]identifier.ServiceName{r.service}, 0)
	case r.reason == ReasonSuspected:
		return Refused{After: isolatedRetryAfter, Reason: r.reason}
	default:
		return Refused{After: c.query.forwarder.retryAfter(), Reason: r.reason}
	}
}

// isCritical returns true, because there is only one job.
func (c *singleCollector) isCritical() bool { return true }

// checkTime returns an outcome when the query must be given up.
func (c *singleCollector) checkTime(now time.Time) (Outcome, time.Time) {
	giveUp := c.query.giveUpAt()
	if now.Before(giveUp) {
		return nil, giveUp
	}
	return c.end(), giveUp
}

// end returns Failed if a server may have run the request, and Refused otherwise.
func (c *singleCollector) end() Outcome {
	if !c.query.endUnsent() {
		return Failed{Reason: ReasonTimeout}
	}
	return Refused{After: defaultRetryAfter, Reason: ReasonTimeout}
}
