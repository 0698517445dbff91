package replicator

import (
	"slices"
)

// Status is a member's state. All that it tells of the log is synced.
type Status struct {
	Self Member
	// Leader is zero if no leader is known.
	Leader   Member
	IsLeader bool
	// IsVoter tells whether this member counts toward a majority.
	IsVoter      bool
	Term         uint64
	LastLogTerm  uint64
	LastLogIndex uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Voters       []Member
	// Outgoing are the former voters while a change of the voters is not complete. A
	// majority of both lists is needed then.
	Outgoing []Member
	// Learners are, on a leader, the members that it teaches and that have no vote.
	Learners []Member
	// Pending is the largest marker among the log's entries beyond CommitIndex.
	Pending uint64
	// Violations counts the invariants that did not hold.
	Violations int64
}

// status describes the core's state.
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
		Learners:     c.learnerList(),
		Pending:      c.log.pending(c.commit),
		Violations:   c.options.violations.Count(),
	}
}
