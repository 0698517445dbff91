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
	job     *job
	target  selector.Target
	isExtra bool
	// number is the attempt's place in the job's trace.
	number int
	// usual is the usual latency of such an attempt.
	usual time.Duration
}

// attemptResult is what became of an attempt.
type attemptResult struct {
	attempt *attempt
	ending  Ending
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
	to := sender.Destination{
		Address:     a.target.Address,
		ID:          a.target.ID,
		Connections: f.selector.Connections(a.job.service),
	}
	began := f.clock.Now()
	flight := f.selector.Begin(began, a.target.ID, a.usual)
	reply, err := f.sender.Send(q.ctx, to, q.prepared, q.deadline)
	now := f.clock.Now()
	r := attemptResult{attempt: a, elapsed: now.Sub(began), err: err}
	if err == nil {
		r.reply = &reply
	}
	r.ending = a.judge(&reply, err)
	a.learn(now, flight, r)
	if r.ending != EndingAnswered {
		f.reporter.countAttempt(a.job.service, r.ending)
	}
	f.observed()
	select {
	case q.results <- r:
	case <-q.finished:
	}
	if r.ending == EndingLost {
		a.confirmCrash(to)
	}
}

// judge says what became of the attempt.
func (a *attempt) judge(reply *sender.Reply, err error) Ending {
	switch {
	case err == nil && reply.Metadata.NotRun:
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
func (a *attempt) learn(now time.Time, flight *selector.Flight, r attemptResult) {
	f := a.job.query.forwarder
	switch r.ending {
	case EndingAnswered:
		a.job.latency.Observe(f.selector.Answered(now, flight, false, load(r.reply.Metadata)))
	case EndingFailed, EndingNotRun:
		f.selector.Answered(now, flight, true, load(r.reply.Metadata))
	case EndingNotSent:
		f.selector.Lost(now, flight, true)
	case EndingLost:
		f.selector.Lost(now, flight, false)
	case EndingRunning, EndingCancelled:
		f.selector.Cancelled(now, flight)
	}
}

// load returns what a server said of its requests, if it did.
func load(f sender.ReplyMetadata) *selector.Load {
	if !f.HasLoad {
		return nil
	}
	return &selector.Load{Running: f.Running, Waiting: f.Waiting, Slots: f.Slots}
}
