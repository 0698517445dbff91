package routekeeperrunner

import (
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/timekeeper"
)

// slowWriteThreshold is the minimum duration of a synced write that is logged. Writes that take not
// much longer lead to an election.
const slowWriteThreshold = 200 * time.Millisecond

// timedStorage measures the latency of a storage's writes, each of which includes a sync.
type timedStorage struct {
	replicator.Storage
	clock   timekeeper.Clock
	latency *measurer.Latency
	log     zerolog.Logger
}

// Append appends entries and measures the latency.
func (s timedStorage) Append(entries []replicator.Entry) error {
	startedAt := s.clock.Now()
	defer func() { s.measure(startedAt) }()
	return s.Storage.Append(entries)
}

// SaveState writes the state file and measures the latency.
func (s timedStorage) SaveState(state replicator.HardState) error {
	startedAt := s.clock.Now()
	defer func() { s.measure(startedAt) }()
	return s.Storage.SaveState(state)
}

// measure records the latency of one write and logs a slow one.
func (s timedStorage) measure(startedAt time.Time) {
	elapsed := s.clock.Now().Sub(startedAt)
	s.latency.Record(elapsed)
	if elapsed >= slowWriteThreshold {
		s.log.Warn().Int64(recorder.FieldElapsed, elapsed.Milliseconds()).Msg(recorder.EventSlowDisk)
	}
}
