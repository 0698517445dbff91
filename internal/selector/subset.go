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
	// outsideSubsetFactor multiplies the score of a server outside this host's subset.
	outsideSubsetFactor = 1.4
	// connectionShare is the part of a server's connections that is divided among the hosts. The
	// rest is for health checks and for hosts that have just started.
	connectionShare = 0.85
	// ownerConnections is the part of a server's connections that the owners of its service hold
	// together. It is below one half so that the next owners can connect before the former ones
	// disconnect.
	ownerConnections = 0.4
	// maxOwnerConnections is the maximum number of connections from one owner to one server.
	maxOwnerConnections = 12
	// defaultConnections is used for a service without a configured limit of connections.
	defaultConnections = 2
	// maxConnections is the maximum number of connections from one host that is not an owner to one
	// server, however many the server accepts.
	maxConnections = 32
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

// Ownership describes how the sending of scatter requests is divided among the hosts.
type Ownership struct {
	// Owned holds the services that this host owns: other hosts delegate their requests to it.
	Owned map[identifier.ServiceName]bool
	// Delegated holds the services that have owners, including those in Owned.
	Delegated map[identifier.ServiceName]bool
	// Owners is the number of hosts that own each delegated service.
	Owners int
}

// SetOwnership replaces the ownership and reports whether the set of owned services changed.
func (s *Selector) SetOwnership(o Ownership) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.ownership
	s.ownership = o
	for name := range s.services {
		if before.Owned[name] != o.Owned[name] {
			s.chooseSubset(name)
		}
	}
	return !maps.Equal(before.Owned, o.Owned)
}

// IsOwnedElsewhere reports whether a service has owners and this host is not one of them.
func (s *Selector) IsOwnedElsewhere(service identifier.ServiceName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ownership.Delegated[service] && !s.ownership.Owned[service]
}

// Connections returns the maximum number of connections that this host may hold to one server of a
// service.
func (s *Selector) Connections(service identifier.ServiceName) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accepted := s.connections[service]
	if accepted <= 0 {
		return defaultConnections
	}
	if s.ownership.Owned[service] {
		share := int(ownerConnections * float64(accepted) / float64(max(1, s.ownership.Owners)))
		return min(maxOwnerConnections, max(1, share))
	}
	share := int(connectionShare * float64(accepted) / float64(s.docks))
	return min(maxConnections, max(1, share))
}

// chooseSubset chooses the servers of a service that this host holds connections to. If a server
// cannot accept a connection from every host, each host uses a subset of the servers, ranked by
// failure domain and then by a hash that differs among hosts. Servers outside the subset get
// requests only if their score is much better. The caller holds the lock.
func (s *Selector) chooseSubset(service identifier.ServiceName) {
	servers := s.services[service]
	size := subsetSize(len(servers), s.connections[service], s.docks)
	if s.ownership.Owned[service] {
		size = len(servers)
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		if isSameDomain := a.info.Domain == s.domain; isSameDomain != (b.info.Domain == s.domain) {
			return map[bool]int{true: -1, false: 1}[isSameDomain]
		}
		return cmp.Compare(s.rank(a.info.ID), s.rank(b.info.ID))
	})
	for i, v := range ranked {
		v.isOutsideSubset = i >= size
	}
	s.subsets[service] = ranked[:size]
}

// ConnectionTargets returns at most limit servers of this host's subset of a service, without those
// that are silent or that could not be reached recently. Servers in this host's failure domain come
// first.
func (s *Selector) ConnectionTargets(now time.Time, service identifier.ServiceName, limit int) []Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	targets := []Target{}
	for _, v := range s.subsets[service] {
		if len(targets) < limit && v.isReachable(now) {
			targets = append(targets, Target{ID: v.info.ID, Address: v.info.Address, Domain: v.info.Domain})
		}
	}
	return targets
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
