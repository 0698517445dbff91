// Package selector decides which backend server of a service gets a request, when a second
// server is asked, and when no more repeats may be sent. It does no input or output: time is
// an argument, and its callers tell it what they send and receive.
package selector

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// nearFactor is what a server in this host's failure domain scores less: its bytes cross
	// no domain.
	nearFactor = 0.7
	// jitter spreads equal scores, so that hosts do not all choose the same server.
	jitter = 0.15
	// blockedFactor and silentFactor put servers behind all others.
	blockedFactor = 100
	silentFactor  = 1000
)

// Selector holds what this host has seen of all servers. It is safe for concurrent use.
type Selector struct {
	// Set at creation.
	domain identifier.DomainName
	seed   uint64
	// believe is told of changed beliefs.
	believe func(ServerEvent)

	// Guarded by mutex.
	mutex    sync.Mutex
	random   *rand.Rand
	servers  map[encoder.ServerID]*server
	services map[identifier.ServiceName][]*server
	// homes are the servers of each service that this host holds connections to, nearest first.
	homes   map[identifier.ServiceName][]*server
	budgets map[identifier.ServiceName]*budget
	limits  BudgetLimits
	docks   int
	// ownership says which services other hosts leave to this one.
	ownership Ownership
	// connections are how many each server of a service accepts.
	connections map[identifier.ServiceName]int
	// verdicts are the servers that most docks find slow.
	verdicts map[encoder.ServerID]float64
	// observations are what was seen since they were taken last.
	observations map[encoder.ServerID]*encoder.Observation
}

// New returns a Selector for a host in a failure domain.
func New(domain identifier.DomainName, limits BudgetLimits, seed uint64) *Selector {
	return &Selector{
		domain:   domain,
		seed:     seed,
		believe:  func(ServerEvent) {},
		random:   rand.New(rand.NewPCG(seed, seed)),
		servers:  map[encoder.ServerID]*server{},
		services: map[identifier.ServiceName][]*server{},
		homes:    map[identifier.ServiceName][]*server{},
		budgets:  map[identifier.ServiceName]*budget{},
		limits:   limits,
		docks:    1,

		connections:  map[identifier.ServiceName]int{},
		observations: map[encoder.ServerID]*encoder.Observation{},
	}
}

// Update replaces the servers, and tells whether those of any service are others. What was seen
// of those that stay is kept.
func (s *Selector) Update(services map[identifier.ServiceName][]locator.Server) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := map[encoder.ServerID]*server{}
	before := s.services
	s.services = make(map[identifier.ServiceName][]*server, len(services))
	for name, list := range services {
		for _, info := range list {
			v := s.servers[info.ID]
			if v == nil || v.info.Born != info.Born || v.info.Address != info.Address {
				v = &server{}
			}
			v.info = info
			kept[info.ID] = v
			s.services[name] = append(s.services[name], v)
		}
	}
	s.compareServers(s.servers, kept)
	s.servers = kept
	maps.DeleteFunc(s.homes, func(name identifier.ServiceName, _ []*server) bool {
		_, ok := s.services[name]
		return !ok
	})
	for name, list := range s.services {
		if !slices.Equal(list, before[name]) {
			s.settle(name)
			isChanged = true
		}
	}
	return isChanged
}

// SetDocks tells among how many hosts the budget of repeats is split.
func (s *Selector) SetDocks(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if n = max(1, n); n == s.docks {
		return
	}
	s.docks = n
	for name := range s.services {
		s.settle(name)
	}
}

// Target is the server that a request goes to.
type Target struct {
	ID      encoder.ServerID
	Address netip.AddrPort
	Domain  identifier.DomainName
	// Score is what the choice rested on: the expected latency in multiples of the usual.
	Score float64
	// Seen is how long ago the server was last observed.
	Seen time.Duration
	// IsBusy says that requests wait there, so that a hedge would only make others wait.
	IsBusy bool
}

// HasReachable tells whether a service has a server that may answer.
func (s *Selector) HasReachable(service identifier.ServiceName, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.services[service] {
		if !v.isDown(now) {
			return true
		}
	}
	return false
}

// Choose returns the best server of a service that is not excluded.
func (s *Selector) Choose(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID) (Target, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best, bestScore := (*server)(nil), math.Inf(1)
	for _, v := range s.services[service] {
		if slices.Contains(excluded, v.info.ID) {
			continue
		}
		score := v.score(now, s.verdicts[v.info.ID]) * (1 + jitter*s.random.Float64())
		if v.info.Domain == s.domain {
			score *= nearFactor
		}
		if v.isAway {
			score *= awayFactor
		}
		if score < bestScore {
			best, bestScore = v, score
		}
	}
	if best == nil {
		return Target{}, false
	}
	return Target{
		ID:      best.info.ID,
		Address: best.info.Address,
		Domain:  best.info.Domain,
		Score:   bestScore,
		Seen:    best.age(now),
		IsBusy:  best.queue(now) >= busyQueue,
	}, true
}
