package replicator

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
)

// Defaults of Settings.
const (
	DefaultTick            = 25 * time.Millisecond
	DefaultHeartbeatTicks  = 4
	DefaultElectionTicks   = 30
	DefaultFormationTicks  = 100
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
	DefaultTrailingEntries = 1_000
	DefaultAppendBytes     = 512 << 10
	DefaultChunkBytes      = 256 << 10
)

const (
	// entryOverhead is the size in bytes that an entry counts for besides its data.
	entryOverhead = 32
	// maxInflight bounds the messages with entries that a follower has not acknowledged.
	maxInflight = 16
	// maxSnapshotBytes bounds the snapshot that a follower assembles in memory.
	maxSnapshotBytes = 1 << 30
	// learnerTimeoutElections is after how many election timeouts of silence a leader
	// forgets a learner.
	learnerTimeoutElections = 10
	// replaceAfterElections is after how many election timeouts of silence a voter's place
	// goes to a learner of another name.
	replaceAfterElections = 2
)

// Settings of a member. Zero values of the durations and limits mean the defaults.
type Settings struct {
	// Self is this member. Its Incarnation is set by Open.
	Self Member
	// Initial is the group as the settings name it, with incarnations of zero. It must
	// include Self.
	Initial []Member
	// Voters is the number of voters that the group grows to with members that Initial does
	// not name. Zero means that the group keeps to Initial.
	Voters int

	// Tick is the unit of the timeouts.
	Tick time.Duration
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the shortest time without a leader before an election. The longest
	// is twice as much.
	ElectionTicks int
	// FormationTicks is for how long all hosts must be known to hold nothing before they
	// form a group. Meanwhile others may object by ReportGroup.
	FormationTicks int
	// SnapshotEntries and SnapshotBytes bound the log before a snapshot is taken, unless the
	// state is larger than twice the log.
	SnapshotEntries uint64
	SnapshotBytes   int
	// TrailingEntries stay in the log after a snapshot, for followers that lag a little.
	TrailingEntries uint64
	// AppendBytes bounds the entries of one message, but for a single larger one.
	AppendBytes int
	// ChunkBytes is the size of a message that carries a piece of a snapshot.
	ChunkBytes int
}

// withDefaults fills in zero values.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Tick, DefaultTick)
	setDefault(&s.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&s.ElectionTicks, DefaultElectionTicks)
	setDefault(&s.FormationTicks, DefaultFormationTicks)
	setDefault(&s.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&s.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&s.TrailingEntries, DefaultTrailingEntries)
	setDefault(&s.AppendBytes, DefaultAppendBytes)
	setDefault(&s.ChunkBytes, DefaultChunkBytes)
	s.Initial = slices.Clone(s.Initial)
	slices.SortFunc(s.Initial, compareMembers)
	return s
}

// setDefault sets a value that is zero.
func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// compareMembers orders members by name.
func compareMembers(a, b Member) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// check refuses settings that cannot work.
func (s Settings) check() error {
	names := s.names()
	if s.Voters == 0 && !slices.Contains(names, s.Self.Name) {
		return eris.Wrapf(ErrSettings, "the group %v does not include %q", names, s.Self.Name)
	}
	if len(slices.Compact(slices.Clone(names))) < len(names) {
		return eris.Wrapf(ErrSettings, "the group %v names a host twice", names)
	}
	if s.ElectionTicks <= 2*s.HeartbeatTicks {
		return eris.Wrapf(ErrSettings, "an election timeout of %d ticks does not exceed two heartbeats", s.ElectionTicks)
	}
	return nil
}

// names returns the sorted names of the group.
func (s Settings) names() []identifier.HostName {
	names := []identifier.HostName{}
	for _, m := range s.Initial {
		names = append(names, m.Name)
	}
	return names
}
