package watcher

import (
	"context"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// observer tells the leader what this dock sees of the servers.
type observer struct {
	*Watcher
}

// loop sends observations at intervals.
func (o *observer) loop() {
	defer o.tasks.Done()
	ticker := o.clock.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
			o.tell()
		}
	}
}

// tell sends what was seen since the last time. What does not arrive is missed: newer
// observations follow.
func (o *observer) tell() {
	observations := o.sink.TakeObservations()
	o.mutex.Lock()
	leader := o.leader
	o.mutex.Unlock()
	if len(observations) == 0 || !leader.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, observeInterval)
	defer cancel()
	_ = linker.Cast(ctx, o.pool.Link(leader), encoder.KindObserve, encoder.ObserveNotice{Observations: observations})
}
