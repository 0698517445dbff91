package replicator

import (
	"slices"

	"banyandock.example/banyandock/internal/identifier"
)

// Configuration lists the voters of the group. It takes effect as soon as its entry is in a
// member's log, before the entry is committed.
type Configuration struct {
	Voters []Member
	// Outgoing holds the voters before a configuration change, until the change is complete.
	// While it is set, each decision needs a majority of Voters and a majority of Outgoing
	// (joint consensus).
	Outgoing []Member
	// Former holds the latest incarnations that were replaced, up to maxFormer. They never
	// become members again.
	Former []identifier.Incarnation
}

// maxFormer bounds the replaced incarnations that a configuration keeps.
const maxFormer = 256

// configurationEntry is a configuration with the index of its log entry.
type configurationEntry struct {
	index         uint64
	configuration Configuration
}

// isJoint reports whether a configuration change is in progress.
func (c Configuration) isJoint() bool { return len(c.Outgoing) > 0 }

// isVoter reports whether an incarnation is in Voters.
func (c Configuration) isVoter(i identifier.Incarnation) bool {
	return slices.ContainsFunc(c.Voters, func(m Member) bool { return m.Incarnation == i })
}

// voterNamed returns the current voter with a host name. It returns false if there is none.
func (c Configuration) voterNamed(name identifier.HostName) (Member, bool) {
	i := slices.IndexFunc(c.Voters, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return c.Voters[i], true
}

// members returns the current voters and those that the change in progress removes.
func (c Configuration) members() []Member {
	all := slices.Clone(c.Voters)
	for _, m := range c.Outgoing {
		if !c.isVoter(m.Incarnation) {
			all = append(all, m)
		}
	}
	return all
}

// incoming returns the voter that the change in progress adds, or the zero Member if there is
// none.
func (c Configuration) incoming() Member {
	for _, m := range c.Voters {
		if !slices.Contains(c.Outgoing, m) {
			return m
		}
	}
	return Member{}
}

// add returns the joint configuration that adds a voter.
func (c Configuration) add(m Member) Configuration {
	voters := append(slices.Clone(c.Voters), m)
	return Configuration{Voters: voters, Outgoing: slices.Clone(c.Voters), Former: c.Former}
}

// replace returns the joint configuration that replaces a voter with another member.
func (c Configuration) replace(old, m Member) Configuration {
	voters := slices.Clone(c.Voters)
	i := slices.Index(voters, old)
	former := append(slices.Clone(c.Former), old.Incarnation)
	former = former[max(0, len(former)-maxFormer):]
	voters[i] = m
	return Configuration{Voters: voters, Outgoing: slices.Clone(c.Voters), Former: former}
}

// complete returns the configuration that completes the change in progress.
func (c Configuration) complete() Configuration {
	return Configuration{Voters: c.Voters, Former: c.Former}
}

// isQuorum reports whether the members that agree form a quorum. A member that the change in
// progress removes is never counted, because it may have lost its disk.
func (c Configuration) isQuorum(agrees func(identifier.Incarnation) bool) bool {
	counts := func(i identifier.Incarnation) bool { return c.isVoter(i) && agrees(i) }
	if !isMajority(c.Voters, counts) {
		return false
	}
	return !c.isJoint() || isMajority(c.Outgoing, counts)
}

// isMajority reports whether more than half of the members agree.
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
	indexes := []uint64{}
	for _, m := range c.Voters {
		indexes = append(indexes, reached(m.Incarnation))
	}
	slices.Sort(indexes)
	for _, index := range slices.Backward(indexes) {
		if c.isQuorum(func(i identifier.Incarnation) bool { return reached(i) >= index }) {
			return index
		}
	}
	return 0
}
