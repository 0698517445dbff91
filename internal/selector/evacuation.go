package selector

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

// evacuation leaves the servers of evacuated failure domains out of the known servers, so that nothing is
// sent to them: no request, hedge, retry, probe or connection.
type evacuation struct {
	domains []identifier.DomainName
	// services are the servers of the last update, before any is left out.
	services map[identifier.ServiceName][]locator.Server
	// leftOut holds the servers that were left out.
	leftOut map[encoder.ServerID]locator.Server
}

// begin starts an update of the servers.
func (e *evacuation) begin(services map[identifier.ServiceName][]locator.Server) {
	e.services = services
	e.leftOut = map[encoder.ServerID]locator.Server{}
}

// leavesOut reports whether a server is in an evacuated failure domain.
func (e *evacuation) leavesOut(info locator.Server) bool {
	if !slices.Contains(e.domains, info.Domain) {
		return false
	}
	e.leftOut[info.ID] = info
	return true
}

// isAlive reports whether a start of a server was left out that sends heartbeats. Without it, a server that
// is no longer known because of an evacuation would count as one that has ended.
func (e *evacuation) isAlive(id encoder.ServerID, born int64) bool {
	info, ok := e.leftOut[id]
	return ok && info.Born == born && !info.Silent
}

// SetEvacuated replaces the evacuated failure domains. Servers of a domain that is no longer evacuated are known
// again, without what was observed of them.
func (s *Selector) SetEvacuated(domains []identifier.DomainName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evacuation.domains = domains
	s.update(s.evacuation.services)
}

// IsEvacuated reports whether a failure domain is evacuated.
func (s *Selector) IsEvacuated(domain identifier.DomainName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.evacuation.domains, domain)
}
