package replicator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/timekeeper"
)

// electionTimeout is longer than any election timeout of the default settings.
const electionTimeout = 2 * replicator.DefaultElectionTicks * replicator.DefaultTick

// loseDisk restarts a member with an empty folder.
func (g *group) loseDisk(name identifier.HostName) {
	g.stop(name)
	g.folders[name] = g.t.TempDir()
	i := slices.IndexFunc(g.initial, func(m replicator.Member) bool { return m.Name == name })
	g.start(g.initial[i])
}

// setIsolated isolates a member from all others, or reconnects it.
func (g *group) setIsolated(name identifier.HostName, isIsolated bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isIsolated[name] = isIsolated
}

// setLimit drops all messages to a member that exceed a size in bytes. Zero means no limit.
func (g *group) setLimit(name identifier.HostName, sizeLimit int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sizeLimit[name] = sizeLimit
}

// expectVoters waits until a voter runs on each host and all members agree on the voters.
func (g *group) expectVoters() {
	g.t.Helper()
	g.eventually("a voter on every host", func() bool {
		want := []replicator.Member{}
		for _, m := range g.initial {
			s := g.running[m.Name].Status()
			if !s.IsVoter {
				return false
			}
			want = append(want, s.Self)
		}
		for _, r := range g.running {
			if !slices.Equal(r.Status().Voters, want) {
				return false
			}
		}
		return true
	})
}

func TestSecondHostFailsRightAfterRepair(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, second := range []identifier.HostName{"b", "c"} {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, size)
				g.startAll()
				defer g.stopAll()
				g.propose("x")
				g.loseDisk("a")
				g.expectVoters()
				g.loseDisk(second)
				g.propose("y")
				g.expectVoters()
				g.expectApplied(2)
			})
		}
	}
}

func TestMemberWithoutDiskHasNoVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.stop("a")
		g.loseDisk("b")
		// Only c holds the committed entry. It must not form a quorum with b, whose disk is
		// empty.
		time.Sleep(20 * electionTimeout)
		assert.Assert(t, g.leader() == nil)
		assert.Assert(t, !g.running["b"].Status().IsVoter)
		g.start(g.initial[0])
		g.expectVoters()
		g.expectApplied(1)
	})
}

func TestLearnerVotesOnlyOnceItHoldsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		const large = 4_000
		g.propose(string(make([]byte, large)))
		g.setLimit("b", large)
		g.loseDisk("b")
		time.Sleep(20 * electionTimeout)
		learner := g.running["b"].Status().Self
		assert.Assert(t, !slices.Contains(g.leader().Status().Voters, learner))
		g.setLimit("b", 0)
		g.expectVoters()
		assert.Assert(t, slices.Contains(g.leader().Status().Voters, learner))
	})
}

func TestReadNeedsAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		r := g.leader()
		assert.NilError(t, r.Barrier(t.Context()))
		g.setIsolated(r.Status().Self.Name, true)
		ctx, cancel := context.WithTimeout(t.Context(), 2*replicator.DefaultTick)
		defer cancel()
		assert.ErrorIs(t, r.Barrier(ctx), context.DeadlineExceeded)
		assert.Assert(t, r.Status().IsLeader)
	})
}

func TestLaggingMemberGetsASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.changeSettings = func(s *replicator.Settings) { s.SnapshotEntries, s.TrailingEntries, s.ChunkBytes = 20, 2, 3 }
		g.startAll()
		defer g.stopAll()
		g.propose("first")
		g.stop("c")
		for i := range 100 {
			g.propose(fmt.Sprint(i))
		}
		g.start(g.initial[2])
		g.expectApplied(101)
		g.stop("c")
		g.start(g.initial[2])
		g.expectApplied(101)
	})
}

func TestFormationWaitsForEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.start(g.initial[0])
		g.start(g.initial[1])
		defer g.stopAll()
		time.Sleep(20 * electionTimeout)
		assert.Equal(t, len(g.running["a"].Status().Voters), 0)
		g.start(g.initial[2])
		g.propose("x")
		g.expectVoters()
	})
}

func TestLostGroupIsNotFormedAgain(t *testing.T) {
	for _, reporter := range []identifier.HostName{"a", "c"} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 3)
			g.startAll()
			g.propose("x")
			g.stopAll()
			for _, m := range g.initial {
				g.loseDisk(m.Name)
			}
			defer g.stopAll()
			g.running[reporter].ReportGroup()
			time.Sleep(20 * electionTimeout)
			assert.Assert(t, g.leader() == nil)
			g.stopAll()
			g.startAll()
			time.Sleep(20 * electionTimeout)
			assert.Assert(t, g.leader() == nil)
		})
	}
}

func TestFounderLosesItsDiskDuringFormation(t *testing.T) {
	for ticks := replicator.DefaultFormationTicks - 5; ticks < replicator.DefaultFormationTicks+30; ticks++ {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 3)
			g.startAll()
			defer g.stopAll()
			time.Sleep(time.Duration(ticks) * replicator.DefaultTick)
			g.loseDisk("a")
			g.propose("x")
			g.expectVoters()
		})
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		old := g.leader()
		g.setIsolated(old.Status().Self.Name, true)
		_, err := old.Propose(t.Context(), []byte("lost"))
		assert.ErrorIs(t, err, replicator.ErrUnknown)
		assert.Assert(t, !old.Status().IsLeader)
		assert.ErrorIs(t, old.Barrier(t.Context()), replicator.ErrNotLeader)
		g.propose("y")
		g.setIsolated(old.Status().Self.Name, false)
		g.expectApplied(2)
	})
}

func TestReturnAfterLongPartitionKeepsLeaderAndTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		before := g.leader().Status()
		isolated := identifier.HostName("a")
		if before.Self.Name == isolated {
			isolated = "b"
		}
		g.setIsolated(isolated, true)
		time.Sleep(20 * electionTimeout)
		g.propose("y")
		g.setIsolated(isolated, false)
		g.expectApplied(2)
		time.Sleep(5 * electionTimeout)
		after := g.leader().Status()
		assert.Equal(t, after.Term, before.Term)
		assert.Equal(t, after.Self, before.Self)
	})
}

func TestReplacedMemberIsNotifiedAndHasNoVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		g.stop("b")
		old := g.folders["b"]
		g.loseDisk("b")
		g.expectVoters()
		term := g.leader().Status().Term
		g.stop("b")
		g.folders["b"], old = old, g.folders["b"]
		g.start(g.initial[1])
		g.eventually("replaced member notified", func() bool { return !g.running["b"].Status().IsVoter })
		assert.Equal(t, g.leader().Status().Term, term)
		g.stop("b")
		g.folders["b"] = old
		g.start(g.initial[1])
		g.expectVoters()
	})
}

func TestPendingIsTheLargestCommandNumberBeyondCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		firstByte := func(command []byte) uint64 { return uint64(command[0]) }
		g.options = []replicator.Option{replicator.WithCommandNumber(firstByte)}
		g.startAll()
		defer g.stopAll()
		g.propose("\x07")
		g.expectApplied(1)
		r := g.leader()
		g.setIsolated(r.Status().Self.Name, true)
		ctx, cancel := context.WithTimeout(t.Context(), 2*replicator.DefaultTick)
		defer cancel()
		_, err := r.Propose(ctx, []byte{9})
		assert.ErrorIs(t, err, replicator.ErrUnknown)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, r.Status().Pending, uint64(9))
	})
}

func TestTooLargeCommandsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		_, err := g.leader().Propose(t.Context(), make([]byte, replicator.MaxCommandBytes+1))
		assert.ErrorIs(t, err, replicator.ErrTooLarge)
	})
}

// pausableClock lets a test suspend the ticks, as when the process is paused.
type pausableClock struct {
	timekeeper.System
	ticker *time.Ticker
}

func (c *pausableClock) NewTicker(d time.Duration) *time.Ticker {
	c.ticker = c.System.NewTicker(d)
	return c.ticker
}

func TestLeaderThatWasStoppedStepsDownAtItsFirstTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		clocks := map[identifier.HostName]*pausableClock{}
		for _, m := range g.initial {
			clocks[m.Name] = &pausableClock{}
			g.options = []replicator.Option{replicator.WithClock(clocks[m.Name])}
			g.start(m)
		}
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		old := g.leader()
		name := old.Status().Self.Name
		clocks[name].ticker.Reset(time.Hour)
		g.setIsolated(name, true)
		time.Sleep(10 * electionTimeout)
		assert.Assert(t, old.Status().IsLeader)
		clocks[name].ticker.Reset(replicator.DefaultTick)
		time.Sleep(replicator.DefaultTick)
		synctest.Wait()
		assert.Assert(t, !old.Status().IsLeader)
	})
}

func TestOpenRefusesSettingsThatCannotWork(t *testing.T) {
	a, b := replicator.Member{Name: "a"}, replicator.Member{Name: "b"}
	expectRefusal(t, replicator.Settings{Self: a, Initial: []replicator.Member{b}})
	expectRefusal(t, replicator.Settings{Self: a, Initial: []replicator.Member{a, a}})
	expectRefusal(t, replicator.Settings{Self: a, Initial: []replicator.Member{a}, ElectionTicks: 5, HeartbeatTicks: 5})
}

func expectRefusal(t *testing.T, s replicator.Settings) {
	t.Helper()
	j, err := journaler.Open(t.TempDir())
	assert.NilError(t, err)
	_, err = replicator.Open(s, &register{}, j, groupTransport{})
	assert.ErrorIs(t, err, replicator.ErrSettings)
}
