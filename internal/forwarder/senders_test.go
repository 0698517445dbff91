package forwarder_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/matcher"
)

const (
	// manyDocks is a number of docks of which not all can have a connection to a server that accepts
	// 50, and manyDomains that of their failure domains.
	manyDocks   = 200
	manyDomains = 5
)

// newLargeCluster returns a cluster whose docks are part of a fleet of manyDocks. Each group of ten shards
// has two senders.
func newLargeCluster(t *testing.T, r matcher.Route) *cluster {
	t.Helper()
	c := newCluster(t, nil, r)
	for _, d := range c.docks {
		d.SetDocks(manyDocks, manyDomains)
	}
	return c
}

// addOutsider lets requests go to a further dock, which knows a list of docks without itself and is no
// sender.
func (c *cluster) addOutsider(domainDocks []encoder.Dock) {
	c.t.Helper()
	f := c.newForwarder(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1, Host: "dock-new", Peers: c})
	c.t.Cleanup(f.Close)
	f.SetDocks(manyDocks, manyDomains)
	f.SetDomainDocks(domainDocks)
	f.UpdateServers(c.services)
	c.forwarder = f
	c.setRoute(scatterRoute(ownedShards, 3, 0.9, time.Second))
}

// TestDockThatMayNotConnectUsesTheNextSender lets the links to the first senders fail in turn. No shard is
// asked by more docks than the senders of its group.
func TestDockThatMayNotConnectUsesTheNextSender(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.getComplete()
	c.refuseFirst(1)
	c.getComplete()
	assert.Equal(t, c.totalRequests(), 2*ownedShards)
}

// TestRequestThatNoSenderTakesIsRefusedAtOnce lets all links of a dock fail that is no sender. It has
// neither asked the servers itself nor left the caller in doubt.
func TestRequestThatNoSenderTakesIsRefusedAtOnce(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.addOutsider(c.domainDocks)
	c.setFault(faultRefused)
	began := time.Now()
	refused := expect[forwarder.Refused](t, c.get())
	assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	assert.Assert(t, refused.After > 0)
	assert.Equal(t, c.totalRequests(), 0)
}

// TestSilentSenderIsReplacedByTheNext loses the requests to the first sender. The second one answers in
// time, and no shard runs the request more often than the route allows.
func TestSilentSenderIsReplacedByTheNext(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, 300*time.Millisecond))
	c.setFirstFault(faultBlackhole)
	began := time.Now()
	c.getComplete()
	assert.Assert(t, time.Since(began) < 300*time.Millisecond)
	assert.Equal(t, c.totalRequests(), ownedShards)
}

// TestRunsStayBoundedWhenASenderIsReplaced has an owner that freezes after it has sent the request, and servers
// that are so slow that the next sender would hedge. The route allows two runs.
func TestRunsStayBoundedWhenASenderIsReplaced(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, 120*time.Millisecond))
	for i, s := range services(ownedShards) {
		slow := after(150*time.Millisecond, answers(record(i)))
		c.servers[encoder.ServerID(fmt.Sprintf("server-%d", i))].handle = slow
		c.addServer(string(s), fmt.Sprintf("second-%d", i), slow)
	}
	for _, f := range c.docks {
		f.UpdateServers(c.services)
	}
	c.setFirstFault(faultReplyDropped)
	c.get()
	time.Sleep(400 * time.Millisecond)
	for i := range ownedShards {
		first, _ := c.servers[encoder.ServerID(fmt.Sprintf("server-%d", i))].count()
		second, _ := c.servers[encoder.ServerID(fmt.Sprintf("second-%d", i))].count()
		assert.Assert(t, first+second <= 2, "%d runs of shard %d", first+second, i)
	}
}

// TestDockWithoutAListOfDocksDoesNotConnect has a dock that knows how many docks there are and not which.
func TestDockWithoutAListOfDocksDoesNotConnect(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.addOutsider(nil)
	assert.Equal(t, countTargets(c.forwarder), 0)
	expect[forwarder.Refused](t, c.get())
	assert.Equal(t, c.totalRequests(), 0)
}

// TestOwnerThatMissedNewServersIsPassedOver has a new index whose servers no owner knows, because the owners
// are cut off from the keepers. The answers of the other docks are complete all the same, and no shard runs
// a request twice.
func TestOwnerThatMissedNewServersIsPassedOver(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	others := []*forwarder.Forwarder{}
	for _, f := range c.docks {
		if countTargets(f) > 0 {
			f.UpdateServers(nil)
		} else {
			others = append(others, f)
		}
	}
	assert.Equal(t, len(others), 4)
	for _, f := range others {
		c.forwarder = f
		c.getComplete()
	}
	assert.Equal(t, c.totalRequests(), 4*ownedShards)
}

// ordersTable returns a configuration whose only route leads to the single service orders.
func (c *cluster) ordersTable() *matcher.Table {
	c.t.Helper()
	table, err := matcher.Compile(matcher.Configuration{
		Number: 2,
		Routes: []matcher.Route{{
			Name: "r", Host: "a.example", Prefix: "/x/", Destination: matcher.Single{Service: "orders"},
			Timeout: time.Second, Attempts: 1,
		}},
		Services: []matcher.Service{{Name: "orders", Connections: 50}},
	})
	assert.NilError(c.t, err)
	return table
}

// TestSingleServiceIsReachedThroughItsSenders sends requests that must not run twice to a service whose
// servers accept fewer connections than there are docks. Only senders send to them, and each request runs
// once.
func TestSingleServiceIsReachedThroughItsSenders(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.addServer("orders", "orders-a", answers("ordered"))
	senders := 0
	for _, f := range c.docks {
		f.UpdateServers(c.services)
		f.Configure(c.ordersTable())
		senders += countTargets(f)
	}
	assert.Equal(t, senders, 1, "one of the docks owns the service")
	for _, f := range c.docks {
		c.forwarder = f
		expect[forwarder.Answer](t, c.send(context.Background(), "POST", "body", time.Second))
	}
	requests, _ := c.servers["orders-a"].count()
	assert.Equal(t, requests, len(c.docks))
	assert.Assert(t, c.relayCalls >= len(c.docks)-3, "%d of %d docks handed the request over", c.relayCalls, len(c.docks))
}

// TestDockThatLostItsRankPassesTheRequestOn hands a request over to a dock that no longer sends to the
// service. The next sender answers.
func TestDockThatLostItsRankPassesTheRequestOn(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.addServer("orders", "orders-a", answers("ordered"))
	owner := -1
	for i, f := range c.docks {
		f.UpdateServers(c.services)
		f.Configure(c.ordersTable())
		if countTargets(f) > 0 {
			owner = i
		}
	}
	others := slices.Delete(slices.Clone(c.domainDocks), owner, owner+1)
	c.docks[owner].SetDomainDocks(others)
	for i, f := range c.docks {
		if i != owner {
			c.forwarder = f
			expect[forwarder.Answer](t, c.send(context.Background(), "POST", "body", time.Second))
		}
	}
	requests, _ := c.servers["orders-a"].count()
	assert.Equal(t, requests, len(c.docks)-1)
}

// TestServiceWithoutServersIsRefusedByTheFirstDock has no server of a service that needs senders.
func TestServiceWithoutServersIsRefusedByTheFirstDock(t *testing.T) {
	c := newLargeCluster(t, scatterRoute(ownedShards, 3, 0.9, time.Second))
	for _, f := range c.docks {
		f.Configure(c.ordersTable())
		c.forwarder = f
		refused := expect[forwarder.Refused](t, c.send(context.Background(), "POST", "body", time.Second))
		assert.Equal(t, refused.Reason, forwarder.ReasonNoServer)
	}
	assert.Equal(t, c.relayCalls, 0)
}

// TestRequestThatReachedNoServerIsRefused takes the servers of all shards down. Nothing can have run, so
// the caller may repeat the request.
func TestRequestThatReachedNoServerIsRefused(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addShards(5, nil)
	d.setRoute(scatterRoute(5, 3, 0.9, time.Second))
	for _, s := range d.servers {
		s.server.Close()
	}
	expect[forwarder.Refused](t, d.get())
}

// refuseFirst lets the next calls to docks fail before they are sent.
func (c *cluster) refuseFirst(calls int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refusals = calls
}

// setFirstFault sets the fault of the links to the first dock that is called.
func (c *cluster) setFirstFault(f fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.firstFault = f
}
