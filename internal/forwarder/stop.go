package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/recorder"
)

// ending is when this dock stops to process requests.
type ending struct {
	// at is nil as long as the dock is not stopping.
	at atomic.Pointer[time.Time]
	// ctx ends at that time.
	ctx    context.Context
	cancel context.CancelFunc
}

// EndAt makes all requests end at a time: those that are in progress then get an answer, and those that cannot
// be expected to be answered by then are refused at once. It must be called at most once.
func (f *Forwarder) EndAt(at time.Time) {
	f.ending.at.Store(&at)
	f.tasks.Add(1)
	go (&ender{f}).run(at)
}

// ender ends the requests of a dock that stops.
type ender struct {
	*Forwarder
}

// run ends the requests when their time has come. It returns earlier if the forwarder is closed.
func (e *ender) run(at time.Time) {
	defer e.tasks.Done()
	timer := e.clock.NewTimer(at.Sub(e.clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		e.log.Info().Msg(recorder.EventRequestsEnd)
		e.ending.cancel()
	case <-e.ctx.Done():
	}
}

// limit returns the deadline of a request, which is not later than the end of this dock's time.
func (e *ending) limit(deadline time.Time) time.Time {
	if at := e.at.Load(); at != nil {
		return earlier(deadline, *at)
	}
	return deadline
}

// cannotEnd reports whether an answer to a request cannot be expected before the end of this dock's time: the
// route's requests usually take longer, or, as long as that is not known, may take longer.
func (f *Forwarder) cannotEnd(r *matcher.Route) bool {
	at := f.ending.at.Load()
	if at == nil {
		return false
	}
	usual := f.latency(r.Name).High()
	if usual == 0 {
		usual = r.LatencyTarget
	}
	return f.clock.Now().Add(usual).After(*at)
}
