package forwarder

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

// quarantineRemaining returns how much longer a request must not run, or zero if it may run.
func (c *crashTracker) quarantineRemaining(now time.Time, f fingerprints) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, c.quarantinedUntil[f.whole].Sub(now), c.quarantinedUntil[f.path].Sub(now))
}

// suspicion is what a dock knows against a request that may run on one server at a time only until it is
// answered.
type suspicion struct {
	isSuspect bool
	// isTrial is set if equal requests crashed so many servers that this one is tried on few.
	isTrial bool
	// service is the service that must answer first, or empty if it is not known.
	service identifier.ServiceName
}

// suspicionOf returns what is known against a request.
func (c *crashTracker) suspicionOf(now time.Time, f fingerprints) suspicion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range f.list() {
		listed := c.isolated[one]
		own := slices.DeleteFunc(slices.Clone(c.suspects[one].crashes), func(crash locator.Crash) bool { return crash.IsPartial })
		switch {
		case now.Before(listed.until):
			return suspicion{isSuspect: true, isTrial: true, service: listed.service}
		case len(own) > 0:
			return suspicion{isSuspect: true, isTrial: locator.Assess(own) != locator.SuspicionNone, service: locator.SuspectedService(own)}
		}
	}
	return suspicion{}
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
// quarantined. It reports whether the crashes that this dock knows of suffice to quarantine the
// request, which it then does.
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
	assessment := locator.Assess(append(slices.Clone(s.crashes), crash))
	c.suspects[f] = suspect{crashes: locator.AppendCrash(s.crashes, crash), lastCrash: now}
	if assessment != locator.SuspicionQuarantined {
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

// recordAnswer records that a server of a service answered a request, so that the request does not crash
// each server that runs it. It did not cause the crashes of that service's servers, and those of others
// only if it crashes servers of these alone.
func (c *crashTracker) recordAnswer(list []identifier.Fingerprint, service identifier.ServiceName) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range list {
		delete(c.isolated, one)
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

// withdrawService forgets the crashes of a service's servers, and marks the others as partial. The caller
// holds the lock.
func (c *crashTracker) withdrawService(f identifier.Fingerprint, service identifier.ServiceName) {
	s, isSuspect := c.suspects[f]
	if !isSuspect {
		return
	}
	rest := []locator.Crash{}
	hasChanged := false
	for _, crash := range s.crashes {
		hasChanged = hasChanged || crash.Service == service || !crash.IsPartial
		crash.IsPartial = true
		if crash.Service != service {
			rest = append(rest, crash)
		}
	}
	switch {
	case len(rest) == 0:
		c.withdraw(f)
	case hasChanged:
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
