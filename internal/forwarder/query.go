package forwarder

import (
	"context"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// spentParts is the part of a latency target that callers spend at most before they send.
	spentParts = 4
	// answerMargin is how much before the latency target an answer must leave, to reach its
	// caller in time.
	answerMargin = 12 * time.Millisecond
	// timeoutMargin is how much before the caller's or the route's timeout a request is given
	// up, so that the caller hears of it.
	timeoutMargin = 20 * time.Millisecond
	// loserTime bounds how long a request whose answer is not needed any more may run on, to
	// keep its connection.
	loserTime = time.Second
)

// query is one request that is being answered, in the goroutine that asked for it.
type query struct {
	forwarder *Forwarder
	// table is nil for a query of another dock.
	table *matcher.Table
	// number is that of the configuration.
	number   uint64
	route    *matcher.Route
	request  *Request
	prepared *sender.PreparedRequest
	// fingerprint recognises requests that crash servers.
	fingerprint identifier.Fingerprint
	// deadline is when the caller gives up, or the route's timeout ends.
	deadline time.Time
	// target is when an answer must leave to be in time. It is zero without a target.
	target time.Time

	// admission is what the decision to let the request in rested on.
	admission admission

	// jobs are the requests to the services of the route, and collector makes the outcome.
	jobs      []*job
	collector collector
	// remotes are the shards that other docks send to, and their replies come by replies.
	remotes []*remote
	replies chan remoteReply
	// isHeld says that no job may run more than once yet. A value on permit allows it.
	isHeld bool
	permit chan struct{}
	// results receives the ends of attempts until finished is closed.
	results  chan attemptResult
	finished chan struct{}

	// ctx ends when the caller has left or the deadline has passed. It outlives the query
	// for requests whose answers are not needed any more.
	ctx    context.Context
	cancel context.CancelFunc
	// detach keeps the requests still running when the caller's own context ends with the
	// answer.
	detach func() bool
}

// admission is what the decision on a request's admission rested on.
type admission struct {
	// isCongested says that the servers had more waiting than they can answer in time.
	isCongested bool
	// isReturn says that the caller was turned away before.
	isReturn bool
	// share is the part of the route's requests that was admitted from then on, 0 to 1.
	share float64
}

// collector makes an outcome out of the results of a query's jobs.
type collector interface {
	// ended takes in a job's result. It returns the outcome, or nil if more is to come.
	ended(r result) Outcome
	// due returns the outcome that the time brings, or nil and when to look again.
	due(now time.Time) (Outcome, time.Time)
	// isCritical tells whether the query fails if one more job does.
	isCritical() bool
}

// newQuery starts the time of a request.
func (f *Forwarder) newQuery(ctx context.Context, t *matcher.Table, route *matcher.Route, r *Request) *query {
	deadline := r.Arrived.Add(route.Timeout)
	if r.Timeout > 0 && r.Timeout < route.Timeout {
		deadline = r.Arrived.Add(r.Timeout)
	}
	q := &query{
		forwarder: f, table: t, number: t.Number(), route: route, request: r, prepared: f.sender.Prepare(&r.Request), deadline: deadline,
		finished: make(chan struct{}), fingerprint: fingerprint(&r.Request),
	}
	q.ctx, q.cancel = context.WithDeadline(f.ctx, deadline)
	q.detach = context.AfterFunc(ctx, q.cancel)
	if route.LatencyTarget > 0 {
		remaining := route.LatencyTarget - answerMargin - spentBefore(route, r) - f.overshoot.margin()
		q.target = r.Arrived.Add(max(route.LatencyTarget/2, remaining))
	}
	return q
}

// spentBefore is how much of its time the caller spent before it sent the request, for the
// most part on opening a connection: its timeout is then so much shorter than the route's. A
// caller that simply waits less long than the route allows would seem to have spent more than
// a part of its latency target, and spent nothing.
func spentBefore(route *matcher.Route, r *Request) time.Duration {
	spent := route.Timeout - r.Timeout
	if r.Timeout <= 0 || spent < 0 || spent > route.LatencyTarget/spentParts {
		return 0
	}
	return spent
}

// finish lets requests whose answers are not needed run on for a while, so that their
// connections can be kept. If the caller has left, they are cancelled already.
func (q *query) finish() {
	close(q.finished)
	if !q.detach() {
		return
	}
	time.AfterFunc(loserTime, q.cancel)
}

// giveUpAt is when the caller must be told that there will be no answer.
func (q *query) giveUpAt() time.Time { return q.deadline.Add(-timeoutMargin) }

// admitAndAnswer turns the request away if its services have too much work, and asks them
// otherwise.
func (q *query) admitAndAnswer() Outcome {
	f := q.forwarder
	if remaining := f.crashes.remaining(f.clock.Now(), q.fingerprint); remaining > 0 {
		return Refused{After: remaining, Reason: ReasonQuarantined}
	}
	if !f.admits(q) {
		return Refused{After: congestedRetry, Reason: ReasonCongested}
	}
	o := q.answer()
	if judge(o).isAnswer() {
		f.crashes.clear(q.fingerprint)
	}
	if _, ok := o.(Failed); ok {
		// Nobody needs the answers that are still to come.
		q.cancel()
	}
	return o
}

// answer asks the route's services.
func (q *query) answer() Outcome {
	switch d := q.route.Destination.(type) {
	case matcher.Single:
		return q.run(&passing{query: q}, d.Service)
	case matcher.Weighted:
		return q.run(&passing{query: q}, q.forwarder.wheel(q.route.Name).next(d.Shares))
	case matcher.Scatter:
		return q.scatter(d)
	}
	return NoRoute{}
}

// run asks services until the collector has an outcome.
func (q *query) run(c collector, services ...identifier.ServiceName) Outcome {
	q.collector = c
	q.results = make(chan attemptResult, len(services))
	if o := q.start(q.delegate(services)); o != nil {
		return o
	}
	timer := q.forwarder.clock.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.forwarder.clock.Now()
		o, next := c.due(now)
		if o == nil {
			o = q.replaceSilent(now)
		}
		if o != nil {
			return o
		}
		timer.Reset(q.nextWake(now, next).Sub(now))
		if o := q.wait(timer.C); o != nil {
			return o
		}
	}
}

// wait takes in the next event. It returns the outcome if that brings it.
func (q *query) wait(wake <-chan time.Time) Outcome {
	select {
	case r := <-q.results:
		return q.take(r)
	case r := <-q.replies:
		return q.takeReply(q.forwarder.clock.Now(), r)
	case <-q.permit:
		return q.release(q.forwarder.clock.Now())
	case <-wake:
		return nil
	case <-q.ctx.Done():
		return Failed{Reason: ReasonCallerLeft}
	}
}

// start asks a server of each service.
func (q *query) start(services []identifier.ServiceName) Outcome {
	latency := q.forwarder.latency(q.route.Name)
	began := len(q.jobs)
	for _, s := range services {
		j := newJob(q, s, latency)
		q.jobs = append(q.jobs, j)
		j.start(q.forwarder.clock.Now())
	}
	for _, j := range q.jobs[began:] {
		if j.isOver {
			if o := q.collector.ended(result{service: j.service, reason: ReasonNoServer}); o != nil {
				return o
			}
		}
	}
	return nil
}

// take gives an attempt's end, and others that have come meanwhile, to their jobs.
func (q *query) take(r attemptResult) Outcome {
	for {
		if ended, isOver := r.attempt.job.take(q.forwarder.clock.Now(), r); isOver {
			if o := q.collector.ended(ended); o != nil {
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

// release lets jobs run more than once, as far as the route allows it.
func (q *query) release(now time.Time) Outcome {
	q.isHeld = false
	for _, j := range q.jobs {
		if ended, isOver := j.resume(now); isOver {
			if o := q.collector.ended(ended); o != nil {
				return o
			}
		}
	}
	return nil
}

// nextWake asks second servers where it is time, and returns the earliest of a moment, that of
// the next hedge and that at which an owner counts as silent.
func (q *query) nextWake(now, next time.Time) time.Time {
	for _, j := range q.jobs {
		j.hedge(now)
		if !j.isOver && !j.isParked && !j.hedgeAt.IsZero() && j.hedgeAt.Before(next) {
			next = j.hedgeAt
		}
	}
	for _, r := range q.remotes {
		if r.isAwaited() && r.silentAt.Before(next) {
			next = r.silentAt
		}
	}
	return next
}

// services are those that the route's destination names.
func (q *query) services() []identifier.ServiceName { return matcher.Services(q.route.Destination) }

// rowLimit is the number of records of an answer.
func (q *query) rowLimit() int {
	d, _ := q.route.Destination.(matcher.Scatter)
	return d.RowLimit
}

// needsPermit tells whether a job waits for the permission to run more than once.
func (q *query) needsPermit() bool {
	return slices.ContainsFunc(q.jobs, func(j *job) bool { return j.isParked && !j.isOver })
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// passing passes one server's answer on.
type passing struct {
	query *query
}

// ended turns the result of the only job into the outcome.
func (p *passing) ended(r result) Outcome {
	switch {
	case r.reply != nil:
		return Answer{Reply: *r.reply}
	case r.hasRun:
		return Failed{Reason: r.reason}
	default:
		return Refused{After: p.query.forwarder.comeBack(), Reason: r.reason}
	}
}

// isCritical is always true: there is only one job.
func (p *passing) isCritical() bool { return true }

// due gives up when the time is up.
func (p *passing) due(now time.Time) (Outcome, time.Time) {
	giveUp := p.query.giveUpAt()
	if now.Before(giveUp) {
		return nil, giveUp
	}
	if p.query.jobs[0].runs > 0 {
		return Failed{Reason: ReasonTimeout}, giveUp
	}
	return Refused{After: retrySoon, Reason: ReasonTimeout}, giveUp
}
