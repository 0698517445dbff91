// Package quarantiner recognises requests that crash backend servers. Each fingerprint has
// one dock, the owner of its canary shard, where its canaries run one at a time and its
// crashes are counted; after too many it is quarantined on all docks.
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
	// CrashLimit is the number of crashed servers after which a fingerprint is quarantined.
	CrashLimit = 2
	// crashWindow is how long a crash counts.
	crashWindow = 10 * time.Minute
	// quarantineTime is how long a fingerprint stays quarantined.
	quarantineTime = 10 * time.Minute
	// maxEntries bounds the fingerprints that are remembered.
	maxEntries = 16384
)

// ErrQuarantined reports a fingerprint that must not run.
var ErrQuarantined = eris.New("fingerprint is quarantined")

// entry is what is known of one fingerprint.
type entry struct {
	crashes     uint32
	lastCrash   time.Time
	quarantined time.Time
	// running is closed when the present canary ends. It is nil without one.
	running chan struct{}
}

// Quarantiner is safe for concurrent use.
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

// Begin waits until no canary of the fingerprint runs and starts one. It returns
// ErrQuarantined or the context's error if none may start. End must follow.
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

// End ends a canary and counts the servers that crashed while they ran it. A success after
// a crash shows that another request beside it was the cause, and clears the fingerprint.
// End returns true if the fingerprint is quarantined from now on.
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

// IsSuspect tells whether the fingerprint crashed a server lately.
func (q *Quarantiner) IsSuspect(f identifier.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entries[f]
	return e != nil && e.crashes > 0 && q.clock.Now().Sub(e.lastCrash) <= crashWindow
}

// AddCrashes adds crashes that happened outside a canary. It returns true if the fingerprint is
// quarantined from now on.
func (q *Quarantiner) AddCrashes(f identifier.Fingerprint, crashes uint32) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.addCrashes(q.entry(f), crashes)
}

// Remaining returns how long the fingerprint stays quarantined. Zero means that it may run.
func (q *Quarantiner) Remaining(f identifier.Fingerprint) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entries[f]
	if e == nil {
		return 0
	}
	return max(0, e.quarantined.Sub(q.clock.Now()))
}

// Adopt takes over the quarantines that the keepers publish, with their ends.
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

// tryBegin starts a canary, or returns the channel that tells when the present one ends.
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

// addCrashes adds crashes to an entry and quarantines it at the limit.
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

// entry finds or makes the entry of a fingerprint.
func (q *Quarantiner) entry(f identifier.Fingerprint) *entry {
	e := q.entries[f]
	if e == nil {
		q.evict()
		e = &entry{}
		q.entries[f] = e
	}
	return e
}

// evict drops entries that no longer matter when the table is full.
func (q *Quarantiner) evict() {
	if len(q.entries) < maxEntries {
		return
	}
	now := q.clock.Now()
	for f, e := range q.entries {
		isSpent := e.running == nil && !e.quarantined.After(now) && now.Sub(e.lastCrash) > crashWindow
		if isSpent {
			delete(q.entries, f)
		}
	}
}
