package launcher

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/settingsreader"
)

// fileSettings contains the text of a test's settings file.
type fileSettings struct {
	settingsreader.Common
	text string
}

// readText reads a test's settings file.
func readText(path string) (fileSettings, error) {
	text, err := os.ReadFile(path)
	return fileSettings{text: string(text)}, err
}

// TestReload sends SIGHUP, whose default effect would terminate the process, and then changes the
// file without a signal.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte("one"), 0o600))
	p := newProcess("test", settingsreader.Common{}, io.Discard)
	texts := make(chan string, 10)
	p.OnReload(func(s Settings) { texts <- s.(fileSettings).text })
	ctx, cancel := context.WithCancel(t.Context())
	r := startReloader(ctx, p, path, readText)
	defer func() {
		cancel()
		r.tasks.Wait()
	}()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-texts, "one")
	assert.NilError(t, os.WriteFile(path, []byte("two"), 0o600))
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	assert.Equal(t, <-texts, "two")
}
