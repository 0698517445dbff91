package replicator

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// configuration returns the one that governs: the newest in the log.
func (c *core) configuration() Configuration {
	if len(c.configurations) == 0 {
		return Configuration{}
	}
	return c.configurations[len(c.configurations)-1].configuration
}

// configurationIndex returns the index of the entry of the newest configuration.
func (c *core) configurationIndex() uint64 {
	if len(c.configurations) == 0 {
		return 0
	}
	return c.configurations[len(c.configurations)-1].index
}

// configurationAt returns the configuration as of an index that is not dropped.
func (c *core) configurationAt(index uint64) configurationAt {
	for _, at := range slices.Backward(c.configurations) {
		if at.index <= index {
			return at
		}
	}
	return configurationAt{}
}

// rebuildConfigurations reads the configurations of the snapshot and the log.
func (c *core) rebuildConfigurations() {
	c.configurations = nil
	if c.snapshot.Last.Index > 0 {
		c.configurations = append(c.configurations, configurationAt{
			index:         c.snapshot.ConfigurationIndex,
			configuration: c.snapshot.Configuration,
		})
	}
	c.addConfigurations(c.log.entries)
}

// addConfigurations notes the configurations among new entries.
func (c *core) addConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryConfiguration || e.Index <= c.snapshot.Last.Index {
			continue
		}
		configuration, err := encoder.Decode[Configuration](e.Data)
		if err != nil {
			// Entries are decoded on arrival, and storage checks its bytes.
			panic(err)
		}
		c.configurations = append(c.configurations, configurationAt{index: e.Index, configuration: configuration})
	}
}

// dropConfigurations forgets those from an index on, whose entries are truncated.
func (c *core) dropConfigurations(index uint64) {
	c.configurations = slices.DeleteFunc(c.configurations, func(at configurationAt) bool {
		return at.index >= index
	})
}

// isVoter tells whether this member may stand for election.
func (c *core) isVoter() bool {
	return !c.state.Removed && c.configuration().isVoter(c.self.Incarnation)
}

// noteRemoval remembers that this member is replaced. It then neither stands for election
// nor announces itself.
func (c *core) noteRemoval(by Member) {
	if c.state.Removed {
		return
	}
	c.state.Removed = true
	c.stateDirty = true
	c.becomeFollower(c.state.Term)
	c.emit(EventRemoved, by)
}

// others returns the members of the configuration besides this one.
func (c *core) others() []Member {
	return slices.DeleteFunc(c.configuration().members(), func(m Member) bool {
		return m.Incarnation == c.self.Incarnation
	})
}

// isFormer tells whether a committed configuration remembers a member as replaced.
func (c *core) isFormer(m Member) bool {
	committed := c.configurationAt(c.commit).configuration
	return !committed.isJoint() && slices.Contains(committed.Former, m.Incarnation)
}

// syncPeers makes a leader's peers match the configuration and the learners.
func (c *core) syncPeers() {
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
			c.peers[i] = &peer{member: m, next: c.log.last().Index + 1, heard: c.now, isProbing: true}
		}
	}
}

// learn starts to teach a member that lost its disk, in the place of its predecessor, or one
// of a new name if the group takes in such members.
func (c *core) learn(m Member) {
	if c.peers[m.Incarnation] != nil || slices.Contains(c.configuration().Former, m.Incarnation) {
		return
	}
	predecessor, ok := c.configuration().named(m.Name)
	if ok && (predecessor.Incarnation == c.self.Incarnation || c.isHeard(predecessor.Incarnation)) {
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
	c.syncPeers()
	c.emit(EventLearnerAdded, m)
}

// learnerList returns the members that a leader teaches, in a fixed order.
func (c *core) learnerList() []Member {
	learners := []Member{}
	for _, i := range sortedKeys(c.learners) {
		learners = append(learners, c.learners[i])
	}
	return learners
}

// isHeard tells whether a leader heard a peer within the election timeout.
func (c *core) isHeard(i identifier.Incarnation) bool {
	if i == c.self.Incarnation {
		return true
	}
	p := c.peers[i]
	return p != nil && c.now-p.heard < uint64(c.settings.ElectionTicks)
}

// advanceMembership completes a change, or starts one for a learner that holds everything.
func (c *core) advanceMembership() {
	if c.commit < c.configurationIndex() || c.commit < c.termStart {
		return
	}
	configuration := c.configuration()
	if configuration.isJoint() {
		c.replaced = configuration.incoming()
		c.changeConfiguration(configuration.complete())
		return
	}
	if c.replaced.Incarnation != 0 {
		c.emit(EventReplacementCommitted, c.replaced)
		c.replaced = Member{}
	}
	for _, i := range sortedKeys(c.learners) {
		m := c.learners[i]
		next, ok := c.configurationWith(m)
		if ok && c.isReadyToVote(i) {
			c.emit(EventReplacementStarted, m)
			c.changeConfiguration(next)
			return
		}
	}
}

// isReadyToVote tells whether a learner holds everything.
func (c *core) isReadyToVote(i identifier.Incarnation) bool {
	p := c.peers[i]
	return p != nil && c.isHeard(i) && p.match >= c.commit
}

// configurationWith returns the change that gives a learner a vote: in the place of its
// silent predecessor, as a further voter, or in the place of any voter that has been silent
// for long. It returns false if there is no place.
func (c *core) configurationWith(m Member) (Configuration, bool) {
	configuration := c.configuration()
	if predecessor, ok := configuration.named(m.Name); ok {
		return configuration.replace(predecessor, m), !c.isHeard(predecessor.Incarnation)
	}
	if len(configuration.Voters) < c.settings.Voters {
		return configuration.add(m), true
	}
	for _, v := range configuration.Voters {
		if c.isLongSilent(v.Incarnation) {
			return configuration.replace(v, m), true
		}
	}
	return Configuration{}, false
}

// isLongSilent tells whether a leader has not heard a voter for so long that another member
// may take its place.
func (c *core) isLongSilent(i identifier.Incarnation) bool {
	p := c.peers[i]
	return p != nil && c.now-p.heard >= uint64(replaceAfterElections*c.settings.ElectionTicks)
}

// changeConfiguration appends a configuration, which governs at once.
func (c *core) changeConfiguration(configuration Configuration) {
	isComplete := c.commit >= c.configurationIndex()
	if !c.ensure(isComplete, InvariantOneChange, "change at %d is not committed", c.configurationIndex()) {
		return
	}
	c.appendOwn(EntryConfiguration, encodeConfiguration(configuration))
	for _, m := range configuration.Voters {
		delete(c.learners, m.Incarnation)
	}
	c.syncPeers()
}

// encodeConfiguration renders a configuration for its entry.
func encodeConfiguration(configuration Configuration) []byte {
	b, err := encoder.Encode(configuration)
	if err != nil {
		// A Configuration is a plain struct, which msgpack always encodes.
		panic(err)
	}
	return b
}
