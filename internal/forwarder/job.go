package forwarder

import (
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// maxSends bounds the servers that one job sends the request to, including those that did
	// not run it.
	maxSends = 6
	// isolationRecheck is how long a hedge is postponed while the query is isolated.
	isolationRecheck = 5 * time.Millisecond
	// defaultAttempts is the limit for routes that do not set one.
	defaultAttempts = 2
)

// job obtains one service's answer to a request. Only the query's goroutine accesses it.
type job struct {
	query   *query
	service identifier.ServiceName
	latency *selector.Latencies
	trace   trace

	// tried are the servers that the request was sent to.
	tried []encoder.ServerID
	// inFlight counts the attempts without a result, runs the attempts that a server may have run,
	// including those in flight, and sends all attempts.
	inFlight int
	runs     int
	sends    int
	isOver   bool
	// maxRuns bounds runs.
	maxRuns int
	// isReplacement is set if an owner that was replaced may have sent the request to the service.
	isReplacement bool
	// hasLost is set after a server has lost the request, and hasLostRepeat after one has that got it
	// although an earlier crash or loss was known. isAwaitingIsolation is set while the job waits to
	// retry until the query's isolation allows it.
	hasLost             bool
	hasLostRepeat       bool
	isAwaitingIsolation bool
	// wasAnswered is set once a server has answered the request. Any goroutine may access it. The accuser keeps it
	// long after the job has ended, and must not keep the job with it.
	wasAnswered *atomic.Bool
	// written counts the attempts of which a server may have got the request, unless it told that it did
	// not run it. Any goroutine may access it.
	written atomic.Int32
	// isAwaitingPermit is set while the job waits for the permission to run once more.
	isAwaitingPermit bool
	// failureReply is a server's failure reply. It is passed on if no server answers with success.
	failureReply *sender.Reply
	reason       Reason

	// hedgeAt is the time of the next hedge, or zero if the job is not to be hedged. latestHedgeAt
	// is the last time at which a hedge is useful.
	hedgeAt       time.Time
	latestHedgeAt time.Time
	// lastSentAt is when the last attempt was started, and lastRoundTrip the round trip to its server if
	// that is long. crossAt is when a hedge over a long link may be sent that had to wait, or zero.
	lastSentAt    time.Time
	lastRoundTrip time.Duration
	crossAt       time.Time
}

// result is the result of a job: a reply, or the reason why there is none.
type result struct {
	service identifier.ServiceName
	reply   *sender.Reply
	reason  Reason
	// hasRun is set if a server may have run the request.
	hasRun bool
}

// newJob returns a job that has not been started.
func newJob(q *query, service identifier.ServiceName, latency *selector.Latencies) *job {
	maxRuns := q.attempts()
	if maxRuns <= 0 {
		maxRuns = defaultAttempts
	}
	return &job{
		query: q, service: service, latency: latency, maxRuns: maxRuns, isReplacement: q.isReplacement,
		wasAnswered: &atomic.Bool{},
	}
}

// start sends the request to the first server and schedules the hedge. It returns false if there
// is no server.
func (j *job) start(now time.Time) bool {
	if !j.isReplacement {
		j.query.forwarder.selector.CountRequest(now, j.service)
	}
	if !j.startAttempt(now, CauseFirst, false) {
		j.isOver = true
		return false
	}
	if !j.query.route.Idempotent {
		return true
	}
	early, latest := j.hedgeTimes(now)
	j.hedgeAt, j.latestHedgeAt = now.Add(early), now.Add(latest)
	return true
}

// hedgeTimes returns the delays of an early hedge and of the latest one.
func (j *job) hedgeTimes(now time.Time) (early, latest time.Duration) {
	remaining := time.Duration(0)
	if !j.query.target.IsZero() {
		remaining = j.query.target.Sub(now)
	}
	return selector.HedgeTimes(j.latency.Median(), j.latency.High(), remaining)
}

// hedge sends the request to another server if a hedge is due, the request may run once more and
// the budget allows it. If an early hedge is not sent, hedge tries again at latestHedgeAt.
func (j *job) hedge(now time.Time) {
	if j.isOver || j.hedgeAt.IsZero() || now.Before(j.hedgeAt) {
		return
	}
	if j.needsPermit() {
		j.isAwaitingPermit = true
		return
	}
	if j.query.isolation.isActive() {
		j.hedgeAt = now.Add(isolationRecheck)
		return
	}
	need := selector.EarlyHedge
	if !now.Before(j.latestHedgeAt) {
		need = selector.LateHedge
	}
	j.crossAt = time.Time{}
	isSent := j.mayRunMore() && j.startRepeat(now, CauseHedge, need)
	if !j.crossAt.IsZero() {
		j.hedgeAt = j.crossAt
		return
	}
	if isSent || need == selector.LateHedge || !j.mayRunMore() {
		j.hedgeAt = time.Time{}
		return
	}
	j.hedgeAt = j.latestHedgeAt
}

// startRepeat sends the request to another server and charges the repeat budget, which retries
// and hedges share. It returns false if the budget is used up or startAttempt finds no server.
func (j *job) startRepeat(now time.Time, cause Cause, need selector.RepeatKind) bool {
	f := j.query.forwarder
	if !f.selector.MayRepeat(now, j.service, need) {
		j.trace.denied = ReasonBudget
		return false
	}
	if j.startAttempt(now, cause, true) {
		return true
	}
	f.selector.ReturnRepeat(now, j.service)
	return false
}

// mayRunMore reports whether a further server may run the request.
func (j *job) mayRunMore() bool {
	return j.runs < j.maxRuns && j.sends < maxSends
}

// needsPermit reports whether the job needs the permission of the dock that delegated the query
// to run once more.
func (j *job) needsPermit() bool {
	return j.query.isLimitedToOneRun && j.runs > 0 && j.mayRunMore()
}

// startAttempt sends the request to the best server that was not tried yet. isBudgeted is true if
// the attempt was charged to the repeat budget. It returns false if there is no such server, or if
// the attempt is a hedge and the server is busy or too far away.
func (j *job) startAttempt(now time.Time, cause Cause, isBudgeted bool) bool {
	f := j.query.forwarder
	target, hasToken, ok := j.choose(now)
	if !ok {
		j.trace.denied = j.missingServerReason(now)
		return false
	}
	if cause == CauseHedge && target.IsBusy {
		j.trace.denied = ReasonCongested
		return false
	}
	if cause == CauseHedge && !j.mayCross(now, target) {
		j.trace.denied = ReasonFar
		return false
	}
	if cause != CauseFirst {
		f.reporter.countAttempt(j.service, cause)
	}
	j.tried = append(j.tried, target.ID)
	j.lastSentAt, j.lastRoundTrip = now, target.RoundTrip
	j.sends++
	j.runs++
	j.inFlight++
	isRepeat := j.query.isolation.begin()
	index := j.trace.begin(cause, target, now.Sub(j.query.request.Arrived))
	f.dispatch(&attempt{job: j, target: target, isBudgeted: isBudgeted, isRepeat: isRepeat, needsToken: target.IsLimited && !hasToken, index: index, typicalLatency: j.latency.Median()})
	return true
}

// choose returns the server for the next attempt: the one that the query has a token for, or the best
// one that was not tried yet. A request that is suspected to crash servers is tried on the same ones by
// all docks, and not on a second one that could run it too.
func (j *job) choose(now time.Time) (target selector.Target, hasToken, ok bool) {
	s := j.query.selector
	if id := j.query.tokens[j.service]; id != "" {
		delete(j.query.tokens, j.service)
		if target, ok := s.Find(now, j.service, id); ok {
			return target, true, true
		}
	}
	if j.query.isolation.isInTrial() {
		if j.runs > 0 || len(j.tried) >= trialServers {
			return selector.Target{}, false, false
		}
		target, ok = s.ChooseFixed(now, j.service, uint64(j.query.fingerprints.path), j.tried)
		return target, false, ok
	}
	target, ok = s.ChooseFor(now, j.service, j.tried, j.latency.Median())
	return target, false, ok
}

// missingServerReason returns why there is no server for an attempt.
func (j *job) missingServerReason(now time.Time) Reason {
	if j.query.isolation.isInTrial() {
		return ReasonSuspected
	}
	if j.query.selector.IsLimited(now, j.service) {
		return ReasonLimited
	}
	return ReasonNoServer
}

// handleResult processes the result of an attempt: the job ends, retries, or waits for other
// attempts. It returns the job's result and true when the job ends.
func (j *job) handleResult(now time.Time, r attemptResult) (result, bool) {
	j.inFlight--
	j.query.isolation.end(r)
	j.hasLost = j.hasLost || r.outcome == AttemptLost
	j.hasLostRepeat = j.hasLostRepeat || r.outcome == AttemptLost && r.attempt.isRepeat
	j.trace.end(r)
	if j.isOver {
		return result{}, false
	}
	isBudgetExempt := false
	switch r.outcome {
	case AttemptAnswered:
		return j.finish(result{reply: r.reply, hasRun: true})
	case AttemptFailed:
		if !j.query.route.Idempotent {
			return j.finish(result{reply: r.reply, hasRun: true})
		}
		j.failureReply = r.reply
		j.reason = ReasonLost
	case AttemptInvalid:
		j.reason = ReasonInvalid
	case AttemptNotRun:
		j.runs--
		j.reason = ReasonNotRun
	case AttemptNotSent:
		j.runs--
		// The request was not sent. Unless another attempt was, the next one is no repeat.
		isBudgetExempt = j.runs == 0 && !j.isReplacement
		j.reason = ReasonNoServer
		if j.query.isolation.isInTrial() {
			j.reason = ReasonSuspected
		}
		if r.attempt.isBudgeted {
			j.query.forwarder.selector.ReturnRepeat(now, j.service)
		}
	case AttemptDenied:
		j.runs--
		j.sends--
		j.reason = ReasonLimited
		if r.attempt.isBudgeted {
			j.query.forwarder.selector.ReturnRepeat(now, j.service)
		}
		if j.inFlight > 0 {
			return result{}, false
		}
		isBudgetExempt = !r.attempt.isBudgeted
	default:
		j.reason = ReasonLost
	}
	if j.retry(now, isBudgetExempt) || j.inFlight > 0 {
		return result{}, false
	}
	return j.finish(j.failureResult())
}

// failureResult returns the result of a job that no server answered with success.
func (j *job) failureResult() result {
	return result{reply: j.failureReply, reason: j.reason, hasRun: j.runs > 0}
}

// resume continues a job that waited for the permission to run once more. It returns the job's
// result and true if no attempt is in flight and none can be started.
func (j *job) resume(now time.Time) (result, bool) {
	if j.isOver || !j.isAwaitingPermit {
		return result{}, false
	}
	j.isAwaitingPermit = false
	if j.inFlight > 0 || j.retry(now, false) {
		return result{}, false
	}
	return j.finish(j.failureResult())
}

// resumeRetry continues a job that waited for the query's isolation. It returns the job's result and
// true if no attempt is in flight and none can be started.
func (j *job) resumeRetry(now time.Time) (result, bool) {
	j.isAwaitingIsolation = false
	j.query.isolation.waiting--
	if j.retry(now, false) || j.inFlight > 0 {
		return result{}, false
	}
	return j.finish(j.failureResult())
}

// retry sends the request to another server after an attempt failed, or waits for the permission
// to do so. It returns false if a retry is not allowed or there is no further server.
func (j *job) retry(now time.Time, isBudgetExempt bool) bool {
	mayRepeat := j.query.route.Idempotent || j.runs == 0
	if !mayRepeat || !j.mayRunMore() || j.query.isRepeatForbidden(now, j) {
		return false
	}
	if j.needsPermit() {
		j.isAwaitingPermit = true
		return true
	}
	if j.hasLost && j.query.isolation.mustWait(now) {
		j.isAwaitingIsolation = true
		j.query.isolation.waiting++
		return true
	}
	if isBudgetExempt {
		return j.startAttempt(now, CauseRetry, false)
	}
	need := selector.OptionalRetry
	if j.query.collector.isCritical() {
		need = selector.RequiredRetry
	}
	return j.startRepeat(now, CauseRetry, need)
}

// finish ends the job and returns its result.
func (j *job) finish(r result) (result, bool) {
	j.isOver = true
	r.service = j.service
	return r, true
}

// isSuccess reports whether a server answered with success.
func (r result) isSuccess() bool {
	return r.reply != nil && r.reply.Kind() == sender.ReplySuccess
}
