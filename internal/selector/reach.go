package selector

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// probeInterval is the time between two probes of a server that is down.
	probeInterval = 400 * time.Millisecond
	// farProbeInterval is the same over a long link, while a near server of the service can be reached,
	// because requests do not need the far one.
	farProbeInterval = 4 * probeInterval
)

// ProbeTargets returns at most count different servers, drawn at random from those that send heartbeats
// and to which this host may connect. Servers in slow start come last.
func (s *Selector) ProbeTargets(count int) []Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	candidates := []*server{}
	for _, v := range s.servers {
		if !v.info.Silent && s.connectionsTo(v.info.Service) > 0 {
			candidates = append(candidates, v)
		}
	}
	// The order of a map is not random enough, and differs between runs with one seed.
	slices.SortFunc(candidates, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(a.pace.rank(), b.pace.rank()) })
	targets := []Target{}
	for _, v := range candidates[:min(count, len(candidates))] {
		targets = append(targets, Target{ID: v.info.ID, Address: v.info.Address, Domain: v.info.Domain, Service: v.info.Service, Born: v.info.Born})
	}
	return targets
}

// IsAlive reports whether the keepers know a start of a server and get its heartbeats.
func (s *Selector) IsAlive(id encoder.ServerID, born int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.evacuation.isAlive(id, born) {
		return true
	}
	v := s.servers[id]
	return v != nil && v.info.Born == born && !v.info.Silent
}

// ForgetFailures forgets the failures and the slowness of all servers, because the links of this dock
// caused them and not the servers.
func (s *Selector) ForgetFailures() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.servers {
		v.slowness, v.failureRate = 0, 0
		v.blockedUntil, v.connectFailures = time.Time{}, 0
		v.pace.forget()
		if v.pendingPace == paceRecovered {
			v.pendingPace = paceNone
		}
	}
	clear(s.observations)
	s.lastSilence = time.Time{}
}

// DueProbes returns at most limit servers that are down and must be probed now, because requests do not
// find out whether they are back. Servers to which this host may not connect are left out.
func (s *Selector) DueProbes(now time.Time, limit int) []Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	due := []*server{}
	for _, v := range s.servers {
		if v.isDown() && !v.isReplaced(now) && now.Sub(v.probedAt) >= v.probeInterval(s.probeIntervalOf(now, v)) && s.connectionsTo(v.info.Service) > 0 {
			due = append(due, v)
		}
	}
	slices.SortFunc(due, func(a, b *server) int {
		return cmp.Or(a.probedAt.Compare(b.probedAt), cmp.Compare(a.info.ID, b.info.ID))
	})
	targets := []Target{}
	for _, v := range due[:min(limit, len(due))] {
		v.probedAt = now
		targets = append(targets, s.target(now, v, 0))
	}
	return targets
}

// probeIntervalOf returns the time between two probes of a server. The caller holds the lock.
func (s *Selector) probeIntervalOf(now time.Time, v *server) time.Duration {
	if s.longRoundTrip(v.info.Domain) == 0 {
		return probeInterval
	}
	for _, other := range s.services[v.info.Service] {
		if other.info.Domain == s.domain && !other.isDown() && other.isReachable(now) {
			return farProbeInterval
		}
	}
	return probeInterval
}

// Reached records that a connection to a start of a server could be opened.
func (s *Selector) Reached(id encoder.ServerID, born int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if v := s.servers[id]; v != nil && v.info.Born == born {
		s.markReached(v)
	}
}

// markReached ends the time in which a server counts as down. The caller holds the lock.
func (s *Selector) markReached(v *server) {
	if v.isDown() {
		s.onServerEvent(ServerEvent{Kind: ServerReachable, Server: v.info.ID, Service: v.info.Service})
		v.markRecovered()
	}
	v.connectFailures = 0
	v.blockedUntil = time.Time{}
}
