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

	trace trace

	// Written by run.
	asked   []encoder.ServerID
	running int
	runs    int
	sends   int
	failure *sender.Reply
	reason  Reason
}

// attempt is one request to one server.
type attempt struct {
	job     *job
	target  selector.Target
	isExtra bool
	// number is the attempt's place in the job's trace.
	number int
}

// attemptResult is what became of an attempt.
type attemptResult struct {
	attempt *attempt
	ending  Ending
	// reply is nil unless a server replied.
	reply *sender.Reply
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
	if !j.launch(CauseFirst, false) {
		j.finish(result{reason: ReasonNoServer})
		return
	}
	early, latest := selector.HedgeTimes(j.latency.Median(), j.latency.High(), j.remaining())
	hedge := f.clock.NewTimer(early)
	defer hedge.Stop()
	need := selector.NeedEarly
	for {
		select {
		case <-j.stopped:
			return
		case <-j.query.ctx.Done():
			return
		case <-hedge.C:
			if !j.hedge(need) && need == selector.NeedEarly {
				need = selector.NeedLate
				hedge.Reset(latest - early)
			}
		case r := <-j.results:
			j.running--
			if j.take(r) {
				return
			}
		}
	}
}

// remaining is how long the answer may take to be in time.
func (j *job) remaining() time.Duration {
	if j.query.target.IsZero() {
		return 0
	}
	return j.query.target.Sub(j.query.forwarder.clock.Now())
}

// hedge asks a second server if the request may be repeated and the budget allows it. It
// returns false if asking later may make a difference.
func (j *job) hedge(need selector.Need) bool {
	if !j.query.route.Idempotent || !j.mayRunMore() {
		return true
	}
	f := j.query.forwarder
	if !f.selector.MayRepeat(j.service, need) {
		j.trace.deny(ReasonBudget)
		return false
	}
	if j.launch(CauseHedge, true) {
		return true
	}
	f.selector.ReturnRepeat(j.service)
	return false
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
func (j *job) launch(cause Cause, isExtra bool) bool {
	f := j.query.forwarder
	now := f.clock.Now()
	target, ok := f.selector.Choose(now, j.service, j.asked)
	if !ok {
		j.trace.deny(ReasonNoServer)
		return false
	}
	if cause == CauseHedge && target.IsBusy {
		j.trace.deny(ReasonCongested)
		return false
	}
	j.asked = append(j.asked, target.ID)
	j.sends++
	j.runs++
	j.running++
	f.tasks.Add(1)
	number := j.trace.begin(cause, target, now.Sub(j.query.request.Arrived))
	go (&attempt{job: j, target: target, isExtra: isExtra, number: number}).run()
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
	ending := a.judge(&reply, err)
	a.learn(now, flight, ending, &reply)
	j.trace.end(a.number, now.Sub(began), ending, reply.Status, err)
	r := attemptResult{attempt: a, ending: ending}
	if err == nil {
		r.reply = &reply
	}
	j.results <- r
}

// judge says what became of the attempt.
func (a *attempt) judge(reply *sender.Reply, err error) Ending {
	switch {
	case err == nil && reply.Facts.NotRun:
		return EndingNotRun
	case err == nil && isSuccess(reply):
		return EndingAnswered
	case err == nil:
		return EndingFailed
	case a.job.query.ctx.Err() != nil:
		return EndingCancelled
	case errors.Is(err, sender.ErrNotSent):
		return EndingNotSent
	default:
		return EndingLost
	}
}

// learn tells the selector what the attempt showed of the server.
func (a *attempt) learn(now time.Time, flight *selector.Flight, ending Ending, reply *sender.Reply) {
	f := a.job.query.forwarder
	switch ending {
	case EndingAnswered:
		a.job.latency.Observe(f.selector.Answered(now, flight, false, load(reply.Facts)))
	case EndingFailed, EndingNotRun:
		f.selector.Answered(now, flight, true, load(reply.Facts))
	case EndingNotSent:
		f.selector.Lost(now, flight, true)
	case EndingLost:
		f.selector.Lost(now, flight, false)
	case EndingRunning, EndingCancelled:
		f.selector.Cancelled(now, flight)
	}
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
	switch r.ending {
	case EndingAnswered:
		j.finish(result{reply: r.reply, hasRun: true})
		return true
	case EndingFailed:
		j.failure = r.reply
		j.reason = ReasonLost
		if !j.query.route.Idempotent {
			j.finish(result{reply: r.reply, hasRun: true})
			return true
		}
		return j.again(false)
	case EndingNotRun:
		j.runs--
		j.reason = ReasonNotRun
		return j.again(false)
	case EndingNotSent:
		j.runs--
		j.reason = ReasonNoServer
		if r.attempt.isExtra {
			j.query.forwarder.selector.ReturnRepeat(j.service)
		}
		return j.again(true)
	default:
		j.reason = ReasonLost
		return j.again(false)
	}
}

// again asks another server in the place of one that failed. IsFree says that the failed
// request never left, so that another one is no repeat.
func (j *job) again(isFree bool) bool {
	mayRepeat := j.query.route.Idempotent || j.runs == 0
	if mayRepeat && j.mayRunMore() {
		if j.retry(isFree) {
			return false
		}
	}
	if j.running > 0 {
		return false
	}
	j.finish(result{job: j, reply: j.failure, reason: j.reason, hasRun: j.runs > 0})
	return true
}

// retry asks another server. It returns false if there is none or the budget forbids it.
func (j *job) retry(isFree bool) bool {
	f := j.query.forwarder
	if !isFree && !f.selector.MayRepeat(j.service, selector.NeedRetry) {
		j.trace.deny(ReasonBudget)
		return false
	}
	if j.launch(CauseRetry, !isFree) {
		return true
	}
	if !isFree {
		f.selector.ReturnRepeat(j.service)
	}
	return false
}

// finish reports the job's result.
func (j *job) finish(r result) {
	r.job = j
	j.done <- r
}
