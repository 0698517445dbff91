package selector

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// slowRatio is the multiple of the usual latency at or above which a request counts as slow.
	slowRatio = 2.5
	// failureRatio is the minimum multiple of the usual latency that a failure counts as.
	failureRatio = 8
	// maxRatio bounds the multiple that one answered request adds.
	maxRatio = 20
)

// record adds the end of a request to the observations that are reported to the other docks. The
// caller holds the lock.
func (s *Selector) record(f *InFlightRequest, elapsed time.Duration, isFailure bool) {
	if f.usual <= 0 {
		return
	}
	id := f.server.info.ID
	o := s.observations[id]
	if o == nil {
		o = &encoder.Observation{Server: id}
		s.observations[id] = o
	}
	o.Count++
	ratio := min(maxRatio, float64(elapsed)/float64(f.usual))
	if isFailure {
		ratio = max(ratio, failureRatio)
	}
	if ratio >= slowRatio {
		o.Slow++
		o.Ratio += ratio
	}
}

// TakeObservations returns and clears the observations since the last call. While no server has
// answered after the last request without an answer it returns none and keeps them, because the links of this dock may
// have failed and not the servers.
func (s *Selector) TakeObservations() []encoder.Observation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lastSilence.After(s.lastAnswer) {
		return nil
	}
	list := make([]encoder.Observation, 0, len(s.observations))
	for _, o := range s.observations {
		list = append(list, *o)
	}
	clear(s.observations)
	return list
}

// SetSlowServers replaces the list of servers that the docks together found slow.
func (s *Selector) SetSlowServers(slowServers []encoder.SlowServer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	after := make(map[encoder.ServerID]float64, len(slowServers))
	for _, v := range slowServers {
		after[v.Server] = v.Ratio
	}
	s.reportSlowServerChanges(s.slowServers, after)
	s.slowServers = after
}
