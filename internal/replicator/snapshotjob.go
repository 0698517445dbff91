package replicator

import (
	"github.com/rotisserie/eris"
)

// snapshotJob writes a snapshot's file without blocking the control goroutine, because syncing
// a large file can take longer than an election timeout.
type snapshotJob struct {
	// Set at creation.
	storage Storage
	header  SnapshotHeader
	state   []byte
	done    chan struct{}

	// Written by run before done is closed.
	err error
}

// run writes the file.
func (j *snapshotJob) run() {
	defer close(j.done)
	j.err = j.storage.PrepareSnapshot(j.header, j.state)
}

// isDone reports whether the job has written the file or failed.
func (j *snapshotJob) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// startSnapshot encodes the state machine's state and starts to write it to storage.
func (g *engine) startSnapshot() error {
	state, err := g.machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	g.job = &snapshotJob{
		storage: g.storage,
		header:  g.core.snapshotHeader(state),
		state:   state,
		done:    make(chan struct{}),
	}
	g.launch(g.job)
	return nil
}

// finishSnapshot commits a snapshot once its file is written, and compacts the log.
func (g *engine) finishSnapshot() error {
	if g.job == nil || !g.job.isDone() {
		return nil
	}
	j := g.job
	g.job = nil
	if err := g.commitSnapshot(j.header, j.err); err != nil {
		return err
	}
	g.core.compact(j.header)
	return g.resetLog()
}

// installSnapshot saves a snapshot received from the leader, and the log entries that follow
// it. It discards a snapshot of this member that is still being written, because that one is
// older.
func (g *engine) installSnapshot(s receivedSnapshot) error {
	g.awaitSnapshot()
	g.job = nil
	err := g.storage.PrepareSnapshot(s.header, s.state)
	if err := g.commitSnapshot(s.header, err); err != nil {
		return err
	}
	if err := g.resetLog(); err != nil {
		return err
	}
	return g.restore(s.state)
}

// commitSnapshot replaces the stored snapshot with a prepared one. It returns prepareErr if the
// preparation failed.
func (g *engine) commitSnapshot(h SnapshotHeader, prepareErr error) error {
	if prepareErr != nil {
		return eris.Wrap(prepareErr, "prepare snapshot")
	}
	return eris.Wrap(g.storage.CommitSnapshot(h), "commit snapshot")
}

// resetLog replaces the stored log with the log of the core.
func (g *engine) resetLog() error {
	return eris.Wrap(g.storage.ResetLog(g.core.log.base, g.core.log.entries), "reset log")
}

// awaitSnapshot waits until no snapshot is being written.
func (g *engine) awaitSnapshot() {
	if g.job != nil {
		<-g.job.done
	}
}
