// Package selector chooses the backend server of a service that receives a request, the time of a
// hedge to a second server, and whether the budget allows a repeat, that is a retry or a hedge. It
// performs no I/O: its callers pass the current time and report the requests that they send and how
// these end.
package selector

import (
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// sameDomainFactor multiplies the score of a server in this host's failure domain. It prefers
	// such servers because no bytes cross domains. The preference is stronger over long links.
	sameDomainFactor = 0.7
	// jitter is the maximum random relative increase of a score, so that hosts do not all choose
	// the same of several equal servers.
	jitter = 0.15
	// blockedFactor and silentFactor rank servers that cannot be reached, and servers that send no
	// heartbeats, after all others.
	blockedFactor = 100
	silentFactor  = 1000
)

// Selector holds the state of all servers as this host sees it. It is safe for concurrent use.
type Selector struct {
	// Set at creation.
	domain identifier.DomainName
	seed   uint64
	// onServerEvent is called at each change of a server's state.
	onServerEvent func(ServerEvent)

	// Guarded by mutex.
	mutex sync.Mutex
	// source is the state of random, so that Snapshot can copy it.
	source   *rand.PCG
	random   *rand.Rand
	servers  map[encoder.ServerID]*server
	services map[identifier.ServiceName][]*server
	// subsets holds the servers of each service that this host holds connections to, those in its
	// failure domain first.
	subsets map[identifier.ServiceName][]*server
	budgets map[identifier.ServiceName]*budget
	limits  BudgetLimits
	fleet   allotter.Fleet
	// ownership holds the services that this host sends to on behalf of others.
	ownership Ownership
	// connections is how many connections each server of a service accepts from all hosts.
	connections map[identifier.ServiceName]int
	// slowServers holds the servers that the docks together found slow, with their latencies as
	// multiples of the usual.
	slowServers map[encoder.ServerID]float64
	// lastSilence is when a request last ended without an answer that counts against its server, and
	// lastAnswer when a server last answered.
	lastSilence time.Time
	lastAnswer  time.Time
	// earlyLimits are the limits of servers that are not known yet.
	earlyLimits map[encoder.ServerID]earlyLimit
	// observations holds what was observed since the last call of TakeObservations.
	observations map[encoder.ServerID]*encoder.Observation
	// roundTrips holds the round trips to the failure domains.
	roundTrips map[identifier.DomainName]*roundTrip
	// departures holds the servers that said in replies that they leave.
	departures map[encoder.ServerID]departure
	// coldRates are the rates at which the servers of services get requests while they are cold.
	coldRates map[identifier.ServiceName]float64
	// slowStarts holds the services whose servers begin slowly.
	slowStarts map[identifier.ServiceName]bool
	// paceEvents bounds the events of slow starts, and passedOver counts the requests that went to
	// another server because of one.
	paceEvents paceEvents
	passedOver int64
	// evacuation leaves out the servers of some failure domains.
	evacuation evacuation
	// scores holds the scores of the last choices. It is nil except in a snapshot.
	scores map[encoder.ServerID]float64
}

// New returns a Selector for a host in a failure domain. Seed determines the random choices and the
// host's subset of each service's servers.
func New(domain identifier.DomainName, limits BudgetLimits, seed uint64) *Selector {
	source := rand.NewPCG(seed, seed)
	return &Selector{
		domain:        domain,
		seed:          seed,
		onServerEvent: func(ServerEvent) {},
		source:        source,
		random:        rand.New(source),
		servers:       map[encoder.ServerID]*server{},
		services:      map[identifier.ServiceName][]*server{},
		subsets:       map[identifier.ServiceName][]*server{},
		budgets:       map[identifier.ServiceName]*budget{},
		limits:        limits,
		fleet:         allotter.Fleet{Docks: 1, Domains: 1},

		connections:  map[identifier.ServiceName]int{},
		earlyLimits:  map[encoder.ServerID]earlyLimit{},
		observations: map[encoder.ServerID]*encoder.Observation{},
		roundTrips:   map[identifier.DomainName]*roundTrip{},
		departures:   map[encoder.ServerID]departure{},
	}
}

// Update replaces the servers of all services, except those that said that they leave and those of evacuated
// failure domains, and reports whether the servers of any remaining or new service changed. The state of a
// server is kept if neither its start time nor its address changed. The caller must not modify the map
// afterwards.
func (s *Selector) Update(services map[identifier.ServiceName][]locator.Server) (isChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.update(services)
}

// update is Update for a caller that holds the lock.
func (s *Selector) update(services map[identifier.ServiceName][]locator.Server) (isChanged bool) {
	s.evacuation.begin(services)
	kept := map[encoder.ServerID]*server{}
	before := s.services
	s.services = make(map[identifier.ServiceName][]*server, len(services))
	for name, list := range services {
		for _, info := range list {
			if s.hasLeft(info) || s.evacuation.leavesOut(info) {
				continue
			}
			v := s.servers[info.ID]
			if v == nil || v.info.Born != info.Born || v.info.Address != info.Address {
				v = &server{}
				v.inheritPace(s.servers[info.ID])
			} else if v.info.Silent && !info.Silent {
				v.markRecovered()
			}
			v.info, v.coldRate = info, s.coldRates[name]
			kept[info.ID] = v
			s.services[name] = append(s.services[name], v)
		}
	}
	s.reportServerChanges(s.servers, kept)
	s.servers = kept
	s.applyEarlyLimits()
	maps.DeleteFunc(s.subsets, func(name identifier.ServiceName, _ []*server) bool {
		_, ok := s.services[name]
		return !ok
	})
	for name, list := range s.services {
		if !slices.Equal(list, before[name]) {
			s.chooseSubset(name)
			isChanged = true
		}
	}
	return isChanged
}

// SetDocks sets the number of hosts among which budgets and connections are divided, and that of their
// failure domains. Numbers below one count as one. It reports whether the senders of services must be
// assigned anew, because the connections that they may hold have changed.
func (s *Selector) SetDocks(docks, domains int) (mustAssign bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.fleet
	s.fleet = allotter.Fleet{Docks: max(1, docks), Domains: max(1, domains)}
	if s.fleet == before {
		return false
	}
	for name := range s.services {
		s.chooseSubset(name)
	}
	if s.fleet.Domains != before.Domains {
		return true
	}
	for _, accepted := range s.connections {
		if (allotter.Shared(accepted, before) == 0) != (allotter.Shared(accepted, s.fleet) == 0) {
			return true
		}
	}
	return false
}

// Target is a server chosen for a request.
type Target struct {
	ID      encoder.ServerID
	Address netip.AddrPort
	Domain  identifier.DomainName
	// Service is the server's service, and Born identifies its start.
	Service identifier.ServiceName
	Born    int64
	// Score is the server's score in the choice, including preferences and jitter: its expected
	// latency as a multiple of the usual latency. Lower is better.
	Score float64
	// Seen is the time since the server was last observed. It is negative if the server was never
	// observed.
	Seen time.Duration
	// IsNear is set if the server is in this host's failure domain, and RoundTrip is that to its failure
	// domain, or zero if it is short or not known.
	IsNear    bool
	RoundTrip time.Duration
	// IsLimited is set if the server names a limit, so that a request to it needs a token.
	IsLimited bool
	// IsBusy is set if so many requests wait at the server, or it is in slow start and has so many in
	// progress, that a hedge would only delay others.
	IsBusy bool
}

// HasReachable reports whether a service has a server that is not known to be unreachable. A host that may
// not connect to the servers cannot tell, and counts them as reachable.
func (s *Selector) HasReachable(service identifier.ServiceName, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	canTell := s.connectionsTo(service) > 0
	for _, v := range s.services[service] {
		if !canTell || !v.isUnreachable(now) {
			return true
		}
	}
	return false
}

// Knows reports whether any server of a service is known.
func (s *Selector) Knows(service identifier.ServiceName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.services[service]) > 0
}

// Choose returns the server of a service with the lowest score, leaving out the excluded ones, those
// that lack a token of their limit, and, if another one can take the request, one that is over the
// pace of its slow start. It returns false if there is none.
func (s *Selector) Choose(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID) (Target, bool) {
	return s.ChooseFor(now, service, excluded, 0)
}

// ChooseFor is Choose for a request whose usual latency is known, so that the round trips to servers in
// other failure domains can be compared with it. It is zero if unknown.
func (s *Selector) ChooseFor(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID, usual time.Duration) (Target, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best, bestScore := s.chooseWithinPace(now, service, excluded, usual)
	if best == nil {
		return Target{}, false
	}
	return s.target(now, best, bestScore), true
}

// choose returns the server of a service with the lowest score, and its score. It returns nil if there is
// none. The caller holds the lock.
func (s *Selector) choose(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID, usual time.Duration) (*server, float64) {
	p := s.preferenceFor(now, service, excluded, usual)
	best, bestScore := (*server)(nil), math.Inf(1)
	for _, v := range s.services[service] {
		if !s.mayChoose(now, v, excluded) {
			continue
		}
		score := v.score(now, s.slowServers[v.info.ID]) * (1 + jitter*s.random.Float64())
		score = s.weigh(now, v, score, p)
		if v.isOutsideSubset {
			score *= outsideSubsetFactor
		}
		if s.scores != nil {
			s.scores[v.info.ID] = score
		}
		if score < bestScore {
			best, bestScore = v, score
		}
	}
	return best, bestScore
}

// ChooseFixed returns the server of a service that all docks choose for a key, by rendezvous hashing of
// the servers that send heartbeats, leaving out the excluded ones. It returns false if there is none, or
// if it lacks a token of its limit.
func (s *Selector) ChooseFixed(now time.Time, service identifier.ServiceName, key uint64, excluded []encoder.ServerID) (Target, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best, bestScore := (*server)(nil), uint64(0)
	for _, v := range s.services[service] {
		score := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(v.info.ID), key))
		isCandidate := !v.info.Silent && !v.isReplaced(now) && !slices.Contains(excluded, v.info.ID)
		if isCandidate && (best == nil || score > bestScore) {
			best, bestScore = v, score
		}
	}
	if best == nil || best.lacksToken(now) {
		return Target{}, false
	}
	return s.target(now, best, best.score(now, s.slowServers[best.info.ID])), true
}

// Find returns a server of a service by its ID. It returns false if there is none.
func (s *Selector) Find(now time.Time, service identifier.ServiceName, id encoder.ServerID) (Target, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.services[service] {
		if v.info.ID == id {
			return s.target(now, v, v.score(now, s.slowServers[id])), true
		}
	}
	return Target{}, false
}

// target returns a server as the target of a request. The caller holds the lock.
func (s *Selector) target(now time.Time, v *server, score float64) Target {
	return Target{
		ID:        v.info.ID,
		Address:   v.info.Address,
		Domain:    v.info.Domain,
		Service:   v.info.Service,
		Born:      v.info.Born,
		Score:     score,
		IsNear:    v.info.Domain == s.domain,
		RoundTrip: s.longRoundTrip(v.info.Domain),
		Seen:      v.age(now),
		IsLimited: v.namesLimit(now),
		IsBusy:    v.queue(now) >= busyQueue || v.isOverPace(now),
	}
}
