package replicator

import (
	"maps"
	"slices"

	"banyandock.example/banyandock/internal/identifier"
)

// foundingTerm is the term of the entry that forms a group. No leader is elected in it.
const foundingTerm = 1

// heardProbe is the last probe of a host, as the founder remembers it.
type heardProbe struct {
	member Member
	group  identifier.Incarnation
	at     uint64
}

// isBlank tells whether this member holds nothing of any group.
func (c *core) isBlank() bool { return c.log.last().Index == 0 }

// founder returns the host that alone may form a group: the first by name.
func (c *core) founder() Member { return c.settings.Initial[0] }

// tickOutsider announces a member that has no vote, and forms the group if it may.
func (c *core) tickOutsider() {
	if c.state.Removed || c.now%uint64(c.settings.HeartbeatTicks) != 0 {
		return
	}
	if c.isBlank() && c.founder().Name == c.self.Name && c.tryForm() {
		return
	}
	c.probeHosts()
}

// probeHosts announces this member to all hosts.
func (c *core) probeHosts() {
	for _, name := range slices.Sorted(maps.Keys(c.contacts)) {
		c.sendProbe(Member{Name: name, Address: c.contacts[name]}, false)
	}
}

// meet remembers where members are.
func (c *core) meet(members []Member) {
	for _, m := range members {
		if m.Name != c.self.Name {
			c.contacts[m.Name] = m.Address
		}
	}
}

// sendProbe announces this member to a host of any incarnation.
func (c *core) sendProbe(to Member, isReply bool) {
	c.send(to, probe{
		Members:   c.configuration().members(),
		IsReply:   isReply,
		Names:     c.settings.names(),
		LastIndex: c.log.last().Index,
		GroupSeen: c.state.GroupSeen,
	})
}

// receiveProbe teaches a member without a vote, or takes a step to form a group.
func (c *core) receiveProbe(m received, p probe) {
	c.meet(p.Members)
	if c.role == leader {
		c.learn(m.From)
	}
	if !c.isBlank() {
		// Whoever is not in the group must know that there is one, and where.
		if !p.IsReply && !c.configuration().isVoter(m.From.Incarnation) {
			c.sendProbe(m.From, true)
		}
		return
	}
	if p.GroupSeen {
		c.reportGroup()
	}
	if p.LastIndex != 0 || p.GroupSeen || !slices.Equal(p.Names, c.settings.names()) {
		c.allBlank = 0
		return
	}
	if c.founder().Name == c.self.Name {
		c.probes[m.From.Name] = heardProbe{member: m.From, group: m.Group, at: c.now}
		return
	}
	if m.From.Name == c.founder().Name {
		c.promise(m)
	}
}

// promise answers a founder that holds nothing. The promise names the founder's
// incarnation, and a member accepts messages only of the group that it promised itself to.
func (c *core) promise(m received) {
	if c.state.GroupSeen {
		return
	}
	if c.state.Group != m.From.Incarnation {
		c.state.Group = m.From.Incarnation
		c.stateDirty = true
	}
	c.sendProbe(m.From, true)
}

// tryForm writes the group's first entry if every named host has held nothing for a while
// and promised itself to this incarnation of the founder. A host that holds state, is
// missing or promised itself to another incarnation stops it, and so does anybody who
// remembers a group and says so meanwhile: what is lost is not taken for new.
func (c *core) tryForm() bool {
	if c.state.GroupSeen {
		return false
	}
	if c.state.Group != c.self.Incarnation {
		c.state.Group = c.self.Incarnation
		c.stateDirty = true
	}
	voters, ok := c.promisedVoters()
	if !ok {
		c.allBlank = 0
		return false
	}
	c.allBlank += c.settings.HeartbeatTicks
	if c.allBlank < c.settings.FormationTicks {
		return false
	}
	c.form(voters)
	return true
}

// promisedVoters returns this member and all others, if all have lately promised
// themselves to it.
func (c *core) promisedVoters() ([]Member, bool) {
	voters := []Member{c.self}
	for _, m := range c.settings.Initial[1:] {
		h, ok := c.probes[m.Name]
		isFresh := ok && c.now-h.at < uint64(c.settings.ElectionTicks)
		if !isFresh || h.group != c.self.Incarnation {
			return nil, false
		}
		voters = append(voters, h.member)
	}
	return voters, true
}

// form writes the first entry.
func (c *core) form(voters []Member) {
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
	c.resetTimeout()
	c.startPreVote()
}

// adoptGroup lets a member that holds nothing accept the group of a member that asks for
// its vote or teaches it. A vote counts even if this member has since promised itself to a
// founder: two members may need it to go on after the founder of their group lost its
// disk. It returns false if the message is not for this member.
func (c *core) adoptGroup(m received) bool {
	if !c.isBlank() || m.Group == 0 || m.To != c.self.Incarnation {
		return false
	}
	switch m.payload.(type) {
	case preVoteRequest, voteRequest, appendRequest, snapshotChunk:
		c.state.Group = m.Group
		c.stateDirty = true
		c.emit(EventGroupJoined, m.From)
		return true
	default:
		return false
	}
}

// reportGroup forbids for good to form a new group, because somebody remembers one.
func (c *core) reportGroup() {
	if c.state.GroupSeen || !c.isBlank() {
		return
	}
	c.state.GroupSeen = true
	c.stateDirty = true
}
