package locator

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// crashLimit is the number of requests with one fingerprint that must each have crashed a
	// server before the fingerprint is quarantined. It is greater than one because a request may
	// merely have run on the same server as the one that crashed it.
	crashLimit = 3
	// crashWindow is the time after a fingerprint's last crash from which the fingerprint may be
	// dropped; this happens when another one is added. quarantineTime is the duration of a
	// quarantine.
	crashWindow    = 10 * time.Minute
	quarantineTime = 10 * time.Minute
	// maxFingerprints bounds the tracked fingerprints. maxRequests bounds the tracked requests of
	// each fingerprint.
	maxFingerprints = 4096
	maxRequests     = 8
)

// CrashTracker finds requests that crash backend servers from the observations of all docks. A
// single one of many docks sees too few requests with a fingerprint to detect that they crash
// servers. It is not safe for concurrent use.
type CrashTracker struct {
	entries map[identifier.Fingerprint]*suspect
}

// suspect is a fingerprint whose requests ran on servers that crashed.
type suspect struct {
	// requests holds the requests that ran on crashing servers. A request counts once, however many
	// servers crashed while running it, because when many servers crash at once, each running
	// request meets several of them.
	requests map[string]bool
	last     time.Time
	// until is the end of the quarantine, and zero if there was none.
	until time.Time
}

// NewCrashTracker returns a CrashTracker without suspects.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{entries: map[identifier.Fingerprint]*suspect{}}
}

// CrashFinding is a change of what a CrashTracker knows about a fingerprint.
type CrashFinding struct {
	Fingerprint identifier.Fingerprint
	// Crash is the crash that was counted, or nil if the fingerprint was cleared.
	Crash *encoder.Crash
	// Count is the number of requests that count against the fingerprint.
	Count int
	// IsQuarantined reports whether the fingerprint is quarantined because of the crash.
	IsQuarantined bool
}

// Observe adds crashes and returns the changes. Cleared holds the fingerprints of requests that were
// answered after a crash: they are no longer suspected unless they are or were quarantined.
func (c *CrashTracker) Observe(now time.Time, crashes []encoder.Crash, cleared []identifier.Fingerprint) []CrashFinding {
	findings := []CrashFinding{}
	for _, f := range cleared {
		if e := c.entries[f]; e != nil && e.until.IsZero() {
			delete(c.entries, f)
			findings = append(findings, CrashFinding{Fingerprint: f})
		}
	}
	for _, crash := range crashes {
		e := c.entry(now, crash.Fingerprint)
		if e == nil {
			continue
		}
		e.last = now
		if len(e.requests) < maxRequests {
			e.requests[crash.Request] = true
		}
		if len(e.requests) >= crashLimit {
			e.until = now.Add(quarantineTime)
		}
		findings = append(findings, CrashFinding{
			Fingerprint: crash.Fingerprint, Crash: &crash, Count: len(e.requests), IsQuarantined: now.Before(e.until),
		})
	}
	return findings
}

// entry returns the entry of a fingerprint and creates it if necessary. It returns nil if
// maxFingerprints are tracked and none has expired.
func (c *CrashTracker) entry(now time.Time, f identifier.Fingerprint) *suspect {
	e := c.entries[f]
	if e != nil {
		return e
	}
	for other, o := range c.entries {
		if now.Sub(o.last) > crashWindow && !now.Before(o.until) {
			delete(c.entries, other)
		}
	}
	if len(c.entries) >= maxFingerprints {
		return nil
	}
	e = &suspect{requests: map[string]bool{}}
	c.entries[f] = e
	return e
}

// Quarantined returns the quarantined fingerprints, in ascending order.
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
