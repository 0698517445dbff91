package publisher

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// crashLimit is the number of server crashes at which a fingerprint is quarantined.
	crashLimit = 2
	// maxQuarantineEntries bounds the quarantined fingerprints and those whose crashes are counted.
	maxQuarantineEntries = 1000
)

// quarantine counts the server crashes caused by each fingerprint and lists the fingerprints that
// reached crashLimit.
type quarantine struct {
	duration time.Duration
	version  uint64
	crashes  map[identifier.Fingerprint]*crashCount
	expiries map[identifier.Fingerprint]time.Time
}

// crashCount holds the crashes of one fingerprint as counted by each dock.
type crashCount struct {
	byDock     map[identifier.HostName]uint32
	lastReport time.Time
}

// newQuarantine returns an empty list. Lists of a later term have larger versions.
func newQuarantine(duration time.Duration, term uint64) quarantine {
	return quarantine{
		duration: duration,
		version:  term<<32 | 1,
		crashes:  map[identifier.Fingerprint]*crashCount{},
		expiries: map[identifier.Fingerprint]time.Time{},
	}
}

// addCrashes records the number of crashes that a dock has counted for a fingerprint.
func (q *quarantine) addCrashes(now time.Time, from identifier.HostName, n encoder.QuarantineNotice) {
	c := q.crashes[n.Fingerprint]
	if c == nil {
		if len(q.crashes) >= maxQuarantineEntries {
			return
		}
		c = &crashCount{byDock: map[identifier.HostName]uint32{}}
		q.crashes[n.Fingerprint] = c
	}
	c.lastReport = now
	c.byDock[from] = max(c.byDock[from], n.Crashes)
	total := uint32(0)
	for _, crashes := range c.byDock {
		total += crashes
	}
	if total >= crashLimit {
		q.add(n.Fingerprint, now.Add(q.duration))
		delete(q.crashes, n.Fingerprint)
	}
}

// adopt adds fingerprints that a former leader quarantined.
func (q *quarantine) adopt(now time.Time, listed []encoder.Quarantine) {
	for _, l := range listed {
		if _, known := q.expiries[l.Fingerprint]; !known && l.Remaining > 0 {
			q.add(l.Fingerprint, now.Add(min(l.Remaining, q.duration)))
		}
	}
}

// add quarantines a fingerprint unless the list is full.
func (q *quarantine) add(f identifier.Fingerprint, expiry time.Time) {
	if len(q.expiries) >= maxQuarantineEntries {
		return
	}
	q.expiries[f] = expiry
	q.version++
}

// expire removes entries whose time is over. Docks expire their copies themselves, so the version
// does not need to change.
func (q *quarantine) expire(now time.Time) {
	for f, expiry := range q.expiries {
		if !expiry.After(now) {
			delete(q.expiries, f)
		}
	}
	for f, c := range q.crashes {
		if now.Sub(c.lastReport) >= q.duration {
			delete(q.crashes, f)
		}
	}
}

// list returns the list, or nil if the dock holds the current version.
func (q *quarantine) list(now time.Time, known uint64) *encoder.QuarantineList {
	if known == q.version {
		return nil
	}
	l := &encoder.QuarantineList{Version: q.version}
	for f, expiry := range q.expiries {
		l.Quarantined = append(l.Quarantined, encoder.Quarantine{Fingerprint: f, Remaining: expiry.Sub(now)})
	}
	slices.SortFunc(l.Quarantined, func(a, b encoder.Quarantine) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return l
}
