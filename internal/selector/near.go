package selector

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// shortRoundTrip is the longest round trip to another failure domain at which sameDomainFactor alone
	// decides. At longRoundTrip and above, the score of a near server is multiplied by longFactor in
	// relation to that of a far one. In between, the factor falls linearly. docs/design/near-servers.md has
	// the reasons.
	shortRoundTrip = 1500 * time.Microsecond
	longRoundTrip  = 2 * time.Millisecond
	longFactor     = 0.2
	// unsoundFactor multiplies the score of a near server that is not sound, so that it loses against a
	// far one that is.
	unsoundFactor = 2
	// fullQueue is the number of waiting requests per slot, and fullInFlight the number of this host's
	// requests per slot, from which a server is full: a request would wait for about as long as it runs.
	fullQueue    = 1
	fullInFlight = 2
	// unsoundFailureRate is the share of failures from which a server is not sound. Two in a row exceed
	// it.
	unsoundFailureRate = 0.4
)

// isLong reports whether a round trip to another failure domain changes the choice of servers.
func isLong(roundTrip time.Duration) bool { return roundTrip > shortRoundTrip }

// linkStrength returns how much a round trip changes the choice of servers, from 0 to 1.
func linkStrength(roundTrip time.Duration) float64 {
	return min(1, max(0, float64(roundTrip-shortRoundTrip)/float64(longRoundTrip-shortRoundTrip)))
}

// interpolate returns the value between short and long at the strength of a round trip.
func interpolate(roundTrip time.Duration, short, long float64) float64 {
	return short + linkStrength(roundTrip)*(long-short)
}

// linkCost returns the round trip as a multiple of the usual latency of a request, which is zero if
// unknown.
func linkCost(roundTrip, usual time.Duration) float64 {
	return linkStrength(roundTrip) * float64(roundTrip) / float64(usual+latencySlack)
}

// preference is what a choice among the servers of a service takes into account of their failure domains.
type preference struct {
	// usual is the usual latency of the request, or zero if unknown.
	usual time.Duration
	// farthest is the longest round trip to a server, or zero if all round trips are short.
	farthest time.Duration
	// hasFitNear is set if a server in this host's failure domain is sound, and neither full nor cold.
	// hasFitFar is set if one in another is sound and not full. It may be cold, because it is only
	// compared with near servers that are not sound.
	hasFitNear bool
	hasFitFar  bool
}

// preferenceFor returns the preference for a choice among the servers of a service. The caller holds the
// lock.
func (s *Selector) preferenceFor(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID, usual time.Duration) preference {
	p := preference{usual: usual}
	for _, v := range s.services[service] {
		p.farthest = max(p.farthest, s.longRoundTrip(v.info.Domain))
	}
	if p.farthest == 0 {
		return p
	}
	for _, v := range s.services[service] {
		switch {
		case !s.mayChoose(now, v, excluded) || !s.isSound(now, v) || v.isFull(now):
		case v.info.Domain != s.domain:
			p.hasFitFar = true
		case !now.Before(v.info.ColdUntil):
			p.hasFitNear = true
		}
	}
	return p
}

// mayChoose reports whether a server may get a request. The caller holds the lock.
func (s *Selector) mayChoose(now time.Time, v *server, excluded []encoder.ServerID) bool {
	return !slices.Contains(excluded, v.info.ID) && !v.lacksToken(now) && !v.isReplaced(now)
}

// isSound reports whether a server sends heartbeats, can be reached, answers, and is neither slow nor
// paused. The caller holds the lock.
func (s *Selector) isSound(now time.Time, v *server) bool {
	isReachable := !v.info.Silent && !v.isUnreachable(now) && !now.Before(v.blockedUntil)
	isSlow := s.slowServers[v.info.ID] > 0 || v.overdue(now) > 0
	return isReachable && !isSlow && !v.isFailing(now)
}

// isFailing reports whether many of this host's requests to a server failed lately.
func (v *server) isFailing(now time.Time) bool {
	return v.failureRate*decay(now.Sub(v.observed), observationDecayTime) >= unsoundFailureRate
}

// isFull reports whether a server's queue is long.
func (v *server) isFull(now time.Time) bool {
	return v.queue(now) >= fullQueue || len(v.inFlight) >= fullInFlight*v.slots()
}

// weigh returns the score of a server after its failure domain has been taken into account. The caller
// holds the lock.
func (s *Selector) weigh(now time.Time, v *server, score float64, p preference) float64 {
	if v.info.Domain == s.domain {
		if p.farthest == 0 || !p.hasFitFar || s.isSound(now, v) {
			return score * sameDomainFactor
		}
		// The cost of the link must not decide in favour of this server.
		return score*interpolate(p.farthest, sameDomainFactor, unsoundFactor) + linkCost(p.farthest, p.usual)
	}
	far := s.longRoundTrip(v.info.Domain)
	if far == 0 {
		return score
	}
	if p.hasFitNear {
		score *= sameDomainFactor / interpolate(far, sameDomainFactor, longFactor)
	}
	return score + linkCost(far, p.usual)
}
