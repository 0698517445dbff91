// Package quarantiner detects requests that crash backend servers. For each fingerprint one dock,
// the owner of its canary shard, runs its canaries one at a time and counts its crashes. A
// fingerprint with too many crashes is quarantined on all docks.
package quarantiner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// CrashLimit is the number of server crashes after which a fingerprint is quarantined.
	CrashLimit = 2
	// crashWindow is the time after which a crash no longer counts.
	crashWindow = 10 * time.Minute
	// quarantineTime is the duration of a quarantine.
	quarantineTime = 10 * time.Minute
	// maxEntries is the number of fingerprints from which expired entries are evicted. Entries in
	// use are kept beyond it.
	maxEntries = 16384
)

// ErrQuarantined is returned for a fingerprint that must not run because it is quarantined.
var ErrQuarantined = eris.New("fingerprint is quarantined")

// entry is the state of one fingerprint.
type entry struct {
	crashes     uint32
	lastCrash   time.Time
	quarantined time.Time
	// running is closed when the current canary ends. It is nil if no canary runs.
	running chan struct{}
}

// Quarantiner tracks the fingerprints that crashed servers. It is safe for concurrent use.
type Quarantiner struct {
	// Set at creation.
	clock timekeeper.Clock

	// Guarded by mutex.
	mutex   sync.Mutex
	entries map[identifier.Fingerprint]*entry
}

// New returns an empty Quarantiner.
func New(clock timekeeper.Clock) *Quarantiner {
	return &Quarantiner{clock: clock, entries: map[identifier.Fingerprint]*entry{}}
}

// Begin waits until no canary of the fingerprint runs and starts one. It returns ErrQuarantined if
// the fingerprint is quarantined, and wraps the context's error if the context ends first. If Begin
// returns nil, the caller must call End.
func (q *Quarantiner) Begin(ctx context.Context, f identifier.Fingerprint) error {
	for {
		running, err := q.tryBegin(f)
		if running == nil {
			return err
		}
		select {
		case <-running:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "waiting for a canary of the same fingerprint")
		}
	}
}

// End ends a canary and counts the servers that crashed while running it. A success after a crash
// means that a concurrent request caused the crash, and clears the fingerprint. End reports whether
// it quarantined the fingerprint.
func (q *Quarantiner) End(f identifier.Fingerprint, crashes uint32, succeeded bool) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(f)
	close(e.running)
	e.running = nil
	if succeeded {
		delete(q.entries, f)
		return false
	}
	isQuarantined := q.addCrashes(e, crashes)
	if e.crashes == 0 && !isQuarantined && !e.quarantined.After(q.clock.Now()) {
		delete(q.entries, f)
	}
	return isQuarantined
}

// IsSuspect reports whether the fingerprint crashed a server within crashWindow.
func (q *Quarantiner) IsSuspect(f identifier.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entries[f]
	return e != nil && e.crashes > 0 && q.clock.Now().Sub(e.lastCrash) <= crashWindow
}

// AddCrashes counts crashes that happened outside a canary, and reports whether it quarantined the
// fingerprint.
func (q *Quarantiner) AddCrashes(f identifier.Fingerprint, crashes uint32) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.addCrashes(q.entry(f), crashes)
}

// Remaining returns the remaining time of the fingerprint's quarantine, or zero if it may run.
func (q *Quarantiner) Remaining(f identifier.Fingerprint) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entries[f]
	if e == nil {
		return 0
	}
	return max(0, e.quarantined.Sub(q.clock.Now()))
}

// Adopt merges the quarantines that the keepers publish, given by the times at which they end. A
// quarantine that ends later than the given time is kept.
func (q *Quarantiner) Adopt(ends map[identifier.Fingerprint]time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for f, end := range ends {
		e := q.entry(f)
		if end.After(e.quarantined) {
			e.quarantined = end
		}
	}
}

// tryBegin starts a canary. If one is running, it returns a channel that is closed when that canary
// ends.
func (q *Quarantiner) tryBegin(f identifier.Fingerprint) (chan struct{}, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(f)
	if e.quarantined.After(q.clock.Now()) {
		return nil, ErrQuarantined
	}
	if e.running != nil {
		return e.running, nil
	}
	e.running = make(chan struct{})
	return nil, nil
}

// addCrashes counts crashes in an entry, quarantines it at CrashLimit and reports whether it did.
// The caller holds the lock.
func (q *Quarantiner) addCrashes(e *entry, crashes uint32) bool {
	now := q.clock.Now()
	if now.Sub(e.lastCrash) > crashWindow {
		e.crashes = 0
	}
	if crashes == 0 {
		return false
	}
	e.crashes += crashes
	e.lastCrash = now
	if e.crashes < CrashLimit {
		return false
	}
	e.quarantined = now.Add(quarantineTime)
	return true
}

// entry returns the entry of a fingerprint and creates it if necessary. The caller holds the lock.
func (q *Quarantiner) entry(f identifier.Fingerprint) *entry {
	e := q.entries[f]
	if e == nil {
		q.evict()
		e = &entry{}
		q.entries[f] = e
	}
	return e
}

// evict removes the expired entries if there are maxEntries or more.
func (q *Quarantiner) evict() {
	if len(q.entries) < maxEntries {
		return
	}
	now := q.clock.Now()
	for f, e := range q.entries {
		isExpired := e.running == nil && !e.quarantined.After(now) && now.Sub(e.lastCrash) > crashWindow
		if isExpired {
			delete(q.entries, f)
		}
	}
}
