package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// maxElapsedDivisor determines the longest time that a caller may have spent before it sent
	// the request: the latency target divided by maxElapsedDivisor.
	maxElapsedDivisor = 4
	// answerMargin is how long before the latency target an answer must leave, so that it
	// reaches the caller in time.
	answerMargin = 12 * time.Millisecond
	// timeoutMargin is how long before the caller's or the route's timeout a request is given up,
	// so that the caller still receives the failure.
	timeoutMargin = 20 * time.Millisecond
	// unneededRequestTimeout bounds how long a request whose answer is no longer needed may
	// continue. Cancelling it would cost its connection.
	unneededRequestTimeout = time.Second
)

// query is the processing of one request. It runs in the goroutine that called Handle, or in the
// goroutine of a batch.
type query struct {
	forwarder *Forwarder
	// selector chooses the servers. It is the forwarder's, or a snapshot of it for a preview.
	selector *selector.Selector
	// table is nil for a query that another dock delegated.
	table *matcher.Table
	// configurationNumber is the number of the configuration that the route belongs to.
	configurationNumber uint64
	route               *matcher.Route
	// customer is the customer that the request belongs to. It is nil if there is none, and for a query
	// that another dock delegated.
	customer *matcher.Customer
	request  *Request
	prepared *sender.PreparedRequest
	// fingerprints identify requests that crash servers.
	fingerprints fingerprints
	// deadline is the earlier of the ends of the caller's and the route's timeout.
	deadline time.Time
	// target is when an answer must leave to meet the latency target. It is zero if the route has
	// no latency target.
	target time.Time

	// admission records the admission decision for the log.
	admission admission

	// jobs are the requests to the services of the route. collector turns their results into the
	// outcome.
	jobs      []*job
	collector collector
	// stamps are the signatures of the parts that the collector has merged.
	stamps stampSet
	// delegations are the groups of shards that other docks send to. Their replies arrive on the
	// channel replies.
	delegations []*delegation
	replies     chan delegationReply
	// isReplacement is set for a query that another dock delegated after it had delegated it to a third
	// one, which may have sent the request.
	isReplacement bool
	// isLimitedToOneRun is set while no job may run more than once. A value on repeatPermit ends
	// the limit.
	isLimitedToOneRun bool
	repeatPermit      chan struct{}
	// isolation limits the servers that run a request that may crash them. wasAnswered is set once a
	// server has answered the request. Any goroutine may access it, and the accuser keeps it after the query's end.
	isolation   isolation
	wasAnswered *atomic.Bool
	// tokens holds the server of each service for which the query has an unused token of the server's
	// limit.
	tokens map[identifier.ServiceName]encoder.ServerID
	// permit is the permit of the customer's quota.
	permit heldPermit
	// detached is closed when this dock is cut off from the servers. It is nil if that no longer
	// matters.
	detached <-chan struct{}
	// relayHosts are the docks that the request was handed over to.
	relayHosts []identifier.HostName
	// results receives the results of attempts until finished is closed.
	results  chan attemptResult
	finished chan struct{}

	// ctx is cancelled when the caller disconnects or the deadline passes. It outlives the query
	// for requests whose answers are no longer needed.
	ctx    context.Context
	cancel context.CancelFunc
	// body accounts for the request's body.
	body bodyHold
	// sending is the context of what this query sends to servers and delegates. It ends with ctx, or before,
	// when the query is handed over or refused instead.
	sending    context.Context
	endSending context.CancelFunc
	// detach separates ctx from the caller's context, so that requests can continue after the
	// answer has been returned. It returns false if the caller's context has ended before.
	detach func() bool
}

// collector combines the results of a query's jobs into an outcome.
type collector interface {
	// addResult adds a job's result. It returns the outcome, or nil if more results are needed.
	addResult(r result) Outcome
	// checkTime returns the outcome if one is due at a moment. Otherwise it returns nil and the
	// time of the next check.
	checkTime(now time.Time) (Outcome, time.Time)
	// end returns the outcome if no more results are awaited.
	end() Outcome
	// isCritical reports whether the query fails if one more job fails.
	isCritical() bool
}

// newQuery returns the query of a request, with its deadline and latency target.
func (f *Forwarder) newQuery(ctx context.Context, t *matcher.Table, route *matcher.Route, customer *matcher.Customer, r *Request) *query {
	deadline := r.Arrived.Add(route.Timeout)
	if r.Timeout > 0 && r.Timeout < route.Timeout {
		deadline = r.Arrived.Add(r.Timeout)
	}
	deadline = f.ending.limit(deadline)
	q := &query{
		forwarder: f, selector: f.selector, table: t, configurationNumber: t.Number(), route: route, request: r, prepared: f.sender.Prepare(&r.Request), deadline: deadline,
		finished: make(chan struct{}), fingerprints: newFingerprints(&r.Request), customer: customer, wasAnswered: &atomic.Bool{},
	}
	q.ctx, q.cancel = context.WithDeadline(reserver.WithHold(f.ctx, reserver.HoldOf(ctx)), deadline)
	q.sending, q.endSending = context.WithCancel(q.ctx)
	q.detach = context.AfterFunc(ctx, q.cancel)
	q.body.source = reserver.HoldOf(ctx)
	if r.message != nil {
		q.body.source = r.message
	}
	if route.LatencyTarget > 0 {
		remaining := route.LatencyTarget - answerMargin - callerElapsed(route, r) - f.overshoot.margin()
		q.target = r.Arrived.Add(max(route.LatencyTarget/2, remaining))
	}
	return q
}

// callerElapsed estimates how much time the caller spent before it sent the request, mostly on
// opening a connection. The estimate is the difference between the route's timeout and the
// caller's. A difference of more than 1/maxElapsedDivisor of the latency target counts as zero,
// because such a caller merely set a shorter timeout than the route allows.
func callerElapsed(route *matcher.Route, r *Request) time.Duration {
	elapsed := route.Timeout - r.Timeout
	if r.Timeout <= 0 || elapsed < 0 || elapsed > route.LatencyTarget/maxElapsedDivisor {
		return 0
	}
	return elapsed
}

// finish ends the query. Requests whose answers are no longer needed may continue for
// unneededRequestTimeout, so that their connections can be reused. If the caller has disconnected,
// they have already been cancelled.
func (q *query) finish() {
	close(q.finished)
	q.body.outlive(len(q.prepared.Body))
	if !q.detach() {
		return
	}
	time.AfterFunc(unneededRequestTimeout, q.cancel)
}

// giveUpAt returns the time at which the query ends without an answer. It is before the deadline,
// so that the caller still receives the reply.
func (q *query) giveUpAt() time.Time { return q.deadline.Add(-timeoutMargin) }

// admitAndAnswer refuses the request if it is quarantined or its services are overloaded.
// Otherwise it sends the request to them.
func (q *query) admitAndAnswer() Outcome {
	f := q.forwarder
	if o := q.refuseUnfit(f.clock.Now()); o != nil {
		return o
	}
	if f.IsDetached() && q.canRelay() {
		if o := q.relay(0); o != nil {
			return o
		}
		return Refused{After: f.retryAfter(), Reason: ReasonNoServer}
	}
	if o := q.acquirePermit(); o != nil {
		return o
	}
	if !f.admit(q) {
		return Refused{After: f.congestedRetryAfter(q), Reason: ReasonCongested}
	}
	o := q.answer()
	q.recordOutcome(o)
	if h, ok := o.(handedOver); ok {
		o = q.relayUnanswered(h)
	} else if q.isServerless(o) && q.canRelay() {
		if relayed := q.relay(0); relayed != nil {
			o = relayed
		}
	}
	if _, ok := o.(Failed); ok {
		// The answers that are still outstanding are not needed.
		q.cancel()
	}
	return o
}

// refuseUnfit refuses a request that is quarantined, or that comes too late before this dock stops. It
// returns nil for others.
func (q *query) refuseUnfit(now time.Time) Outcome {
	f := q.forwarder
	if quarantineRemaining := f.suspector.QuarantineRemaining(now, q.fingerprints.list()); quarantineRemaining > 0 {
		return Refused{After: quarantineRemaining, Reason: ReasonQuarantined}
	}
	if f.cannotEnd(q.route) {
		return Refused{After: minRetryAfter, Reason: ReasonStopping}
	}
	return nil
}

// answer sends the request to the route's services and returns the outcome.
func (q *query) answer() Outcome {
	switch d := q.route.Destination.(type) {
	case matcher.Single:
		return q.sendSingle(d.Service)
	case matcher.Weighted:
		return q.sendSingle(q.forwarder.roundRobin(q.route.Name).next(d.Shares))
	case matcher.Scatter:
		return q.scatter(d)
	}
	return NoRoute{}
}

// send sends the request to services: through the docks that own them, or directly. It returns the
// outcome, or nil if the query goes on.
func (q *query) send(services []identifier.ServiceName) Outcome {
	own, o := q.delegate(services)
	if o != nil {
		return o
	}
	return q.start(own)
}

// run sends the request to services and processes events until there is an outcome.
func (q *query) run(c collector, services ...identifier.ServiceName) Outcome {
	q.collector = c
	q.results = make(chan attemptResult, len(services))
	q.replies = make(chan delegationReply)
	q.detached = q.forwarder.detachment.signal()
	if o := q.begin(services); o != nil {
		return o
	}
	timer := q.forwarder.clock.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.forwarder.clock.Now()
		o, next := c.checkTime(now)
		if o == nil {
			o = q.replaceSilentOwners(now)
		}
		if o == nil {
			o = q.continueIsolated(now)
		}
		if o != nil {
			return o
		}
		timer.Reset(q.startDueHedges(now, next).Sub(now))
		if o := q.wait(timer.C); o != nil {
			return o
		}
	}
}

// isRepeatForbidden reports whether the request must not be sent again to a job's service, because it
// crashes servers or seems to.
func (q *query) isRepeatForbidden(now time.Time, j *job) bool {
	if (q.isolation.hasLostRepeat || j.hasLostRepeat) && len(q.services()) > 1 {
		return true
	}
	return q.isolation.hasLost && q.forwarder.suspector.QuarantineRemaining(now, q.fingerprints.list()) > 0
}

// wait handles the next event. It returns the outcome, or nil if the query goes on.
func (q *query) wait(wake <-chan time.Time) Outcome {
	select {
	case <-q.detached:
		q.detached = nil
		return q.giveUpServers(q.forwarder.clock.Now())
	case r := <-q.results:
		return q.handleResult(r)
	case r := <-q.replies:
		return q.handleReply(q.forwarder.clock.Now(), r)
	case <-q.repeatPermit:
		return q.allowRepeats(q.forwarder.clock.Now())
	case <-wake:
		return nil
	case <-q.forwarder.ending.ctx.Done():
		return q.collector.end()
	case <-q.ctx.Done():
		return q.endWithContext()
	}
}

// endWithContext returns the outcome once the query's context has ended. On a host without processor time its deadline
// is noticed before the time of giveUpAt, although that is earlier; then the caller still waits.
func (q *query) endWithContext() Outcome {
	if errors.Is(q.ctx.Err(), context.DeadlineExceeded) {
		return q.collector.end()
	}
	return Failed{Reason: ReasonCallerLeft}
}

// start starts a job for each service. It returns the outcome, or nil if the query goes on.
func (q *query) start(services []identifier.ServiceName) Outcome {
	latency := q.forwarder.latency(q.route.Name)
	firstNew := len(q.jobs)
	for _, s := range services {
		j := newJob(q, s, latency)
		q.jobs = append(q.jobs, j)
		j.start(q.forwarder.clock.Now())
	}
	for _, j := range q.jobs[firstNew:] {
		if j.isOver {
			if o := q.collector.addResult(result{service: j.service, reason: j.trace.denied}); o != nil {
				return o
			}
		}
	}
	return nil
}

// handleResult passes an attempt's result, and any others that have arrived meanwhile, to their
// jobs. It returns the outcome, or nil if the query goes on.
func (q *query) handleResult(r attemptResult) Outcome {
	for {
		if jobResult, isOver := r.attempt.job.handleResult(q.forwarder.clock.Now(), r); isOver {
			if o := q.collector.addResult(jobResult); o != nil {
				return o
			}
		}
		select {
		case r = <-q.results:
		default:
			return nil
		}
	}
}

// allowRepeats lets jobs run more than once, within the limits of the route. It returns the
// outcome, or nil if the query goes on.
func (q *query) allowRepeats(now time.Time) Outcome {
	q.isLimitedToOneRun = false
	for _, j := range q.jobs {
		if jobResult, isOver := j.resume(now); isOver {
			if o := q.collector.addResult(jobResult); o != nil {
				return o
			}
		}
	}
	return nil
}

// startDueHedges starts the hedges that are due. It returns the next wake-up time, which is the
// earliest of next, the time of the next hedge and the silence deadlines of owners.
func (q *query) startDueHedges(now, next time.Time) time.Time {
	for _, j := range q.jobs {
		j.hedge(now)
		if !j.isOver && !j.isAwaitingPermit && !j.hedgeAt.IsZero() && j.hedgeAt.Before(next) {
			next = j.hedgeAt
		}
	}
	for _, d := range q.delegations {
		if d.isAwaited() && d.silenceDeadline.Before(next) {
			next = d.silenceDeadline
		}
	}
	return q.nextIsolated(next)
}

// services returns the services of the route's destination.
func (q *query) services() []identifier.ServiceName { return matcher.Services(q.route.Destination) }

// attempts returns the number of servers of each service that may run the request.
func (q *query) attempts() int {
	if limit := q.request.maxRuns; limit > 0 {
		return min(q.route.Attempts, limit)
	}
	return q.route.Attempts
}

// rowLimit returns the largest number of records in an answer, or 0 if the route is not scattered.
func (q *query) rowLimit() int {
	d, _ := q.route.Destination.(matcher.Scatter)
	return d.RowLimit
}

// hasJobAwaitingPermit reports whether a job waits for the permission to run more than once.
func (q *query) hasJobAwaitingPermit() bool {
	return slices.ContainsFunc(q.jobs, func(j *job) bool { return j.isAwaitingPermit && !j.isOver })
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
