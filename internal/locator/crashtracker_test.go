package locator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

// crashOf returns the crash of one server during a request.
func crashOf(f identifier.Fingerprint, request int) []encoder.Crash {
	return []encoder.Crash{{Fingerprint: f, Request: fmt.Sprint(request)}}
}

func TestThirdRequestThatCrashesServersIsQuarantined(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for i := range 2 {
		c.Observe(now, crashOf(7, i), nil)
		c.Observe(now, crashOf(7, i), nil)
	}
	assert.Equal(t, len(c.Quarantined(now)), 0, "a request that crashed several servers counts once")
	c.Observe(now, crashOf(7, 2), nil)
	list := c.Quarantined(now.Add(time.Minute))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Fingerprint, identifier.Fingerprint(7))
	assert.Equal(t, list[0].Remaining, 9*time.Minute)
	assert.Equal(t, len(c.Quarantined(now.Add(10*time.Minute))), 0)
}

func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Observe(now, crashOf(7, 0), nil)
	c.Observe(now, crashOf(7, 1), nil)
	c.Observe(now, nil, []identifier.Fingerprint{7})
	c.Observe(now, crashOf(7, 2), nil)
	assert.Equal(t, len(c.Quarantined(now)), 0)
}

func TestTrackedFingerprintsAreBounded(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for i := range 10_000 {
		c.Observe(now, crashOf(identifier.Fingerprint(i), i), nil)
	}
	later := now.Add(time.Hour)
	for i := range 3 {
		c.Observe(later, crashOf(20_000, i), nil)
	}
	assert.Equal(t, len(c.Quarantined(later)), 1, "expired fingerprints are evicted")
}
