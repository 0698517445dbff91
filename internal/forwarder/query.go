package forwarder

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/sender"
)

const (
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

// query is one request that is being answered.
type query struct {
	forwarder *Forwarder
	table     *matcher.Table
	route     *matcher.Route
	request   *Request
	// deadline is when the caller gives up, or the route's timeout ends.
	deadline time.Time
	// target is when an answer must leave to be in time. It is zero without a target.
	target time.Time

	// jobs are the requests to the services of the route.
	jobs []*job

	// ctx ends when the caller has left or the deadline has passed. It outlives the query
	// for requests whose answers are not needed any more.
	ctx    context.Context
	cancel context.CancelFunc
	// detach keeps the requests still running when the caller's own context ends with the
	// answer.
	detach func() bool
}

// newQuery starts the time of a request.
func (f *Forwarder) newQuery(ctx context.Context, t *matcher.Table, route *matcher.Route, r *Request) *query {
	deadline := r.Arrived.Add(route.Timeout)
	if r.Timeout > 0 && r.Timeout < route.Timeout {
		deadline = r.Arrived.Add(r.Timeout)
	}
	q := &query{forwarder: f, table: t, route: route, request: r, deadline: deadline}
	if route.LatencyTarget > 0 {
		q.target = r.Arrived.Add(max(route.LatencyTarget/2, route.LatencyTarget-answerMargin))
	}
	q.ctx, q.cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	q.detach = context.AfterFunc(ctx, q.cancel)
	return q
}

// finish lets requests whose answers are not needed run on for a while, so that their
// connections can be kept. If the caller has left, they are cancelled already.
func (q *query) finish() {
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
	if !q.forwarder.admits(q) {
		return Refused{After: congestedRetry, Reason: ReasonCongested}
	}
	o := q.answer()
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
		return q.forward(d.Service)
	case matcher.Weighted:
		return q.forward(q.forwarder.wheel(q.route.Name).next(d.Shares))
	case matcher.Scatter:
		return q.scatter(d)
	}
	return NoRoute{}
}

// forward passes the request to one server of a service.
func (q *query) forward(service identifier.ServiceName) Outcome {
	j := newJob(q, service)
	defer j.stop()
	q.jobs = []*job{j}
	timer := q.forwarder.clock.NewTimer(q.giveUpAt().Sub(q.forwarder.clock.Now()))
	defer timer.Stop()
	go j.run()
	select {
	case r := <-j.done:
		return r.outcome()
	case <-timer.C:
		if j.mayHaveRun() {
			return Failed{Reason: ReasonTimeout}
		}
		return Refused{After: retrySoon, Reason: ReasonTimeout}
	case <-q.ctx.Done():
		return Failed{Reason: ReasonCallerLeft}
	}
}

// result is what became of a job: a reply, or the reason why there is none.
type result struct {
	job    *job
	reply  *sender.Reply
	reason Reason
	// hasRun says that a server may have run the request.
	hasRun bool
}

// isSuccess tells whether a server answered with success.
func (r result) isSuccess() bool {
	return r.reply != nil && isSuccess(r.reply)
}

// isSuccess tells whether a reply is a server's success.
func isSuccess(r *sender.Reply) bool {
	return r.Status >= 200 && r.Status < 300 && r.Facts.Stamp != "" && !r.Facts.NotRun
}

// outcome turns the result of a job into the outcome of the whole request.
func (r result) outcome() Outcome {
	switch {
	case r.reply != nil:
		return Answer{Reply: *r.reply}
	case r.hasRun:
		return Failed{Reason: r.reason}
	default:
		return Refused{After: r.job.query.forwarder.comeBack(), Reason: r.reason}
	}
}
