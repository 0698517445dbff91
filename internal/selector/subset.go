package selector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// outsideSubsetFactor multiplies the score of a server outside this host's subset.
	outsideSubsetFactor = 1.4
	// connectionShare is the part of a server's connections that is divided among the hosts if each
	// uses a subset of the servers. The rest is for health checks and for hosts that have just started.
	connectionShare = 0.85
)

// SetServices sets, for each service, how many connections each of its servers accepts from all
// hosts together. It drops the budgets of services that are not listed.
func (s *Selector) SetServices(connections map[identifier.ServiceName]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.connections
	s.connections = connections
	for name, n := range connections {
		if before[name] != n {
			s.chooseSubset(name)
		}
	}
	maps.DeleteFunc(s.budgets, func(name identifier.ServiceName, _ *budget) bool {
		_, ok := connections[name]
		return !ok
	})
}

// Ownership describes how the sending of requests is divided among the hosts.
type Ownership struct {
	// Ranks holds the services that have senders, with the rank of this host among those of its
	// failure domain: 0 if it owns the service, or allotter.NoRank if it is not a sender.
	Ranks map[identifier.ServiceName]int
}

// owns reports whether this host owns a service: other hosts delegate their requests to it.
func (o Ownership) owns(service identifier.ServiceName) bool {
	rank, hasSenders := o.Ranks[service]
	return hasSenders && rank == 0
}

// hasSenders reports whether a service has senders.
func (o Ownership) hasSenders(service identifier.ServiceName) bool {
	_, ok := o.Ranks[service]
	return ok
}

// CountOwned returns the number of services that this host owns.
func (o Ownership) CountOwned() int {
	n := 0
	for _, rank := range o.Ranks {
		if rank == 0 {
			n++
		}
	}
	return n
}

// SetOwnership replaces the ownership and reports whether a rank of this host changed.
func (s *Selector) SetOwnership(o Ownership) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.ownership
	s.ownership = o
	for name := range s.services {
		if before.owns(name) != o.owns(name) {
			s.chooseSubset(name)
		}
	}
	return !maps.Equal(before.Ranks, o.Ranks)
}

// Role tells whether a host opens connections to the servers of a service before requests need them.
type Role uint8

// Roles.
const (
	// RoleNone means that it does not.
	RoleNone Role = iota
	// RoleOwner means that it does, because it owns the service.
	RoleOwner
	// RoleAll means that it does, because every host sends to the service.
	RoleAll
)

// RoleFor returns this host's role for a service.
func (s *Selector) RoleFor(service identifier.ServiceName) Role {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !s.ownership.hasSenders(service):
		return RoleAll
	case s.ownership.owns(service):
		return RoleOwner
	default:
		return RoleNone
	}
}

// CountDocks returns the number of hosts among which connections are divided.
func (s *Selector) CountDocks() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fleet.Docks
}

// NeedsSenders reports whether the servers of a service do not accept a connection from every host.
func (s *Selector) NeedsSenders(service identifier.ServiceName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return allotter.Shared(s.connections[service], s.fleet) == 0
}

// Connections returns the maximum number of connections that this host may hold to one server of a
// service. It is 0 if only other hosts may send to the service.
func (s *Selector) Connections(service identifier.ServiceName) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connectionsTo(service)
}

// connectionsTo is Connections for a caller that holds the lock.
func (s *Selector) connectionsTo(service identifier.ServiceName) int {
	if rank, ok := s.ownership.Ranks[service]; ok {
		return allotter.OfSender(s.connections[service], s.fleet, rank)
	}
	// A service without senders is one that every host may send to, or not assigned yet.
	return max(1, allotter.Shared(s.connections[service], s.fleet))
}

// CountSenders returns how many docks of each failure domain may send to a service that has senders.
func (s *Selector) CountSenders(service identifier.ServiceName) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for rank := range allotter.Senders {
		if allotter.OfSender(s.connections[service], s.fleet, rank) == 0 {
			return rank
		}
	}
	return allotter.Senders
}

// chooseSubset chooses the servers of a service that this host holds connections to. If a server
// cannot accept a connection from every host, each host uses a subset of the servers, ranked by
// distance and then by a hash that differs among hosts. Servers outside the subset get
// requests only if their score is much better. The caller holds the lock.
func (s *Selector) chooseSubset(service identifier.ServiceName) {
	servers := s.services[service]
	size := subsetSize(len(servers), s.connections[service], s.fleet.Docks)
	if s.ownership.owns(service) {
		size = len(servers)
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(s.rank(a.info.ID), s.rank(b.info.ID)))
	})
	for i, v := range ranked {
		v.isOutsideSubset = i >= size
	}
	s.subsets[service] = ranked[:size]
}

// distance returns 0 for a server in this host's failure domain, 1 for one in another, and 2 if the round
// trip to that is long. The caller holds the lock.
func (s *Selector) distance(v *server) int {
	switch {
	case v.info.Domain == s.domain:
		return 0
	case s.longRoundTrip(v.info.Domain) == 0:
		return 1
	default:
		return 2
	}
}

// ConnectionTarget returns the first server of this host's subset of a service that sends heartbeats and
// that could be reached lately, or false if there is none. Servers in this host's failure domain come first,
// and those over long links last.
func (s *Selector) ConnectionTarget(now time.Time, service identifier.ServiceName) (Target, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.subsets[service] {
		if v.isReachable(now) {
			return Target{ID: v.info.ID, Address: v.info.Address, Domain: v.info.Domain}, true
		}
	}
	return Target{}, false
}

// subsetSize returns the number of a service's servers that each host holds connections to.
// Connections is the number that one server accepts from all hosts; if it is not positive, the
// subset holds all servers.
func subsetSize(servers, connections, docks int) int {
	if connections <= 0 {
		return servers
	}
	planned := connectionShare * float64(connections*servers) / float64(docks)
	return min(servers, max(1, int(planned)))
}

// rank returns a hash of a server's ID that differs among hosts, because it depends on the host's
// seed.
func (s *Selector) rank(id encoder.ServerID) uint64 {
	d := xxhash.NewWithSeed(s.seed)
	// xxhash's Write never returns an error.
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Addresses returns all servers. Only ID, Address, Domain and Service of the targets are set.
func (s *Selector) Addresses() []Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	targets := make([]Target, 0, len(s.servers))
	for _, v := range s.servers {
		targets = append(targets, Target{ID: v.info.ID, Address: v.info.Address, Domain: v.info.Domain, Service: v.info.Service})
	}
	return targets
}
