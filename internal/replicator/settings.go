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
	// entryOverhead is the number of bytes that an entry counts in addition to its data.
	entryOverhead = 32
	// maxInflight bounds the messages with entries that a follower has not yet acknowledged.
	maxInflight = 16
	// maxSnapshotBytes bounds the size of a snapshot that a follower receives into memory.
	maxSnapshotBytes = 1 << 30
	// learnerTimeoutElections is the number of election timeouts without a reply after which a
	// leader removes a learner.
	learnerTimeoutElections = 10
	// replaceAfterElections is the number of election timeouts without a reply after which a
	// learner with another name may replace a voter.
	replaceAfterElections = 2
)

// Settings configures a member. Zero durations and limits mean the defaults.
type Settings struct {
	// Self is this member. Its Incarnation is ignored: the one in storage applies.
	Self Member
	// Initial holds the hosts of the initial group, with zero incarnations. It must include
	// Self unless Voters is set.
	Initial []Member
	// StartedBefore states that the hosts of the group have started before. An empty disk of this
	// member is then new or a replacement, and proves nothing about the group. Without it, an empty
	// disk means that this is the first start.
	StartedBefore bool
	// Known holds further members that may know the group. A member with an empty log finds its group
	// through them if all hosts of Initial have been replaced.
	Known []Member
	// Voters is the number of voters that the group grows to, with members that Initial does
	// not name. Zero means that the voters are always the hosts of Initial.
	Voters int

	// Tick is the unit of all other times in these settings.
	Tick time.Duration
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the shortest time without a leader before a member starts an election.
	// The actual time is random and less than twice as long.
	ElectionTicks int
	// FormationTicks is the time for which all hosts must be known to have empty logs before
	// they form a group. During that time ReportGroup can prevent it.
	FormationTicks int
	// SnapshotEntries and SnapshotBytes bound the log: a snapshot is taken when the log exceeds
	// either, unless the state is more than twice as large as the log.
	SnapshotEntries uint64
	SnapshotBytes   int
	// TrailingEntries is the number of entries that stay in the log after a snapshot, so that
	// followers that lag slightly need no snapshot. Fewer stay if they are large.
	TrailingEntries uint64
	// AppendBytes bounds the size of the entries in one message. A larger entry is sent in
	// a message of its own.
	AppendBytes int
	// ChunkBytes is the size of the part of a snapshot that one message carries.
	ChunkBytes int
}

// withDefaults returns the settings with defaults for zero values, and with Initial sorted by
// name.
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

// setDefault sets value to defaultValue if it is zero.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// compareMembers compares members by name.
func compareMembers(a, b Member) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// validate returns an error that matches ErrSettings if the settings are invalid.
func (s Settings) validate() error {
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

// names returns the names of the initial hosts, which withDefaults has sorted.
func (s Settings) names() []identifier.HostName {
	names := []identifier.HostName{}
	for _, m := range s.Initial {
		names = append(names, m.Name)
	}
	return names
}
