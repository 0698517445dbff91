// Package suspector decides which requests must not run, or must run on one server at a time, because equal ones have
// crashed servers. It answers the load pattern of a request that comes again and crashes each server that runs it.
package suspector

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// maxSuspects bounds the fingerprints with crashes that a dock keeps.
	maxSuspects = 256
	// isolationTime is how long a fingerprint runs isolated after a keeper has listed it.
	isolationTime = locator.CrashWindow
)

// Suspector holds the requests that must not run or must run isolated, and the crashes that this
// dock holds against requests. It is safe for concurrent use.
type Suspector struct {
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

// New returns a Suspector that holds nothing.
func New() *Suspector {
	return &Suspector{
		quarantinedUntil: map[identifier.Fingerprint]time.Time{},
		isolated:         map[identifier.Fingerprint]isolatedFingerprint{},
		suspects:         map[identifier.Fingerprint]suspect{},
	}
}

// QuarantineRemaining returns how much longer a request with some fingerprints must not run, or zero if it may run.
func (s *Suspector) QuarantineRemaining(now time.Time, list []identifier.Fingerprint) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := time.Duration(0)
	for _, one := range list {
		remaining = max(remaining, s.quarantinedUntil[one].Sub(now))
	}
	return remaining
}

// Suspicion is what a dock knows against a request that may run on one server at a time only until it is
// answered.
type Suspicion struct {
	IsSuspect bool
	// IsTrial is set if equal requests crashed so many servers that this one is tried on few.
	IsTrial bool
	// Service is the service that must answer first, or empty if it is not known.
	Service identifier.ServiceName
}

// Suspicion returns what is known against a request with some fingerprints.
func (s *Suspector) Suspicion(now time.Time, list []identifier.Fingerprint) Suspicion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range list {
		listed := s.isolated[one]
		own := slices.DeleteFunc(slices.Clone(s.suspects[one].crashes), func(crash locator.Crash) bool { return crash.IsPartial })
		switch {
		case now.Before(listed.until):
			return Suspicion{IsSuspect: true, IsTrial: true, Service: listed.service}
		case len(own) > 0:
			return Suspicion{IsSuspect: true, IsTrial: locator.Assess(own) != locator.SuspicionNone, Service: locator.SuspectedService(own)}
		}
	}
	return Suspicion{}
}

// SetQuarantines adds a keeper's list of quarantines and returns those that are new. Quarantines
// that are not listed stay until their end, because the keeper may not know of them yet.
func (s *Suspector) SetQuarantines(now time.Time, list []encoder.Quarantine) []encoder.Quarantine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(now)
	added := []encoder.Quarantine{}
	for _, q := range list {
		switch {
		case q.Remaining <= 0:
			s.isolated[q.Fingerprint] = isolatedFingerprint{until: now.Add(isolationTime), service: q.Service}
		case !now.Before(s.quarantinedUntil[q.Fingerprint]):
			s.quarantine(q.Fingerprint, now.Add(q.Remaining))
			added = append(added, q)
		}
	}
	return added
}

// RecordCrash records that a server crashed while it ran a request, unless the request is
// quarantined. It reports whether the crashes that this dock knows of suffice to quarantine the
// request, which it then does.
func (s *Suspector) RecordCrash(now time.Time, crash locator.Crash) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(now)
	s.crashCount++
	f := crash.Fingerprint
	former, isKnown := s.suspects[f]
	if now.Before(s.quarantinedUntil[f]) {
		return false
	}
	if !isKnown && len(s.suspects) >= maxSuspects {
		s.withdraw(s.leastSuspect())
	}
	s.version++
	assessment := locator.Assess(append(slices.Clone(former.crashes), crash))
	s.suspects[f] = suspect{crashes: locator.AppendCrash(former.crashes, crash), lastCrash: now}
	if assessment != locator.SuspicionQuarantined {
		return false
	}
	s.quarantine(f, now.Add(locator.QuarantineTime))
	return true
}

// leastSuspect returns the suspect whose crashes come from the fewest requests, and of several the one
// with the oldest last crash. Requests that merely ran beside one that ends servers rarely come again. The
// caller holds the lock.
func (s *Suspector) leastSuspect() identifier.Fingerprint {
	return slices.MinFunc(slices.Collect(maps.Keys(s.suspects)), func(a, b identifier.Fingerprint) int {
		return cmp.Or(
			cmp.Compare(s.suspects[a].countRequests(), s.suspects[b].countRequests()),
			s.suspects[a].lastCrash.Compare(s.suspects[b].lastCrash),
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
func (s *Suspector) quarantine(f identifier.Fingerprint, until time.Time) {
	s.quarantinedUntil[f] = until
	s.version++
	s.withdraw(f)
}

// RecordAnswer records that a server of a service answered a request, so that the request does not crash
// each server that runs it. It did not cause the crashes of that service's servers, and those of others
// only if it crashes servers of these alone.
func (s *Suspector) RecordAnswer(list []identifier.Fingerprint, service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range list {
		delete(s.isolated, one)
		s.withdrawService(one, service)
	}
}

// RecordSuccess records that all services of a request answered it, so that it crashes none.
func (s *Suspector) RecordSuccess(list []identifier.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range list {
		delete(s.isolated, one)
		s.withdraw(one)
	}
}

// withdrawService forgets the crashes of a service's servers, and marks the others as partial. The caller
// holds the lock.
func (s *Suspector) withdrawService(f identifier.Fingerprint, service identifier.ServiceName) {
	former, isSuspect := s.suspects[f]
	if !isSuspect {
		return
	}
	rest := []locator.Crash{}
	hasChanged := false
	for _, crash := range former.crashes {
		hasChanged = hasChanged || crash.Service == service || !crash.IsPartial
		crash.IsPartial = true
		if crash.Service != service {
			rest = append(rest, crash)
		}
	}
	switch {
	case len(rest) == 0:
		s.withdraw(f)
	case hasChanged:
		former.crashes = rest
		s.suspects[f] = former
		s.version++
	}
}

// withdraw forgets the crashes of a fingerprint. The caller holds the lock.
func (s *Suspector) withdraw(f identifier.Fingerprint) {
	if _, isSuspect := s.suspects[f]; isSuspect {
		delete(s.suspects, f)
		s.version++
	}
}

// removeExpired removes restrictions that have ended and old crashes. The caller holds the lock.
func (s *Suspector) removeExpired(now time.Time) {
	maps.DeleteFunc(s.quarantinedUntil, func(_ identifier.Fingerprint, end time.Time) bool { return !now.Before(end) })
	maps.DeleteFunc(s.isolated, func(_ identifier.Fingerprint, i isolatedFingerprint) bool { return !now.Before(i.until) })
	for f, former := range s.suspects {
		if now.Sub(former.lastCrash) > locator.CrashWindow {
			s.withdraw(f)
		}
	}
}

// Report returns the report for the keepers, and its version.
func (s *Suspector) Report(now time.Time) (encoder.CrashReport, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(now)
	r := encoder.CrashReport{}
	for _, former := range s.suspects {
		for _, crash := range former.crashes {
			r.Crashes = append(r.Crashes, crash.Sent(now))
		}
	}
	for f, end := range s.quarantinedUntil {
		r.Quarantines = append(r.Quarantines, encoder.Quarantine{Fingerprint: f, Remaining: end.Sub(now)})
	}
	return r, s.version
}

// Stats are figures for metrics.
type Stats struct {
	// Quarantined is the number of fingerprints that must not run, and Suspects of those with crashes
	// that have not been answered since.
	Quarantined int
	Suspects    int
	// Crashes counts the crashes that were recorded since the start, once for each fingerprint.
	Crashes int
}

// Stats returns the current figures.
func (s *Suspector) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Stats{Quarantined: len(s.quarantinedUntil), Suspects: len(s.suspects), Crashes: s.crashCount}
}
