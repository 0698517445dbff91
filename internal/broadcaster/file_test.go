package broadcaster_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
)

func TestDirectoryFileRejectsTornFiles(t *testing.T) {
	folder := t.TempDir()
	s := broadcaster.NewFiles(folder).Directory
	servers, err := s.Load()
	assert.NilError(t, err)
	assert.Equal(t, len(servers), 0)
	assert.NilError(t, s.Save([]encoder.Registration{{ID: "a", Service: "plates", Born: 7}}))
	servers, err = s.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, servers[0].ID, encoder.ServerID("a"))
	path := filepath.Join(folder, "directory")
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for length := range whole {
		assert.NilError(t, os.WriteFile(path, whole[:length], 0o600))
		_, err := s.Load()
		assert.Assert(t, err != nil, "truncated to %d bytes", length)
	}
	for i := range whole {
		corrupted := append([]byte(nil), whole...)
		corrupted[i] ^= 0x55
		assert.NilError(t, os.WriteFile(path, corrupted, 0o600))
		if servers, err := s.Load(); err == nil {
			assert.Equal(t, servers[0].ID, encoder.ServerID("a"), "byte %d corrupted", i)
		}
	}
}
