package governor_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// isolate cuts the connection between two hosts in both directions.
func (cl *cluster) isolate(a, b identifier.HostName) {
	cl.network.setCut(a, b, true)
	cl.network.setCut(b, a, true)
}

// others returns the names of all keepers except one.
func (cl *cluster) others(name identifier.HostName) []identifier.HostName {
	var names []identifier.HostName
	for _, m := range cl.members {
		if m.Name != name {
			names = append(names, m.Name)
		}
	}
	return names
}

// expectStale waits until d0 is not fresh. A quorum read keeps a dock fresh for 3 s.
func (cl *cluster) expectStale() {
	cl.t.Helper()
	cl.expect("d0 not fresh", 3100*time.Millisecond, func() bool { return !cl.docks["d0"].poller.IsFresh() })
}

// expectNeverFresh asserts that d0 is not fresh at any time during a period.
func (cl *cluster) expectNeverFresh(d time.Duration) {
	cl.t.Helper()
	for ; d > 0; d -= 50 * time.Millisecond {
		assert.Assert(cl.t, !cl.docks["d0"].poller.IsFresh())
		cl.advance(50 * time.Millisecond)
	}
}

func TestPartitionedDockIsStaleWithinThreeSeconds(t *testing.T) {
	withCluster(t, 5, 2, func(cl *cluster) {
		for _, m := range cl.members {
			cl.isolate("d0", m.Name)
		}
		cl.expectStale()
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		cl.expectNeverFresh(10 * time.Second)
		cl.network.heal()
		cl.expect("manifest 1 in force", 8*time.Second, func() bool { return cl.isInForce(1) })
	})
}

func TestDockWithAMinorityIsNotFresh(t *testing.T) {
	withCluster(t, 5, 2, func(cl *cluster) {
		for _, m := range cl.members[2:] {
			cl.isolate("d0", m.Name)
		}
		cl.expectStale()
		cl.expectNeverFresh(10 * time.Second)
		cl.network.setCut("d0", cl.members[2].Name, false)
		cl.network.setCut(cl.members[2].Name, "d0", false)
		cl.expect("d0 fresh", 3*time.Second, func() bool { return cl.docks["d0"].poller.IsFresh() })
	})
}

func TestUncommittedEntriesOfAPartitionedLeaderAreIgnored(t *testing.T) {
	withCluster(t, 3, 2, func(cl *cluster) {
		old := cl.leader()
		for _, name := range cl.others(old) {
			cl.isolate(old, name)
			// d0 can reach only the old leader.
			cl.isolate("d0", name)
		}
		c := keeperClient{cl, cl.docks["d1"].identity}
		var address netip.AddrPort
		for _, m := range cl.members {
			if m.Name == old {
				address = m.Address
			}
		}
		// The old leader appends manifest 9 to its log and cannot commit it.
		reply, err := c.Submit(cl.t.Context(), address, manifest(9, "lost"))
		assert.NilError(cl.t, err)
		assert.Assert(cl.t, reply.Outcome != encoder.SubmitAccepted)
		assert.Equal(cl.t, cl.submit(manifest(2, "kept"), 10*time.Second), encoder.SubmitAccepted)
		cl.expect("d1 fresh with 2", 8*time.Second, func() bool {
			p := cl.docks["d1"].poller
			return p.IsFresh() && p.State().ManifestText.Number == 2
		})
		cl.expectStale()
		cl.expectNeverFresh(10 * time.Second)
		cl.network.heal()
		cl.expect("manifest 2 in force", 8*time.Second, func() bool { return cl.isInForce(2) })
	})
}

// TestDockIsStaleAfterLossOfTheCommittingKeepers stops both keepers that committed a manifest
// before a dock receives it. The third keeper does not have the manifest, and the dock must not
// count the refused connections of the stopped keepers as answers, so it must not be fresh.
func TestDockIsStaleAfterLossOfTheCommittingKeepers(t *testing.T) {
	withCluster(t, 3, 1, func(cl *cluster) {
		first := cl.leader()
		third := cl.others(first)[0]
		second := cl.others(first)[1]
		cl.isolate(third, first)
		cl.isolate(third, second)
		cl.isolate("d0", first)
		cl.isolate("d0", second)
		cl.advance(500 * time.Millisecond)
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		cl.stopKeeper(first)
		cl.stopKeeper(second)
		cl.network.heal()
		cl.expectStale()
		cl.expectNeverFresh(10 * time.Second)
		cl.startKeeper(first)
		cl.expect("manifest 1 in force", 8*time.Second, func() bool { return cl.isInForce(1) })
	})
}

func TestRestartedDockIsNotFreshBeforeItsFirstRead(t *testing.T) {
	withCluster(t, 3, 2, func(cl *cluster) {
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		cl.stopDock("d0")
		for _, m := range cl.members[1:] {
			cl.isolate("d0", m.Name)
		}
		cl.startDock("d0")
		cl.expectNeverFresh(5 * time.Second)
		assert.Equal(cl.t, cl.docks["d0"].poller.State().ManifestText.Number, uint64(1))
		cl.network.heal()
		cl.expect("d0 fresh", 3*time.Second, func() bool { return cl.docks["d0"].poller.IsFresh() })
	})
}

func TestChangeOfLeaderKeepsAllMembers(t *testing.T) {
	withCluster(t, 3, 5, func(cl *cluster) {
		assert.Equal(cl.t, cl.submit(manifest(1, "a"), 5*time.Second), encoder.SubmitAccepted)
		for range 3 {
			old := cl.leader()
			cl.stopKeeper(old)
			for range 400 {
				cl.advance(50 * time.Millisecond)
				for name, d := range cl.docks {
					s := d.poller.State()
					if len(s.View.Hosts) != 5 || len(s.View.Servers) != 5 {
						cl.logState()
						cl.t.Fatalf("%s lost members", name)
					}
				}
			}
			cl.startKeeper(old)
			cl.expectConverged()
		}
	})
}

// TestNewLeaderKeepsServersUntilTheirSilenceLimit stops the leader together with the dock at which
// a server announces itself. No dock reports the server to the new leader, which must keep it in
// the view until the server has been silent for its full limit.
func TestNewLeaderKeepsServersUntilTheirSilenceLimit(t *testing.T) {
	withCluster(t, 3, 3, func(cl *cluster) {
		old := cl.leader()
		cl.stopDock("d2")
		cl.stopKeeper(old)
		for range 180 {
			cl.advance(50 * time.Millisecond)
			for name, d := range cl.docks {
				if n := len(d.poller.State().View.Servers); n != 3 {
					cl.t.Fatalf("%s sees %d servers", name, n)
				}
			}
		}
		cl.expect("the new leader's view without the stopped dock", 4*time.Second, func() bool { return len(cl.docks["d0"].poller.State().View.Hosts) == 2 })
		cl.expect("the server gone", 14*time.Second, func() bool { return len(cl.docks["d0"].poller.State().View.Servers) == 2 })
	})
}

func TestDrainingReachesEveryDockWithinTwoSeconds(t *testing.T) {
	withCluster(t, 5, 5, func(cl *cluster) {
		address := netip.MustParseAddrPort("127.0.3.1:7000")
		cl.docks["d1"].poller.Announce(encoder.Server{Address: address, Service: "plates", State: encoder.ServerReady})
		cl.advance(3 * time.Second)
		cl.docks["d2"].poller.Announce(encoder.Server{Address: address, Service: "plates", State: encoder.ServerDraining})
		took := cl.expect("draining seen everywhere", 2*time.Second, func() bool { return cl.allSee(address, encoder.ServerDraining) })
		cl.t.Logf("draining seen everywhere after %s", took)
	})
}

// allSee reports whether the views of all docks include a server in a state.
func (cl *cluster) allSee(address netip.AddrPort, state encoder.ServerState) bool {
	for _, d := range cl.docks {
		isSeen := false
		for _, s := range d.poller.State().View.Servers {
			isSeen = isSeen || (s.Address == address && s.State == state)
		}
		if !isSeen {
			return false
		}
	}
	return true
}

func TestSilentDockLeavesTheView(t *testing.T) {
	withCluster(t, 3, 3, func(cl *cluster) {
		cl.stopDock("d2")
		took := cl.expect("d2 gone", 4*time.Second, func() bool {
			return len(cl.docks["d0"].poller.State().View.Hosts) == 2 && len(cl.docks["d1"].poller.State().View.Hosts) == 2
		})
		cl.t.Logf("gone after %s", took)
		cl.expect("its server gone", 14*time.Second, func() bool { return len(cl.docks["d0"].poller.State().View.Servers) == 2 })
	})
}
