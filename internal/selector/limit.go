package selector

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/limiter"
)

// ObserveLimit records that the reply to a request names a limit of the requests per second that the
// server takes from all docks together. It reports whether the dock did not know of that limit. The
// request must not have been ended yet.
func (s *Selector) ObserveLimit(now time.Time, f *InFlightRequest, rate float64) (isNew bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return f.server != nil && s.observeLimit(f.server, limiter.Statement{IsNamed: true, Rate: rate, At: now})
}

// ObserveNoLimit records that the reply to a request names no limit. It reports whether that ended a
// limit. The request must not have been ended yet.
func (s *Selector) ObserveNoLimit(f *InFlightRequest) (isNew bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return f.server != nil && f.server.limit.IsNamed && s.observeLimit(f.server, limiter.Statement{At: f.started})
}

// observeLimit merges what a server said to this dock. The keeper must learn of a change. The caller
// holds the lock.
func (s *Selector) observeLimit(v *server, statement limiter.Statement) (isNew bool) {
	isNew = s.applyLimit(v, statement)
	v.isLimitUnreported = v.isLimitUnreported || isNew
	return isNew
}

// applyLimit merges a statement on a server and reports whether that changed anything. The caller
// holds the lock.
func (s *Selector) applyLimit(v *server, statement limiter.Statement) (isNew bool) {
	before := v.limit
	v.limit = before.Merge(statement)
	if v.limit.SaysSame(before) {
		return false
	}
	kind := ServerUnlimited
	if v.limit.IsNamed {
		kind = ServerLimited
	}
	s.onServerEvent(ServerEvent{Kind: kind, Server: v.info.ID, Service: v.info.Service, Limit: v.limit.Rate})
	return true
}

// earlyLimit is a statement on a server that this dock does not know yet.
type earlyLimit struct {
	born      int64
	statement limiter.Statement
}

// MergeLimits merges statements that other docks heard. Those on servers that are not known yet are
// kept until the next call.
func (s *Selector) MergeLimits(now time.Time, limits []encoder.ServerLimit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.earlyLimits)
	for _, l := range limits {
		early := earlyLimit{born: l.Born, statement: limiter.Statement{IsNamed: l.IsNamed, Rate: l.Rate, At: now.Add(-l.Age)}}
		if v := s.servers[l.Server]; v != nil {
			s.applyEarlyLimit(v, early)
		} else {
			s.earlyLimits[l.Server] = early
		}
	}
}

// applyEarlyLimit merges a statement that another dock heard, unless it is on another start of the
// server. The caller holds the lock.
func (s *Selector) applyEarlyLimit(v *server, early earlyLimit) {
	if v.info.Born == early.born && (early.statement.IsNamed || v.limit.IsNamed) {
		s.applyLimit(v, early.statement)
	}
}

// applyEarlyLimits merges the statements on servers that have become known. The caller holds the lock.
func (s *Selector) applyEarlyLimits() {
	for id, early := range s.earlyLimits {
		if v := s.servers[id]; v != nil {
			s.applyEarlyLimit(v, early)
			delete(s.earlyLimits, id)
		}
	}
}

// TakeLimits returns the statements on the listed servers, and those that the leading keeper does not
// know of. If it cannot be told of them, RestoreLimits must follow.
func (s *Selector) TakeLimits(now time.Time, servers map[encoder.ServerID]bool) []encoder.ServerLimit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []encoder.ServerLimit{}
	for id, v := range s.servers {
		if !v.isLimitUnreported && !servers[id] {
			continue
		}
		l := v.limitMessage(now)
		l.Refused, v.refused = v.refused, 0
		v.isLimitUnreported = false
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b encoder.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// RestoreLimits records that the leading keeper was not told of statements.
func (s *Selector) RestoreLimits(limits []encoder.ServerLimit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, l := range limits {
		if v := s.servers[l.Server]; v != nil {
			v.isLimitUnreported = true
			v.refused += l.Refused
		}
	}
}

// ApplyWaits records which servers have no tokens at present.
func (s *Selector) ApplyWaits(now time.Time, waits []encoder.TokenWait) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range waits {
		if v := s.servers[w.Server]; v != nil {
			v.tokenAt = now.Add(w.Next)
			v.backlog = w.Backlog
		}
	}
}

// LimitedService is a service of which every reachable server names a limit.
type LimitedService struct {
	Service identifier.ServiceName
	// Servers are those that may have a token, the best first. It is empty if none has one.
	Servers []encoder.ServerID
}

// LimitedServices returns the services of a list of which every reachable server names a limit.
func (s *Selector) LimitedServices(now time.Time, services []identifier.ServiceName) []LimitedService {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []LimitedService{}
	for _, name := range services {
		if !s.isLimited(now, name) {
			continue
		}
		candidates := slices.Clone(s.services[name])
		slices.SortStableFunc(candidates, func(a, b *server) int {
			return cmp.Compare(a.score(now, s.slowServers[a.info.ID]), b.score(now, s.slowServers[b.info.ID]))
		})
		limited := LimitedService{Service: name}
		for _, v := range candidates {
			if v.namesLimit(now) && v.isReachable(now) && !v.lacksToken(now) {
				limited.Servers = append(limited.Servers, v.info.ID)
			}
		}
		list = append(list, limited)
	}
	return list
}

// IsLimited reports whether every reachable server of a service names a limit.
func (s *Selector) IsLimited(now time.Time, service identifier.ServiceName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isLimited(now, service)
}

// isLimited is IsLimited for a caller that holds the lock. A service without a reachable server is
// not limited.
func (s *Selector) isLimited(now time.Time, service identifier.ServiceName) bool {
	isLimited := false
	for _, v := range s.services[service] {
		if !v.isReachable(now) {
			continue
		}
		if !v.namesLimit(now) {
			return false
		}
		isLimited = true
	}
	return isLimited
}

// minLimitWait is the shortest time after which a caller may return that was refused because of a
// limit.
const minLimitWait = 100 * time.Millisecond

// RefuseLimited counts a refusal at the servers of the services that lack tokens, and returns the time
// after which the caller may return: when all but spare of the services have a token, plus a random
// part of the time that the servers need for the callers that were refused lately.
func (s *Selector) RefuseLimited(now time.Time, services []identifier.ServiceName, spare int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waits := []time.Duration{}
	for _, name := range services {
		if wait, ok := s.tokenWait(now, name); ok {
			waits = append(waits, wait)
		}
	}
	if len(waits) == 0 {
		// The limits may have ended since the request was refused.
		return minLimitWait
	}
	slices.Sort(waits)
	return max(minLimitWait, waits[len(waits)-1-min(spare, len(waits)-1)])
}

// tokenWait counts a refusal at a service's servers and returns the shortest time until one of them
// has a token for a caller that returns. It returns false if no server lacks one. The caller holds the
// lock.
func (s *Selector) tokenWait(now time.Time, service identifier.ServiceName) (shortest time.Duration, ok bool) {
	for _, v := range s.services[service] {
		if !v.namesLimit(now) || !v.isReachable(now) {
			continue
		}
		v.refused++
		wait := max(0, v.tokenAt.Sub(now)) + time.Duration(s.random.Float64()*float64(v.backlog))
		if !ok || wait < shortest {
			shortest, ok = wait, true
		}
	}
	return shortest, ok
}

// lacksToken reports whether the server names a limit and is known to have no token.
func (v *server) lacksToken(now time.Time) bool {
	return v.namesLimit(now) && now.Before(v.tokenAt)
}

// isReachable reports whether requests can be expected to arrive at the server.
func (v *server) isReachable(now time.Time) bool {
	return !v.info.Silent && !now.Before(v.blockedUntil) && !v.isReplaced(now)
}
