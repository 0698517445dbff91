package governor_test

import (
	"sync"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

// memory is an in-memory storage that keeps its content when a keeper restarts.
type memory struct {
	mutex    sync.Mutex
	stored   replicator.Stored
	snapshot []byte
	prepared []byte
}

func newMemory(incarnation identifier.Incarnation) *memory {
	return &memory{stored: replicator.Stored{State: replicator.HardState{Self: incarnation}}}
}

func (m *memory) Load() (replicator.Stored, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.stored
	s.Entries = append([]replicator.Entry(nil), s.Entries...)
	return s, nil
}

func (m *memory) SaveState(state replicator.HardState) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stored.State = state
	return nil
}

func (m *memory) Append(entries []replicator.Entry) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, e := range entries {
		m.stored.Entries = append(m.stored.Entries[:e.Index-m.stored.Base.Index-1:e.Index-m.stored.Base.Index-1], e)
	}
	return nil
}

func (m *memory) PrepareSnapshot(_ replicator.SnapshotHeader, state []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.prepared = state
	return nil
}

func (m *memory) CommitSnapshot(header replicator.SnapshotHeader) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stored.Snapshot = header
	m.snapshot = m.prepared
	return nil
}

func (m *memory) ReadSnapshot(offset int64, limit int) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rest := m.snapshot[offset:]
	return rest[:min(len(rest), limit)], nil
}

func (m *memory) ResetLog(base replicator.Position, entries []replicator.Entry) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stored.Base = base
	m.stored.Entries = append([]replicator.Entry(nil), entries...)
	return nil
}

func (m *memory) Close() error { return nil }
