package forwarder

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// maxSuspects bounds the fingerprints with crashes that a dock keeps.
	maxSuspects = 256
	// isolationTime is how long a fingerprint runs isolated after a keeper has listed it.
	isolationTime = locator.CrashWindow
)

// crashTracker holds the requests that must not run or must run isolated, and the crashes that this
// dock holds against requests. It is safe for concurrent use.
type crashTracker struct {
	// Guarded by mutex.
	mutex sync.Mutex
	// quarantinedUntil holds the ends of the quarantines, and isolated the fingerprints that a keeper
	// lists as isolated.
	quarantinedUntil map[identifier.Fingerprint]time.Time
	isolated         map[identifier.Fingerprint]isolatedFingerprint
	// suspects are the fingerprints that crashed a server and have not been answered since.
	suspects map[identifier.Fingerprint]suspect
	// crashCount counts the confirmed crashes.
	crashCount int
	// version is increased by each change of the suspects and each new quarantine.
	version uint64
}

// isolatedFingerprint is a fingerprint whose requests must run isolated.
type isolatedFingerprint struct {
	until time.Time
	// service is the service whose servers the requests are suspected to crash, or empty.
	service identifier.ServiceName
}

// suspect holds the crashes of one fingerprint.
type suspect struct {
	crashes   []locator.Crash
	lastCrash time.Time
}

// newCrashTracker returns an empty crashTracker.
func newCrashTracker() *crashTracker {
	return &crashTracker{
		quarantinedUntil: map[identifier.Fingerprint]time.Time{},
		isolated:         map[identifier.Fingerprint]isolatedFingerprint{},
		suspects:         map[identifier.Fingerprint]suspect{},
	}
}

// fingerprints are the fingerprints of a request. Requests with an equal fingerprint of either kind
// may crash servers for the same reason.
type fingerprints struct {
	// whole is a hash of the method, host, path, query and body, and path one without the query. They
	// are equal if there is no query. A dock of an older release sends no path.
	whole identifier.Fingerprint
	path  identifier.Fingerprint
}

// newFingerprints returns the fingerprints of a request.
func newFingerprints(r *sender.Request) fingerprints {
	path, _, _ := strings.Cut(r.Target, "?")
	return fingerprints{whole: fingerprint(r, r.Target), path: fingerprint(r, path)}
}

// fingerprint returns a hash of a request's method, host and body and of a target.
func fingerprint(r *sender.Request, target string) identifier.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, target} {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return identifier.Fingerprint(d.Sum64())
}

// list returns the distinct fingerprints.
func (f fingerprints) list() []identifier.Fingerprint {
	if f.path == f.whole || f.path == 0 {
		return []identifier.Fingerprint{f.whole}
	}
	return []identifier.Fingerprint{f.whole, f.path}
}

// quarantineRemaining returns how much longer a request must not run, or zero if it may run.
func (c *crashTracker) quarantineRemaining(now time.Time, f fingerprints) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.quarantinedUntil[f.whole].Sub(now), c.quarantinedUntil[f.path].Sub(now))
}

// suspectedService reports whether a request may run on one server at a time only until it is answered,
// and which service must answer it first. That is empty if it is not known.
func (c *crashTracker) suspectedService(now time.Time, f fingerprints) (service identifier.ServiceName, isSuspect bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range f.list() {
		listed := c.isolated[one]
		switch own := c.suspects[one].crashes; {
		case now.Before(listed.until):
			return listed.service, true
		case len(own) > 0:
			return locator.SuspectedService(own), true
		}
	}
	return "", false
}

// setQuarantines adds a keeper's list of quarantines and returns those that are new. Quarantines
// that are not listed stay until their end, because the keeper may not know of them yet.
func (c *crashTracker) setQuarantines(now time.Time, list []encoder.Quarantine) []encoder.Quarantine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeExpired(now)
	added := []encoder.Quarantine{}
	for _, q := range list {
		switch {
		case q.Remaining <= 0:
			c.isolated[q.Fingerprint] = isolatedFingerprint{until: now.Add(isolationTime), service: q.Service}
		case !now.Before(c.quarantinedUntil[q.Fingerprint]):
			c.quarantine(q.Fingerprint, now.Add(q.Remaining))
			added = append(added, q)
		}
	}
	return added
}

// recordCrash records that a server crashed while it ran a request, unless the request is
// quarantined. It reports whether the crashes that this dock knows of
// suffice to quarantine the request, which it then does.
func (c *crashTracker) recordCrash(now time.Time, crash locator.Crash) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeExpired(now)
	c.crashCount++
	f := crash.Fingerprint
	s, isKnown := c.suspects[f]
	if now.Before(c.quarantinedUntil[f]) {
		return false
	}
	if !isKnown && len(c.suspects) >= maxSuspects {
		c.withdraw(c.leastSuspect())
	}
	c.version++
	s = suspect{crashes: locator.AppendCrash(s.crashes, crash), lastCrash: now}
	c.suspects[f] = s
	if locator.Assess(s.crashes) != locator.SuspicionQuarantined {
		return false
	}
	c.quarantine(f, now.Add(locator.QuarantineTime))
	return true
}

// leastSuspect returns the suspect whose crashes come from the fewest requests, and of several the one
// with the oldest last crash. Requests that merely ran beside one that ends servers rarely come again. The
// caller holds the lock.
func (c *crashTracker) leastSuspect() identifier.Fingerprint {
	return slices.MinFunc(slices.Collect(maps.Keys(c.suspects)), func(a, b identifier.Fingerprint) int {
		return cmp.Or(
			cmp.Compare(c.suspects[a].countRequests(), c.suspects[b].countRequests()),
			c.suspects[a].lastCrash.Compare(c.suspects[b].lastCrash),
		)
	})
}

// countRequests returns the number of requests that the crashes come from.
func (s suspect) countRequests() int {
	requests := map[string]bool{}
	for _, crash := range s.crashes {
		requests[crash.Request] = true
	}
	return len(requests)
}

// quarantine starts a quarantine. The crashes are no longer needed. The caller holds the lock.
func (c *crashTracker) quarantine(f identifier.Fingerprint, until time.Time) {
	c.quarantinedUntil[f] = until
	c.version++
	c.withdraw(f)
}

// recordAnswer records that a server of a service answered a request, so that the request did not cause
// the crashes of that service's servers. It may crash those of others nevertheless.
func (c *crashTracker) recordAnswer(list []identifier.Fingerprint, service identifier.ServiceName) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range list {
		c.withdrawService(one, service)
	}
}

// recordSuccess records that all services of a request answered it, so that it crashes none.
func (c *crashTracker) recordSuccess(list []identifier.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range list {
		delete(c.isolated, one)
		c.withdraw(one)
	}
}

// withdrawService forgets the crashes of a service's servers. The caller holds the lock.
func (c *crashTracker) withdrawService(f identifier.Fingerprint, service identifier.ServiceName) {
	s, isSuspect := c.suspects[f]
	if !isSuspect {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(s.crashes), func(crash locator.Crash) bool { return crash.Service == service })
	switch len(rest) {
	case len(s.crashes):
	case 0:
		c.withdraw(f)
	default:
		s.crashes = rest
		c.suspects[f] = s
		c.version++
	}
}

// withdraw forgets the crashes of a fingerprint. The caller holds the lock.
func (c *crashTracker) withdraw(f identifier.Fingerprint) {
	if _, isSuspect := c.suspects[f]; isSuspect {
		delete(c.suspects, f)
		c.version++
	}
}

// removeExpired removes restrictions that have ended and old crashes. The caller holds the lock.
func (c *crashTracker) removeExpired(now time.Time) {
	maps.DeleteFunc(c.quarantinedUntil, func(_ identifier.Fingerprint, end time.Time) bool { return !now.Before(end) })
	maps.DeleteFunc(c.isolated, func(_ identifier.Fingerprint, i isolatedFingerprint) bool { return !now.Before(i.until) })
	for f, s := range c.suspects {
		if now.Sub(s.lastCrash) > locator.CrashWindow {
			c.withdraw(f)
		}
	}
}

// report returns the report for the keepers, and its version.
func (c *crashTracker) report(now time.Time) (encoder.CrashReport, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeExpired(now)
	r := encoder.CrashReport{}
	for _, s := range c.suspects {
		for _, crash := range s.crashes {
			r.Crashes = append(r.Crashes, crash.Sent(now))
		}
	}
	for f, end := range c.quarantinedUntil {
		r.Quarantines = append(r.Quarantines, encoder.Quarantine{Fingerprint: f, Remaining: end.Sub(now)})
	}
	return r, c.version
}

// CrashStats are figures about requests that crash servers, for metrics.
type CrashStats struct {
	// Quarantined is the number of fingerprints that must not run, and Suspects of those with crashes
	// that have not been answered since.
	Quarantined int
	Suspects    int
	// Crashes counts the crashes that were recorded since the start, once for each fingerprint.
	Crashes int
	// Unanswered are the figures about requests that servers have not answered.
	Unanswered accuser.Stats
}

// CrashStats returns the current figures.
func (f *Forwarder) CrashStats() CrashStats {
	c := f.crashTracker
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return CrashStats{Quarantined: len(c.quarantinedUntil), Suspects: len(c.suspects), Crashes: c.crashCount, Unanswered: f.accuser.Stats()}
}

// CrashReport returns what this dock holds against requests, and a version that changes with it.
func (f *Forwarder) CrashReport() (encoder.CrashReport, uint64) {
	return f.crashTracker.report(f.clock.Now())
}

// SetQuarantines adds the quarantines that a keeper knows of. The requests must not run until their
// quarantine ends, or run isolated if no time remains.
func (f *Forwarder) SetQuarantines(list []encoder.Quarantine) {
	for _, q := range f.crashTracker.setQuarantines(f.clock.Now(), list) {
		f.logQuarantine(q)
	}
}

// logQuarantine logs that requests with a fingerprint must not run.
func (f *Forwarder) logQuarantine(q encoder.Quarantine) {
	f.log.Warn().Uint64(recorder.FieldFingerprint, uint64(q.Fingerprint)).
		Int64(recorder.FieldRetryAfter, q.Remaining.Milliseconds()).Msg(recorder.EventQuarantine)
}

// accuse holds the end of a server against a request that the server had not answered, unless another
// one has answered it.
func (f *Forwarder) accuse(r accuser.Run, endedAt time.Time, e evidence) {
	f.log.Warn().Str(recorder.FieldRequest, r.Request).Uint64(recorder.FieldFingerprint, uint64(r.Fingerprints[0])).
		Str(recorder.FieldServer, string(r.Server)).Bool(recorder.FieldRepeat, r.IsRepeat).
		Stringer(recorder.FieldEvidence, e).Msg(recorder.EventCrash)
	if r.IsAnswered.Load() {
		return
	}
	for _, one := range r.Fingerprints {
		isQuarantined := f.crashTracker.recordCrash(f.clock.Now(), locator.Crash{
			Crash:  encoder.Crash{Fingerprint: one, Request: r.Request, Server: r.Server, Service: r.Service, IsRepeat: r.IsRepeat},
			SentAt: r.SentAt, EndedAt: endedAt,
		})
		if isQuarantined {
			f.logQuarantine(encoder.Quarantine{Fingerprint: one, Remaining: locator.QuarantineTime})
		}
	}
	if r.IsAnswered.Load() {
		// The answer arrived while the crash was recorded.
		f.crashTracker.recordAnswer(r.Fingerprints, r.Service)
	}
}

// recordAnswer records that a server of the job's service has answered the request.
func (j *job) recordAnswer() {
	if j.wasAnswered.CompareAndSwap(false, true) {
		j.query.forwarder.crashTracker.recordAnswer(j.query.fingerprints.list(), j.service)
	}
}

// recordOutcome records whether all services have answered the request.
func (q *query) recordOutcome(o Outcome) {
	isComplete := false
	switch o := o.(type) {
	case Answer:
		isComplete = isSuccess(&o.Reply)
	case Gathered:
		isComplete = o.Missing == 0
	}
	if isComplete && len(q.relayHosts) == 0 {
		q.forwarder.crashTracker.recordSuccess(q.fingerprints.list())
	}
}
