package responder

import (
	"container/list"
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// errShed is returned if too many subrequests already wait for a slot.
var errShed = eris.New("too many subrequests are waiting")

// slots limits the number of subrequests that run concurrently. The others wait in one first-in,
// first-out queue, regardless of their urgency.
type slots struct {
	count        int
	waitingLimit int
	counters     *Counters

	mutex   sync.Mutex
	running int
	waiting list.List
}

func newSlots(count, waitingLimit int, counters *Counters) *slots {
	return &slots{count: count, waitingLimit: waitingLimit, counters: counters}
}

// acquire waits for a slot. It returns errShed if too many subrequests already wait, or the cause
// of the context's end.
func (s *slots) acquire(ctx context.Context) error {
	granted, err := s.enqueue()
	if err != nil || granted == nil {
		return err
	}
	select {
	case <-granted.Value.(chan struct{}):
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, granted)
	}
}

// enqueue takes a free slot and returns nil, or appends to the queue and returns the new element.
func (s *slots) enqueue() (*list.Element, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running < s.count {
		s.acquireLocked()
		return nil, nil
	}
	if s.waiting.Len() >= s.waitingLimit {
		return nil, errShed
	}
	return s.waiting.PushBack(make(chan struct{})), nil
}

// abandon leaves the queue. If a slot was granted at the same time, it is released.
func (s *slots) abandon(ctx context.Context, e *list.Element) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-e.Value.(chan struct{}):
		s.releaseLocked()
	default:
		s.waiting.Remove(e)
	}
	return context.Cause(ctx)
}

// release frees a slot, which goes to the subrequest that has waited longest.
func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	s.running--
	first := s.waiting.Front()
	if first == nil {
		return
	}
	s.waiting.Remove(first)
	s.acquireLocked()
	close(first.Value.(chan struct{}))
}

func (s *slots) acquireLocked() {
	s.running++
	s.counters.observeRunning(s.running, s.count)
}

// occupancy returns the numbers of running and of waiting subrequests.
func (s *slots) occupancy() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, s.waiting.Len()
}
