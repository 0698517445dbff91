package journaler_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

// openAndLoad opens a data folder and loads its content.
func openAndLoad(t *testing.T, path string) (*journaler.Journal, replicator.Stored) {
	t.Helper()
	j, err := journaler.Open(path)
	assert.NilError(t, err)
	s, err := j.Load()
	assert.NilError(t, err)
	return j, s
}

func TestErasedFolderHoldsANewMember(t *testing.T) {
	path := filepath.Join(t.TempDir(), "member")
	j, before := openAndLoad(t, path)
	assert.NilError(t, j.SaveState(replicator.HardState{Self: before.State.Self, Group: identifier.Incarnation(7), Term: 3}))
	assert.NilError(t, j.Close())
	assert.NilError(t, journaler.Erase(path))
	assert.NilError(t, journaler.Erase(path), "a folder that does not exist")
	j, after := openAndLoad(t, path)
	assert.Assert(t, after.State.Self != before.State.Self)
	assert.Equal(t, after.State.Term, uint64(0))
	assert.NilError(t, j.Close())
}
