package selector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// awayFactor is what a server scores more that this host holds no connections to by plan.
	awayFactor = 1.4
	// connectionShare is the part of a server's connections that hosts plan to hold. The rest is
	// for health checks and for hosts that have just started.
	connectionShare = 0.85
	// ownerConnections is the part of a server's connections that its owners hold. It leaves as
	// much for the owners that come after them.
	ownerConnections = 0.4
	// mostOwnerConnections bounds an owner's connections to one server.
	mostOwnerConnections = 12
	// unknownConnections is used for a service whose limit is not configured.
	unknownConnections = 2
	// mostConnections bounds the connections to one server whatever it accepts.
	mostConnections = 32
)

// SetServices tells which services there are, and how many connections each of their servers
// accepts from all hosts. What is known of other services' budgets is dropped.
func (s *Selector) SetServices(connections map[identifier.ServiceName]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.connections
	s.connections = connections
	for name, n := range connections {
		if before[name] != n {
			s.settle(name)
		}
	}
	maps.DeleteFunc(s.budgets, func(name identifier.ServiceName, _ *budget) bool {
		_, ok := connections[name]
		return !ok
	})
}

// Ownership says how the sending of scattered requests is divided among hosts.
type Ownership struct {
	// Owned are the services whose requests other hosts leave to this one.
	Owned map[identifier.ServiceName]bool
	// Delegated are the services that have owners, the owned ones included.
	Delegated map[identifier.ServiceName]bool
	// Owners is how many hosts own each of them.
	Owners int
}

// SetOwnership replaces the division of the sending, and tells whether other services are owned.
func (s *Selector) SetOwnership(o Ownership) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.ownership
	s.ownership = o
	for name := range s.services {
		if before.Owned[name] != o.Owned[name] {
			s.settle(name)
		}
	}
	return !maps.Equal(before.Owned, o.Owned)
}

// IsOwnedElsewhere tells whether another host sends to a service.
func (s *Selector) IsOwnedElsewhere(service identifier.ServiceName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ownership.Delegated[service] && !s.ownership.Owned[service]
}

// Connections returns how many connections this host may hold to one server of a service.
func (s *Selector) Connections(service identifier.ServiceName) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accepted := s.connections[service]
	if accepted <= 0 {
		return unknownConnections
	}
	if s.ownership.Owned[service] {
		share := int(ownerConnections * float64(accepted) / float64(max(1, s.ownership.Owners)))
		return min(mostOwnerConnections, max(1, share))
	}
	share := int(connectionShare * float64(accepted) / float64(s.docks))
	return min(mostConnections, max(1, share))
}

// settle chooses the servers of a service that this host holds connections to. If a server
// cannot accept one from every host, each host keeps to some of the servers, which it draws by
// hash, and goes to the others only if they are much better. The caller holds the lock.
func (s *Selector) settle(service identifier.ServiceName) {
	servers := s.services[service]
	homes := homeCount(len(servers), s.connections[service], s.docks)
	if s.ownership.Owned[service] {
		homes = len(servers)
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		if isNear := a.info.Domain == s.domain; isNear != (b.info.Domain == s.domain) {
			return map[bool]int{true: -1, false: 1}[isNear]
		}
		return cmp.Compare(s.rank(a.info.ID), s.rank(b.info.ID))
	})
	for i, v := range ranked {
		v.isAway = i >= homes
	}
	s.homes[service] = ranked[:homes]
}

// ConnectionTargets returns the servers of a service that this host holds connections to and that can be
// reached as far as it knows, at most as many as asked for, the nearest first.
func (s *Selector) ConnectionTargets(now time.Time, service identifier.ServiceName, most int) []Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	targets := []Target{}
	for _, v := range s.homes[service] {
		if len(targets) < most && !v.info.Silent && !now.Before(v.blockedUntil) {
			targets = append(targets, Target{ID: v.info.ID, Address: v.info.Address, Domain: v.info.Domain})
		}
	}
	return targets
}

// homeCount is how many of a service's servers each host holds connections to.
func homeCount(servers, connections, docks int) int {
	if connections <= 0 {
		return servers
	}
	planned := connectionShare * float64(connections*servers) / float64(docks)
	return min(servers, max(1, int(planned)))
}

// rank orders servers differently on each host.
func (s *Selector) rank(id encoder.ServerID) uint64 {
	d := xxhash.NewWithSeed(s.seed)
	// xxhash's Write never returns an error.
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
