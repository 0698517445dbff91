package replicator

import (
	"slices"
)

// Status is a member's state. It includes only log entries that are synced.
type Status struct {
	Self Member
	// Leader is zero if no leader is known.
	Leader   Member
	IsLeader bool
	// IsVoter is set if this member counts toward a majority.
	IsVoter      bool
	Term         uint64
	LastLogTerm  uint64
	LastLogIndex uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Voters       []Member
	// Outgoing holds the previous voters while a configuration change is in progress. Each
	// decision then needs a majority of Voters and a majority of Outgoing.
	Outgoing []Member
	// Learners are, on a leader, the members without a vote that it replicates to.
	Learners []Member
	// Pending is the largest command number among the log entries after CommitIndex. Zero means
	// none.
	Pending uint64
	// Violations is the number of invariant violations.
	Violations int64
	// IsCaughtUp is set if this member has applied all that was committed before the leader of the term was
	// elected, and as much since as it was told of.
	IsCaughtUp bool
}

// status returns the core's state.
func (c *core) status() Status {
	last := c.log.last()
	return Status{
		Self:         c.self,
		Leader:       c.leader,
		IsLeader:     c.role == leader,
		IsVoter:      c.isVoter(),
		Term:         c.state.Term,
		LastLogTerm:  last.Term,
		LastLogIndex: last.Index,
		CommitIndex:  c.commit,
		AppliedIndex: c.history.applied,
		Voters:       slices.Clone(c.configuration().Voters),
		Outgoing:     slices.Clone(c.configuration().Outgoing),
		Learners:     c.sortedLearners(),
		Pending:      c.log.pending(c.commit),
		Violations:   c.options.violations.Count(),
		IsCaughtUp:   c.isCaughtUp(),
	}
}

// isCaughtUp reports whether this member has applied all that was committed before the leader of the term was
// elected. The first entry of the leader's term follows all of that. A member that has just started has applied
// only its snapshot.
func (c *core) isCaughtUp() bool {
	if c.role == leader {
		return c.history.applied >= c.termStart
	}
	applied, ok := c.log.position(c.history.applied)
	return ok && c.heardTerm == c.state.Term && c.history.applied >= c.leaderCommit && applied.Term == c.state.Term
}
