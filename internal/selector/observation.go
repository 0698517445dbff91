package selector

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// slowRatio is the multiple of the usual latency from which on a request counts as slow.
	slowRatio = 2.5
	// failureRatio is what a failure counts as.
	failureRatio = 8
	// mostRatio bounds what one request adds.
	mostRatio = 20
)

// record notes the end of a request for the other docks. The caller holds the lock.
func (s *Selector) record(f *Flight, elapsed time.Duration, isFailure bool) {
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
	ratio := min(mostRatio, float64(elapsed)/float64(f.usual))
	if isFailure {
		ratio = max(ratio, failureRatio)
	}
	if ratio >= slowRatio {
		o.Slow++
		o.Ratio += ratio
	}
}

// TakeObservations returns what was seen of the servers since the last call.
func (s *Selector) TakeObservations() []encoder.Observation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]encoder.Observation, 0, len(s.observations))
	for _, o := range s.observations {
		list = append(list, *o)
	}
	clear(s.observations)
	return list
}

// SetVerdicts replaces the servers that most docks find slow.
func (s *Selector) SetVerdicts(verdicts []encoder.SlowServer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	after := make(map[encoder.ServerID]float64, len(verdicts))
	for _, v := range verdicts {
		after[v.Server] = v.Ratio
	}
	s.compareVerdicts(s.verdicts, after)
	s.verdicts = after
}
