package replicator

// receiveAppend appends the leader's entries and advances the commit index.
func (c *core) receiveAppend(m received, r appendRequest) {
	c.follow(m.From)
	if c.leader.Incarnation != m.From.Incarnation {
		return
	}
	c.heardTerm = c.state.Term
	c.leaderCommit = max(c.leaderCommit, r.Commit)
	c.checkHistory(m, r)
	r = c.skipCommitted(r)
	if !c.log.has(r.Previous) {
		c.reply(m, appendReply{Rejected: true, Match: c.conflictHint(r.Previous), Round: r.Round})
		return
	}
	if !c.appendNew(r.Entries) {
		return
	}
	match := r.Previous.Index + uint64(len(r.Entries))
	if commit := min(r.Commit, match); commit > c.commit {
		c.setCommit(commit)
	}
	c.reply(m, appendReply{Match: match, Round: r.Round})
}

// checkHistory checks that both members applied the same entries.
func (c *core) checkHistory(m received, r appendRequest) {
	own, ok := c.history.digestAt(r.Applied)
	if !ok {
		return
	}
	c.ensure(own == r.Digest, InvariantSameHistory, "digest %x at %d, leader %x has %x",
		own, r.Applied, uint64(m.From.Incarnation), r.Digest)
}

// skipCommitted removes the entries that are committed on this member, after it has checked
// that the leader holds the same.
func (c *core) skipCommitted(r appendRequest) appendRequest {
	if r.Previous.Index >= c.commit {
		return r
	}
	skip := min(c.commit-r.Previous.Index, uint64(len(r.Entries)))
	for _, e := range r.Entries[:skip] {
		held, ok := c.log.position(e.Index)
		if ok && e.Index > c.log.base.Index {
			c.ensure(held.Term == e.Term, InvariantCommittedStays, "index %d of term %d, leader has term %d",
				e.Index, held.Term, e.Term)
		}
	}
	r.Entries = r.Entries[skip:]
	r.Previous, _ = c.log.position(c.commit)
	return r
}

// conflictHint returns the last index at which the leader's log may match this member's, after
// the entry at previous did not match. That is the end of the log if previous is beyond it.
// Otherwise it is the last index before the term of the conflicting entry, or the commit index if
// that is higher.
func (c *core) conflictHint(previous Position) uint64 {
	last := c.log.last().Index
	if previous.Index > last {
		return last
	}
	conflict, _ := c.log.position(previous.Index)
	index := previous.Index - 1
	for index > c.commit {
		p, _ := c.log.position(index)
		if p.Term != conflict.Term {
			break
		}
		index--
	}
	return index
}

// appendNew appends the entries that the log lacks. It first truncates the log at the first
// entry that conflicts. It returns false if an invariant forbids the truncation.
func (c *core) appendNew(entries []Entry) bool {
	for i, e := range entries {
		if c.log.has(Position{Index: e.Index, Term: e.Term}) {
			continue
		}
		if e.Index <= c.log.last().Index && !c.truncate(e.Index) {
			return false
		}
		c.pushEntries(entries[i:])
		break
	}
	return true
}

// truncate removes the entries from index on. It returns false, and keeps them, if any is
// committed.
func (c *core) truncate(index uint64) bool {
	if !c.ensure(index > c.commit, InvariantCommittedStays, "truncation at %d, commit %d", index, c.commit) {
		return false
	}
	c.log.truncate(index)
	c.dropConfigurations(index)
	return true
}
