package forwarder

import (
	"errors"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// maxSends bounds the servers that one job asks, those included that did not run it.
	maxSends = 6
	// defaultAttempts is used for a route that does not bound its attempts.
	defaultAttempts = 2
	// leastHedgeDelay keeps hedges from going out before an answer can be back.
	leastHedgeDelay = 4 * time.Millisecond
)

// job gets one service's answer to a request. One goroutine runs it.
type job struct {
	// Set at creation.
	query   *query
	service identifier.ServiceName
	latency *selector.Latencies
	results chan attemptResult
	// done receives the one result.
	done    chan result
	stopped chan struct{}

	// hasSent is set once a byte of the request may have left.
	hasSent atomic.Bool

	// Written by run.
	asked    []encoder.ServerID
	running  int
	runs     int
	sends    int
	failure  *sender.Reply
	reason   Reason
	isHedged bool
}

// attempt is one request to one server.
type attempt struct {
	job     *job
	target  selector.Target
	isExtra bool
}

// attemptResult is what became of an attempt.
type attemptResult struct {
	attempt *attempt
	reply   *sender.Reply
	err     error
}

// newJob prepares a request to one service.
func newJob(q *query, service identifier.ServiceName) *job {
	return &job{
		query:   q,
		service: service,
		latency: q.forwarder.latency(q.route.Name),
		results: make(chan attemptResult, maxSends),
		done:    make(chan result, 1),
		stopped: make(chan struct{}),
	}
}

// stop ends the decisions of the job. Attempts that are running end by their context.
func (j *job) stop() { close(j.stopped) }

// mayHaveRun tells whether a server may have begun to run the request.
func (j *job) mayHaveRun() bool { return j.hasSent.Load() }

// run asks servers until one has answered or none is left to ask.
func (j *job) run() {
	f := j.query.forwarder
	f.selector.CountRequest(j.service)
	if !j.launch(false) {
		j.finish(result{reason: ReasonNoServer})
		return
	}
	hedge := f.clock.NewTimer(j.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-j.stopped:
			return
		case <-j.query.ctx.Done():
			return
		case <-hedge.C:
			j.hedge()
		case r := <-j.results:
			j.running--
			if j.take(r) {
				return
			}
		}
	}
}

// hedgeDelay is how long the first server may take before a second one is asked.
func (j *job) hedgeDelay() time.Duration {
	high := j.latency.High()
	if high == 0 {
		high = j.query.route.LatencyTarget / 3
	}
	return max(leastHedgeDelay, high)
}

// hedge asks a second server if the request may be repeated and the budget allows it.
func (j *job) hedge() {
	if !j.query.route.Idempotent || !j.mayRunMore() || j.running == 0 {
		return
	}
	if !j.query.forwarder.selector.MayRepeat(j.service, true) {
		return
	}
	if !j.launch(true) {
		j.query.forwarder.selector.ReturnRepeat(j.service)
	}
}

// mayRunMore tells whether a further server may run the request.
func (j *job) mayRunMore() bool {
	attempts := j.query.route.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	return j.runs < attempts && j.sends < maxSends
}

// launch sends the request to the best server that was not asked yet. It returns false if
// there is none.
func (j *job) launch(isExtra bool) bool {
	f := j.query.forwarder
	target, ok := f.selector.Choose(f.clock.Now(), j.service, j.asked)
	if !ok {
		return false
	}
	j.asked = append(j.asked, target.ID)
	j.sends++
	j.runs++
	j.running++
	f.tasks.Add(1)
	go (&attempt{job: j, target: target, isExtra: isExtra}).run()
	return true
}

// run sends the request and reports what became of it.
func (a *attempt) run() {
	j := a.job
	q := j.query
	f := q.forwarder
	defer f.tasks.Done()
	flight := f.selector.Begin(f.clock.Now(), a.target.ID, j.latency.Median())
	to := sender.Destination{
		Address:     a.target.Address,
		ID:          a.target.ID,
		Connections: f.connections(q.table, j.service),
	}
	j.hasSent.Store(true)
	began := f.clock.Now()
	reply, err := f.sender.Send(q.ctx, to, &q.request.Request, q.deadline)
	now := f.clock.Now()
	switch {
	case err == nil:
		isFailure := !isSuccess(&reply)
		if !isFailure {
			j.latency.Observe(now.Sub(began))
		}
		f.selector.Answered(now, flight, isFailure, load(reply.Facts))
	case q.ctx.Err() != nil:
		f.selector.Cancelled(now, flight)
	default:
		f.selector.Lost(now, flight, errors.Is(err, sender.ErrNotSent))
	}
	r := attemptResult{attempt: a, err: err}
	if err == nil {
		r.reply = &reply
	}
	j.results <- r
}

// load returns what a server said of its requests, if it did.
func load(f sender.Facts) *selector.Load {
	if !f.HasLoad {
		return nil
	}
	return &selector.Load{Running: f.Running, Waiting: f.Waiting, Slots: f.Slots}
}

// take decides what follows from an attempt's end. It returns true if the job is over.
func (j *job) take(r attemptResult) bool {
	f := j.query.forwarder
	switch {
	case r.err != nil && errors.Is(r.err, sender.ErrNotSent):
		j.runs--
		j.reason = ReasonNoServer
		if r.attempt.isExtra {
			f.selector.ReturnRepeat(j.service)
		}
		return j.again(true)
	case r.err != nil:
		j.reason = ReasonLost
		return j.again(false)
	case r.reply.Facts.NotRun:
		j.runs--
		j.reason = ReasonNotRun
		return j.again(false)
	case isSuccess(r.reply) || !j.query.route.Idempotent:
		j.finish(result{job: j, reply: r.reply, hasRun: true})
		return true
	default:
		j.failure = r.reply
		j.reason = ReasonLost
		return j.again(false)
	}
}

// again asks another server in the place of one that failed. IsFree says that the failed
// request never left, so that another one is no repeat.
func (j *job) again(isFree bool) bool {
	f := j.query.forwarder
	mayRepeat := j.query.route.Idempotent || j.runs == 0
	if mayRepeat && j.mayRunMore() {
		if isFree || f.selector.MayRepeat(j.service, false) {
			if j.launch(!isFree) {
				return false
			}
			if !isFree {
				f.selector.ReturnRepeat(j.service)
			}
		}
	}
	if j.running > 0 {
		return false
	}
	j.finish(result{job: j, reply: j.failure, reason: j.reason, hasRun: j.runs > 0})
	return true
}

// finish reports the job's result.
func (j *job) finish(r result) {
	r.job = j
	j.done <- r
}
