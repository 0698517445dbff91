package replicator

import (
	"banyandock.example/banyandock/internal/identifier"
)

// startPreVote starts a pre-vote, which checks whether an election would succeed before the
// term rises. Without it, a member that returns from a network partition would depose a working
// leader by its higher term.
func (c *core) startPreVote() {
	c.leader = Member{}
	c.role = preCandidate
	c.resetElectionTimeout()
	c.votes = map[identifier.Incarnation]bool{c.self.Incarnation: true}
	if c.hasVotes() {
		c.startElection()
		return
	}
	for _, m := range c.others() {
		c.send(m, preVoteRequest{Candidacy: c.state.Term + 1, Last: c.log.last()})
	}
	// If the change that made this member a voter was lost, the leader has no record of this
	// member, which would then request votes forever. The probes make the leader add it as a
	// learner again.
	c.probeHosts()
}

// startElection starts a new term with this member as a candidate.
func (c *core) startElection() {
	c.role = candidate
	c.resetElectionTimeout()
	c.enterTerm(c.state.Term+1, c.self.Incarnation)
	c.votes = map[identifier.Incarnation]bool{c.self.Incarnation: true}
	if c.hasVotes() {
		c.becomeLeader()
		return
	}
	for _, m := range c.others() {
		c.send(m, voteRequest{Last: c.log.last()})
	}
}

// hasVotes reports whether a quorum has granted its votes.
func (c *core) hasVotes() bool {
	return c.configuration().isQuorum(func(i identifier.Incarnation) bool { return c.votes[i] })
}

// isUpToDate reports whether a candidate's log holds every entry of this member's log that may
// be committed.
func (c *core) isUpToDate(candidate Position) bool {
	own := c.log.last()
	if candidate.Term != own.Term {
		return candidate.Term > own.Term
	}
	return candidate.Index >= own.Index
}

// stepPreVote handles pre-vote messages, which do not depend on the receiver's term. It returns
// false for all other messages.
func (c *core) stepPreVote(m received) bool {
	switch p := m.payload.(type) {
	case preVoteRequest:
		c.receivePreVoteRequest(m, p)
	case preVoteReply:
		c.receivePreVoteReply(m, p)
	default:
		return false
	}
	return true
}

// receivePreVoteRequest replies whether this member would vote for the sender. It ignores this
// member's configuration, which may be older than the sender's.
func (c *core) receivePreVoteRequest(m received, p preVoteRequest) {
	c.reply(m, preVoteReply{
		Candidacy: p.Candidacy,
		Granted:   p.Candidacy > c.state.Term && c.isUpToDate(p.Last) && !c.hasRecentLeader(),
		Removed:   c.isFormer(m.From),
	})
}

// receivePreVoteReply counts a pre-vote.
func (c *core) receivePreVoteReply(m received, p preVoteReply) {
	if p.Removed {
		c.recordRemoval(m.From)
		return
	}
	if !p.Granted {
		if m.Term > c.state.Term {
			c.becomeFollower(m.Term)
		}
		return
	}
	if c.role != preCandidate || p.Candidacy != c.state.Term+1 {
		return
	}
	c.votes[m.From.Incarnation] = true
	if c.hasVotes() {
		c.startElection()
	}
}

// receiveVoteRequest grants this member's vote of the term to the first candidate whose log is
// up to date.
func (c *core) receiveVoteRequest(m received, p voteRequest) {
	isVoteAvailable := c.state.Vote == 0 || c.state.Vote == m.From.Incarnation
	if !isVoteAvailable || !c.isUpToDate(p.Last) {
		c.reply(m, voteReply{})
		return
	}
	if c.role != follower {
		c.becomeFollower(c.state.Term)
	}
	c.recordVote(m.From.Incarnation)
	c.electionElapsed = 0
	c.reply(m, voteReply{Granted: true})
}

// recordVote records the vote of the current term.
func (c *core) recordVote(i identifier.Incarnation) {
	if c.state.Vote == i {
		return
	}
	if !c.ensure(c.state.Vote == 0, InvariantOneVote, "vote for %x after %x", uint64(i), uint64(c.state.Vote)) {
		return
	}
	c.state.Vote = i
	c.isStateDirty = true
}

// receiveVoteReply counts a vote.
func (c *core) receiveVoteReply(m received, p voteReply) {
	if c.role != candidate || !p.Granted {
		return
	}
	c.votes[m.From.Incarnation] = true
	if c.hasVotes() {
		c.becomeLeader()
	}
}

// becomeLeader appends an empty entry of the new term, because a leader can determine which
// earlier entries are committed only by committing an entry of its own term.
func (c *core) becomeLeader() {
	if !c.ensure(c.termLeader == 0, InvariantOneLeader, "%x leads already", uint64(c.termLeader)) {
		return
	}
	c.ensure(c.isVoter(), InvariantLeaderVotes, "elected without a vote")
	c.role = leader
	c.leader = c.self
	c.termLeader = c.self.Incarnation
	c.learners = map[identifier.Incarnation]Member{}
	c.peers = map[identifier.Incarnation]*peer{}
	c.joiningVoter = Member{}
	c.round = 0
	c.confirmedRound = 0
	c.updatePeers()
	c.termStart = c.log.last().Index + 1
	c.appendEntry(EntryNoop, nil)
	c.emit(EventElected, Member{})
}
