package journaler

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/replicator"
)

// open opens a data folder and loads its content.
func open(t testing.TB, path string) (*Journal, replicator.Stored) {
	t.Helper()
	j, err := Open(path)
	assert.NilError(t, err)
	s, err := j.Load()
	assert.NilError(t, err)
	return j, s
}

// reopen closes a journal and opens its folder again.
func reopen(t testing.TB, j *Journal, path string) (*Journal, replicator.Stored) {
	t.Helper()
	assert.NilError(t, j.Close())
	return open(t, path)
}

// entries returns entries of one term with distinct data.
func entries(term, first, last uint64) []replicator.Entry {
	made := []replicator.Entry{}
	for i := first; i <= last; i++ {
		made = append(made, replicator.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "data %d.%d", term, i)})
	}
	return made
}

// snapshotHeaderOf returns the header of a snapshot with a state.
func snapshotHeaderOf(last replicator.Position, state []byte) replicator.SnapshotHeader {
	return replicator.SnapshotHeader{Last: last, Size: int64(len(state)), Checksum: xxhash.Sum64(state)}
}

// saveSnapshot prepares and commits a snapshot.
func saveSnapshot(j *Journal, h replicator.SnapshotHeader, state []byte) error {
	if err := j.PrepareSnapshot(h, state); err != nil {
		return err
	}
	return j.CommitSnapshot(h)
}

// expectLoadError asserts that Load returns an error of a kind that names a file, and that later
// writes fail.
func expectLoadError(t *testing.T, path string, kind error, file string) {
	t.Helper()
	j, err := Open(path)
	assert.NilError(t, err)
	defer func() { _ = j.Close() }()
	_, err = j.Load()
	assert.ErrorIs(t, err, kind)
	assert.ErrorContains(t, err, file)
	assert.ErrorIs(t, j.SaveState(replicator.HardState{}), ErrFailed)
}

func TestStateSurvives(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "folder")
	j, s := open(t, path)
	assert.Assert(t, s.State.Self != 0)
	want := replicator.HardState{Self: s.State.Self, Group: 5, Term: 7, Vote: 9, GroupSeen: true, FirstStart: true}
	assert.NilError(t, j.SaveState(want))
	j, s = reopen(t, j, path)
	assert.DeepEqual(t, s.State, want)
	assert.NilError(t, j.Close())
}

func TestLogSurvivesAndAppendReplacesLaterEntries(t *testing.T) {
	path := t.TempDir()
	j, _ := open(t, path)
	assert.NilError(t, j.Append(entries(1, 1, 5)))
	assert.NilError(t, j.Append(entries(2, 4, 4)))
	j, s := reopen(t, j, path)
	assert.DeepEqual(t, s.Entries, append(entries(1, 1, 3), entries(2, 4, 4)...))
	assert.NilError(t, saveSnapshot(j, snapshotHeaderOf(replicator.Position{Index: 3, Term: 1}, nil), nil))
	assert.NilError(t, j.ResetLog(replicator.Position{Index: 3, Term: 1}, entries(2, 4, 4)))
	assert.NilError(t, j.Append(entries(2, 5, 6)))
	j, s = reopen(t, j, path)
	assert.DeepEqual(t, s.Entries, entries(2, 4, 6))
	assert.Equal(t, s.Base, replicator.Position{Index: 3, Term: 1})
	assert.NilError(t, j.Close())
}

func TestSnapshotSurvivesWithAnyLog(t *testing.T) {
	state := bytes.Repeat([]byte("state"), 100)
	table := map[string]struct {
		last       replicator.Position
		after      func(*Journal) error
		base       uint64
		entryCount int
	}{
		"log not yet shortened":  {replicator.Position{Index: 3, Term: 1}, func(*Journal) error { return nil }, 0, 5},
		"log behind":             {replicator.Position{Index: 9, Term: 2}, func(*Journal) error { return nil }, 9, 0},
		"log contradicts":        {replicator.Position{Index: 3, Term: 2}, func(*Journal) error { return nil }, 3, 0},
		"log shortened":          {replicator.Position{Index: 3, Term: 1}, resetLogTo(3, 4, 5), 3, 2},
		"log shortened to a few": {replicator.Position{Index: 3, Term: 1}, resetLogTo(2, 3, 5), 2, 3},
	}
	for name, c := range table {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir()
			j, _ := open(t, path)
			assert.NilError(t, j.Append(entries(1, 1, 5)))
			assert.NilError(t, saveSnapshot(j, snapshotHeaderOf(c.last, state), state))
			assert.NilError(t, c.after(j))
			j, s := reopen(t, j, path)
			assert.Equal(t, s.Snapshot.Last, c.last)
			assert.Equal(t, s.Base.Index, c.base)
			assert.Equal(t, len(s.Entries), c.entryCount)
			whole, err := j.ReadSnapshot(0, len(state)+1)
			assert.NilError(t, err)
			assert.DeepEqual(t, whole, state)
			piece, err := j.ReadSnapshot(495, 100)
			assert.NilError(t, err)
			assert.Equal(t, string(piece), "state")
			assert.NilError(t, j.Close())
		})
	}
}

func resetLogTo(base, first, last uint64) func(*Journal) error {
	return func(j *Journal) error {
		return j.ResetLog(replicator.Position{Index: base, Term: 1}, entries(1, first, last))
	}
}

func TestTornTailOfAnyLengthIsTruncated(t *testing.T) {
	path := t.TempDir()
	name := filepath.Join(path, logName)
	j, _ := open(t, path)
	assert.NilError(t, j.Append(entries(1, 1, 2)))
	whole := j.size
	assert.NilError(t, j.Append(entries(1, 3, 6)))
	assert.NilError(t, j.Close())
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	for size := whole; size < int64(len(b)); size++ {
		assert.NilError(t, os.WriteFile(name, b[:size], fileMode))
		j, s := open(t, path)
		assert.DeepEqual(t, s.Entries, entries(1, 1, 2))
		assert.NilError(t, j.Append(entries(1, 3, 3)))
		j, s = reopen(t, j, path)
		assert.DeepEqual(t, s.Entries, entries(1, 1, 3))
		assert.NilError(t, j.Close())
	}
}

func TestDamageBeforeTheEndIsRefused(t *testing.T) {
	path := t.TempDir()
	name := filepath.Join(path, logName)
	j, _ := open(t, path)
	assert.NilError(t, j.Append(entries(1, 1, 2)))
	second := j.size
	assert.NilError(t, j.Append(entries(1, 3, 4)))
	assert.NilError(t, j.Close())
	whole, err := os.ReadFile(name)
	assert.NilError(t, err)
	for at := range second {
		b := bytes.Clone(whole)
		b[at] ^= 0x40
		assert.NilError(t, os.WriteFile(name, b, fileMode))
		kind := ErrCorrupt
		if at >= 4 && at < prefixSize {
			kind = ErrVersion
		}
		expectLoadError(t, path, kind, logName)
	}
	b := bytes.Clone(whole)
	b[logHeaderSize+20] ^= 1
	_, err = decodeLog(b)
	var damage *CorruptError
	assert.Assert(t, errors.As(err, &damage))
	assert.Equal(t, damage.Offset, int64(logHeaderSize))
}

func TestDamagedStateAndSnapshotAreRefused(t *testing.T) {
	for _, file := range []string{stateName, snapshotName} {
		path := t.TempDir()
		name := filepath.Join(path, file)
		j, _ := open(t, path)
		state := []byte("state")
		assert.NilError(t, saveSnapshot(j, snapshotHeaderOf(replicator.Position{Index: 2, Term: 1}, state), state))
		assert.NilError(t, j.Close())
		whole, err := os.ReadFile(name)
		assert.NilError(t, err)
		for at := range whole {
			b := bytes.Clone(whole)
			b[at] ^= 0x40
			assert.NilError(t, os.WriteFile(name, b, fileMode))
			kind := ErrCorrupt
			if at >= 4 && at < prefixSize {
				kind = ErrVersion
			}
			expectLoadError(t, path, kind, file)
		}
	}
}

func TestMissingFilesAreRefused(t *testing.T) {
	for _, file := range []string{stateName, logName} {
		path := t.TempDir()
		j, _ := open(t, path)
		assert.NilError(t, j.Append(entries(1, 1, 2)))
		assert.NilError(t, j.Close())
		assert.NilError(t, os.Remove(filepath.Join(path, file)))
		expectLoadError(t, path, ErrCorrupt, file)
	}
}

func TestGapBetweenSnapshotAndLogIsRefused(t *testing.T) {
	path := t.TempDir()
	j, _ := open(t, path)
	assert.NilError(t, j.ResetLog(replicator.Position{Index: 4, Term: 1}, entries(1, 5, 6)))
	assert.NilError(t, j.Close())
	expectLoadError(t, path, ErrCorrupt, logName)
}

func TestTemporaryFilesAreRemoved(t *testing.T) {
	path := t.TempDir()
	name := filepath.Join(path, logName+temporarySuffix)
	assert.NilError(t, os.WriteFile(name, []byte("half"), fileMode))
	j, _ := open(t, path)
	_, err := os.Stat(name)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.NilError(t, j.Close())
}

func TestFolderIsLockedForOneProcess(t *testing.T) {
	path := t.TempDir()
	j, _ := open(t, path)
	_, err := Open(path)
	assert.ErrorIs(t, err, ErrLocked)
	j, _ = reopen(t, j, path)
	assert.NilError(t, j.Close())
}

func FuzzDecodeFiles(f *testing.F) {
	h := logHeader{salt: 11}
	f.Add(append(h.encode(), h.frame(logHeaderSize, entries(1, 1, 3))...))
	f.Add(encodeState(replicator.HardState{Self: 1, Term: 2}))
	head, err := encodeSnapshotHead(snapshotHeaderOf(replicator.Position{Index: 2, Term: 1}, []byte("state")))
	assert.NilError(f, err)
	f.Add(append(head, "state"...))
	f.Add([]byte("BDLG\x00\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := decodeLog(b); err == nil {
			assert.Assert(t, l.size <= int64(len(b)))
		}
		// A payload with a valid checksum may still be malformed.
		l := logContent{}
		_ = l.addPayload(b)
		_, _, _ = decodeSnapshot(b)
		_, _ = decodeState(b)
	})
}
