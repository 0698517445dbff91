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

// ObserveSoon has the sink's observations sent after a short while, in which others join them.
func (w *Watcher) ObserveSoon() {
	select {
	case w.observed <- struct{}{}:
	default:
	}
}

// loop sends observations a while after there were any. A dock without traffic does nothing.
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
			o.tell()
		}
	}
}

// tell sends what was seen since the last time. What does not arrive is missed: newer
// observations follow.
func (o *observer) tell() {
	notice := o.sink.TakeObservations()
	o.mutex.Lock()
	leader := o.leader
	o.mutex.Unlock()
	if notice.IsEmpty() || !leader.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, observeDelay)
	defer cancel()
	_ = linker.Send(ctx, o.pool.Link(leader), encoder.KindObserve, notice)
}
