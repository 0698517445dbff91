package replicator_test

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

// voters returns the names of the voters according to the current leader.
func (g *group) voters() []identifier.HostName {
	names := []identifier.HostName{}
	if r := g.leader(); r != nil {
		for _, m := range r.Status().Voters {
			names = append(names, m.Name)
		}
	}
	return names
}

// join starts a member that is not in the settings of the others.
func (g *group) join(name identifier.HostName) {
	g.t.Helper()
	g.folders[name] = g.t.TempDir()
	port := uint16(7100 + len(g.folders))
	g.start(replicator.Member{Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)})
}

// stopAllAndJoined stops all members, including those that joined.
func (g *group) stopAllAndJoined() {
	for name := range g.folders {
		g.stop(name)
	}
}

// newGrowingGroup starts three initial members and the joiners, and waits until the group has
// five voters.
func newGrowingGroup(t *testing.T, joiners ...identifier.HostName) *group {
	g := newGroup(t, 3)
	g.changeSettings = func(s *replicator.Settings) { s.Voters = 5 }
	g.startAll()
	for _, name := range joiners {
		g.join(name)
	}
	g.eventually("five voters", func() bool { return len(g.voters()) == 5 })
	return g
}

func TestGroupGrowsToItsVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y", "z")
		defer g.stopAllAndJoined()
		g.propose("one")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(g.voters()), 5)
		g.expectApplied(1)
	})
}

// TestNewMemberReplacesUnresponsiveVoter isolates a voter permanently while a new member waits
// for a place. After the replacement the group must tolerate two more failed voters.
func TestNewMemberReplacesUnresponsiveVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y")
		defer g.stopAllAndJoined()
		g.propose("one")
		g.setIsolated("x", true)
		g.join("z")
		time.Sleep(4 * time.Second)
		voters := g.voters()
		assert.Assert(t, len(voters) == 5 && slices.Contains(voters, "z") && !slices.Contains(voters, "x"), "%v", voters)
		g.setIsolated("y", true)
		g.setIsolated("a", true)
		g.propose("two")
	})
}

// TestResponsiveVoterIsNotReplaced keeps a new member waiting while the group has all its
// voters.
func TestResponsiveVoterIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y")
		defer g.stopAllAndJoined()
		g.join("z")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !slices.Contains(g.voters(), identifier.HostName("z")))
	})
}
