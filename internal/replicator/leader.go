package replicator

import (
	"maps"
	"slices"

	"banyandock.example/banyandock/internal/identifier"
)

// peer is a leader's state of replication to another member.
type peer struct {
	member Member
	// match is the last index up to which the member's log is known to equal the leader's and
	// to be synced. next is the index of the next entry to send.
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged message that carries entries.
	inflight []uint64
	// isProbing is set until the last index at which both logs match is found. Meanwhile one
	// message at a time is sent, and isPaused is set while it is outstanding.
	isProbing bool
	isPaused  bool
	// lastReplyTick is the tick of the last reply, or of the peer's creation. round is the last
	// round that the peer replied to.
	lastReplyTick uint64
	round         uint64
	// sentCommit and sentRound are the commit index and the round that were last sent to the
	// peer.
	sentCommit uint64
	sentRound  uint64
	// snapshotTransfer is not nil while a snapshot is being sent.
	snapshotTransfer *snapshotTransfer
}

// tickLeader sends heartbeats. It steps down if a quorum no longer replies.
func (c *core) tickLeader() {
	if c.now%uint64(c.settings.HeartbeatTicks) != 0 {
		return
	}
	if !c.configuration().isQuorum(c.isActive) {
		// The other side of a network partition may have elected a leader.
		c.becomeFollower(c.state.Term)
		return
	}
	c.removeInactiveLearners()
	c.advanceMembership()
	for _, p := range c.sortedPeers() {
		p.isPaused = false
		c.sendHeartbeat(p)
	}
}

// removeInactiveLearners removes the learners that have not replied for learnerTimeoutElections
// election timeouts.
func (c *core) removeInactiveLearners() {
	limit := uint64(learnerTimeoutElections * c.settings.ElectionTicks)
	for _, i := range sortedKeys(c.learners) {
		if p := c.peers[i]; p != nil && c.now-p.lastReplyTick < limit {
			continue
		}
		delete(c.learners, i)
		c.updatePeers()
	}
}

// sortedPeers returns the peers in a fixed order, so that equal inputs lead to equal outputs.
func (c *core) sortedPeers() []*peer {
	peers := []*peer{}
	for _, i := range sortedKeys(c.peers) {
		peers = append(peers, c.peers[i])
	}
	return peers
}

// sortedKeys returns a map's keys in ascending order.
func sortedKeys[V any](m map[identifier.Incarnation]V) []identifier.Incarnation {
	return slices.Sorted(maps.Keys(m))
}

// propose appends a command to the leader's log and returns its position.
func (c *core) propose(command []byte) Position {
	c.appendEntry(EntryCommand, command)
	return c.log.last()
}

// appendEntry appends an entry of the leader's term.
func (c *core) appendEntry(kind EntryKind, data []byte) {
	e := Entry{Index: c.log.last().Index + 1, Term: c.state.Term, Kind: kind, Data: data}
	c.pushEntries([]Entry{e})
}

// pushEntries appends entries that follow the last one in the log.
func (c *core) pushEntries(entries []Entry) {
	c.log.push(entries)
	c.addConfigurations(entries)
}

// replicate sends each peer the entries that it lacks, as far as its in-flight window allows.
func (c *core) replicate() {
	for _, p := range c.sortedPeers() {
		c.replicateTo(p)
	}
}

// replicateTo sends a peer entries or a part of a snapshot. It also sends the commit index or
// the current round, if the peer lacks them.
func (c *core) replicateTo(p *peer) {
	if p.snapshotTransfer != nil || p.next <= c.log.base.Index {
		c.sendSnapshot(p)
	} else {
		for p.next <= c.log.last().Index && c.canSend(p) {
			c.sendEntries(p)
		}
	}
	isBehind := p.sentCommit < c.commit && p.match == c.log.last().Index
	if isBehind || p.sentRound < c.round {
		c.sendHeartbeat(p)
	}
}

// canSend reports whether a message with entries may be sent to a peer.
func (c *core) canSend(p *peer) bool {
	if p.isProbing {
		return !p.isPaused
	}
	return len(p.inflight) < maxInflight
}

// sendEntries sends the next entries and advances the next index without waiting for a reply.
func (c *core) sendEntries(p *peer) {
	entries := c.log.from(p.next, c.settings.AppendBytes)
	c.sendAppend(p, entries)
	if p.isProbing {
		p.isPaused = true
		return
	}
	p.next = entries[len(entries)-1].Index + 1
	p.inflight = append(p.inflight, p.next-1)
}

// sendHeartbeat sends an append request without entries. The follower rejects it if it lacks
// the entries sent before, so that lost messages are detected.
func (c *core) sendHeartbeat(p *peer) {
	c.sendAppend(p, nil)
}

// sendAppend sends entries that start at the peer's next index.
func (c *core) sendAppend(p *peer, entries []Entry) {
	previous, ok := c.log.position(p.next - 1)
	if !ok {
		previous = c.log.base
	}
	digest, _ := c.history.digestAt(c.history.applied)
	p.sentCommit = c.commit
	p.sentRound = c.round
	c.sendImmediately(p.member, appendRequest{
		Previous: previous,
		Entries:  entries,
		Commit:   c.commit,
		Round:    c.round,
		Applied:  c.history.applied,
		Digest:   digest,
	})
}

// receiveAppendReply updates a peer's match and next indexes.
func (c *core) receiveAppendReply(m received, r appendReply) {
	p := c.peers[m.From.Incarnation]
	if c.role != leader || p == nil {
		return
	}
	c.recordReply(p, r.Round)
	if r.Rejected {
		c.decreaseNext(p, r.Match)
		return
	}
	if r.Match > c.log.last().Index {
		return
	}
	p.isProbing = false
	p.isPaused = false
	c.acknowledge(p, r.Match)
}

// recordReply records that a peer replied to a message of this term.
func (c *core) recordReply(p *peer, round uint64) {
	p.lastReplyTick = c.now
	p.round = max(p.round, round)
	c.confirmRounds()
}

// acknowledge records that a peer has synced the log up to an index.
func (c *core) acknowledge(p *peer, match uint64) {
	if match > p.match {
		p.match = match
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.match >= c.log.base.Index {
		p.snapshotTransfer = nil
	}
	c.advanceCommit()
}

// decreaseNext lowers a peer's next index after a rejection, to find the last index at which
// both logs match.
func (c *core) decreaseNext(p *peer, hint uint64) {
	next := max(p.match+1, min(hint+1, p.next))
	p.isProbing = true
	p.isPaused = next == p.next && p.isPaused
	p.next = next
	p.inflight = nil
}

// advanceCommit commits the entries that a quorum has synced. A leader may commit only entries
// of its own term by counting replicas. A leader whose last entry has a later term may still
// replace an earlier entry, even if a quorum holds it.
func (c *core) advanceCommit() {
	index := c.configuration().quorumIndex(c.syncedIndex)
	if index <= c.commit {
		return
	}
	p, _ := c.log.position(index)
	if p.Term != c.state.Term {
		return
	}
	c.ensure(p.Term == c.state.Term, InvariantOwnTermCommit, "index %d of term %d", index, p.Term)
	c.setCommit(index)
	c.advanceMembership()
}

// syncedIndex returns the last index that a member is known to have synced.
func (c *core) syncedIndex(i identifier.Incarnation) uint64 {
	if i == c.self.Incarnation {
		return c.log.stable
	}
	if p := c.peers[i]; p != nil {
		return p.match
	}
	return 0
}

// startRead starts a round. Once a quorum has replied to it, no later leader can have committed
// anything before the round started. It returns the round and the index that must be applied
// before the read.
func (c *core) startRead() (round, index uint64) {
	c.round++
	c.confirmRounds()
	return c.round, max(c.commit, c.termStart)
}

// confirmRounds updates the last round that a quorum replied to.
func (c *core) confirmRounds() {
	answered := func(i identifier.Incarnation) uint64 {
		if i == c.self.Incarnation {
			return c.round
		}
		if p := c.peers[i]; p != nil {
			return p.round
		}
		return 0
	}
	c.confirmedRound = max(c.confirmedRound, c.configuration().quorumIndex(answered))
}
