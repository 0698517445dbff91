package replicator

import (
	"slices"

	"banyandock.example/banyandock/internal/identifier"
)

// Configuration names the members whose votes count. It governs from the moment that its
// entry is in a member's log.
type Configuration struct {
	Voters []Member
	// Outgoing are the voters before a change that is not complete. While it is set, each
	// decision needs a majority of Voters and a majority of Outgoing (joint consensus).
	Outgoing []Member
	// Former are the last incarnations that were replaced. They never return.
	Former []identifier.Incarnation
}

// maxFormer bounds the incarnations that a configuration remembers as replaced.
const maxFormer = 256

// configurationAt is a configuration with the index of its entry.
type configurationAt struct {
	index         uint64
	configuration Configuration
}

// isJoint tells whether a change is not complete.
func (c Configuration) isJoint() bool { return len(c.Outgoing) > 0 }

// isVoter tells whether an incarnation is among the present voters.
func (c Configuration) isVoter(i identifier.Incarnation) bool {
	return slices.ContainsFunc(c.Voters, func(m Member) bool { return m.Incarnation == i })
}

// named finds a present voter by host name.
func (c Configuration) named(name identifier.HostName) (Member, bool) {
	i := slices.IndexFunc(c.Voters, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return c.Voters[i], true
}

// members returns the present voters and those that a change removes.
func (c Configuration) members() []Member {
	all := slices.Clone(c.Voters)
	for _, m := range c.Outgoing {
		if !c.isVoter(m.Incarnation) {
			all = append(all, m)
		}
	}
	return all
}

// incoming returns the voter that a change adds.
func (c Configuration) incoming() Member {
	for _, m := range c.Voters {
		if !slices.Contains(c.Outgoing, m) {
			return m
		}
	}
	return Member{}
}

// add returns the joint configuration that has a further voter.
func (c Configuration) add(m Member) Configuration {
	voters := append(slices.Clone(c.Voters), m)
	return Configuration{Voters: voters, Outgoing: slices.Clone(c.Voters), Former: c.Former}
}

// replace returns the joint configuration that puts a member in the place of a voter.
func (c Configuration) replace(old, m Member) Configuration {
	voters := slices.Clone(c.Voters)
	i := slices.Index(voters, old)
	former := append(slices.Clone(c.Former), old.Incarnation)
	former = former[max(0, len(former)-maxFormer):]
	voters[i] = m
	return Configuration{Voters: voters, Outgoing: slices.Clone(c.Voters), Former: former}
}

// complete returns the configuration that ends a change.
func (c Configuration) complete() Configuration {
	return Configuration{Voters: c.Voters, Former: c.Former}
}

// isQuorum tells whether the members that agree can decide. A member that a change
// removes never counts: it may have lost its disk.
func (c Configuration) isQuorum(agrees func(identifier.Incarnation) bool) bool {
	counts := func(i identifier.Incarnation) bool { return c.isVoter(i) && agrees(i) }
	if !isMajority(c.Voters, counts) {
		return false
	}
	return !c.isJoint() || isMajority(c.Outgoing, counts)
}

// isMajority tells whether more than half of the members agree.
func isMajority(members []Member, agrees func(identifier.Incarnation) bool) bool {
	n := 0
	for _, m := range members {
		if agrees(m.Incarnation) {
			n++
		}
	}
	return 2*n > len(members)
}

// quorumIndex returns the largest log index that a quorum has reached.
func (c Configuration) quorumIndex(reached func(identifier.Incarnation) uint64) uint64 {
	candidates := []uint64{}
	for _, m := range c.Voters {
		candidates = append(candidates, reached(m.Incarnation))
	}
	slices.Sort(candidates)
	for _, index := range slices.Backward(candidates) {
		if c.isQuorum(func(i identifier.Incarnation) bool { return reached(i) >= index }) {
			return index
		}
	}
	return 0
}
