package replicator

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
)

// role is a member's Raft role in its current term.
type role uint8

// Roles.
const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// core implements the consensus algorithm without input or output. The engine feeds it messages
// and ticks, takes its output, and persists state before it sends messages. It is not safe for
// concurrent use.
type core struct {
	// Set at creation.
	settings Settings
	options  *options
	self     Member
	// readSnapshot reads a part of the stored snapshot's state.
	readSnapshot func(offset int64, limit int) ([]byte, error)

	// Durable state. isStateDirty is set while state differs from what storage holds.
	state        HardState
	isStateDirty bool
	log          *entryLog
	snapshot     SnapshotHeader
	// configurations holds the configurations of the snapshot and of the log's entries, oldest
	// first.
	configurations []configurationEntry

	// State of the term. leader is the leader that this member follows, or zero if there is
	// none. termLeader is the incarnation that has led the current term, or zero. Unlike
	// leader, it stays set until the term changes.
	role       role
	leader     Member
	termLeader identifier.Incarnation
	votes      map[identifier.Incarnation]bool
	commit     uint64
	history    history
	// heardTerm is the latest term in which a leader told this member its commit index since the start.
	// leaderCommit is the highest such index.
	heardTerm    uint64
	leaderCommit uint64

	// Time in ticks. electionElapsed counts the ticks since this member last received a
	// leader's message, granted a vote or drew a new electionTimeout. A pre-vote starts when it
	// reaches electionTimeout.
	now             uint64
	electionElapsed int
	electionTimeout int

	// State of a leader.
	peers    map[identifier.Incarnation]*peer
	learners map[identifier.Incarnation]Member
	// joiningVoter is the voter that the latest configuration change added, until that change
	// is committed.
	joiningVoter   Member
	termStart      uint64
	round          uint64
	confirmedRound uint64

	// State of a founder, and of a follower that receives a snapshot. allEmptyTicks is the
	// number of ticks for which all hosts have been known to have empty logs. isFormationRefused is
	// set while they do, but too many of them started with a new disk.
	probes             map[identifier.HostName]receivedProbe
	allEmptyTicks      int
	isFormationRefused bool
	// addresses are the addresses to which a member without a vote sends its probes.
	addresses       map[identifier.HostName]netip.AddrPort
	partialSnapshot *partialSnapshot

	output output
}

// output is the work that the engine has to do, in the order of the fields.
type output struct {
	// state is not nil if it must be saved before anything else.
	state *HardState
	// immediate messages may be sent before the entries are synced.
	immediate []outgoingMessage
	// snapshot is not nil if a received snapshot must be saved and restored.
	snapshot *receivedSnapshot
	// entries must be appended and synced.
	entries []Entry
	// afterSync messages must not be sent until everything above is durable.
	afterSync []outgoingMessage
}

// isEmpty reports whether there is no work to do.
func (o output) isEmpty() bool {
	return o.state == nil && o.snapshot == nil && len(o.immediate) == 0 && len(o.entries) == 0 && len(o.afterSync) == 0
}

// outgoingMessage is an encoded message and its receiver.
type outgoingMessage struct {
	to      Member
	message []byte
}

// newCore returns a core with the state that storage holds.
func newCore(settings Settings, o *options, s Stored, readSnapshot func(int64, int) ([]byte, error)) *core {
	c := &core{
		settings:     settings,
		options:      o,
		self:         settings.Self,
		readSnapshot: readSnapshot,
		state:        s.State,
		log:          newEntryLog(s, o.commandNumber),
		snapshot:     s.Snapshot,
		commit:       s.Snapshot.Last.Index,
		probes:       map[identifier.HostName]receivedProbe{},
		addresses:    map[identifier.HostName]netip.AddrPort{},
	}
	c.self.Incarnation = s.State.Self
	c.history.reset(s.Snapshot.Last.Index, s.Snapshot.Digest)
	c.rebuildConfigurations()
	c.recordAddresses(settings.Known)
	c.recordAddresses(settings.Initial)
	c.recordAddresses(c.configuration().members())
	c.recordFirstStart()
	c.resetElectionTimeout()
	return c
}

// tick advances the time by one tick.
func (c *core) tick() {
	c.now++
	if c.role == leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if !c.isVoter() {
		c.tickNonVoter()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.startPreVote()
	}
}

// step handles a received message.
func (c *core) step(m received) {
	if m.To != 0 && m.To != c.self.Incarnation || m.From.Incarnation == c.self.Incarnation {
		c.options.misrouted.Inc(1)
		return
	}
	if p, ok := m.payload.(probe); ok {
		c.receiveProbe(m, p)
		return
	}
	if m.Group != c.state.Group && !c.adoptGroup(m) {
		c.options.misrouted.Inc(1)
		return
	}
	if c.stepPreVote(m) || !c.stepTerm(m) {
		return
	}
	switch p := m.payload.(type) {
	case voteRequest:
		c.receiveVoteRequest(m, p)
	case voteReply:
		c.receiveVoteReply(m, p)
	case appendRequest:
		c.receiveAppend(m, p)
	case appendReply:
		c.receiveAppendReply(m, p)
	case snapshotChunk:
		c.receiveSnapshotChunk(m, p)
	case snapshotReply:
		c.receiveSnapshotReply(m, p)
	}
}

// stepTerm compares the message's term with the member's. It returns false if the message needs
// no further handling, because stepTerm has rejected or ignored it.
func (c *core) stepTerm(m received) bool {
	if m.Term < c.state.Term {
		c.rejectStale(m)
		return false
	}
	if m.Term == c.state.Term {
		return true
	}
	if _, ok := m.payload.(voteRequest); ok && c.hasRecentLeader() {
		// A candidate that won its pre-vote before this leader was elected must not depose the
		// leader.
		return false
	}
	c.becomeFollower(m.Term)
	return true
}

// rejectStale rejects a request from an earlier term. The reply carries the current term.
func (c *core) rejectStale(m received) {
	switch p := m.payload.(type) {
	case appendRequest:
		c.reply(m, appendReply{Rejected: true, Round: p.Round})
	case snapshotChunk:
		c.reply(m, snapshotReply{})
	case voteRequest:
		c.reply(m, voteReply{})
	}
}

// becomeFollower enters a term, or ends a candidacy or leadership in the current one.
func (c *core) becomeFollower(term uint64) {
	if c.role == leader {
		c.emit(EventSteppedDown, Member{})
	}
	c.role = follower
	c.leader = Member{}
	c.peers = nil
	c.learners = nil
	c.partialSnapshot = nil
	c.resetElectionTimeout()
	if term != c.state.Term {
		c.enterTerm(term, 0)
	}
}

// enterTerm starts a later term. vote is the candidate that gets this member's vote, or zero.
func (c *core) enterTerm(term uint64, vote identifier.Incarnation) {
	if !c.ensure(term > c.state.Term, InvariantTermGrows, "term %d after %d", term, c.state.Term) {
		return
	}
	c.state.Term = term
	c.state.Vote = vote
	c.termLeader = 0
	c.isStateDirty = true
}

// follow records the leader of the current term.
func (c *core) follow(m Member) {
	isOnlyLeader := c.role != leader && (c.termLeader == 0 || c.termLeader == m.Incarnation)
	if !c.ensure(isOnlyLeader, InvariantOneLeader, "%x leads besides %x", uint64(m.Incarnation), uint64(c.termLeader)) {
		return
	}
	if c.role != follower {
		c.becomeFollower(c.state.Term)
	}
	c.electionElapsed = 0
	c.termLeader = m.Incarnation
	if c.leader.Incarnation != m.Incarnation {
		c.leader = m
		c.emit(EventFollowing, m)
	}
}

// hasRecentLeader reports whether this member leads or has received a message from a leader
// within the shortest election timeout.
func (c *core) hasRecentLeader() bool {
	return c.role == leader || c.leader.Incarnation != 0 && c.electionElapsed < c.settings.ElectionTicks
}

// resetElectionTimeout restarts the election timer with a random timeout.
func (c *core) resetElectionTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.settings.ElectionTicks + c.options.random.IntN(c.settings.ElectionTicks)
}

// setCommit raises the commit index.
func (c *core) setCommit(index uint64) {
	if index == c.commit {
		return
	}
	isForward := index > c.commit && index <= c.log.last().Index
	if !c.ensure(isForward, InvariantCommitGrows, "commit %d after %d, log ends at %d", index, c.commit, c.log.last().Index) {
		return
	}
	c.commit = index
}

// markPersisted records that storage has synced the whole log.
func (c *core) markPersisted() {
	c.log.stable = c.log.last().Index
	if c.role == leader {
		c.advanceCommit()
	}
}

// takeOutput returns the pending work and clears it.
func (c *core) takeOutput() output {
	if c.role == leader {
		c.replicate()
	}
	out := c.output
	c.output = output{}
	if c.isStateDirty {
		s := c.state
		out.state = &s
		c.isStateDirty = false
	}
	out.entries = c.log.unstable()
	return out
}

// send queues a message that must not be sent until all state is durable.
func (c *core) send(to Member, p payload) {
	c.output.afterSync = append(c.output.afterSync, c.encode(to, p))
}

// sendImmediately queues a message that may be sent before the log is durable.
func (c *core) sendImmediately(to Member, p payload) {
	c.output.immediate = append(c.output.immediate, c.encode(to, p))
}

// reply queues a reply to a message's sender.
func (c *core) reply(m received, p payload) {
	c.send(m.From, p)
}

// encode encodes a message right away, because the state that it contains may change before the
// message is sent.
func (c *core) encode(to Member, p payload) outgoingMessage {
	e := envelope{From: c.self, To: to.Incarnation, Group: c.state.Group, Term: c.state.Term}
	b, err := encodeMessage(e, p)
	if err != nil {
		// The payloads are plain structs, which msgpack always encodes.
		panic(err)
	}
	return outgoingMessage{to: to, message: b}
}
