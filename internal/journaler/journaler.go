// Package journaler stores a member's state in files: hard state, log and snapshot. Each file has a
// format version and checksums. A write returns only after the file is synced, and also the folder
// if file names changed.
package journaler

import (
	"errors"
	"io/fs"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

// temporarySuffix is the suffix of files that are being written.
const temporarySuffix = ".tmp"

// Journal is a replicator's storage in one data folder. It is not safe for concurrent use, except
// that PrepareSnapshot may run at the same time as other methods.
type Journal struct {
	// Set at creation.
	disk   Disk
	random func() identifier.Incarnation

	// Changed by Load and by the methods that write.
	header   logHeader
	log      File
	size     int64
	snapshot File
	// stateOffset and stateSize are the offset and the size in bytes of the state in the
	// snapshot file.
	stateOffset int64
	stateSize   int64
	failed      error
}

var _ replicator.Storage = (*Journal)(nil)

// Option configures a Journal.
type Option func(*Journal)

// WithDisk replaces the operating system's file system. The path given to Open is then not used.
func WithDisk(d Disk) Option {
	return func(j *Journal) { j.disk = d }
}

// WithIncarnations replaces the source of random numbers for incarnations and salts.
func WithIncarnations(random func() identifier.Incarnation) Option {
	return func(j *Journal) { j.random = random }
}

// Open creates a data folder if it does not exist and locks it for this process. It returns
// ErrLocked if another process has locked it.
func Open(path string, options ...Option) (*Journal, error) {
	j := &Journal{random: identifier.NewIncarnation}
	for _, o := range options {
		o(j)
	}
	if j.disk != nil {
		return j, nil
	}
	d, err := openFolder(path)
	if err != nil {
		return nil, err
	}
	j.disk = d
	return j, nil
}

// Load reads the folder, or initializes it if it is empty. It truncates an incomplete last write
// that a crash has left in the log. It returns ErrCorrupt or ErrVersion for invalid files.
func (j *Journal) Load() (replicator.Stored, error) {
	s, err := j.load()
	if err != nil {
		return replicator.Stored{}, j.fail(err)
	}
	return s, nil
}

// load implements Load.
func (j *Journal) load() (replicator.Stored, error) {
	for _, name := range []string{stateName, logName, snapshotName} {
		if err := j.disk.Remove(name + temporarySuffix); err != nil {
			return replicator.Stored{}, err
		}
	}
	s := replicator.Stored{}
	var err error
	if s.Snapshot, err = j.loadSnapshot(); err != nil {
		return s, err
	}
	hasState, err := j.loadState(&s.State)
	if err != nil {
		return s, err
	}
	content, hasLog, err := j.loadLog()
	if err != nil {
		return s, err
	}
	if hasState && !hasLog {
		return s, &CorruptError{File: logName, Reason: "file is missing"}
	}
	if !hasState {
		return j.initialize(s.Snapshot, content)
	}
	if err := j.syncLoaded(); err != nil {
		return s, err
	}
	return s, j.reconcile(&s, content)
}

// syncLoaded makes durable what was read. A process that was killed may have written it and not synced
// it. The state and the snapshot are synced before they get their names.
func (j *Journal) syncLoaded() error {
	if err := j.log.Sync(); err != nil {
		return eris.Wrap(err, "sync log")
	}
	return j.disk.SyncFolder()
}

// initialize writes the first files into a folder that is empty or whose initialization was
// interrupted by a crash.
func (j *Journal) initialize(h replicator.SnapshotHeader, content logContent) (replicator.Stored, error) {
	if h.Last.Index > 0 || len(content.entries) > 0 {
		return replicator.Stored{}, &CorruptError{File: stateName, Reason: "file is missing"}
	}
	if err := j.resetLog(replicator.Position{}, nil); err != nil {
		return replicator.Stored{}, err
	}
	s := replicator.Stored{State: replicator.HardState{Self: j.random()}}
	return s, j.saveState(s.State)
}

// reconcile combines the snapshot and the log. A crash after a snapshot was written and before the
// log was reset leaves a log that ends before the snapshot or conflicts with it. Such a log is
// replaced by an empty one that follows the snapshot.
func (j *Journal) reconcile(s *replicator.Stored, content logContent) error {
	last := s.Snapshot.Last
	if content.header.base.Index > last.Index {
		return &CorruptError{File: logName, Offset: 16, Reason: "entries between snapshot and log are missing"}
	}
	s.Base = content.header.base
	s.Entries = content.entries
	if last.Index == 0 || containsEntry(content, last) {
		return nil
	}
	s.Base = last
	s.Entries = nil
	return j.resetLog(last, nil)
}

// containsEntry reports whether a log contains the entry at a position or starts directly after it.
func containsEntry(content logContent, p replicator.Position) bool {
	if p.Index == content.header.base.Index {
		return p == content.header.base
	}
	if p.Index > content.last().Index {
		return false
	}
	return content.entries[p.Index-content.header.base.Index-1].Term == p.Term
}

// loadState reads the state file. It returns false if there is none.
func (j *Journal) loadState(s *replicator.HardState) (bool, error) {
	b, ok, err := j.readFile(stateName)
	if !ok || err != nil {
		return false, err
	}
	*s, err = decodeState(b)
	return true, err
}

// loadSnapshot reads and checks the snapshot file. The header is zero if there is none.
func (j *Journal) loadSnapshot() (replicator.SnapshotHeader, error) {
	b, ok, err := j.readFile(snapshotName)
	if !ok || err != nil {
		return replicator.SnapshotHeader{}, err
	}
	h, offset, err := decodeSnapshot(b)
	if err != nil {
		return replicator.SnapshotHeader{}, err
	}
	return h, j.openSnapshot(offset, h.Size)
}

// loadLog reads the log file and truncates an incomplete last write. It returns false if there is
// no log file.
func (j *Journal) loadLog() (logContent, bool, error) {
	b, ok, err := j.readFile(logName)
	if !ok || err != nil {
		return logContent{}, false, err
	}
	content, err := decodeLog(b)
	if err != nil {
		return content, true, err
	}
	j.header = content.header
	j.size = content.size
	if j.log, err = j.disk.Open(logName); err != nil {
		return content, true, err
	}
	if content.size == int64(len(b)) {
		return content, true, nil
	}
	return content, true, eris.Wrap(j.log.Truncate(content.size), "truncate log")
}

// readFile returns a file's content. It returns false if there is no such file.
func (j *Journal) readFile(name string) ([]byte, bool, error) {
	f, err := j.disk.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	b, err := readAll(f)
	if err != nil {
		_ = f.Close()
		return nil, true, eris.Wrapf(err, "read %s", name)
	}
	return b, true, eris.Wrapf(f.Close(), "close %s", name)
}

// SaveState replaces the state file.
func (j *Journal) SaveState(s replicator.HardState) error {
	return j.runWrite(func() error { return j.saveState(s) })
}

// saveState implements SaveState.
func (j *Journal) saveState(s replicator.HardState) error {
	return j.replaceFile(stateName, encodeState(s))
}

// Append writes entries as one frame at the end of the log and syncs the log.
func (j *Journal) Append(entries []replicator.Entry) error {
	return j.runWrite(func() error { return j.append(entries) })
}

// append implements Append.
func (j *Journal) append(entries []replicator.Entry) error {
	frame := j.header.frame(j.size, entries)
	if int64(len(frame)) > maxFrameLength {
		return eris.Errorf("frame of %d bytes is too long", len(frame))
	}
	if _, err := j.log.WriteAt(frame, j.size); err != nil {
		return eris.Wrap(err, "write log")
	}
	if err := j.log.Sync(); err != nil {
		return eris.Wrap(err, "sync log")
	}
	j.size += int64(len(frame))
	return nil
}

// PrepareSnapshot writes the snapshot file under its temporary name and syncs it.
func (j *Journal) PrepareSnapshot(h replicator.SnapshotHeader, state []byte) error {
	head, err := encodeSnapshotHead(h)
	if err != nil {
		return err
	}
	return j.writeFile(snapshotName+temporarySuffix, [][]byte{head, state})
}

// CommitSnapshot replaces the snapshot file by the prepared one.
func (j *Journal) CommitSnapshot(h replicator.SnapshotHeader) error {
	return j.runWrite(func() error { return j.commitSnapshot(h) })
}

// commitSnapshot implements CommitSnapshot.
func (j *Journal) commitSnapshot(h replicator.SnapshotHeader) error {
	head, err := encodeSnapshotHead(h)
	if err != nil {
		return err
	}
	if err := j.commitFile(snapshotName); err != nil {
		return err
	}
	return j.openSnapshot(int64(len(head)), h.Size)
}

// openSnapshot opens the snapshot file for ReadSnapshot and closes the previous one.
func (j *Journal) openSnapshot(offset, size int64) error {
	if j.snapshot != nil {
		_ = j.snapshot.Close()
	}
	f, err := j.disk.Open(snapshotName)
	if err != nil {
		return err
	}
	j.snapshot = f
	j.stateOffset = offset
	j.stateSize = size
	return nil
}

// ReadSnapshot returns up to limit bytes of the snapshot's state from an offset in the state.
func (j *Journal) ReadSnapshot(offset int64, limit int) ([]byte, error) {
	length := max(0, min(int64(limit), j.stateSize-offset))
	b := make([]byte, length)
	if length == 0 {
		return b, nil
	}
	if _, err := j.snapshot.ReadAt(b, j.stateOffset+offset); err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	return b, nil
}

// ResetLog replaces the log file by one that contains the given entries after base.
func (j *Journal) ResetLog(base replicator.Position, entries []replicator.Entry) error {
	return j.runWrite(func() error { return j.resetLog(base, entries) })
}

// resetLog implements ResetLog.
func (j *Journal) resetLog(base replicator.Position, entries []replicator.Entry) error {
	h := logHeader{salt: uint64(j.random()), base: base}
	pieces := [][]byte{h.encode()}
	size := int64(logHeaderSize)
	if len(entries) > 0 {
		frame := h.frame(size, entries)
		pieces = append(pieces, frame)
		size += int64(len(frame))
	}
	if err := j.replaceFile(logName, pieces...); err != nil {
		return err
	}
	if j.log != nil {
		_ = j.log.Close()
	}
	f, err := j.disk.Open(logName)
	if err != nil {
		return err
	}
	j.log = f
	j.header = h
	j.size = size
	return nil
}

// replaceFile writes a file under a temporary name, syncs it and renames it, so that after a crash
// either the old or the new file exists.
func (j *Journal) replaceFile(name string, pieces ...[]byte) error {
	if err := j.writeFile(name+temporarySuffix, pieces); err != nil {
		return err
	}
	return j.commitFile(name)
}

// commitFile renames a synced temporary file to its final name and syncs the folder.
func (j *Journal) commitFile(name string) error {
	if err := j.disk.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return j.disk.SyncFolder()
}

// writeFile creates a file from pieces and syncs it.
func (j *Journal) writeFile(name string, pieces [][]byte) error {
	f, err := j.disk.Create(name)
	if err != nil {
		return err
	}
	offset := int64(0)
	for _, p := range pieces {
		if _, err := f.WriteAt(p, offset); err != nil {
			_ = f.Close()
			return eris.Wrapf(err, "write %s", name)
		}
		offset += int64(len(p))
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return eris.Wrapf(err, "sync %s", name)
	}
	return eris.Wrapf(f.Close(), "close %s", name)
}

// runWrite runs a write, or returns ErrFailed if an earlier write failed. After a failed sync the
// kernel may have dropped the pages, so that another sync would succeed without writing them.
func (j *Journal) runWrite(write func() error) error {
	if j.failed != nil {
		return eris.Wrapf(ErrFailed, "%v", j.failed)
	}
	if err := write(); err != nil {
		return j.fail(err)
	}
	return nil
}

// fail records an error, which makes all later writes fail, and returns it.
func (j *Journal) fail(err error) error {
	j.failed = err
	return err
}

// Close closes the files and unlocks the folder.
func (j *Journal) Close() error {
	for _, f := range []File{j.log, j.snapshot} {
		if f != nil {
			_ = f.Close()
		}
	}
	return j.disk.Close()
}
