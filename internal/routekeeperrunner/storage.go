package routekeeperrunner

import (
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/timekeeper"
)

// slowWriteThreshold is how long a synced write takes at least to be logged: an election follows not much
// later.
const slowWriteThreshold = 200 * time.Millisecond

// timedStorage measures the writes of a storage, each of which is synced.
type timedStorage struct {
	replicator.Storage
	clock   timekeeper.Clock
	latency *measurer.Latency
	log     zerolog.Logger
}

// Append measures the append of entries.
func (s timedStorage) Append(entries []replicator.Entry) error {
	began := s.clock.Now()
	defer func() { s.measure(began) }()
	return s.Storage.Append(entries)
}

// SaveState measures the write of the state file.
func (s timedStorage) SaveState(state replicator.HardState) error {
	began := s.clock.Now()
	defer func() { s.measure(began) }()
	return s.Storage.SaveState(state)
}

// measure counts one write.
func (s timedStorage) measure(began time.Time) {
	elapsed := s.clock.Now().Sub(began)
	s.latency.Record(elapsed)
	if elapsed >= slowWriteThreshold {
		s.log.Warn().Int64(recorder.FieldElapsed, elapsed.Milliseconds()).Msg(recorder.EventSlowDisk)
	}
}
