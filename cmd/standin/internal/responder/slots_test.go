package responder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/seeder"
)

func init() { seeder.Fix() }

// worker acquires a slot once and holds it for holdTime. It stops waiting after waitTimeout.
type worker struct {
	arrival, holdTime, waitTimeout time.Duration
	err                            error
	started                        time.Duration
}

func (w *worker) run(s *slots, begin time.Time, done chan<- struct{}) {
	time.Sleep(w.arrival)
	ctx, cancel := context.WithTimeoutCause(context.Background(), w.waitTimeout, errDeadline)
	defer cancel()
	if w.err = s.acquire(ctx); w.err == nil {
		w.started = time.Since(begin)
		time.Sleep(w.holdTime)
		s.release()
	}
	done <- struct{}{}
}

// TestSlotsProperties checks, with random arrivals, that no more subrequests than the limit run
// concurrently, that waiting subrequests start in the order of their arrival, and that no slot is
// lost.
func TestSlotsProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(1, 3).Draw(r, "slots")
		limit := rapid.IntRange(0, 4).Draw(r, "waiting limit")
		workers := make([]*worker, rapid.IntRange(1, 12).Draw(r, "workers"))
		for i := range workers {
			workers[i] = &worker{
				// Distinct arrival times make the order of the queue unambiguous.
				arrival:     time.Duration(rapid.IntRange(0, 9).Draw(r, "arrival"))*time.Millisecond + time.Duration(i)*time.Microsecond,
				holdTime:    time.Duration(rapid.IntRange(1, 9).Draw(r, "hold time")) * time.Millisecond,
				waitTimeout: time.Duration(rapid.IntRange(1, 30).Draw(r, "wait timeout")) * time.Millisecond,
			}
		}
		synctest.Test(t, func(t *testing.T) {
			expectFIFOSlots(t, count, limit, workers)
		})
	})
}

func expectFIFOSlots(t *testing.T, count, limit int, workers []*worker) {
	t.Helper()
	counters := &Counters{}
	s := newSlots(count, limit, counters)
	done := make(chan struct{}, len(workers))
	begin := time.Now()
	for _, w := range workers {
		go w.run(s, begin, done)
	}
	for range workers {
		<-done
	}
	running, waiting := s.occupancy()
	assert.Equal(t, running, 0)
	assert.Equal(t, waiting, 0)
	counts := counters.Read()
	assert.Equal(t, counts.Violations, uint64(0))
	assert.Assert(t, counts.MaximumRunning <= count)
	for _, a := range workers {
		for _, b := range workers {
			if a.err == nil && b.err == nil && a.arrival < b.arrival {
				assert.Assert(t, a.started <= b.started, "%v overtook %v", *b, *a)
			}
		}
	}
}

func TestFullQueueSheds(t *testing.T) {
	s := newSlots(1, 0, &Counters{})
	assert.NilError(t, s.acquire(context.Background()))
	assert.ErrorIs(t, s.acquire(context.Background()), errShed)
	s.release()
	assert.NilError(t, s.acquire(context.Background()))
}
