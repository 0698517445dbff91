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
	// crashCheckTimeout bounds the check whether a server that lost a request has crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// maxSuspects bounds the fingerprints whose next success is reported.
	maxSuspects = 1024
)

// crashTracker holds the quarantined requests, which must not run, and collects reports on requests
// whose servers crashed while they ran. It is safe for concurrent use.
type crashTracker struct {
	// Guarded by mutex.
	mutex sync.Mutex
	// quarantinedUntil holds the ends of the quarantines.
	quarantinedUntil map[identifier.Fingerprint]time.Time
	// suspects are the requests that crashed a server and have not been answered since.
	suspects map[identifier.Fingerprint]bool
	crashes  []encoder.Crash
	cleared  []identifier.Fingerprint
}

// newCrashTracker returns an empty crashTracker.
func newCrashTracker() *crashTracker {
	return &crashTracker{quarantinedUntil: map[identifier.Fingerprint]time.Time{}, suspects: map[identifier.Fingerprint]bool{}}
}

// fingerprint returns a hash of a request's method, host, target and body. Requests that are
// identical to a server have the same fingerprint.
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

// quarantineRemaining returns how much longer a request must not run, or zero if it may run.
func (c *crashTracker) quarantineRemaining(now time.Time, f identifier.Fingerprint) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.quarantinedUntil[f].Sub(now))
}

// setQuarantines adds the keepers' list of quarantines. Quarantines that are no longer listed stay
// until their end, because a new leader of the keepers does not list earlier ones.
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

// recordCrash records that a server crashed while it ran a request. It does nothing if there are
// maxSuspects suspects.
func (c *crashTracker) recordCrash(f identifier.Fingerprint, request string, server encoder.ServerID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.suspects) >= maxSuspects {
		return
	}
	c.suspects[f] = true
	c.crashes = append(c.crashes, encoder.Crash{Fingerprint: f, Request: request, Server: server})
}

// recordSuccess records that a request was answered, and reports it if it was a suspect.
func (c *crashTracker) recordSuccess(f identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects[f] {
		delete(c.suspects, f)
		c.cleared = append(c.cleared, f)
	}
}

// takeReports returns the crashes and the cleared fingerprints since the last call.
func (c *crashTracker) takeReports() ([]encoder.Crash, []identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	crashes, cleared := c.crashes, c.cleared
	c.crashes, c.cleared = nil, nil
	return crashes, cleared
}

// SetQuarantines quarantines requests, which must not run until their quarantine ends.
func (f *Forwarder) SetQuarantines(list []encoder.Quarantine) {
	f.crashTracker.setQuarantines(f.clock.Now(), list)
	for _, q := range list {
		f.log.Warn().Uint64(recorder.FieldFingerprint, uint64(q.Fingerprint)).
			Int64(recorder.FieldRetryAfter, q.Remaining.Milliseconds()).Msg(recorder.EventQuarantine)
	}
}

// confirmCrash checks whether a server that lost a request has crashed, and records the crash. The
// server counts as crashed if its address refuses connections. A server that lost only the answer
// still accepts them.
func (a *attempt) confirmCrash(destination sender.Destination) {
	q := a.job.query
	f := q.forwarder
	ctx, cancel := context.WithTimeout(f.ctx, crashCheckTimeout)
	defer cancel()
	err := f.sender.Probe(ctx, destination)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		f.log.Info().Err(err).Str(recorder.FieldRequest, q.prepared.ID).Uint64(recorder.FieldFingerprint, uint64(q.fingerprint)).
			Str(recorder.FieldServer, string(destination.ID)).Msg(recorder.EventCrashUnconfirmed)
		return
	}
	f.crashTracker.recordCrash(q.fingerprint, q.prepared.ID, destination.ID)
	f.log.Warn().Str(recorder.FieldRequest, q.prepared.ID).Uint64(recorder.FieldFingerprint, uint64(q.fingerprint)).
		Str(recorder.FieldServer, string(destination.ID)).Msg(recorder.EventCrash)
	f.onObserved()
}
