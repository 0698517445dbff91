package selector

import "time"

// Stats summarizes the state of a Selector for metrics.
type Stats struct {
	// Servers is the number of servers that may receive requests, and Slow the number of servers
	// that the docks together found slow.
	Servers int
	Slow    int
	// Unreachable is the number of servers to which no connection could be opened lately.
	Unreachable int
	// Leaving is the number of servers that said lately that they leave.
	Leaving int
	// Evacuated is the number of evacuated failure domains, and LeftOut that of their servers.
	Evacuated int
	LeftOut   int
	// Limited is the number of servers that name a limit.
	Limited int
	// DistantDomains is the number of failure domains to which the round trip is long, and RoundTrip the
	// longest round trip that is known.
	DistantDomains int
	RoundTrip      time.Duration
	// Starting is the number of servers in slow start, and PassedOver that of the requests that went to
	// another server because of one.
	Starting   int
	PassedOver int64
	// Repeats is the smallest number of repeats left in any service's budget, or a full burst if no
	// budget has been used.
	Repeats float64
}

// Stats returns a summary of the current state.
func (s *Selector) Stats(now time.Time) Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := Stats{Servers: len(s.servers), Slow: len(s.slowServers), Leaving: len(s.departures), PassedOver: s.passedOver, Repeats: s.allowance("").burst}
	stats.DistantDomains = s.countDistant()
	for _, r := range s.roundTrips {
		stats.RoundTrip = max(stats.RoundTrip, r.estimate)
	}
	stats.Evacuated, stats.LeftOut = len(s.evacuation.domains), len(s.evacuation.leftOut)
	for _, v := range s.servers {
		s.advancePace(now, v)
		if v.pace.isActive() {
			stats.Starting++
		}
		if v.namesLimit(now) {
			stats.Limited++
		}
		if v.isUnreachable(now) {
			stats.Unreachable++
		}
	}
	for _, b := range s.budgets {
		stats.Repeats = min(stats.Repeats, b.tokens)
	}
	return stats
}
