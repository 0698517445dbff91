package replicator

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
)

// role is a member's part in its term.
type role uint8

// Roles.
const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// core decides. It does no input or output: it is stepped by messages and ticks, and its
// output is taken by the engine, which persists before it sends. It is not safe for
// concurrent use.
type core struct {
	// Set at creation.
	settings Settings
	options  *options
	self     Member
	// readSnapshot reads a piece of the stored snapshot.
	readSnapshot func(offset int64, limit int) ([]byte, error)

	// Durable state, and whether it differs from what storage holds.
	state      HardState
	stateDirty bool
	log        *entryLog
	snapshot   SnapshotHeader
	// configurations are those of the snapshot and of the log's entries, oldest first.
	configurations []configurationAt

	// State of the term.
	role    role
	leader  Member
	ledBy   identifier.Incarnation
	votes   map[identifier.Incarnation]bool
	commit  uint64
	history history

	// Time in ticks. quiet counts the ticks since a leader was heard or a vote was given.
	now     uint64
	quiet   int
	timeout int

	// State of a leader.
	peers    map[identifier.Incarnation]*peer
	learners map[identifier.Incarnation]Member
	// replaced is the member whose place in the configuration is not yet committed.
	replaced       Member
	termStart      uint64
	round          uint64
	confirmedRound uint64

	// State of a founder, and of a follower that receives a snapshot.
	// allBlank is for how many ticks all hosts have been known to hold nothing.
	probes   map[identifier.HostName]heardProbe
	allBlank int
	// contacts are the addresses at which a member without a vote announces itself.
	contacts map[identifier.HostName]netip.AddrPort
	assembly *assembly

	output output
}

// output is what the engine has to do, in the order of the fields.
type output struct {
	// state is set if it must be saved before all else.
	state *HardState
	// prompt may be sent before the entries are synced.
	prompt []outgoing
	// snapshot is set if a received snapshot must be saved and restored.
	snapshot *receivedSnapshot
	// entries must be appended and synced.
	entries []Entry
	// synced may be sent only after everything above is durable.
	synced []outgoing
}

// isEmpty tells whether there is nothing to do.
func (o output) isEmpty() bool {
	return o.state == nil && o.snapshot == nil && len(o.prompt) == 0 && len(o.entries) == 0 && len(o.synced) == 0
}

// outgoing is an encoded message and its receiver.
type outgoing struct {
	to      Member
	message []byte
}

// newCore returns a member as storage remembers it.
func newCore(settings Settings, o *options, s Stored, readSnapshot func(int64, int) ([]byte, error)) *core {
	c := &core{
		settings:     settings,
		options:      o,
		self:         settings.Self,
		readSnapshot: readSnapshot,
		state:        s.State,
		log:          newEntryLog(s, o.marker),
		snapshot:     s.Snapshot,
		commit:       s.Snapshot.Last.Index,
		probes:       map[identifier.HostName]heardProbe{},
		contacts:     map[identifier.HostName]netip.AddrPort{},
	}
	c.self.Incarnation = s.State.Self
	c.history.reset(s.Snapshot.Last.Index, s.Snapshot.Digest)
	c.rebuildConfigurations()
	c.meet(settings.Initial)
	c.meet(c.configuration().members())
	c.resetTimeout()
	return c
}

// tick advances the time by one tick.
func (c *core) tick() {
	c.now++
	if c.role == leader {
		c.tickLeader()
		return
	}
	c.quiet++
	if !c.isVoter() {
		c.tickOutsider()
		return
	}
	if c.quiet >= c.timeout {
		c.startPreVote()
	}
}

// step handles a message.
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

// stepTerm compares the message's term with the member's. It returns false if the message
// is answered or ignored.
func (c *core) stepTerm(m received) bool {
	if m.Term < c.state.Term {
		c.answerStale(m)
		return false
	}
	if m.Term == c.state.Term {
		return true
	}
	if _, ok := m.payload.(voteRequest); ok && c.hearsLeader() {
		// A candidate that passed a pre-vote before this leader was elected must not
		// depose it.
		return false
	}
	c.becomeFollower(m.Term)
	return true
}

// answerStale tells the sender of a request from an earlier term the present one.
func (c *core) answerStale(m received) {
	switch p := m.payload.(type) {
	case appendRequest:
		c.reply(m, appendReply{Rejected: true, Round: p.Round})
	case snapshotChunk:
		c.reply(m, snapshotReply{})
	case voteRequest:
		c.reply(m, voteReply{})
	}
}

// becomeFollower enters a term, or gives up a candidacy or leadership in the present one.
func (c *core) becomeFollower(term uint64) {
	if c.role == leader {
		c.emit(EventSteppedDown, Member{})
	}
	c.role = follower
	c.leader = Member{}
	c.peers = nil
	c.learners = nil
	c.assembly = nil
	c.resetTimeout()
	if term != c.state.Term {
		c.enterTerm(term, 0)
	}
}

// enterTerm starts a later term with a vote or none.
func (c *core) enterTerm(term uint64, vote identifier.Incarnation) {
	if !c.ensure(term > c.state.Term, InvariantTermGrows, "term %d after %d", term, c.state.Term) {
		return
	}
	c.state.Term = term
	c.state.Vote = vote
	c.ledBy = 0
	c.stateDirty = true
}

// follow records the leader of the present term.
func (c *core) follow(m Member) {
	isSole := c.role != leader && (c.ledBy == 0 || c.ledBy == m.Incarnation)
	if !c.ensure(isSole, InvariantOneLeader, "%x leads besides %x", uint64(m.Incarnation), uint64(c.ledBy)) {
		return
	}
	if c.role != follower {
		c.becomeFollower(c.state.Term)
	}
	c.quiet = 0
	c.ledBy = m.Incarnation
	if c.leader.Incarnation != m.Incarnation {
		c.leader = m
		c.emit(EventFollowing, m)
	}
}

// hearsLeader tells whether a leader was heard within the shortest election timeout.
func (c *core) hearsLeader() bool {
	return c.role == leader || c.leader.Incarnation != 0 && c.quiet < c.settings.ElectionTicks
}

// resetTimeout draws the time until the next candidacy.
func (c *core) resetTimeout() {
	c.quiet = 0
	c.timeout = c.settings.ElectionTicks + c.options.random.IntN(c.settings.ElectionTicks)
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

// persisted records that storage holds the log.
func (c *core) persisted() {
	c.log.stable = c.log.last().Index
	if c.role == leader {
		c.advanceCommit()
	}
}

// takeOutput returns what there is to do and forgets it.
func (c *core) takeOutput() output {
	if c.role == leader {
		c.replicate()
	}
	out := c.output
	c.output = output{}
	if c.stateDirty {
		s := c.state
		out.state = &s
		c.stateDirty = false
	}
	out.entries = c.log.unstable()
	return out
}

// send queues a message that must not leave before all state is durable.
func (c *core) send(to Member, p payload) {
	c.output.synced = append(c.output.synced, c.encode(to, p))
}

// sendPrompt queues a message that may leave before the log is durable.
func (c *core) sendPrompt(to Member, p payload) {
	c.output.prompt = append(c.output.prompt, c.encode(to, p))
}

// reply queues an answer to a message's sender.
func (c *core) reply(m received, p payload) {
	c.send(m.From, p)
}

// encode renders a message at once, since the state that it shows may change before it is
// sent.
func (c *core) encode(to Member, p payload) outgoing {
	e := envelope{From: c.self, To: to.Incarnation, Group: c.state.Group, Term: c.state.Term}
	b, err := encodeMessage(e, p)
	if err != nil {
		// The payloads are plain structs, which msgpack always encodes.
		panic(err)
	}
	return outgoing{to: to, message: b}
}
