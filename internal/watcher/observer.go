package watcher

import (
	"context"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// observer sends this dock's observations of the servers to the leader, and its crash reports to all
// keepers.
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
			o.reportCrashes()
		}
	}
}

// sendObservations sends what was observed since the last call. A notice that is lost is not sent
// again, because newer observations follow.
func (o *observer) sendObservations() {
	observations := o.sink.TakeObservations()
	o.mutex.Lock()
	leader := o.leader
	o.mutex.Unlock()
	if len(observations) == 0 || !leader.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, observeDelay)
	defer cancel()
	_ = linker.Send(ctx, o.pool.Link(leader), encoder.KindObserve, encoder.ObserveNotice{Observations: observations})
}
