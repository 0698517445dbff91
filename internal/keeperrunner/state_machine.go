package keeperrunner

import (
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/tracer"
)

// stateMachine is the replicated state machine. It records accepted manifests as events, and
// records them again when a restarted keeper replays its log.
type stateMachine struct {
	*registrar.Registrar
	events *tracer.Tracer
}

// Apply executes one committed command.
func (s stateMachine) Apply(index uint64, command []byte) []byte {
	before := s.Manifest().Number
	answer := s.Registrar.Apply(index, command)
	s.recordManifest(before, "committed", index)
	return answer
}

// Restore replaces the state with a snapshot.
func (s stateMachine) Restore(snapshot []byte) error {
	before := s.Manifest().Number
	err := s.Registrar.Restore(snapshot)
	s.recordManifest(before, "taken from a snapshot", 0)
	return err
}

// recordManifest records a manifest whose number differs from before.
func (s stateMachine) recordManifest(before uint64, text string, index uint64) {
	m := s.Manifest()
	if m.Number == before {
		return
	}
	s.events.Record(tracer.ManifestAccepted, identifier.RequestID{}, text,
		tracer.F("number", m.Number), tracer.F("digest", m.Digest), tracer.F("index", index))
}
