package replicator

import (
	"banyandock.example/banyandock/internal/identifier"
)

// EntryKind is the kind of data in a log entry.
type EntryKind uint8

// Entry kinds. The numbers are part of the log's format: new kinds must be added at the end.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of a leader's term. It has no data.
	EntryNoop
	// EntryConfiguration holds an encoded Configuration.
	EntryConfiguration
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Position identifies a log entry by index and term. The zero Position precedes all entries.
type Position struct {
	Index uint64
	Term  uint64
}

// HardState is the state that a member must keep across restarts, apart from the log.
type HardState struct {
	// Self is the member's incarnation, which was chosen when the data folder was empty.
	Self identifier.Incarnation
	// Group is the incarnation of the member that formed the group. Zero means none yet.
	Group identifier.Incarnation
	Term  uint64
	// Vote is the candidate that got this member's vote in Term. Zero means none.
	Vote identifier.Incarnation
	// GroupSeen means that an earlier group was reported. It forbids this member to form a new
	// one.
	GroupSeen bool
	// FirstStart means that this disk has been in use since the first start of all hosts, of which
	// this member was one of the initial ones. While its log is empty, this member has stored no
	// entry of any group. A release that does not know the field stores it as false.
	FirstStart bool
	// Removed means that another incarnation has permanently replaced this member.
	Removed bool
}

// SnapshotHeader describes a snapshot. The zero header means that there is no snapshot.
type SnapshotHeader struct {
	// Last is the last entry that the snapshot includes.
	Last Position
	// Configuration is the one in effect at Last. ConfigurationIndex is the index of its entry.
	Configuration      Configuration
	ConfigurationIndex uint64
	// Digest is the value of the hash chain over all entries up to Last.
	Digest uint64
	// Size is the length of the state in bytes, and Checksum the xxhash of the state.
	Size     int64
	Checksum uint64
}

// Stored is the content of a data folder, without the state of the snapshot.
type Stored struct {
	State    HardState
	Snapshot SnapshotHeader
	// Base is the entry before the first of Entries.
	Base    Position
	Entries []Entry
}

// Storage keeps a member's state on disk. A method that writes returns only after its effect
// would survive a loss of power. After an error the storage must not be used.
type Storage interface {
	// Load returns the stored content. It is called once, before all other methods. For an
	// empty data folder it chooses a new incarnation, stores it, and returns it as Self of the
	// HardState.
	Load() (Stored, error)
	// SaveState replaces the hard state.
	SaveState(state HardState) error
	// Append writes entries with consecutive indexes. The first one replaces the stored entry
	// with its index, if any, and all later ones.
	Append(entries []Entry) error
	// PrepareSnapshot writes a snapshot without replacing the stored one. It may run
	// concurrently with all other methods except itself and CommitSnapshot.
	PrepareSnapshot(header SnapshotHeader, state []byte) error
	// CommitSnapshot replaces the stored snapshot with the prepared one.
	CommitSnapshot(header SnapshotHeader) error
	// ReadSnapshot returns up to limit bytes of the state of the stored snapshot, from an
	// offset on.
	ReadSnapshot(offset int64, limit int) ([]byte, error)
	// ResetLog replaces the whole log with entries that follow base.
	ResetLog(base Position, entries []Entry) error
	// Close releases the data folder.
	Close() error
}
