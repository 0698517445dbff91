package watcher

import (
	"context"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/recorder"
)

// errNoLeader is logged for reports that no keeper can receive.
var errNoLeader = eris.New("no leading keeper is known")

// observer sends this dock's observations of the servers to the leader.
type observer struct {
	*Watcher
}

// ScheduleObservations sends the sink's observations after a short delay, so that several are sent
// together.
func (w *Watcher) ScheduleObservations() {
	select {
	case w.observed <- struct{}{}:
	default:
	}
}

// loop sends observations observeDelay after they were scheduled. It does nothing on a dock without
// traffic.
func (o *observer) loop() {
	defer o.tasks.Done()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.observed:
		}
		timer := o.clock.NewTimer(observeDelay)
		select {
		case <-o.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			o.sendObservations()
		}
	}
}

// sendObservations sends what was observed since the last call. A notice that is lost is not sent
// again, because newer observations follow.
func (o *observer) sendObservations() {
	notice := o.sink.TakeObservations()
	o.mutex.Lock()
	leader := o.leader
	o.mutex.Unlock()
	if notice.IsEmpty() {
		return
	}
	if !leader.IsValid() {
		o.logLostReports(notice, errNoLeader)
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, observeDelay)
	defer cancel()
	if err := linker.Send(ctx, o.pool.Link(leader), encoder.KindObserve, notice); err != nil {
		o.logLostReports(notice, err)
	}
}

// logLostReports logs that reports on crashes were not delivered. Other observations are not logged,
// because newer ones replace them.
func (o *observer) logLostReports(notice encoder.ObserveNotice, err error) {
	if len(notice.Crashes)+len(notice.Innocent) == 0 {
		return
	}
	o.log.Warn().Err(err).Int(recorder.FieldCount, len(notice.Crashes)).Msg(recorder.EventCrashReportLost)
}
