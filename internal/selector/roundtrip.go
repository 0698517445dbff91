package selector

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// roundTripWindow is the time over which the least sample determines the estimate. Samples are kept
	// in parts of it.
	roundTripWindow = time.Minute
	roundTripPart   = 10 * time.Second
	// minRoundTrips is the least number of samples, and minRoundTripSpan the least time between the first
	// and the last of them, before an estimate may be set or rise. A host that waits for its processor
	// measures several samples too long in a row. More are rare, because connections are kept.
	minRoundTrips    = 5
	minRoundTripSpan = 2 * time.Second
	// minDistance is how many times as long as in this host's failure domain a round trip must be to count
	// as long. Otherwise this host may be what takes the time, in both cases.
	minDistance = 3
)

// roundTrip estimates the round trip to the servers of a failure domain from the times that it took to
// open connections to them. A server or this host may delay a sample, but nothing makes it too short.
// Therefore the estimate is the least sample.
type roundTrip struct {
	// estimate is zero while there are too few samples. It is kept while there are no new samples,
	// because a host that prefers near servers opens few connections to far ones.
	estimate time.Duration
	// parts hold the samples of the window, the oldest first.
	parts []roundTripSamples
}

// roundTripSamples are the samples of a part of the window.
type roundTripSamples struct {
	first, last time.Time
	least       time.Duration
	count       int
}

// observe adds a sample.
func (r *roundTrip) observe(now time.Time, sample time.Duration) {
	if sample <= 0 {
		return
	}
	for len(r.parts) > 0 && now.Sub(r.parts[0].first) >= roundTripWindow {
		r.parts = r.parts[1:]
	}
	if n := len(r.parts); n == 0 || now.Sub(r.parts[n-1].first) >= roundTripPart {
		r.parts = append(r.parts, roundTripSamples{first: now, least: sample})
	}
	latest := &r.parts[len(r.parts)-1]
	latest.last, latest.least = now, min(latest.least, sample)
	latest.count++
	r.evaluate()
}

// evaluate computes the estimate. A lower sample counts at once.
func (r *roundTrip) evaluate() {
	least, count := r.parts[0].least, 0
	for _, p := range r.parts {
		least = min(least, p.least)
		count += p.count
	}
	span := r.parts[len(r.parts)-1].last.Sub(r.parts[0].first)
	if least < r.estimate || count >= minRoundTrips && span >= minRoundTripSpan {
		r.estimate = least
	}
}

// ObserveConnection records how long it took to open a connection to the server at an address. It reports
// whether this changed which servers are far away.
func (s *Selector) ObserveConnection(now time.Time, address netip.AddrPort, elapsed time.Duration) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.servers {
		if v.info.Address == address {
			return s.observeRoundTrip(now, v.info.Domain, elapsed)
		}
	}
	return false
}

// ObserveLink records how long it took to open a link to a dock in a failure domain. It reports whether
// this changed which servers are far away.
func (s *Selector) ObserveLink(now time.Time, domain identifier.DomainName, elapsed time.Duration) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.observeRoundTrip(now, domain, elapsed)
}

// observeRoundTrip adds a sample of the round trip to a failure domain. The caller holds the lock.
func (s *Selector) observeRoundTrip(now time.Time, domain identifier.DomainName, sample time.Duration) (isChanged bool) {
	r := s.roundTrips[domain]
	if r == nil {
		r = &roundTrip{}
		s.roundTrips[domain] = r
	}
	before := s.countDistant()
	r.observe(now, sample)
	if s.countDistant() == before {
		return false
	}
	for name := range s.services {
		s.chooseSubset(name)
	}
	return true
}

// countDistant returns the number of failure domains to which the round trip is long. The caller holds the
// lock.
func (s *Selector) countDistant() int {
	n := 0
	for domain := range s.roundTrips {
		if s.longRoundTrip(domain) > 0 {
			n++
		}
	}
	return n
}

// longRoundTrip returns the round trip to a failure domain, or zero if it is short or not known. The
// caller holds the lock.
func (s *Selector) longRoundTrip(domain identifier.DomainName) time.Duration {
	r := s.roundTrips[domain]
	if r == nil || domain == s.domain || !isLong(r.estimate) {
		return 0
	}
	if own := s.roundTrips[s.domain]; own != nil && r.estimate < minDistance*own.estimate {
		return 0
	}
	return r.estimate
}
