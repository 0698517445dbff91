package watcher_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// namedDock returns the entry of a dock in one of two failure domains.
func namedDock(n int) encoder.Dock {
	return encoder.Dock{
		Host:    identifier.HostName(fmt.Sprintf("dock-%d", n)),
		Domain:  identifier.DomainName(fmt.Sprintf("domain-%d", n%2)),
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+n)),
	}
}

// startDocks starts docks at keepers.
func startDocks(t *testing.T, n int, keepers ...*keeper) []*dock {
	docks := []*dock{}
	for i := range n {
		d := startDockAs(t, namedDock(i), keepers...)
		t.Cleanup(d.close)
		docks = append(docks, d)
	}
	return docks
}

// TestDockWithoutServersKeepsItsShards checks that a dock that is cut off from the servers is told the
// docks that are not, and that these no longer count it among the owners of shards, also after the
// leader has changed.
func TestDockWithoutServersKeepsItsShards(t *testing.T) {
	a, b := startKeeper(t, anyPort, 1, ""), startKeeper(t, anyPort, 2, "")
	defer a.close()
	defer b.close()
	a.setMembers(a, b)
	b.setMembers(a, b)
	b.setLeading(false)
	docks := startDocks(t, 4, a, b)
	both := []identifier.HostName{"dock-0", "dock-2"}
	docks[2].wait("both docks of the domain", func() bool { return slices.Equal(docks[2].domainDocks, both) })

	began := time.Now()
	docks[0].watcher.SetDetached(true)
	docks[0].wait("the docks that reach servers", func() bool { return len(docks[0].relays) == 3 })
	docks[2].wait("the owners without the dock", func() bool { return slices.Equal(docks[2].domainDocks, both[1:]) })
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))

	docks[1].watcher.SetDetached(true)
	docks[0].wait("one dock less", func() bool { return len(docks[0].relays) == 2 && !slices.Contains(docks[0].relays, "dock-1") })

	a.setLeading(false)
	b.setLeading(true)
	b.broadcaster.Notify()
	docks[3].wait("a list of the new leader", func() bool { return slices.Equal(docks[3].domainDocks, []identifier.HostName{"dock-3"}) })
	docks[0].watcher.SetDetached(false)
	docks[2].wait("both docks again", func() bool { return slices.Equal(docks[2].domainDocks, both) })
}

// TestLimitIsKnownOnlyWhereItWasHeard checks that all docks learn of a limit that one of them reports,
// and that only the leader issues tokens.
func TestLimitIsKnownOnlyWhereItWasHeard(t *testing.T) {
	k := startKeeper(t, anyPort, 1, "")
	defer k.close()
	docks := startDocks(t, 2, k)
	docks[0].wait("the keeper", docks[0].watcher.IsFresh)
	request := encoder.TokenRequest{Limits: []encoder.ServerLimit{{Server: "a", Born: 1, IsNamed: true, Rate: 3}}}
	_, err := docks[0].watcher.RequestTokens(t.Context(), request)
	assert.NilError(t, err)
	docks[1].wait("the limit", func() bool { return len(docks[1].limits) == 1 && docks[1].limits[0].Rate == 3 })
	k.setLeading(false)
	_, err = docks[0].watcher.RequestTokens(t.Context(), request)
	assert.ErrorContains(t, err, errNotLeading.Error())
}
