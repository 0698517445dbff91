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

// voters returns the names of the voters as the present leader knows them.
func (g *group) voters() []identifier.HostName {
	names := []identifier.HostName{}
	if r := g.leader(); r != nil {
		for _, m := range r.Status().Voters {
			names = append(names, m.Name)
		}
	}
	return names
}

// join starts a member that the settings of the others do not name.
func (g *group) join(name identifier.HostName) {
	g.t.Helper()
	g.folders[name] = g.t.TempDir()
	port := uint16(7100 + len(g.folders))
	g.start(replicator.Member{Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)})
}

// stopEveryone closes all members.
func (g *group) stopEveryone() {
	for name := range g.folders {
		g.stop(name)
	}
}

// newGrowingGroup starts three seeds and joiners, of which five get a vote.
func newGrowingGroup(t *testing.T, joiners ...identifier.HostName) *group {
	g := newGroup(t, 3)
	g.change = func(s *replicator.Settings) { s.Voters = 5 }
	g.startAll()
	for _, name := range joiners {
		g.join(name)
	}
	g.expect("five voters", func() bool { return len(g.voters()) == 5 })
	return g
}

func TestGroupGrowsToItsVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y", "z")
		defer g.stopEveryone()
		g.propose("one")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(g.voters()), 5)
		g.expectApplied(1)
	})
}

// TestNewcomerTakesTheSilentVotersPlace cuts a voter off for good while a newcomer waits. Two
// more voters may be lost after that.
func TestNewcomerTakesTheSilentVotersPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y")
		defer g.stopEveryone()
		g.propose("one")
		g.cut("x", true)
		g.join("z")
		time.Sleep(4 * time.Second)
		voters := g.voters()
		assert.Assert(t, len(voters) == 5 && slices.Contains(voters, "z") && !slices.Contains(voters, "x"), "%v", voters)
		g.cut("y", true)
		g.cut("a", true)
		g.propose("two")
	})
}

// TestVoterThatIsHeardKeepsItsPlace has a newcomer wait beside a full group.
func TestVoterThatIsHeardKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingGroup(t, "x", "y")
		defer g.stopEveryone()
		g.join("z")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !slices.Contains(g.voters(), identifier.HostName("z")))
	})
}
