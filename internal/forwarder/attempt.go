package forwarder

import (
	"errors"
	"time"

	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// workerIdleTime is how long a worker without work is kept. Its stack has grown to what an
// attempt needs.
const workerIdleTime = 5 * time.Second

// attempt is one request to one server.
type attempt struct {
	job        *job
	target     selector.Target
	isBudgeted bool
	// number is the attempt's place in the job's trace.
	index int
	// usual is the usual latency of such an attempt.
	typicalLatency time.Duration
}

// attemptResult is what became of an attempt.
type attemptResult struct {
	attempt *attempt
	outcome AttemptOutcome
	// reply is nil unless a server replied.
	reply   *sender.Reply
	elapsed time.Duration
	err     error
}

// dispatch hands an attempt to a worker.
func (f *Forwarder) dispatch(a *attempt) {
	select {
	case f.work <- a:
	default:
		f.tasks.Add(1)
		go (&worker{forwarder: f, first: a}).run()
	}
}

// worker carries out one attempt after the other.
type worker struct {
	forwarder *Forwarder
	first     *attempt
}

// run carries out attempts until there has been none for a while.
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

// run sends the request and reports what became of it.
func (a *attempt) run() {
	q := a.job.query
	f := q.forwarder
	destination := sender.Destination{
		Address:     a.target.Address,
		ID:          a.target.ID,
		Connections: f.selector.Connections(a.job.service),
	}
	start := f.clock.Now()
	flight := f.selector.Begin(start, a.target.ID, a.typicalLatency)
	reply, err := f.sender.Send(q.ctx, destination, q.prepared, q.deadline)
	now := f.clock.Now()
	r := attemptResult{attempt: a, elapsed: now.Sub(start), err: err}
	if err == nil {
		r.reply = &reply
	}
	r.outcome = a.classify(&reply, err)
	a.updateSelector(now, flight, r)
	if r.outcome != AttemptAnswered {
		f.reporter.countAttempt(a.job.service, r.outcome)
	}
	f.onObserved()
	select {
	case q.results <- r:
	case <-q.finished:
	}
	if r.outcome == AttemptLost {
		a.confirmCrash(destination)
	}
}

// judge says what became of the attempt.
func (a *attempt) classify(reply *sender.Reply, err error) AttemptOutcome {
	switch {
	case err == nil && reply.Facts.NotRun:
		return AttemptNotRun
	case err == nil && isSuccess(reply):
		return AttemptAnswered
	case err == nil:
		return AttemptFailed
	case a.job.query.ctx.Err() != nil:
		return AttemptCancelled
	case errors.Is(err, sender.ErrNotSent):
		return AttemptNotSent
	default:
		return AttemptLost
	}
}

// learn tells the selector what the attempt showed of the server.
func (a *attempt) updateSelector(now time.Time, flight *selector.Flight, r attemptResult) {
	f := a.job.query.forwarder
	switch r.outcome {
	case AttemptAnswered:
		a.job.latency.Observe(f.selector.Answered(now, flight, false, reportedLoad(r.reply.Facts)))
	case AttemptFailed, AttemptNotRun:
		f.selector.Answered(now, flight, true, reportedLoad(r.reply.Facts))
	case AttemptNotSent:
		f.selector.Lost(now, flight, true)
	case AttemptLost:
		f.selector.Lost(now, flight, false)
	case AttemptRunning, AttemptCancelled:
		f.selector.Cancelled(now, flight)
	}
}

// load returns what a server said of its requests, if it did.
func reportedLoad(facts sender.Facts) *selector.Load {
	if !facts.HasLoad {
		return nil
	}
	return &selector.Load{Running: facts.Running, Waiting: facts.Waiting, Slots: facts.Slots}
}
