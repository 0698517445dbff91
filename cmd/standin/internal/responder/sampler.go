package responder

import (
	"math/rand/v2"
	"sync"
	"time"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
)

// sampler draws service times from a seeded random number generator.
type sampler struct {
	mean       time.Duration
	spread     float64
	slowShare  float64
	slowFactor float64

	mutex  sync.Mutex
	random *rand.Rand
}

func newSampler(s *settingsreader.Service, seed, stream uint64) *sampler {
	return &sampler{
		mean:       s.ServiceTime,
		spread:     s.Spread,
		slowShare:  s.SlowShare,
		slowFactor: s.SlowFactor,
		random:     rand.New(rand.NewPCG(seed, stream)),
	}
}

// drawServiceTime returns the service time of the next subrequest, multiplied by the slowdown.
func (s *sampler) drawServiceTime(slowdown float64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := 1 + s.spread*(2*s.random.Float64()-1)
	if s.random.Float64() < s.slowShare {
		factor *= s.slowFactor
	}
	return time.Duration(float64(s.mean) * factor * slowdown)
}

// drawBool returns true with the given probability.
func (s *sampler) drawBool(probability float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}
