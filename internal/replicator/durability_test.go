package replicator_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

// kill ends the process without a loss of power: the operating system keeps what was written, but not
// synced.
func (d *fakeDisk) kill() { d.crashAfter = -1 }

// loseUnsynced simulates a loss of power after which everything is gone that was not synced.
func (d *fakeDisk) loseUnsynced() {
	d.names = maps.Clone(d.synced)
	for _, c := range d.names {
		c.bytes = slices.Clone(c.synced)
	}
	d.crashAfter = -1
}

// openOn opens a journal on a disk.
func openOn(t *testing.T, d *fakeDisk) *journaler.Journal {
	t.Helper()
	j, err := journaler.Open("", journaler.WithDisk(d), journaler.WithIncarnations(func() identifier.Incarnation {
		return identifier.Incarnation(d.random.Uint64() | 1)
	}))
	assert.NilError(t, err)
	return j
}

// loadFrom loads what a disk holds.
func loadFrom(t *testing.T, d *fakeDisk) (*journaler.Journal, replicator.Stored) {
	t.Helper()
	j := openOn(t, d)
	s, err := j.Load()
	assert.NilError(t, err)
	return j, s
}

// writeAll changes each part of the storage. It stops at the first error.
func writeAll(j *journaler.Journal, state replicator.HardState) {
	header := replicator.SnapshotHeader{Last: replicator.Position{Index: 2, Term: 1}, Size: 0, Checksum: emptyChecksum}
	for _, write := range []func() error{
		func() error { return j.Append([]replicator.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}) },
		func() error {
			state.Term, state.Vote = 2, 7
			return j.SaveState(state)
		},
		func() error { return j.Append([]replicator.Entry{{Index: 3, Term: 2}}) },
		func() error { return j.PrepareSnapshot(header, nil) },
		func() error { return j.CommitSnapshot(header) },
		func() error { return j.ResetLog(header.Last, []replicator.Entry{{Index: 3, Term: 2}}) },
		func() error { return j.Append([]replicator.Entry{{Index: 4, Term: 2}}) },
	} {
		if write() != nil {
			return
		}
	}
}

// emptyChecksum is the xxhash of no bytes.
const emptyChecksum = 0xef46db3751d8e999

// TestLoadedStateSurvivesALossOfPower guards against an acknowledged entry or a vote that is lost: a process
// is killed between a write and its sync, the next one reads what was written and acts on it, and then
// the host loses power. One more process may be killed between the two, at any operation of its start.
func TestLoadedStateSurvivesALossOfPower(t *testing.T) {
	const writes, starts = 60, 20
	for n := range writes {
		for m := range starts {
			d := newFakeDisk(rand.New(rand.NewPCG(1, 1)))
			j, s := loadFrom(t, d)
			d.crashAfter = n
			writeAll(j, s.State)
			d.kill()
			d.crashAfter = m
			_, _ = openOn(t, d).Load()
			d.kill()
			_, loaded := loadFrom(t, d)
			d.loseUnsynced()
			_, survived := loadFrom(t, d)
			assert.DeepEqual(t, survived, loaded)
		}
	}
}

// TestFirstStartSurvivesALossOfPower kills the process at any operation of its first start. The incarnation that
// the next one acts under must survive a loss of power.
func TestFirstStartSurvivesALossOfPower(t *testing.T) {
	const starts = 30
	for m := range starts {
		d := newFakeDisk(rand.New(rand.NewPCG(1, 1)))
		d.crashAfter = m
		_, _ = openOn(t, d).Load()
		d.kill()
		_, loaded := loadFrom(t, d)
		d.loseUnsynced()
		_, survived := loadFrom(t, d)
		assert.DeepEqual(t, survived, loaded)
	}
}
