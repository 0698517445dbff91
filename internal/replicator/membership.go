package replicator

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// configuration returns the configuration in effect, which is the newest one in the log.
func (c *core) configuration() Configuration {
	if len(c.configurations) == 0 {
		return Configuration{}
	}
	return c.configurations[len(c.configurations)-1].configuration
}

// configurationIndex returns the index of the entry that holds the newest configuration.
func (c *core) configurationIndex() uint64 {
	if len(c.configurations) == 0 {
		return 0
	}
	return c.configurations[len(c.configurations)-1].index
}

// configurationEntry returns the configuration in effect at an index, with the index of its
// entry. The given index must not precede the snapshot.
func (c *core) configurationEntry(index uint64) configurationEntry {
	for _, entry := range slices.Backward(c.configurations) {
		if entry.index <= index {
			return entry
		}
	}
	return configurationEntry{}
}

// rebuildConfigurations rebuilds the list of configurations from the snapshot and the log.
func (c *core) rebuildConfigurations() {
	c.configurations = nil
	if c.snapshot.Last.Index > 0 {
		c.configurations = append(c.configurations, configurationEntry{
			index:         c.snapshot.ConfigurationIndex,
			configuration: c.snapshot.Configuration,
		})
	}
	c.addConfigurations(c.log.entries)
}

// addConfigurations adds the configurations among new entries to the list.
func (c *core) addConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryConfiguration || e.Index <= c.snapshot.Last.Index {
			continue
		}
		configuration, err := encoder.Decode[Configuration](e.Data)
		if err != nil {
			// Entries are checked when a message is decoded, and storage verifies checksums.
			panic(err)
		}
		c.configurations = append(c.configurations, configurationEntry{index: e.Index, configuration: configuration})
	}
}

// dropConfigurations removes the configurations from an index on, whose entries were truncated.
func (c *core) dropConfigurations(index uint64) {
	c.configurations = slices.DeleteFunc(c.configurations, func(entry configurationEntry) bool {
		return entry.index >= index
	})
}

// isVoter reports whether this member may be a candidate in an election.
func (c *core) isVoter() bool {
	return !c.state.Removed && c.configuration().isVoter(c.self.Incarnation)
}

// recordRemoval records that this member was replaced. It then neither starts elections nor
// announces itself.
func (c *core) recordRemoval(by Member) {
	if c.state.Removed {
		return
	}
	c.state.Removed = true
	c.isStateDirty = true
	c.becomeFollower(c.state.Term)
	c.emit(EventRemoved, by)
}

// others returns the other members of the configuration.
func (c *core) others() []Member {
	return slices.DeleteFunc(c.configuration().members(), func(m Member) bool {
		return m.Incarnation == c.self.Incarnation
	})
}

// isFormer reports whether the committed configuration lists a member as replaced.
func (c *core) isFormer(m Member) bool {
	committed := c.configurationEntry(c.commit).configuration
	return !committed.isJoint() && slices.Contains(committed.Former, m.Incarnation)
}

// updatePeers makes a leader's peers match the configuration and the learners.
func (c *core) updatePeers() {
	wanted := map[identifier.Incarnation]Member{}
	for i, m := range c.learners {
		wanted[i] = m
	}
	for _, m := range c.others() {
		wanted[m.Incarnation] = m
	}
	for i := range c.peers {
		if _, ok := wanted[i]; !ok {
			delete(c.peers, i)
		}
	}
	for i, m := range wanted {
		if c.peers[i] == nil {
			c.peers[i] = &peer{member: m, next: c.log.last().Index + 1, lastReplyTick: c.now, isProbing: true}
		}
	}
}

// addLearner starts to replicate to a member that lost its disk and is to replace its previous
// incarnation, or to a member with a new name if Settings.Voters allows such members.
func (c *core) addLearner(m Member) {
	if c.peers[m.Incarnation] != nil || slices.Contains(c.configuration().Former, m.Incarnation) {
		return
	}
	predecessor, ok := c.configuration().voterNamed(m.Name)
	if ok && (predecessor.Incarnation == c.self.Incarnation || c.isActive(predecessor.Incarnation)) {
		return
	}
	if !ok && c.settings.Voters == 0 {
		return
	}
	for i, other := range c.learners {
		if other.Name == m.Name {
			delete(c.learners, i)
		}
	}
	c.learners[m.Incarnation] = m
	c.updatePeers()
	c.emit(EventLearnerAdded, m)
}

// sortedLearners returns a leader's learners in a fixed order.
func (c *core) sortedLearners() []Member {
	learners := []Member{}
	for _, i := range sortedKeys(c.learners) {
		learners = append(learners, c.learners[i])
	}
	return learners
}

// isActive reports whether a peer has replied to this leader within the shortest election
// timeout.
func (c *core) isActive(i identifier.Incarnation) bool {
	if i == c.self.Incarnation {
		return true
	}
	p := c.peers[i]
	return p != nil && c.now-p.lastReplyTick < uint64(c.settings.ElectionTicks)
}

// advanceMembership completes a configuration change, or starts one for a learner that has
// caught up.
func (c *core) advanceMembership() {
	if c.commit < c.configurationIndex() || c.commit < c.termStart {
		return
	}
	configuration := c.configuration()
	if configuration.isJoint() {
		c.joiningVoter = configuration.incoming()
		c.changeConfiguration(configuration.complete())
		return
	}
	if c.joiningVoter.Incarnation != 0 {
		c.emit(EventReplacementCommitted, c.joiningVoter)
		c.joiningVoter = Member{}
	}
	for _, i := range sortedKeys(c.learners) {
		m := c.learners[i]
		next, ok := c.configurationWithVoter(m)
		if ok && c.isReadyToVote(i) {
			c.emit(EventReplacementStarted, m)
			c.changeConfiguration(next)
			return
		}
	}
}

// isReadyToVote reports whether a learner is active and holds all committed entries.
func (c *core) isReadyToVote(i identifier.Incarnation) bool {
	p := c.peers[i]
	return p != nil && c.isActive(i) && p.match >= c.commit
}

// configurationWithVoter returns the configuration that gives a learner a vote: in place of its
// inactive previous incarnation, as a further voter, or in place of the voter that has been
// inactive for longest. It returns false if no place is free.
func (c *core) configurationWithVoter(m Member) (Configuration, bool) {
	configuration := c.configuration()
	if predecessor, ok := configuration.voterNamed(m.Name); ok {
		return configuration.replace(predecessor, m), !c.isActive(predecessor.Incarnation)
	}
	if len(configuration.Voters) < c.settings.Voters {
		return configuration.add(m), true
	}
	v, ok := c.longestInactive(configuration.Voters)
	if !ok {
		return Configuration{}, false
	}
	return configuration.replace(v, m), true
}

// longestInactive returns the voter that has not replied to this leader for longest, because the others
// may only stand still. It returns false if all have replied within replaceAfterElections election
// timeouts.
func (c *core) longestInactive(voters []Member) (longest Member, ok bool) {
	threshold := uint64(replaceAfterElections * c.settings.ElectionTicks)
	longestSilence := uint64(0)
	for _, v := range voters {
		p := c.peers[v.Incarnation]
		if p == nil {
			continue
		}
		silence := c.now - p.lastReplyTick
		if silence >= threshold && silence > longestSilence {
			longest, longestSilence, ok = v, silence, true
		}
	}
	return longest, ok
}

// changeConfiguration appends a configuration, which takes effect immediately.
func (c *core) changeConfiguration(configuration Configuration) {
	isComplete := c.commit >= c.configurationIndex()
	if !c.ensure(isComplete, InvariantOneChange, "change at %d is not committed", c.configurationIndex()) {
		return
	}
	c.appendEntry(EntryConfiguration, encodeConfiguration(configuration))
	for _, m := range configuration.Voters {
		delete(c.learners, m.Incarnation)
	}
	c.updatePeers()
}

// encodeConfiguration encodes a configuration as the data of an entry.
func encodeConfiguration(configuration Configuration) []byte {
	b, err := encoder.Encode(configuration)
	if err != nil {
		// A Configuration is a plain struct, which msgpack always encodes.
		panic(err)
	}
	return b
}
