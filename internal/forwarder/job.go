package forwarder

import (
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

// job gets one service's answer to a request. Only the query's goroutine touches it.
type job struct {
	query   *query
	service identifier.ServiceName
	latency *selector.Latencies
	trace   trace

	asked   []encoder.ServerID
	running int
	runs    int
	sends   int
	isOver  bool
	// attempts bounds the runs.
	attempts int
	// isParked is set while the job waits for the permission to run once more.
	isParked bool
	// failure is a server's own failure, which is passed on if nobody does better.
	failure *sender.Reply
	reason  Reason

	// hedgeAt is when a second server is asked next. It is zero if none is to be.
	hedgeAt  time.Time
	latestAt time.Time
}

// result is what became of a job: a reply, or the reason why there is none.
type result struct {
	service identifier.ServiceName
	reply   *sender.Reply
	reason  Reason
	// hasRun says that a server may have run the request.
	hasRun bool
}

// newJob prepares a request to one service.
func newJob(q *query, service identifier.ServiceName, latency *selector.Latencies) *job {
	attempts := q.route.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	return &job{query: q, service: service, latency: latency, attempts: attempts}
}

// start asks the first server. It returns false if there is none.
func (j *job) start(now time.Time) bool {
	j.query.forwarder.selector.CountRequest(now, j.service)
	if !j.launch(now, CauseFirst, false) {
		j.isOver = true
		return false
	}
	if !j.query.route.Idempotent {
		return true
	}
	remaining := time.Duration(0)
	if !j.query.target.IsZero() {
		remaining = j.query.target.Sub(now)
	}
	early, latest := selector.HedgeTimes(j.latency.Median(), j.latency.High(), remaining)
	j.hedgeAt, j.latestAt = now.Add(early), now.Add(latest)
	return true
}

// hedge asks a second server if it is time, the request may be repeated and the budget
// allows it. A hedge that the budget refuses early is tried again at the latest moment.
func (j *job) hedge(now time.Time) {
	if j.isOver || j.hedgeAt.IsZero() || now.Before(j.hedgeAt) {
		return
	}
	if j.needsPermit() {
		j.isParked = true
		return
	}
	need := selector.NeedEarly
	if !now.Before(j.latestAt) {
		need = selector.NeedLate
	}
	isSent := j.mayRunMore() && j.repeat(now, CauseHedge, need)
	if isSent || need == selector.NeedLate || !j.mayRunMore() {
		j.hedgeAt = time.Time{}
		return
	}
	j.hedgeAt = j.latestAt
}

// repeat asks another server on the budget of repeats. It returns false if there is none or
// the budget forbids it.
func (j *job) repeat(now time.Time, cause Cause, need selector.Need) bool {
	f := j.query.forwarder
	if !f.selector.MayRepeat(now, j.service, need) {
		j.trace.denied = ReasonBudget
		return false
	}
	if j.launch(now, cause, true) {
		return true
	}
	f.selector.ReturnRepeat(now, j.service)
	return false
}

// mayRunMore tells whether a further server may run the request.
func (j *job) mayRunMore() bool {
	return j.runs < j.attempts && j.sends < maxSends
}

// needsPermit tells whether the job may run once more only with the permission of the dock
// that delegated it.
func (j *job) needsPermit() bool {
	return j.query.isHeld && j.runs > 0 && j.mayRunMore()
}

// launch sends the request to the best server that was not asked yet. It returns false if
// there is none, or none where a hedge is of use.
func (j *job) launch(now time.Time, cause Cause, isExtra bool) bool {
	f := j.query.forwarder
	target, ok := f.selector.Choose(now, j.service, j.asked)
	if !ok {
		j.trace.denied = ReasonNoServer
		return false
	}
	if cause == CauseHedge && target.IsBusy {
		j.trace.denied = ReasonCongested
		return false
	}
	if cause != CauseFirst {
		f.reporter.countAttempt(j.service, cause)
	}
	j.asked = append(j.asked, target.ID)
	j.sends++
	j.runs++
	j.running++
	number := j.trace.begin(cause, target, now.Sub(j.query.request.Arrived))
	f.dispatch(&attempt{job: j, target: target, isExtra: isExtra, number: number, usual: j.latency.Median()})
	return true
}

// take decides what follows from an attempt's end. It returns the job's result once the job
// is over.
func (j *job) take(now time.Time, r attemptResult) (result, bool) {
	j.running--
	j.trace.end(r)
	if j.isOver {
		return result{}, false
	}
	isFree := false
	switch r.ending {
	case EndingAnswered:
		return j.finish(result{reply: r.reply, hasRun: true})
	case EndingFailed:
		if !j.query.route.Idempotent {
			return j.finish(result{reply: r.reply, hasRun: true})
		}
		j.failure = r.reply
		j.reason = ReasonLost
	case EndingNotRun:
		j.runs--
		j.reason = ReasonNotRun
	case EndingNotSent:
		// The request never left, so that another one is no repeat.
		isFree = true
		j.runs--
		j.reason = ReasonNoServer
		if r.attempt.isExtra {
			j.query.forwarder.selector.ReturnRepeat(now, j.service)
		}
	default:
		j.reason = ReasonLost
	}
	if j.retry(now, isFree) || j.running > 0 {
		return result{}, false
	}
	return j.finish(j.failed())
}

// failed is the result of a job that no server answered with success.
func (j *job) failed() result {
	return result{reply: j.failure, reason: j.reason, hasRun: j.runs > 0}
}

// resume goes on with the permission to run once more. It returns the job's result if it has none of
// it left to try.
func (j *job) resume(now time.Time) (result, bool) {
	if j.isOver || !j.isParked {
		return result{}, false
	}
	j.isParked = false
	if j.running > 0 || j.retry(now, false) {
		return result{}, false
	}
	return j.finish(j.failed())
}

// retry asks another server in the place of one that failed. It returns false if that is not
// allowed or there is none.
func (j *job) retry(now time.Time, isFree bool) bool {
	mayRepeat := j.query.route.Idempotent || j.runs == 0
	if !mayRepeat || !j.mayRunMore() {
		return false
	}
	if j.needsPermit() {
		j.isParked = true
		return true
	}
	if isFree {
		return j.launch(now, CauseRetry, false)
	}
	need := selector.NeedSpare
	if j.query.collector.isCritical() {
		need = selector.NeedRetry
	}
	return j.repeat(now, CauseRetry, need)
}

// finish ends the job.
func (j *job) finish(r result) (result, bool) {
	j.isOver = true
	r.service = j.service
	return r, true
}

// isSuccess tells whether a server answered with success.
func (r result) isSuccess() bool {
	return r.reply != nil && isSuccess(r.reply)
}

// isSuccess tells whether a reply is a server's success.
func isSuccess(r *sender.Reply) bool {
	return r.Status >= 200 && r.Status < 300 && r.Metadata.Stamp != "" && !r.Metadata.NotRun
}
