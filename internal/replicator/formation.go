package replicator

import (
	"fmt"
	"maps"
	"slices"

	"banyandock.example/banyandock/internal/identifier"
)

// foundingTerm is the term of the entry that forms a group. No leader is elected in it.
const foundingTerm = 1

// minKeptDisks is the smallest number of hosts with disks from the first start that may form a group
// later. The hosts of the settings may have become fewer since then; of the three of a first start, two
// are a majority.
const minKeptDisks = 2

// receivedProbe is the last probe that the founder received from a host.
type receivedProbe struct {
	member       Member
	group        identifier.Incarnation
	startedLater bool
	receivedAt   uint64
}

// hasEmptyLog reports whether this member has neither entries nor a snapshot.
func (c *core) hasEmptyLog() bool { return c.log.last().Index == 0 }

// recordFirstStart records that this member's disk has been in use since the first start of all hosts.
func (c *core) recordFirstStart() {
	if c.settings.StartedBefore || !c.hasEmptyLog() || c.state.FirstStart || !c.isInitial(c.self.Name) {
		return
	}
	c.state.FirstStart = true
	c.isStateDirty = true
}

// isInitial reports whether the settings name a host as one of the initial ones.
func (c *core) isInitial(name identifier.HostName) bool {
	return slices.Contains(c.settings.names(), name)
}

// founder returns the only host that may form a group: the first by name.
func (c *core) founder() Member { return c.settings.Initial[0] }

// tickNonVoter announces this member to all hosts while it has no vote, and forms the group if
// that is allowed.
func (c *core) tickNonVoter() {
	if c.state.Removed || c.now%uint64(c.settings.HeartbeatTicks) != 0 {
		return
	}
	if c.hasEmptyLog() && c.founder().Name == c.self.Name && c.tryFormGroup() {
		return
	}
	c.probeHosts()
	c.askWhetherRemoved()
}

// askWhetherRemoved asks the members that this member knows of whether it was replaced. If its own log
// says so, it starts no pre-vote, whose replies would tell it. A member of a release that does not
// answer probes with that answers a pre-vote request.
func (c *core) askWhetherRemoved() {
	if c.hasEmptyLog() || c.hasRecentLeader() {
		return
	}
	for _, m := range c.others() {
		c.send(m, preVoteRequest{Candidacy: c.state.Term + 1, Last: c.log.last()})
	}
}

// probeHosts sends a probe to all known hosts.
func (c *core) probeHosts() {
	for _, name := range slices.Sorted(maps.Keys(c.addresses)) {
		c.sendProbe(Member{Name: name, Address: c.addresses[name]}, false)
	}
}

// recordAddresses stores the addresses of members.
func (c *core) recordAddresses(members []Member) {
	for _, m := range members {
		if m.Name != c.self.Name {
			c.addresses[m.Name] = m.Address
		}
	}
}

// sendProbe sends a probe to a host, whatever its incarnation.
func (c *core) sendProbe(to Member, isReply bool) {
	c.send(to, probe{
		Members:      c.configuration().members(),
		IsReply:      isReply,
		Names:        c.settings.names(),
		LastIndex:    c.log.last().Index,
		GroupSeen:    c.state.GroupSeen,
		StartedLater: !c.state.FirstStart,
	})
}

// receiveProbe adds the sender as a learner if this member leads, and tells a sender that was
// replaced that it was. While this member's log is empty, it processes the probe as a step of the
// group's formation.
func (c *core) receiveProbe(m received, p probe) {
	c.recordAddresses(p.Members)
	if c.isFormer(m.From) {
		c.reply(m, preVoteReply{Removed: true})
		return
	}
	if c.role == leader {
		c.addLearner(m.From)
	}
	if !c.hasEmptyLog() {
		// A host outside the group must be informed that the group exists and where its members
		// are.
		if !p.IsReply && !c.configuration().isVoter(m.From.Incarnation) {
			c.sendProbe(m.From, true)
		}
		return
	}
	if p.GroupSeen {
		c.recordGroupSeen()
	}
	if p.LastIndex != 0 || p.GroupSeen {
		c.allEmptyTicks = 0
		return
	}
	if !c.isInitial(m.From.Name) {
		// A host that has no entry and no part in the formation does not delay it.
		return
	}
	if !slices.Equal(p.Names, c.settings.names()) {
		c.allEmptyTicks = 0
		return
	}
	if c.founder().Name == c.self.Name {
		c.probes[m.From.Name] = receivedProbe{member: m.From, group: m.Group, startedLater: p.StartedLater, receivedAt: c.now}
		return
	}
	if m.From.Name == c.founder().Name {
		c.acceptFounder(m)
	}
}

// acceptFounder joins the formation of a founder whose log is empty, and replies to it. It sets
// the group to the founder's incarnation, because a member accepts messages only of its own
// group.
func (c *core) acceptFounder(m received) {
	if c.state.GroupSeen {
		return
	}
	if c.state.Group != m.From.Incarnation {
		c.state.Group = m.From.Incarnation
		c.isStateDirty = true
	}
	c.sendProbe(m.From, true)
}

// tryFormGroup writes the group's first entry if every host of the settings has had an empty
// log for FormationTicks and has accepted this incarnation of the founder. A host that has
// entries, is missing or has accepted another incarnation prevents it. So do a report of an
// existing group and disks that were lost, because a group that lost its data must not be replaced
// by a new one.
func (c *core) tryFormGroup() bool {
	if c.state.GroupSeen {
		return false
	}
	if c.state.Group != c.self.Incarnation {
		c.state.Group = c.self.Incarnation
		c.isStateDirty = true
	}
	voters, ok := c.foundingVoters()
	if !ok || !c.isFirstGroup() {
		c.allEmptyTicks = 0
		return false
	}
	c.allEmptyTicks += c.settings.HeartbeatTicks
	if c.allEmptyTicks < c.settings.FormationTicks {
		return false
	}
	c.formGroup(voters)
	return true
}

// foundingVoters returns this member and all other initial hosts. It returns false unless all
// of them have accepted this member as the founder within the last election timeout.
func (c *core) foundingVoters() ([]Member, bool) {
	voters := []Member{c.self}
	for _, m := range c.settings.Initial[1:] {
		h, ok := c.probes[m.Name]
		isFresh := ok && c.now-h.receivedAt < uint64(c.settings.ElectionTicks)
		if !isFresh || h.group != c.self.Incarnation {
			return nil, false
		}
		voters = append(voters, h.member)
	}
	return voters, true
}

// isFirstGroup reports whether no group can have committed an entry before, given that all hosts have
// empty logs. Only the founder forms a group, so none exists if it runs since the first start. If it was
// started again, its settings may name other hosts than those of the first start, or its disk may be new:
// then a majority must have kept their disks since the first start. An earlier group would need one of
// them for every commit, and has stored nothing there.
func (c *core) isFirstGroup() bool {
	if !c.settings.StartedBefore {
		return true
	}
	kept := 0
	if c.state.FirstStart {
		kept++
	}
	for _, m := range c.settings.Initial[1:] {
		if !c.probes[m.Name].startedLater {
			kept++
		}
	}
	isFirst := kept >= minKeptDisks && 2*kept > len(c.settings.Initial)
	if !isFirst && !c.isFormationRefused {
		detail := fmt.Sprintf("%d of %d hosts have kept their disks since the first start", kept, len(c.settings.Initial))
		c.options.onEvent(Event{Kind: EventFormationRefused, Term: c.state.Term, Detail: detail})
	}
	c.isFormationRefused = !isFirst
	return isFirst
}

// formGroup appends the group's first entry, the initial configuration, and starts an election.
func (c *core) formGroup(voters []Member) {
	if c.state.Term < foundingTerm {
		c.enterTerm(foundingTerm, 0)
	}
	c.pushEntries([]Entry{{
		Index: 1,
		Term:  foundingTerm,
		Kind:  EntryConfiguration,
		Data:  encodeConfiguration(Configuration{Voters: voters}),
	}})
	c.emit(EventGroupFormed, Member{})
	c.resetElectionTimeout()
	c.startPreVote()
}

// adoptGroup lets a member with an empty log join the group of a member that requests its vote
// or replicates to it. The vote counts even if this member has since accepted a founder: two
// members may need it to continue after the founder of their group lost its disk. It returns
// false if the message is not for this member.
func (c *core) adoptGroup(m received) bool {
	if !c.hasEmptyLog() || m.Group == 0 || m.To != c.self.Incarnation {
		return false
	}
	switch m.payload.(type) {
	case preVoteRequest, voteRequest, appendRequest, snapshotChunk:
		c.state.Group = m.Group
		c.isStateDirty = true
		c.emit(EventGroupJoined, m.From)
		return true
	default:
		return false
	}
}

// recordGroupSeen records that a group exists or existed, which permanently forbids this member
// to form a new one. It does nothing unless the log is empty.
func (c *core) recordGroupSeen() {
	if c.state.GroupSeen || !c.hasEmptyLog() {
		return
	}
	c.state.GroupSeen = true
	c.isStateDirty = true
}
