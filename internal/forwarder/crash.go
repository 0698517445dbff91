package forwarder

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// confirmTime bounds the look whether a server that lost a request has ended.
	crashCheckTimeout = 300 * time.Millisecond
	// maxSuspects bounds the fingerprints whose next success is told.
	maxSuspects = 1024
)

// crashes holds which requests must not run, and what is to be told of requests whose servers ended
// while they ran. It is safe for concurrent use.
type crashTracker struct {
	// Guarded by mutex.
	mutex sync.Mutex
	// quarantined are the ends of the quarantines.
	quarantinedUntil map[identifier.Fingerprint]time.Time
	// suspects crashed a server and were not answered since.
	suspects map[identifier.Fingerprint]bool
	crashes  []encoder.Crash
	cleared  []identifier.Fingerprint
}

// newCrashes returns crashes without any.
func newCrashTracker() *crashTracker {
	return &crashTracker{quarantinedUntil: map[identifier.Fingerprint]time.Time{}, suspects: map[identifier.Fingerprint]bool{}}
}

// fingerprint is equal for requests that servers cannot tell from each other.
func fingerprint(r *sender.Request) identifier.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return identifier.Fingerprint(d.Sum64())
}

// remaining returns how long a fingerprint must not run.
func (c *crashTracker) quarantineRemaining(now time.Time, f identifier.Fingerprint) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.quarantinedUntil[f].Sub(now))
}

// quarantine takes over the keepers' list. What they do not list any more, as a new leader does not,
// stays until its end.
func (c *crashTracker) setQuarantines(now time.Time, list []encoder.Quarantine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for f, until := range c.quarantinedUntil {
		if !now.Before(until) {
			delete(c.quarantinedUntil, f)
		}
	}
	for _, q := range list {
		c.quarantinedUntil[q.Fingerprint] = now.Add(q.Remaining)
	}
}

// blame notes that a server ended while it ran a request.
func (c *crashTracker) recordCrash(f identifier.Fingerprint, request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.suspects) >= maxSuspects {
		return
	}
	c.suspects[f] = true
	c.crashes = append(c.crashes, encoder.Crash{Fingerprint: f, Request: request})
}

// clear notes that a request was answered.
func (c *crashTracker) recordSuccess(f identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects[f] {
		delete(c.suspects, f)
		c.cleared = append(c.cleared, f)
	}
}

// take returns what is to be told, once.
func (c *crashTracker) takeReports() ([]encoder.Crash, []identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	crashes, cleared := c.crashes, c.cleared
	c.crashes, c.cleared = nil, nil
	return crashes, cleared
}

// SetQuarantines replaces the requests that must not run.
func (f *Forwarder) SetQuarantines(list []encoder.Quarantine) {
	f.crashTracker.setQuarantines(f.clock.Now(), list)
	for _, q := range list {
		f.log.Warn().Uint64(recorder.FieldFingerprint, uint64(q.Fingerprint)).
			Int64(recorder.FieldRetryAfter, q.Remaining.Milliseconds()).Msg(recorder.EventQuarantine)
	}
}

// confirmCrash looks whether a server that lost a request has ended: then nobody listens where it
// was. A server that lost the answer only is connected to again.
func (a *attempt) confirmCrash(destination sender.Destination) {
	q := a.job.query
	f := q.forwarder
	ctx, cancel := context.WithTimeout(f.ctx, crashCheckTimeout)
	defer cancel()
	_, err := f.sender.Warm(ctx, destination, 1)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	f.crashTracker.recordCrash(q.fingerprint, q.prepared.ID)
	f.log.Warn().Str(recorder.FieldRequest, q.prepared.ID).Uint64(recorder.FieldFingerprint, uint64(q.fingerprint)).
		Str(recorder.FieldServer, string(destination.ID)).Msg(recorder.EventCrash)
	f.onObserved()
}
