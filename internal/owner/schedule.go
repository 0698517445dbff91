package owner

import (
	"container/heap"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// action is an operation that a service runs at a scheduled time.
type action interface {
	isAction()
}

// hedgeAction hedges an attempt that still runs.
type hedgeAction struct{ attempt *attempt }

// endDeferralAction allows a deferred entry to start on a slower server.
type endDeferralAction struct{ entry *entry }

// resumeServerAction starts waiting entries on a server after a pause.
type resumeServerAction struct{ server *server }

// expireTransitionAction ends a transition that the former owner did not acknowledge.
type expireTransitionAction struct {
	shard *shard
	epoch identifier.Epoch
}

func (hedgeAction) isAction()            {}
func (endDeferralAction) isAction()      {}
func (resumeServerAction) isAction()     {}
func (expireTransitionAction) isAction() {}

// isStale reports whether an action has no effect any more. No timer is set for a stale action.
func isStale(a action) bool {
	switch a := a.(type) {
	case hedgeAction:
		return a.attempt.hasEnded || a.attempt.task.isClosed
	case endDeferralAction:
		return a.entry.queue == nil
	default:
		return false
	}
}

// scheduledAction is an action and the time to run it.
type scheduledAction struct {
	at     time.Time
	action action
}

// actionHeap orders actions by time. It implements heap.Interface.
type actionHeap []scheduledAction

// Len returns the number of actions.
func (h actionHeap) Len() int { return len(h) }

// Less reports whether action i is due before action j.
func (h actionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two actions.
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an action.
func (h *actionHeap) Push(x any) { *h = append(*h, x.(scheduledAction)) }

// Pop removes the last action.
func (h *actionHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = scheduledAction{}
	*h = (*h)[:last]
	return x
}

// schedule schedules an action. The caller holds the service's mutex.
func (s *service) schedule(at time.Time, a action) {
	heap.Push(&s.actions, scheduledAction{at, a})
	if s.timerTarget.IsZero() || at.Before(s.timerTarget) {
		s.wakeLoop()
	}
}

// wakeLoop makes the loop check the scheduled actions again.
func (s *service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// idleInterval is how long the loop sleeps while no action is scheduled.
const idleInterval = time.Hour

// loop runs the scheduled actions of a service until it is closed.
func (s *service) loop() {
	defer s.owner.goroutines.Done()
	timer := s.owner.settings.clock.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		wait, ok := s.runDueActions()
		if !ok {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		}
	}
}

// runDueActions runs all actions that are due and returns the time until the next one. It
// returns false once the service is closed.
func (s *service) runDueActions() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return 0, false
	}
	now := s.owner.settings.clock.Now()
	for len(s.actions) > 0 {
		first := s.actions[0]
		if !isStale(first.action) && first.at.After(now) {
			s.timerTarget = first.at
			return first.at.Sub(now), true
		}
		heap.Pop(&s.actions)
		if !isStale(first.action) {
			s.runAction(first.action, now)
		}
	}
	s.timerTarget = time.Time{}
	return idleInterval, true
}

// runAction runs an action. The caller holds the service's mutex.
func (s *service) runAction(a action, now time.Time) {
	switch a := a.(type) {
	case hedgeAction:
		s.hedge(a.attempt, now)
	case endDeferralAction:
		a.entry.isDeferralOver = true
		s.fillShardServers(a.entry.task.shard, now)
	case resumeServerAction:
		s.fillServer(a.server, now)
	case expireTransitionAction:
		s.expireTransition(a.shard, a.epoch, now)
	}
}
