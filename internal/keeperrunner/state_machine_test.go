package keeperrunner

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

func newStateMachine(t *testing.T) stateMachine {
	t.Helper()
	fail := func(name, detail string) { t.Errorf("%s: %s", name, detail) }
	return stateMachine{registrar.New(fail), tracer.New("keeper", "plade-01", tracer.NewHybridClock(timekeeper.System{}))}
}

// submit applies a command that submits a manifest with the number.
func (s stateMachine) submit(t *testing.T, number uint64) {
	t.Helper()
	command, err := registrar.EncodeCommand(registrar.SubmitCommand{Manifest: encoder.ManifestText{Number: number, Digest: "d"}})
	assert.NilError(t, err)
	s.Apply(number, command)
}

// expectAccepted compares the numbers of the recorded manifests.
func (s stateMachine) expectAccepted(t *testing.T, numbers ...string) {
	t.Helper()
	events := s.events.Recent(99)
	assert.Equal(t, len(events), len(numbers))
	for i, e := range events {
		assert.Equal(t, e.Kind, tracer.ManifestAccepted)
		assert.Equal(t, e.Fields[0].Value, numbers[i])
	}
}

func TestAcceptedManifestsAreRecorded(t *testing.T) {
	s := newStateMachine(t)
	s.submit(t, 3)
	s.submit(t, 3)
	s.submit(t, 2)
	s.submit(t, 5)
	s.expectAccepted(t, "3", "5")
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	restored := newStateMachine(t)
	assert.NilError(t, restored.Restore(snapshot))
	assert.NilError(t, restored.Restore(snapshot))
	restored.expectAccepted(t, "5")
}
