package locator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// observed returns a dock's observations of the server "a" and of a fast server.
func observed(count, slow int) []encoder.Observation {
	return []encoder.Observation{{Server: "a", Count: count, Slow: slow, Ratio: 7 * float64(slow)}, {Server: "z", Count: 1}}
}

func TestServerIsSlowIfMostRequestsAreSlow(t *testing.T) {
	d := locator.NewOutlierDetector()
	d.Observe(start, observed(2, 2))
	assert.Equal(t, len(d.SlowServers(start)), 0, "too little evidence")
	for range 4 {
		d.Observe(start, observed(2, 2))
	}
	assert.DeepEqual(t, d.SlowServers(start), []encoder.SlowServer{{Server: "a", Ratio: 8}})
	assert.Equal(t, len(d.SlowServers(at(10*time.Second))), 0, "without new observations the server is tried again")
	d.Observe(at(10*time.Second), observed(8, 8))
	assert.Equal(t, len(d.SlowServers(at(10*time.Second))), 1)
	d.Observe(at(11*time.Second), observed(12, 0))
	assert.Equal(t, len(d.SlowServers(at(11*time.Second))), 0, "the server recovered")
}

// TestShortPausesAreNotSlowness has a server that answers 15 requests per second and pauses for 200
// ms every 2.4 s. Only the requests during pauses are slow.
func TestShortPausesAreNotSlowness(t *testing.T) {
	d := locator.NewOutlierDetector()
	for ms := 0; ms < 24_000; ms += 66 {
		slow := 0
		if ms%2400 < 200 {
			slow = 1
		}
		now := at(time.Duration(ms) * time.Millisecond)
		d.Observe(now, observed(1, slow))
		assert.Equal(t, len(d.SlowServers(now)), 0, "after %d ms", ms)
	}
}

// TestNoServerIsSlowIfAllAre covers callers that all return at once after an outage, so that queues
// delay the answers of every server.
func TestNoServerIsSlowIfAllAre(t *testing.T) {
	d := locator.NewOutlierDetector()
	for _, id := range []encoder.ServerID{"a", "b", "c", "d"} {
		d.Observe(start, []encoder.Observation{{Server: id, Count: 10, Slow: 9, Ratio: 60}})
	}
	assert.Equal(t, len(d.SlowServers(start)), 0)
	for _, id := range []encoder.ServerID{"e", "f", "g", "h"} {
		d.Observe(start, []encoder.Observation{{Server: id, Count: 10}})
	}
	assert.Equal(t, len(d.SlowServers(start)), 4)
}
