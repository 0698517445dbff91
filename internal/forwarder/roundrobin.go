package forwarder

import (
	"sync"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// wheel gives the services of a weighted route their turns, evenly spread. It is safe for
// concurrent use.
type roundRobin struct {
	// Guarded by mutex.
	mutex  sync.Mutex
	credit map[identifier.ServiceName]float64
}

// next returns the service whose turn it is. Each turn adds to every service its weight, and
// the one with the most takes a whole turn's sum.
func (w *roundRobin) next(shares []matcher.Share) identifier.ServiceName {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	credit := make(map[identifier.ServiceName]float64, len(shares))
	var best identifier.ServiceName
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
		credit[s.Service] = w.credit[s.Service] + s.Weight
		if s.Weight > 0 && (best == "" || credit[s.Service] > credit[best]) {
			best = s.Service
		}
	}
	credit[best] -= sum
	w.credit = credit
	return best
}
