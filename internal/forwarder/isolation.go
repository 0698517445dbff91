package forwarder

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/suspector"
)

// defaultIsolationWait is how long a lost shard waits for the first answer of another one if the
// route's latency is not known yet.
const defaultIsolationWait = 50 * time.Millisecond

// trialServers is the number of servers of a service on which a suspected request may be tried. The second
// one serves requests that merely ran beside others, if the first one is down.
const trialServers = 2

// maxTrials is the number of services that a request may be sent to first, if it reaches no server of the
// ones before.
const maxTrials = 3

// isolatedRetryAfter is the time after which a caller may retry a request that was not sent because the
// servers on which it may be tried are down.
const isolatedRetryAfter = time.Second

// isolation keeps a query whose request may crash servers from reaching more than one of them at a
// time. A request that a server has answered crashes none. Only the query's goroutine accesses it.
type isolation struct {
	// Suspicion is what was known when the query began.
	suspector.Suspicion
	// hasLost is set after a server has lost the request, hasRetried after it was sent again since,
	// and hasAnswer after a server has answered it.
	hasLost    bool
	hasRetried bool
	hasAnswer  bool
	// hasLostRepeat is set if the request was lost again after it had been sent as a repeat.
	hasLostRepeat bool
	// inFlight counts the attempts without a result, and waiting the jobs that wait to retry.
	inFlight int
	waiting  int
	// retryWaitsUntil is the time until which the first retry waits for an answer to another attempt.
	retryWaitsUntil time.Time
	// trials counts the services that the request was sent to first.
	trials int
	// held are the services that the request is not sent to before it is answered by another one.
	held []identifier.ServiceName
}

// isActive reports whether the request may run on one server at a time only.
func (i *isolation) isActive() bool { return (i.IsSuspect || i.hasLost) && !i.hasAnswer }

// isInTrial reports whether the request is sent to find out whether it crashes servers.
func (i *isolation) isInTrial() bool { return i.IsTrial && !i.hasAnswer }

// mustWait reports whether a retry after a loss must wait for the result of another attempt.
func (i *isolation) mustWait(now time.Time) bool {
	return i.isActive() && i.inFlight > 0 && (i.hasRetried || now.Before(i.retryWaitsUntil))
}

// begin records that an attempt is sent. It reports whether the request was known to have lost or
// crashed a server before.
func (i *isolation) begin() bool {
	i.inFlight++
	i.hasRetried = i.hasRetried || i.hasLost
	return i.IsSuspect || i.hasLost
}

// end records the result of an attempt.
func (i *isolation) end(r attemptResult) {
	i.inFlight--
	switch r.outcome {
	case AttemptAnswered:
		i.hasAnswer = true
	case AttemptLost:
		i.hasLostRepeat = i.hasLostRepeat || (i.isActive() && r.attempt.isRepeat)
		i.hasLost = true
	case AttemptRunning, AttemptFailed, AttemptNotRun, AttemptNotSent, AttemptDenied, AttemptInvalid, AttemptCancelled:
	}
}

// begin sends the request to services. If an equal request may have crashed servers, it sends it first to
// a single one: that whose servers crashed, or one selected by the fingerprint if this is not known. It
// sends nothing if the request is quarantined. It returns the outcome, or nil if the query goes on.
func (q *query) begin(services []identifier.ServiceName) Outcome {
	f := q.forwarder
	now := f.clock.Now()
	if f.suspector.QuarantineRemaining(now, q.fingerprints.list()) > 0 {
		return q.failServices(services, ReasonLost)
	}
	services, o := q.acquireTokens(services)
	if o != nil {
		return o
	}
	wait := f.latency(q.route.Name).High()
	if wait <= 0 {
		wait = defaultIsolationWait
	}
	q.isolation.retryWaitsUntil = now.Add(wait)
	known := f.suspector.Suspicion(now, q.fingerprints.list())
	q.isolation.Suspicion = known
	if !known.IsSuspect || len(services) < 2 {
		return q.send(services)
	}
	first := q.firstService(now, known, services)
	if q.canRelay() && !q.maySend([]identifier.ServiceName{first}) {
		return q.relayTrial(first)
	}
	return q.startTrial(first, services)
}

// firstService returns the service that a suspected request is sent to first.
func (q *query) firstService(now time.Time, known suspector.Suspicion, services []identifier.ServiceName) identifier.ServiceName {
	if slices.Contains(services, known.Service) && q.forwarder.selector.HasReachable(known.Service, now) {
		return known.Service
	}
	return q.trialService(now, services)
}

// relayTrial hands a suspected request over to a dock that may send it to the service to try first.
func (q *query) relayTrial(first identifier.ServiceName) Outcome {
	if o := q.relayTo(q.forwarder.delegator.SendersOf(first)); o != nil {
		return o
	}
	return Refused{After: isolatedRetryAfter, Reason: ReasonSuspected}
}

// trialService returns a service with a server, selected by the fingerprint, or any if none has one.
func (q *query) trialService(now time.Time, services []identifier.ServiceName) identifier.ServiceName {
	f := q.forwarder
	reachable := slices.DeleteFunc(slices.Clone(services), func(s identifier.ServiceName) bool { return !f.selector.HasReachable(s, now) })
	if len(reachable) == 0 {
		reachable = services
	}
	return reachable[uint64(q.fingerprints.whole)%uint64(len(reachable))]
}

// startTrial sends the request to one service and holds the others. It returns the outcome, or nil if the
// query goes on.
func (q *query) startTrial(first identifier.ServiceName, services []identifier.ServiceName) Outcome {
	i := &q.isolation
	i.trials++
	i.held = slices.DeleteFunc(slices.Clone(services), func(s identifier.ServiceName) bool { return s == first })
	o := q.start([]identifier.ServiceName{first})
	if q.countRuns() > 0 {
		return o
	}
	return q.endTrial(o)
}

// endTrial continues after a trial without an answer. A request that reached no server is tried at another
// service, up to maxTrials, and then refused, unless another dock delegated it. Otherwise the services that
// were held end too. It returns the outcome, which is o if there is one already, or nil if the query goes
// on.
func (q *query) endTrial(o Outcome) Outcome {
	i := &q.isolation
	switch {
	case o == nil && q.countRuns() == 0 && i.trials < maxTrials && len(i.held) > 0:
		return q.startTrial(q.trialService(q.forwarder.clock.Now(), i.held), i.held)
	case q.countRuns() == 0 && q.table != nil:
		return Refused{After: isolatedRetryAfter, Reason: ReasonSuspected}
	case o != nil:
		return o
	}
	held := i.held
	i.held = nil
	return q.failServices(held, ReasonLost)
}

// continueIsolated sends the request to the services that were held, and lets jobs retry that waited,
// once the isolation allows it. It returns the outcome, or nil if the query goes on.
func (q *query) continueIsolated(now time.Time) Outcome {
	i := &q.isolation
	held := i.held
	switch {
	case len(held) > 0 && i.hasAnswer:
		i.held = nil
		if o := q.send(held); o != nil {
			return o
		}
	case len(held) > 0 && i.inFlight == 0 && q.areJobsOver():
		return q.endTrial(nil)
	}
	if i.waiting == 0 {
		return nil
	}
	for _, j := range q.jobs {
		if !j.isAwaitingIsolation || i.mustWait(now) {
			continue
		}
		if jobResult, isOver := j.resumeRetry(now); isOver {
			if o := q.collector.addResult(jobResult); o != nil {
				return o
			}
		}
	}
	return nil
}

// countRuns returns the number of attempts that a server may have run.
func (q *query) countRuns() int {
	runs := 0
	for _, j := range q.jobs {
		runs += j.runs
	}
	return runs
}

// areJobsOver reports whether all jobs have a result.
func (q *query) areJobsOver() bool {
	return !slices.ContainsFunc(q.jobs, func(j *job) bool { return !j.isOver })
}

// failServices ends services without sending them the request. It returns the outcome, or nil if the
// query goes on.
func (q *query) failServices(services []identifier.ServiceName, reason Reason) Outcome {
	for _, s := range services {
		if o := q.collector.addResult(result{service: s, reason: reason}); o != nil {
			return o
		}
	}
	return nil
}

// nextIsolated returns the earlier of next and the time at which a job that waits for the isolation
// may retry.
func (q *query) nextIsolated(next time.Time) time.Time {
	if q.isolation.hasRetried || q.isolation.waiting == 0 {
		return next
	}
	return earlier(next, q.isolation.retryWaitsUntil)
}
