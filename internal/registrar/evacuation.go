package registrar

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// MaxEvacuations bounds the evacuated failure domains, because each watch reply may list them all.
const MaxEvacuations = 64

// EvacuateCommand evacuates a failure domain or withdraws that. It carries the leader's limit, so that
// keepers of different releases apply the same one.
type EvacuateCommand struct {
	Evacuate encoder.EvacuateRequest
	// DomainLimit is the maximum number of evacuated failure domains.
	DomainLimit int
}

// evacuations are the evacuated failure domains.
type evacuations struct {
	// version is the index of the log entry that changed the domains last. It is zero if none ever did.
	version uint64
	// domains is sorted. It is replaced at each change, so that readers may keep it.
	domains []identifier.DomainName
}

// apply applies an order at an index of the log. An order that is in force already changes nothing.
func (e *evacuations) apply(index uint64, c EvacuateCommand) encoder.EvacuateReply {
	domain := c.Evacuate.Domain
	i, isEvacuated := slices.BinarySearch(e.domains, domain)
	switch {
	case isEvacuated != c.Evacuate.IsWithdrawn:
		return encoder.EvacuateReply{Outcome: encoder.EvacuateAccepted}
	case isEvacuated:
		e.domains = slices.Delete(slices.Clone(e.domains), i, i+1)
	case len(e.domains) >= c.DomainLimit:
		return encoder.EvacuateReply{Outcome: encoder.EvacuateFull}
	default:
		e.domains = slices.Insert(slices.Clone(e.domains), i, domain)
	}
	e.version = index
	return encoder.EvacuateReply{Outcome: encoder.EvacuateAccepted}
}

// Evacuations returns the evacuated failure domains in alphabetical order, and the version of the list, which
// increases with each change. It is zero if no failure domain was ever evacuated. The caller must not modify
// the list.
func (r *Registrar) Evacuations() (domains []identifier.DomainName, version uint64) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.evacuations.domains, r.evacuations.version
}

// evacuationsSnapshot is the part of a snapshot with the evacuated failure domains.
type evacuationsSnapshot struct {
	Version uint64
	Domains []identifier.DomainName
}

// snapshot returns the state for a snapshot, or nil if no failure domain was ever evacuated.
func (e *evacuations) snapshot() *evacuationsSnapshot {
	if e.version == 0 {
		return nil
	}
	return &evacuationsSnapshot{Version: e.version, Domains: e.domains}
}

// restoreEvacuations returns the state in a snapshot.
func restoreEvacuations(s *evacuationsSnapshot) evacuations {
	if s == nil {
		return evacuations{}
	}
	return evacuations{version: s.Version, domains: s.Domains}
}
