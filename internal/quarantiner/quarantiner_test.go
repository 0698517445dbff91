package quarantiner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

func TestSecondCrashQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{})
		assert.NilError(t, q.Begin(t.Context(), 7))
		assert.Assert(t, !q.End(7, 1, false))
		assert.NilError(t, q.Begin(t.Context(), 7))
		assert.Assert(t, q.End(7, 1, false))
		assert.ErrorIs(t, q.Begin(t.Context(), 7), ErrQuarantined)
		assert.Equal(t, q.Remaining(7), quarantineTime)
		time.Sleep(quarantineTime + time.Second)
		assert.NilError(t, q.Begin(t.Context(), 7))
		assert.Assert(t, !q.End(7, 0, false))
	})
}

func TestSuccessAfterCrashClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{})
		assert.Assert(t, !q.AddCrashes(7, 1))
		assert.Assert(t, q.IsSuspect(7))
		assert.NilError(t, q.Begin(t.Context(), 7))
		assert.Assert(t, !q.End(7, 1, true))
		assert.Assert(t, !q.IsSuspect(7))
	})
}

func TestOneCanaryAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{})
		running, most := 0, 0
		for range 20 {
			go func() {
				assert.Check(t, q.Begin(t.Context(), 7))
				running++
				most = max(most, running)
				time.Sleep(time.Millisecond)
				running--
				q.End(7, 0, true)
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, most, 1)
		assert.Equal(t, running, 0)
	})
}

func TestBeginGivesUpWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{})
		assert.NilError(t, q.Begin(t.Context(), 7))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, q.Begin(ctx, 7), context.DeadlineExceeded)
		q.End(7, 0, true)
	})
}

func TestAdoptedQuarantineHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{})
		q.Adopt(map[identifier.Fingerprint]time.Time{7: time.Now().Add(time.Minute)})
		assert.ErrorIs(t, q.Begin(t.Context(), 7), ErrQuarantined)
		time.Sleep(2 * time.Minute)
		assert.NilError(t, q.Begin(t.Context(), 7))
		q.End(7, 0, true)
	})
}
