package selector

import (
	"maps"
	"math/rand/v2"
	"slices"

	"banyandock.example/banyandock/internal/encoder"
)

// Snapshot returns a copy of the selector that makes the same choices as the selector would make next.
// Whatever is done with the copy changes nothing in the selector and reports no events.
func (s *Selector) Snapshot() *Selector {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	source := *s.source
	c := New(s.domain, s.limits, s.seed)
	c.source, c.random = &source, rand.New(&source)
	for id, v := range s.servers {
		c.servers[id] = v.clone()
	}
	for name, list := range s.services {
		c.services[name] = copies(list, c.servers)
	}
	for name, list := range s.subsets {
		c.subsets[name] = copies(list, c.servers)
	}
	for name, b := range s.budgets {
		c.budgets[name] = &budget{tokens: b.tokens, refilled: b.refilled}
	}
	for domain, r := range s.roundTrips {
		c.roundTrips[domain] = &roundTrip{estimate: r.estimate, parts: slices.Clone(r.parts)}
	}
	c.fleet, c.ownership = s.fleet, s.ownership
	c.connections, c.coldRates = maps.Clone(s.connections), maps.Clone(s.coldRates)
	c.slowServers, c.slowStarts = maps.Clone(s.slowServers), maps.Clone(s.slowStarts)
	c.lastSilence, c.lastAnswer = s.lastSilence, s.lastAnswer
	c.paceEvents, c.passedOver = s.paceEvents, s.passedOver
	c.scores = map[encoder.ServerID]float64{}
	return c
}

// clone returns a copy of the state of a server.
func (v *server) clone() *server {
	c := *v
	c.inFlight = slices.Clone(v.inFlight)
	return &c
}

// copies returns the copies of listed servers.
func copies(list []*server, of map[encoder.ServerID]*server) []*server {
	result := make([]*server, 0, len(list))
	for _, v := range list {
		if c := of[v.info.ID]; c != nil {
			result = append(result, c)
		}
	}
	return result
}
