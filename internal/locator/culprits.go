package locator

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// culpritLimit is the number of requests with one fingerprint that must each have ended a
	// server before the fingerprint is quarantined. One may have run beside the one at fault.
	culpritLimit = 3
	// culpritTime is how long a crash counts, and quarantineTime how long a quarantine lasts.
	culpritTime    = 10 * time.Minute
	quarantineTime = 10 * time.Minute
	// maxCulprits bounds the fingerprints that are remembered, and maxOccasions the requests of
	// each.
	maxCulprits  = 4096
	maxOccasions = 8
)

// CrashTracker finds requests that crash backend servers from what all docks saw. A dock among many
// sees each too seldom. It is not safe for concurrent use.
type CrashTracker struct {
	entries map[identifier.Fingerprint]*culprit
}

// culprit is a fingerprint whose requests ran on servers that ended.
type culprit struct {
	// occasions are the requests. All servers that one request crashes are one occasion: when many
	// servers end at once, each request that runs meets several of them.
	occasions map[string]bool
	last      time.Time
	// until ends the quarantine. It is zero without one.
	until time.Time
}

// NewCrashTracker returns Culprits that suspect nothing.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{entries: map[identifier.Fingerprint]*culprit{}}
}

// Observe takes in crashes, and fingerprints of requests that were answered after one.
func (c *CrashTracker) Observe(now time.Time, crashes []encoder.Crash, innocent []identifier.Fingerprint) {
	for _, f := range innocent {
		if e := c.entries[f]; e != nil && e.until.IsZero() {
			delete(c.entries, f)
		}
	}
	for _, crash := range crashes {
		e := c.entry(now, crash.Fingerprint)
		if e == nil {
			continue
		}
		e.last = now
		if len(e.occasions) < maxOccasions {
			e.occasions[crash.Request] = true
		}
		if len(e.occasions) >= culpritLimit {
			e.until = now.Add(quarantineTime)
		}
	}
}

// entry finds or makes the entry of a fingerprint. It returns nil if there are too many.
func (c *CrashTracker) entry(now time.Time, f identifier.Fingerprint) *culprit {
	e := c.entries[f]
	if e != nil {
		return e
	}
	for other, o := range c.entries {
		if now.Sub(o.last) > culpritTime && !now.Before(o.until) {
			delete(c.entries, other)
		}
	}
	if len(c.entries) >= maxCulprits {
		return nil
	}
	e = &culprit{occasions: map[string]bool{}}
	c.entries[f] = e
	return e
}

// Quarantined returns the fingerprints that must not run, in order.
func (c *CrashTracker) Quarantined(now time.Time) []encoder.Quarantine {
	list := []encoder.Quarantine{}
	for f, e := range c.entries {
		if now.Before(e.until) {
			list = append(list, encoder.Quarantine{Fingerprint: f, Remaining: e.until.Sub(now)})
		}
	}
	slices.SortFunc(list, func(a, b encoder.Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
