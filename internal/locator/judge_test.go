package locator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// see is a dock's observation of the server "a", and of another one that is fast.
func see(count, slow int) []encoder.Observation {
	return []encoder.Observation{{Server: "a", Count: count, Slow: slow, Ratio: 7 * float64(slow)}, {Server: "z", Count: 1}}
}

func TestServerThatMostRequestsFindSlow(t *testing.T) {
	j := locator.NewJudge()
	j.Observe(start, see(2, 2))
	assert.Equal(t, len(j.Verdicts(start)), 0, "too little evidence")
	for range 4 {
		j.Observe(start, see(2, 2))
	}
	assert.DeepEqual(t, j.Verdicts(start), []encoder.SlowServer{{Server: "a", Ratio: 8}})
	assert.Equal(t, len(j.Verdicts(at(10*time.Second))), 0, "without news it is tried again")
	j.Observe(at(10*time.Second), see(8, 8))
	assert.Equal(t, len(j.Verdicts(at(10*time.Second))), 1)
	j.Observe(at(11*time.Second), see(12, 0))
	assert.Equal(t, len(j.Verdicts(at(11*time.Second))), 0, "it recovered")
}

// TestPausesAreNotSlowness replays a server that answers 15 requests a second and pauses for
// 200 ms every 2.4 s: what it gets then is slow, and the rest is not.
func TestPausesAreNotSlowness(t *testing.T) {
	j := locator.NewJudge()
	for ms := 0; ms < 24_000; ms += 66 {
		slow := 0
		if ms%2400 < 200 {
			slow = 1
		}
		now := at(time.Duration(ms) * time.Millisecond)
		j.Observe(now, see(1, slow))
		assert.Equal(t, len(j.Verdicts(now)), 0, "after %d ms", ms)
	}
}

// TestNoServerIsSlowIfAllAre replays callers who all return at once after an outage: queues make
// every server late.
func TestNoServerIsSlowIfAllAre(t *testing.T) {
	j := locator.NewJudge()
	for _, id := range []encoder.ServerID{"a", "b", "c", "d"} {
		j.Observe(start, []encoder.Observation{{Server: id, Count: 10, Slow: 9, Ratio: 60}})
	}
	assert.Equal(t, len(j.Verdicts(start)), 0)
	for _, id := range []encoder.ServerID{"e", "f", "g", "h"} {
		j.Observe(start, []encoder.Observation{{Server: id, Count: 10}})
	}
	assert.Equal(t, len(j.Verdicts(start)), 4)
}
