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

// submit applies a manifest with the number.
func (w stateMachine) submit(t *testing.T, number uint64) {
	t.Helper()
	command, err := registrar.EncodeCommand(registrar.SubmitCommand{Manifest: encoder.ManifestText{Number: number, Digest: "d"}})
	assert.NilError(t, err)
	w.Apply(number, command)
}

// expectAccepted compares the manifest numbers on the time line.
func (w stateMachine) expectAccepted(t *testing.T, numbers ...string) {
	t.Helper()
	events := w.events.Recent(99)
	assert.Equal(t, len(events), len(numbers))
	for i, e := range events {
		assert.Equal(t, e.Kind, tracer.ManifestAccepted)
		assert.Equal(t, e.Fields[0].Value, numbers[i])
	}
}

func TestAcceptedManifestsAreRecorded(t *testing.T) {
	w := newStateMachine(t)
	w.submit(t, 3)
	w.submit(t, 3)
	w.submit(t, 2)
	w.submit(t, 5)
	w.expectAccepted(t, "3", "5")
	snapshot, err := w.Snapshot()
	assert.NilError(t, err)
	restored := newStateMachine(t)
	assert.NilError(t, restored.Restore(snapshot))
	assert.NilError(t, restored.Restore(snapshot))
	restored.expectAccepted(t, "5")
}
