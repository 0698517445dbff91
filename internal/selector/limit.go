package selector

import (
	"time"

	"banyandock.example/banyandock/internal/limiter"
)

// ObserveLimit records that the reply to a request names a limit of the requests per second that the
// server takes from all docks together. The request must not have been ended yet.
func (s *Selector) ObserveLimit(now time.Time, f *InFlightRequest, rate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.server != nil {
		s.applyLimit(f.server, limiter.Statement{IsNamed: true, Rate: rate, At: now})
	}
}

// ObserveNoLimit records that the reply to a request names no limit. The request must not have been
// ended yet.
func (s *Selector) ObserveNoLimit(f *InFlightRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.server != nil && f.server.limit.IsNamed {
		s.applyLimit(f.server, limiter.Statement{At: f.started})
	}
}

// applyLimit merges a statement on a server and reports a change. The caller holds the lock.
func (s *Selector) applyLimit(v *server, statement limiter.Statement) {
	before := v.limit
	v.limit = before.Merge(statement)
	if v.limit.SaysSame(before) {
		return
	}
	kind := ServerUnlimited
	if v.limit.IsNamed {
		kind = ServerLimited
	}
	s.onServerEvent(ServerEvent{Kind: kind, Server: v.info.ID, Service: v.info.Service, Limit: v.limit.Rate})
}
