package locator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// crashLimit is the number of servers that requests with one fingerprint must have crashed
	// before the fingerprint is quarantined. It is greater than one because a request may merely
	// have run on the same server as the one that crashed it.
	crashLimit = 3
	// QuarantineTime is the duration of a fingerprint's first quarantine. Each further one is
	// quarantineGrowth times as long as the one before, up to maxQuarantineTime, so that no more than
	// three end in a day.
	QuarantineTime    = 10 * time.Minute
	quarantineGrowth  = 8
	maxQuarantineTime = 24 * time.Hour
	// CrashWindow is the time after which a crash no longer counts.
	CrashWindow = 10 * time.Minute
	// maxReports bounds the docks whose reports are kept, and maxQuarantines the fingerprints that
	// are or were quarantined.
	maxReports     = 2048
	maxQuarantines = 4096
)

// CrashTracker finds requests that crash backend servers from the reports of all docks. A single one
// of many docks sees too few requests with a fingerprint to detect that they crash servers. It is
// not safe for concurrent use.
type CrashTracker struct {
	// reports are the latest reports of docks, by the incarnation of the dock's process.
	reports     map[identifier.Incarnation]crashReport
	quarantines map[identifier.Fingerprint]quarantine
}

// crashReport is what one dock holds against fingerprints.
type crashReport struct {
	at      time.Time
	crashes []Crash
}

// quarantine is the latest quarantine of a fingerprint. It is kept for another duration after its
// end, CrashWindow at least; until then one crash suffices for the next one.
type quarantine struct {
	until time.Time
	// duration is zero if the fingerprint was only isolated before a restart.
	duration time.Duration
	// service is the service whose servers the requests are suspected to crash, or empty.
	service identifier.ServiceName
}

// keptUntil returns when the quarantine is forgotten.
func (q quarantine) keptUntil() time.Time { return q.until.Add(max(q.duration, CrashWindow)) }

// NewCrashTracker returns a CrashTracker without suspects.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{reports: map[identifier.Incarnation]crashReport{}, quarantines: map[identifier.Fingerprint]quarantine{}}
}

// CrashFinding is a change of what a CrashTracker knows about a fingerprint.
type CrashFinding struct {
	Fingerprint identifier.Fingerprint
	// Crash is the crash that was counted. It is nil if a dock withdrew its report on the
	// fingerprint, or if another process quarantined the fingerprint.
	Crash *Crash
	// Count is the number of crashes that all docks hold against the fingerprint.
	Count int
	// IsQuarantined reports whether the fingerprint is quarantined.
	IsQuarantined bool
}

// Report replaces the report of one dock with the crashes that it holds against fingerprints now,
// and returns the changes. A dock no longer reports a fingerprint after one of its requests has been
// answered.
func (c *CrashTracker) Report(now time.Time, dock identifier.Incarnation, report []encoder.Crash) []CrashFinding {
	c.removeExpired(now)
	before := c.reports[dock].crashes
	crashes := receive(now, report, before)
	delete(c.reports, dock)
	if len(crashes) > 0 && len(c.reports) < maxReports {
		c.reports[dock] = crashReport{at: now, crashes: crashes}
	}
	findings := []CrashFinding{}
	for _, f := range fingerprints(before) {
		isReported := func(crash Crash) bool { return crash.Fingerprint == f }
		if !slices.ContainsFunc(crashes, isReported) {
			findings = append(findings, CrashFinding{Fingerprint: f, IsQuarantined: c.isQuarantined(now, f)})
		}
	}
	for _, crash := range crashes {
		if !slices.Contains(before, crash) {
			findings = append(findings, c.assess(now, crash))
		}
	}
	return findings
}

// receive returns the crashes of a report. Those that were reported before keep their times.
func receive(now time.Time, report []encoder.Crash, before []Crash) []Crash {
	crashes := []Crash{}
	for _, reported := range report {
		crash := Received(now, reported)
		i := slices.IndexFunc(before, func(known Crash) bool { return known.Crash == crash.Crash })
		if i >= 0 {
			crash = before[i]
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// assess quarantines the fingerprint of a newly reported crash if the reports of all docks suffice.
func (c *CrashTracker) assess(now time.Time, crash Crash) CrashFinding {
	f := crash.Fingerprint
	all := c.crashes(f)
	last, wasQuarantined := c.quarantines[f]
	switch {
	case c.isQuarantined(now, f):
	case wasQuarantined:
		c.quarantine(f, now, min(max(QuarantineTime, quarantineGrowth*last.duration), maxQuarantineTime))
	case Assess(all) == SuspicionQuarantined:
		c.quarantine(f, now, QuarantineTime)
	}
	return CrashFinding{Fingerprint: f, Crash: &crash, Count: len(all), IsQuarantined: c.isQuarantined(now, f)}
}

// Adopt adds quarantines that another process decided on, and returns those that are new.
func (c *CrashTracker) Adopt(now time.Time, list []encoder.Quarantine) []CrashFinding {
	findings := []CrashFinding{}
	for _, q := range list {
		if q.Remaining <= 0 || c.isQuarantined(now, q.Fingerprint) {
			continue
		}
		// The duration is not known, so the quarantine counts as a first one.
		c.quarantine(q.Fingerprint, now.Add(q.Remaining-QuarantineTime), QuarantineTime)
		findings = append(findings, CrashFinding{Fingerprint: q.Fingerprint, IsQuarantined: true})
	}
	return findings
}

// Restore adds the quarantines that an earlier process of this keeper saved, and returns those that have
// not ended. The crashes of a fingerprint that was isolated are lost with that process and perhaps with
// those of all docks, so that one more suffices to quarantine it.
func (c *CrashTracker) Restore(now time.Time, list []encoder.Quarantine) []CrashFinding {
	for _, q := range list {
		if q.Remaining <= 0 {
			c.quarantine(q.Fingerprint, now, 0)
			restored := c.quarantines[q.Fingerprint]
			restored.service = q.Service
			c.quarantines[q.Fingerprint] = restored
		}
	}
	return c.Adopt(now, list)
}

// Quarantines returns the quarantined fingerprints, and with a remaining time of zero those that
// must run isolated, in ascending order.
func (c *CrashTracker) Quarantines(now time.Time) []encoder.Quarantine {
	c.removeExpired(now)
	known := map[identifier.Fingerprint]encoder.Quarantine{}
	for _, r := range c.reports {
		for _, f := range fingerprints(r.crashes) {
			if all := c.crashes(f); Assess(all) != SuspicionNone {
				known[f] = encoder.Quarantine{Fingerprint: f, Service: SuspectedService(all)}
			}
		}
	}
	for f, q := range c.quarantines {
		known[f] = encoder.Quarantine{Fingerprint: f, Remaining: max(0, q.until.Sub(now)), Service: cmp.Or(known[f].Service, q.service)}
	}
	return slices.SortedFunc(maps.Values(known), func(a, b encoder.Quarantine) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
}

// isQuarantined reports whether requests with a fingerprint must not run.
func (c *CrashTracker) isQuarantined(now time.Time, f identifier.Fingerprint) bool {
	return now.Before(c.quarantines[f].until)
}

// quarantine adds a quarantine. If maxQuarantines are known, it drops the one that ends first.
func (c *CrashTracker) quarantine(f identifier.Fingerprint, start time.Time, duration time.Duration) {
	if _, isKnown := c.quarantines[f]; !isKnown && len(c.quarantines) >= maxQuarantines {
		endsFirst := slices.MinFunc(slices.Collect(maps.Keys(c.quarantines)), func(a, b identifier.Fingerprint) int {
			return c.quarantines[a].until.Compare(c.quarantines[b].until)
		})
		delete(c.quarantines, endsFirst)
	}
	c.quarantines[f] = quarantine{until: start.Add(duration), duration: duration}
}

// crashes returns the crashes that all docks hold against a fingerprint.
func (c *CrashTracker) crashes(f identifier.Fingerprint) []Crash {
	all := []Crash{}
	for _, r := range c.reports {
		for _, crash := range r.crashes {
			if crash.Fingerprint == f {
				all = append(all, crash)
			}
		}
	}
	return all
}

// removeExpired removes reports older than CrashWindow, and quarantines that ended longer ago than
// they lasted.
func (c *CrashTracker) removeExpired(now time.Time) {
	maps.DeleteFunc(c.reports, func(_ identifier.Incarnation, r crashReport) bool { return now.Sub(r.at) > CrashWindow })
	maps.DeleteFunc(c.quarantines, func(_ identifier.Fingerprint, q quarantine) bool { return now.After(q.keptUntil()) })
}

// fingerprints returns the distinct fingerprints of crashes, in ascending order.
func fingerprints(crashes []Crash) []identifier.Fingerprint {
	list := []identifier.Fingerprint{}
	for _, crash := range crashes {
		list = append(list, crash.Fingerprint)
	}
	slices.SortFunc(list, cmp.Compare[identifier.Fingerprint])
	return slices.Compact(list)
}
