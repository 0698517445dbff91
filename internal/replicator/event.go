package replicator

//go:generate ../../bin/enumer -type EventKind -trimprefix Event -transform snake -output eventkind_enumer.go

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	// EventGroupFormed means that this member formed the group.
	EventGroupFormed EventKind = iota
	// EventGroupJoined means that this member, whose log was empty, joined a group.
	EventGroupJoined
	// EventElected means that this member became the leader of Term.
	EventElected
	// EventSteppedDown means that this member is no longer the leader.
	EventSteppedDown
	// EventFollowing means that this member follows Member in Term.
	EventFollowing
	// EventLearnerAdded means that the leader started to replicate to Member, which has no
	// vote.
	EventLearnerAdded
	// EventReplacementStarted means that the leader proposed a configuration that gives Member
	// a vote, as a further voter or in place of another one.
	EventReplacementStarted
	// EventReplacementCommitted means that the configuration that gives Member a vote is
	// committed.
	EventReplacementCommitted
	// EventRemoved means that another incarnation has replaced this member.
	EventRemoved
	// EventSnapshotTaken means that this member wrote a snapshot up to Index.
	EventSnapshotTaken
	// EventSnapshotSending means that the leader sends a snapshot to Member.
	EventSnapshotSending
	// EventSnapshotInstalled means that this member received a snapshot up to Index.
	EventSnapshotInstalled
	// EventStorageFailed means that storage failed. The replicator stops, except if only the
	// read of a snapshot that a leader sends to a peer failed.
	EventStorageFailed
	// EventFormationRefused means that all hosts are present with empty logs, but that too few of them
	// have kept their disks since the first start: a group may have existed.
	EventFormationRefused
)

// Event is an occurrence that the replicator reports to the function of WithEvents.
type Event struct {
	Kind EventKind
	Term uint64
	// Index is the log index that the event refers to, or the last index of the log.
	Index uint64
	// Member is the other member involved, if any.
	Member Member
	// Detail holds the text of an error, if any.
	Detail string
}

// emit reports an event.
func (c *core) emit(kind EventKind, m Member) {
	c.options.onEvent(Event{Kind: kind, Term: c.state.Term, Index: c.log.last().Index, Member: m})
}
