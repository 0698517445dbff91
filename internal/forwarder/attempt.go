package forwarder

import (
	"errors"
	"time"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// workerIdleTime is how long an idle worker is kept. Workers are reused because their stacks have
// already grown to the size that an attempt needs.
const workerIdleTime = 5 * time.Second

// attempt is one request of a job to one server.
type attempt struct {
	job    *job
	target selector.Target
	// isBudgeted is set if the attempt was charged to the repeat budget.
	isBudgeted bool
	// isRepeat is set if the attempt was sent after an equal request was known to have crashed a
	// server.
	isRepeat bool
	// needsToken is set if the server names a limit and the query holds no token for it.
	needsToken bool
	// index is the attempt's index in the job's trace.
	index int
	// typicalLatency is the median latency of the route's requests at a single server, or zero
	// before the first observation.
	typicalLatency time.Duration
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt *attempt
	outcome AttemptOutcome
	// reply is nil unless a server replied.
	reply   *sender.Reply
	elapsed time.Duration
	err     error
}

// dispatch hands an attempt to an idle worker, or to a new one if none is idle.
func (f *Forwarder) dispatch(a *attempt) {
	a.job.query.body.beginUse()
	select {
	case f.work <- a:
	default:
		f.tasks.Add(1)
		go (&worker{forwarder: f, first: a}).run()
	}
}

// worker executes attempts one after another.
type worker struct {
	forwarder *Forwarder
	first     *attempt
}

// run executes attempts until there has been none for workerIdleTime or the forwarder is closed.
func (w *worker) run() {
	f := w.forwarder
	defer f.tasks.Done()
	w.first.run()
	timer := f.clock.NewTimer(workerIdleTime)
	defer timer.Stop()
	for {
		select {
		case a := <-f.work:
			a.run()
			timer.Reset(workerIdleTime)
		case <-timer.C:
			return
		case <-f.ctx.Done():
			return
		}
	}
}

// run sends the request and passes the result to the selector, the reporter and the query. If the
// answer was lost, it checks whether the server has crashed.
func (a *attempt) run() {
	q := a.job.query
	f := q.forwarder
	defer q.body.endUse()
	destination := sender.Destination{
		Address: a.target.Address,
		ID:      a.target.ID,
		// Another dock may have delegated the request before the ownership changed.
		Connections: max(1, f.selector.Connections(a.job.service)),
		Unneeded:    q.finished,
	}
	if a.needsToken && !f.tokens.acquireOne(q.sending, a.target.ID) {
		f.reporter.countAttempt(a.job.service, AttemptDenied)
		a.deliver(attemptResult{attempt: a, outcome: AttemptDenied})
		return
	}
	if f.selector.IsEvacuated(a.target.Domain) {
		// The failure domain was evacuated while the attempt waited for a token.
		f.reporter.countAttempt(a.job.service, AttemptNotSent)
		a.deliver(attemptResult{attempt: a, outcome: AttemptNotSent, err: sender.ErrNotSent})
		return
	}
	if !q.usePermit() {
		a.deliver(attemptResult{attempt: a, outcome: AttemptDenied})
		return
	}
	start := f.clock.Now()
	flight := f.selector.Begin(start, a.target.ID, a.typicalLatency)
	f.detachment.sent(start, a.target.ID)
	var run *accuser.Run
	destination.OnWrite = func() {
		if run == nil {
			run = f.accuser.Begin(f.clock.Now(), a.accusable())
			a.job.written.Add(1)
			f.crossings.countRequest(a.target, q.prepared)
		}
	}
	reply, err := f.sender.Send(q.sending, destination, q.prepared, q.deadline)
	f.crossings.countReply(a.target, &reply)
	now := f.clock.Now()
	r := attemptResult{attempt: a, elapsed: now.Sub(start), err: err}
	if err == nil {
		r.reply = &reply
	}
	r.outcome = a.classify(&reply, err)
	if run != nil && (r.outcome == AttemptNotRun || errors.Is(err, sender.ErrNotSent)) {
		a.job.written.Add(-1)
	}
	a.updateSelector(now, flight, r)
	if r.outcome == AttemptAnswered {
		a.job.recordAnswer()
	} else {
		f.reporter.countAttempt(a.job.service, r.outcome)
	}
	f.onObserved()
	mustCheck := a.settle(now, run, r)
	a.deliver(r)
	// A check would open another connection to a server that has just reset one. If the server has
	// ended, the check of all unanswered requests finds out.
	if mustCheck && !errors.Is(err, sender.ErrOverCap) {
		a.checkEnd(r)
	}
}

// accusable returns what is held against the request if the server ends before it has answered.
func (a *attempt) accusable() accuser.Run {
	q := a.job.query
	return accuser.Run{
		Start:   locator.Start{Server: a.target.ID, Born: a.target.Born},
		Service: a.job.service, Request: q.prepared.ID, Fingerprints: q.fingerprints.list(), IsRepeat: a.isRepeat,
		IsAnswered: a.job.wasAnswered, IsAnsweredElsewhere: q.wasAnswered,
	}
}

// settle records whether the server has answered. Run is nil if the request was not sent. It reports
// whether the result is a sign that the server has ended and left requests without an answer.
func (a *attempt) settle(now time.Time, run *accuser.Run, r attemptResult) bool {
	f := a.job.query.forwarder
	start := locator.Start{Server: a.target.ID, Born: a.target.Born}
	switch {
	case run == nil:
		return r.outcome == AttemptNotSent && f.accuser.HasRuns(start)
	case r.outcome == AttemptNotSent:
		f.accuser.NotRun(run)
		return f.accuser.HasRuns(start)
	case r.reply != nil && r.reply.Metadata.IsWrongServer:
		f.accuser.NotRun(run)
		f.serverEnded(locator.End{Start: start, Latest: now}, evidenceReplaced)
		return false
	case r.reply != nil:
		f.accuser.Answered(now, run)
		return false
	default:
		return f.accuser.Left(now, run) && r.outcome == AttemptLost
	}
}

// checkEnd checks whether the server has ended. It logs why that is not known of a server that lost the
// request.
func (a *attempt) checkEnd(r attemptResult) {
	q := a.job.query
	f := q.forwarder
	err := (&endCheck{endChecker: f.endChecker, target: a.target}).check()
	if err != nil && r.outcome == AttemptLost {
		f.log.Info().Err(err).Str(recorder.FieldRequest, q.prepared.ID).Uint64(recorder.FieldFingerprint, uint64(q.fingerprints.whole)).
			Str(recorder.FieldServer, string(a.target.ID)).Msg(recorder.EventCrashUnconfirmed)
	}
}

// deliver passes the result to the query unless that has finished.
func (a *attempt) deliver(r attemptResult) {
	q := a.job.query
	select {
	case q.results <- r:
	case <-q.finished:
	}
}

// classify returns the outcome of the attempt.
func (a *attempt) classify(reply *sender.Reply, err error) AttemptOutcome {
	switch {
	case err == nil:
		return replyOutcome(reply.Kind())
	case a.job.query.sending.Err() != nil || errors.Is(err, sender.ErrUnneeded):
		return AttemptCancelled
	case errors.Is(err, sender.ErrNotSent):
		return AttemptNotSent
	case errors.Is(err, sender.ErrInvalid):
		return AttemptInvalid
	default:
		return AttemptLost
	}
}

// replyOutcome returns the outcome of an attempt with a complete reply.
func replyOutcome(kind sender.ReplyKind) AttemptOutcome {
	switch kind {
	case sender.ReplySuccess:
		return AttemptAnswered
	case sender.ReplyFailure:
		return AttemptFailed
	case sender.ReplyNotRun:
		return AttemptNotRun
	case sender.ReplyInvalid:
	}
	return AttemptInvalid
}

// updateSelector passes the attempt's outcome and latency and the server's load to the selector.
func (a *attempt) updateSelector(now time.Time, flight *selector.InFlightRequest, r attemptResult) {
	f := a.job.query.forwarder
	if r.reply != nil && r.outcome != AttemptInvalid {
		f.observeLimit(now, flight, r.reply.Metadata)
		f.observeLeaving(now, a.target, r.reply.Metadata)
	}
	if r.outcome == AttemptNotRun && r.reply.Metadata.IsWrongServer {
		f.detachment.monitor.Answered(now)
		f.selector.Replaced(now, flight)
		return
	}
	switch r.outcome {
	case AttemptAnswered:
		f.detachment.monitor.Answered(now)
		a.job.latency.Observe(f.selector.Answered(now, flight, false, reportedLoad(r.reply.Metadata)))
	case AttemptFailed, AttemptNotRun:
		f.detachment.monitor.Answered(now)
		f.selector.Answered(now, flight, true, reportedLoad(r.reply.Metadata))
	case AttemptInvalid:
		f.detachment.monitor.Answered(now)
		f.selector.Answered(now, flight, true, nil)
	case AttemptNotSent, AttemptLost:
		a.updateUnanswered(now, flight, r)
	case AttemptRunning, AttemptDenied, AttemptCancelled:
		f.selector.Cancelled(now, flight)
	}
}

// updateUnanswered passes an attempt to the selector that was not sent or lost its answer. A server that
// resets new connections has accepted as many as it can, which says nothing of its health or of the links
// of this dock.
func (a *attempt) updateUnanswered(now time.Time, flight *selector.InFlightRequest, r attemptResult) {
	f := a.job.query.forwarder
	if errors.Is(r.err, sender.ErrOverCap) {
		f.selector.OverCap(now, flight, r.outcome == AttemptNotSent)
		return
	}
	f.detachment.connectionFailed(now, a.target.ID)
	f.selector.Lost(now, flight, r.outcome == AttemptNotSent)
}

// observeLimit passes what a server's reply says of the requests that the server takes to the
// selector. The reply of another server than the chosen one says nothing of that one.
func (f *Forwarder) observeLimit(now time.Time, flight *selector.InFlightRequest, reply sender.ReplyMetadata) {
	if reply.IsWrongServer {
		return
	}
	isNew := false
	switch reply.LimitState {
	case sender.LimitNamed:
		isNew = f.selector.ObserveLimit(now, flight, reply.Limit)
	case sender.LimitAbsent:
		isNew = f.selector.ObserveNoLimit(flight)
	case sender.LimitUnreadable:
	}
	if isNew {
		f.tokens.reportLimits()
	}
}

// reportedLoad returns the load that a server reported in its reply, or nil if it reported none.
func reportedLoad(facts sender.ReplyMetadata) *selector.Load {
	if !facts.HasLoad {
		return nil
	}
	return &selector.Load{Running: facts.Running, Waiting: facts.Waiting, Slots: facts.Slots, Pace: facts.Pace}
}
