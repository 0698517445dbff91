package broadcaster

import (
	"banyandock.example/banyandock/internal/recorder"
)

// restore loads the directory and the quarantines that an earlier process saved.
func (b *Broadcaster) restore() {
	now := b.clock.Now()
	saved, err := b.files.Directory.Load()
	if err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnread)
	} else {
		b.directory.Restore(now, saved)
	}
	quarantines, err := b.files.Quarantines.Load()
	if err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventQuarantinesUnread)
		return
	}
	for _, f := range b.crashTracker.Restore(now, quarantines) {
		b.logFinding(f)
	}
	b.updateQuarantines(now)
	b.savedQuarantines = b.quarantinesDigest
}

// saver saves the directory at intervals, and the quarantines at once when they change.
type saver struct {
	*Broadcaster
}

// loop saves what has changed.
func (s *saver) loop() {
	defer s.tasks.Done()
	ticker := s.clock.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.quarantinesChanged:
			s.saveQuarantines()
		case <-ticker.C:
			s.Save()
			s.saveQuarantines()
		}
	}
}

// saveQuarantines writes the quarantines to their file if they have changed. After a failure, the
// next tick tries again.
func (b *Broadcaster) saveQuarantines() {
	b.mutex.Lock()
	digest, quarantines := b.quarantinesDigest, b.quarantines
	isSaved := digest == b.savedQuarantines
	b.mutex.Unlock()
	if isSaved {
		return
	}
	if err := b.files.Quarantines.Save(quarantines); err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventQuarantinesUnsaved)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.savedQuarantines = digest
}

// Save writes the directory to its file if it has changed. A failure is logged and matters only if
// the keeper restarts before a later save succeeds.
func (b *Broadcaster) Save() {
	b.mutex.Lock()
	lastChange := b.base + uint64(len(b.changes))
	if lastChange == b.savedChange {
		b.mutex.Unlock()
		return
	}
	all := b.directory.All(b.clock.Now())
	b.mutex.Unlock()
	if err := b.files.Directory.Save(all); err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnsaved)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.savedChange = max(b.savedChange, lastChange)
}
