package broadcaster_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
)

func TestShelfRefusesTornFiles(t *testing.T) {
	folder := t.TempDir()
	s := broadcaster.NewDirectoryFile(folder)
	known, err := s.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(known), 0)
	assert.NilError(t, s.Save([]encoder.Registration{{ID: "a", Service: "plates", Born: 7}}))
	known, err = s.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, known[0].ID, encoder.ServerID("a"))
	path := filepath.Join(folder, "directory")
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for cut := range whole {
		assert.NilError(t, os.WriteFile(path, whole[:cut], 0o600))
		_, err := s.Load()
		assert.Assert(t, err != nil, "cut at %d", cut)
	}
	for i := range whole {
		broken := append([]byte(nil), whole...)
		broken[i] ^= 0x55
		assert.NilError(t, os.WriteFile(path, broken, 0o600))
		if known, err := s.Load(); err == nil {
			assert.Equal(t, known[0].ID, encoder.ServerID("a"), "byte %d", i)
		}
	}
}
