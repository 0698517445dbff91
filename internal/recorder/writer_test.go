package recorder_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/timekeeper"
)

// blockedWriter blocks each write until it is released.
type blockedWriter struct {
	released chan struct{}
}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// buffer keeps the written text.
type buffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *buffer) count(part string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Count(b.text.String(), part)
}

// TestWriteNeverBlocks logs to a writer that blocks, as a pipe does that nobody reads from.
func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		w := recorder.NewWriter(out, timekeeper.System{})
		log := zerolog.New(w)
		start := time.Now()
		for range 100_000 {
			log.Error().Msg("no reply")
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, w.Dropped() > 90_000, "%d", w.Dropped())
		assert.NilError(t, w.Close())
		close(out.released)
	})
}

// TestOrdinaryLinesAreDroppedBeforeFailures floods the log with lines at the info level.
func TestOrdinaryLinesAreDroppedBeforeFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		w := recorder.NewWriter(out, timekeeper.System{})
		log := zerolog.New(w)
		for i := range 100 {
			for range 300 {
				log.Info().Str("filler", strings.Repeat("x", 100)).Msg("ordinary")
			}
			log.Warn().Msg(fmt.Sprintf("failure %d;", i))
			synctest.Wait()
		}
		time.Sleep(20 * time.Second)
		assert.NilError(t, w.Close())
		assert.Equal(t, out.count("failure"), 100)
		assert.Assert(t, out.count("ordinary") < 30_000)
		assert.Equal(t, out.count(recorder.EventDropped), 1)
	})
}
