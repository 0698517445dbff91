package keeperrunner

import (
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/tracer"
)

// stateMachine is the replicated state with accepted manifests put on the time line. A keeper
// that reads its log after a restart records them again.
type stateMachine struct {
	*registrar.Registrar
	events *tracer.Tracer
}

// Apply executes one committed command.
func (w stateMachine) Apply(index uint64, command []byte) []byte {
	before := w.Manifest().Number
	answer := w.Registrar.Apply(index, command)
	w.recordManifest(before, "committed", index)
	return answer
}

// Restore replaces the state by a snapshot.
func (w stateMachine) Restore(snapshot []byte) error {
	before := w.Manifest().Number
	err := w.Registrar.Restore(snapshot)
	w.recordManifest(before, "taken from a snapshot", 0)
	return err
}

// recordManifest puts a new manifest number on the time line.
func (w stateMachine) recordManifest(before uint64, text string, index uint64) {
	m := w.Manifest()
	if m.Number == before {
		return
	}
	w.events.Record(tracer.ManifestAccepted, identifier.RequestID{}, text,
		tracer.F("number", m.Number), tracer.F("digest", m.Digest), tracer.F("index", index))
}
