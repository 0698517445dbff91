package dockrunner

import (
	"context"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// quietPeriod is how long a stopping dock must have been without batches before it closes its
	// links.
	quietPeriod = 200 * time.Millisecond
	// quietCheckInterval is the time between two checks for that.
	quietCheckInterval = 20 * time.Millisecond
)

// batchServer passes batches to the owner and counts those in progress, so that a stopping dock can
// finish them. It is safe for concurrent use.
type batchServer struct {
	// Set at creation.
	owner  *owner.Owner
	events *tracer.Tracer

	// Guarded by mutex.
	mutex   sync.Mutex
	running int
	lastEnd time.Time
}

func newBatchServer(o *owner.Owner, events *tracer.Tracer) *batchServer {
	return &batchServer{owner: o, events: events}
}

// Handle runs one batch and returns the owner's reply.
func (s *batchServer) Handle(ctx context.Context, b encoder.ShardBatch) encoder.BatchReply {
	s.begin()
	defer s.end()
	s.events.Record(tracer.BatchReceived, b.Request, "", tracer.F("attempt", b.Attempt), tracer.F("root", b.Root), tracer.F("shards", len(b.Shards)), tracer.F("canary", b.Canary))
	reply := s.owner.Handle(ctx, b)
	s.events.Record(tracer.BatchAnswered, b.Request, "", tracer.F("attempt", b.Attempt), tracer.F("covered", len(reply.Covered)), tracer.F("missing", len(reply.Missing)), tracer.F("subrequests", reply.Subrequests))
	return reply
}

func (s *batchServer) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running++
}

func (s *batchServer) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.lastEnd = time.Now()
}

// isQuiet reports whether no batch is in progress and the last one ended at least quietPeriod ago.
func (s *batchServer) isQuiet() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running == 0 && time.Since(s.lastEnd) > quietPeriod
}

// awaitQuiet waits until isQuiet reports true or the context ends.
func (s *batchServer) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietCheckInterval)
	defer ticker.Stop()
	for !s.isQuiet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
