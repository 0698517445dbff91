package selector

import (
	"maps"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// SetColdRates sets, for each service that has one, how many requests per second all hosts together
// send to one of its servers while that says that it is cold.
func (s *Selector) SetColdRates(rates map[identifier.ServiceName]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldRates = maps.Clone(rates)
	for _, v := range s.servers {
		v.coldRate = rates[v.info.Service]
	}
}

// hasColdLimit reports whether the server takes a limited rate of requests because it is cold.
func (v *server) hasColdLimit(now time.Time) bool { return v.coldRate > 0 && v.isCold(now) }

// namesLimit reports whether a request to the server needs a token, because the server names a limit or is
// cold.
func (v *server) namesLimit(now time.Time) bool { return v.limit.IsNamed || v.hasColdLimit(now) }

// limitMessage returns the limits of the server as a message.
func (v *server) limitMessage(now time.Time) encoder.ServerLimit {
	l := v.limit.Message(now, v.info.ID, v.info.Born)
	if v.hasColdLimit(now) {
		l.ColdRate, l.ColdFor = v.coldRate, v.info.ColdUntil.Sub(now)
	}
	return l
}
