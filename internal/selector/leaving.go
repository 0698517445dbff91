package selector

import (
	"maps"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// leavingTime is how long it is remembered that a server leaves. By then it has ended, and the keepers
// know of it.
const leavingTime = 10 * time.Minute

// departure is the start of a server that said in a reply that it leaves.
type departure struct {
	born int64
	at   time.Time
}

// Leave records that a start of a server said in a reply that it leaves. From then on the server is not
// known to this host, whatever the keepers list, until it starts again. Leave returns the server's
// registration, and false if the server is not known or had said so before.
func (s *Selector) Leave(now time.Time, id encoder.ServerID, born int64) (encoder.Registration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.servers[id]
	if v == nil || v.info.Born != born {
		return encoder.Registration{}, false
	}
	maps.DeleteFunc(s.departures, func(_ encoder.ServerID, d departure) bool { return now.Sub(d.at) > leavingTime })
	s.departures[id] = departure{born: born, at: now}
	delete(s.servers, id)
	service := v.info.Service
	s.services[service] = slices.DeleteFunc(slices.Clone(s.services[service]), func(other *server) bool { return other == v })
	s.chooseSubset(service)
	s.onServerEvent(ServerEvent{Kind: ServerLeaving, Server: id, Service: service, Born: born})
	return v.info.Registration, true
}

// hasLeft reports whether a server said that it leaves, and has not started again since. The caller holds
// the lock.
func (s *Selector) hasLeft(info locator.Server) bool {
	d, ok := s.departures[info.ID]
	return ok && info.Born <= d.born
}
