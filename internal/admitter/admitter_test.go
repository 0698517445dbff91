package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/timekeeper"
)

func contract() manifestreader.Contract {
	return manifestreader.Contract{Caller: "desk", Service: "plates", Operation: "lookup", RatePerSecond: 100, Concurrency: 3}
}

func expectDecision(t *testing.T, a *Admitter, c manifestreader.Contract, want Decision) time.Duration {
	t.Helper()
	got, wait := a.Admit(c, 10, time.Second)
	assert.Equal(t, got, want)
	return wait
}

func TestConcurrencyIsLimitedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timekeeper.System{})
		for range 3 {
			expectDecision(t, a, contract(), Admitted)
		}
		expectDecision(t, a, contract(), ConcurrencyLimited)
		a.Release(contract())
		expectDecision(t, a, contract(), Admitted)
	})
}

func TestRateIsDividedAmongDocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timekeeper.System{})
		c := contract()
		c.Concurrency = 1000
		for range 10 {
			expectDecision(t, a, c, Admitted)
		}
		wait := expectDecision(t, a, c, RateLimited)
		assert.Equal(t, wait, 100*time.Millisecond)
		time.Sleep(wait)
		expectDecision(t, a, c, Admitted)
	})
}

func TestBacklogRefusesRequestsUntilItDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timekeeper.System{})
		a.Report("plates", "dock_1", encoder.QueueDelay{Urgent: time.Millisecond, Routine: 800 * time.Millisecond})
		expectDecision(t, a, contract(), Admitted)
		routine := contract()
		routine.Urgency = manifestreader.Routine
		wait := expectDecision(t, a, routine, Overloaded)
		assert.Equal(t, wait, 300*time.Millisecond)
		time.Sleep(wait)
		expectDecision(t, a, routine, Admitted)
	})
}
