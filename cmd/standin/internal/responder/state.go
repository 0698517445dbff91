package responder

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Describe returns the server's description to announce, and false while the server is down.
func (s *Server) Describe() (encoder.Server, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.incarnation == nil || s.faults.Down {
		return encoder.Server{}, false
	}
	return encoder.Server{
		Address:     s.address,
		Service:     s.settings.Name,
		Domain:      s.domain,
		Incarnation: s.incarnation.id,
		State:       s.stateLocked(),
		Protocol:    s.settings.Protocol,
		Slots:       s.settings.Slots,
		Connections: s.settings.Connections,
		Holdings:    slices.Clone(s.holdings),
	}, true
}

func (s *Server) stateLocked() encoder.ServerState {
	switch {
	case s.draining:
		return encoder.ServerDraining
	case s.incarnation != nil && s.incarnation.isCold():
		return encoder.ServerCold
	}
	return encoder.ServerReady
}

// Faults returns the current fault switches.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mutex.Lock()
	s.faults = f
	s.mutex.Unlock()
	s.notifyChanged()
}

// Crash ends the current incarnation, if there is one. The server starts again after its restart
// time.
func (s *Server) Crash() {
	s.mutex.Lock()
	i := s.incarnation
	s.mutex.Unlock()
	if i != nil {
		i.crash()
	}
}

// SetDraining starts or ends draining.
func (s *Server) SetDraining(draining bool) {
	s.mutex.Lock()
	if draining && !s.draining {
		s.drainSince = s.clock.Now()
	}
	s.draining = draining
	s.mutex.Unlock()
	s.announce()
}

// AddVersion adds the server's shards of an index version and replaces those that it already holds
// of that version.
func (s *Server) AddVersion(version identifier.IndexVersion, shardCount uint32) {
	s.mutex.Lock()
	s.holdings = slices.DeleteFunc(s.holdings, func(h encoder.Holding) bool { return h.Version == version })
	s.holdings = append(s.holdings, s.placement.Holdings(version, shardCount)...)
	s.mutex.Unlock()
	s.announce()
}

// RemoveVersion removes all shards of an index version.
func (s *Server) RemoveVersion(version identifier.IndexVersion) {
	s.mutex.Lock()
	s.holdings = slices.DeleteFunc(s.holdings, func(h encoder.Holding) bool { return h.Version == version })
	s.mutex.Unlock()
	s.announce()
}

func (s *Server) hasShard(version identifier.IndexVersion, shard identifier.ShardNumber) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.ContainsFunc(s.holdings, func(h encoder.Holding) bool {
		return h.Version == version && h.Shard == shard
	})
}

// drainStatus reports whether the server is draining and whether its grace period is over.
func (s *Server) drainStatus() (draining, graceOver bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining, s.draining && s.clock.Now().Sub(s.drainSince) > drainGrace
}

func (s *Server) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
