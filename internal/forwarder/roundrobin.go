package forwarder

import (
	"sync"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// roundRobin selects the services of a weighted route by smooth weighted round robin, so that
// each service's requests are spread evenly over time. It is safe for concurrent use.
type roundRobin struct {
	// Guarded by mutex.
	mutex  sync.Mutex
	credit map[identifier.ServiceName]float64
}

// next returns the service of the next request. Each call adds to every service's credit its
// weight, selects the service with the highest credit, and subtracts the sum of all weights from
// that service's credit.
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

// peek returns what next would return.
func (w *roundRobin) peek(shares []matcher.Share) identifier.ServiceName {
	w.mutex.Lock()
	// A call of next replaces the map and changes no entry.
	copied := roundRobin{credit: w.credit}
	w.mutex.Unlock()
	return copied.next(shares)
}
