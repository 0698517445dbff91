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
	confirmTime = 300 * time.Millisecond
	// maxSuspects bounds the fingerprints whose next success is told.
	maxSuspects = 1024
)

// crashes holds which requests must not run, and what is to be told of requests whose servers ended
// while they ran. It is safe for concurrent use.
type crashes struct {
	// Guarded by mutex.
	mutex sync.Mutex
	// quarantined are the ends of the quarantines.
	quarantined map[identifier.Fingerprint]time.Time
	// suspects crashed a server and were not answered since.
	suspects map[identifier.Fingerprint]bool
	seen     []encoder.Crash
	innocent []identifier.Fingerprint
}

// newCrashes returns crashes without any.
func newCrashes() *crashes {
	return &crashes{quarantined: map[identifier.Fingerprint]time.Time{}, suspects: map[identifier.Fingerprint]bool{}}
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
func (c *crashes) remaining(now time.Time, f identifier.Fingerprint) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.quarantined[f].Sub(now))
}

// quarantine takes over the keepers' list. What they do not list any more, as a new leader does not,
// stays until its end.
func (c *crashes) quarantine(now time.Time, list []encoder.Quarantine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for f, until := range c.quarantined {
		if !now.Before(until) {
			delete(c.quarantined, f)
		}
	}
	for _, q := range list {
		c.quarantined[q.Fingerprint] = now.Add(q.Remaining)
	}
}

// blame notes that a server ended while it ran a request.
func (c *crashes) blame(f identifier.Fingerprint, request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.suspects) >= maxSuspects {
		return
	}
	c.suspects[f] = true
	c.seen = append(c.seen, encoder.Crash{Fingerprint: f, Request: request})
}

// clear notes that a request was answered.
func (c *crashes) clear(f identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects[f] {
		delete(c.suspects, f)
		c.innocent = append(c.innocent, f)
	}
}

// take returns what is to be told, once.
func (c *crashes) take() ([]encoder.Crash, []identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seen, innocent := c.seen, c.innocent
	c.seen, c.innocent = nil, nil
	return seen, innocent
}

// SetQuarantines replaces the requests that must not run.
func (f *Forwarder) SetQuarantines(list []encoder.Quarantine) {
	f.crashes.quarantine(f.clock.Now(), list)
	for _, q := range list {
		f.log.Warn().Uint64(recorder.FieldFingerprint, uint64(q.Fingerprint)).
			Int64(recorder.FieldRetryAfter, q.Remaining.Milliseconds()).Msg(recorder.EventQuarantine)
	}
}

// confirmCrash looks whether a server that lost a request has ended: then nobody listens where it
// was. A server that lost the answer only is connected to again.
func (a *attempt) confirmCrash(to sender.Destination) {
	q := a.job.query
	f := q.forwarder
	ctx, cancel := context.WithTimeout(f.ctx, confirmTime)
	defer cancel()
	_, err := f.sender.Warm(ctx, to, 1)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	f.crashes.blame(q.fingerprint, q.prepared.ID)
	f.log.Warn().Str(recorder.FieldRequest, q.prepared.ID).Uint64(recorder.FieldFingerprint, uint64(q.fingerprint)).
		Str(recorder.FieldServer, string(to.ID)).Msg(recorder.EventCrash)
	f.observed()
}
