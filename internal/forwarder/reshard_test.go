package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/sender"
)

// reshardTimeout is the timeout of requests that wait while the configuration changes.
const reshardTimeout = 800 * time.Millisecond

// reshardedCluster is a cluster whose index is cut into other shards while requests are on their way.
type reshardedCluster struct {
	*cluster
	// next are the shards that the second configuration names.
	next []identifier.ServiceName
	// isListed is set if the second configuration still lists the services of the first one.
	isListed bool
}

// newReshardedCluster starts the servers of the first shards and of others, numbered on.
func newReshardedCluster(t *testing.T, others int, isListed bool) *reshardedCluster {
	t.Helper()
	c := &reshardedCluster{cluster: newCluster(t, nil, scatterRoute(ownedShards, 3, 0.9, time.Second)), isListed: isListed}
	for i := range others {
		name := fmt.Sprintf("next-%02d", i)
		c.next = append(c.next, identifier.ServiceName(name))
		c.addServer(name, "server-"+name, answers(record(100+i)))
	}
	for _, f := range c.docks {
		f.UpdateServers(c.services)
		f.Configure(c.table(2, services(ownedShards), c.next))
	}
	return c
}

// table returns a configuration whose route names some shards, and that lists other services too.
func (c *reshardedCluster) table(number uint64, shards, others []identifier.ServiceName) *matcher.Table {
	c.t.Helper()
	r := scatterRoute(ownedShards, 3, 0.9, reshardTimeout/2)
	r.Name, r.Host, r.Prefix, r.Timeout, r.Attempts = "r", "a.example", "/x/", reshardTimeout, 2
	r.Destination = matcher.Scatter{Services: shards, RowLimit: 3, MinimumCoverage: 0.9}
	configuration := matcher.Configuration{
		Number: number, Routes: []matcher.Route{r}, RequiresKeys: true,
		Customers: []matcher.Customer{{Name: "mills", Keys: []matcher.Key{"k1"}, Rate: 1000, Burst: 1000}},
	}
	for _, s := range slices.Concat(shards, others) {
		configuration.Services = append(configuration.Services, matcher.Service{Name: s, Connections: 50})
	}
	table, err := matcher.Compile(configuration)
	assert.NilError(c.t, err)
	return table
}

// reshard puts the second configuration in force at all docks.
func (c *reshardedCluster) reshard() {
	former := services(ownedShards)
	if !c.isListed {
		former = nil
	}
	for _, f := range c.docks {
		f.Configure(c.table(3, c.next, former))
	}
}

// getMeanwhile sends a request and changes the configuration after a delay. It returns the request's outcome.
func (c *reshardedCluster) getMeanwhile(delay time.Duration) forwarder.Outcome {
	outcomes := make(chan forwarder.Outcome, 1)
	go func() { outcomes <- c.getWithKey() }()
	time.Sleep(delay)
	c.reshard()
	return <-outcomes
}

// getWithKey sends a request with the customer's key.
func (c *reshardedCluster) getWithKey() forwarder.Outcome {
	return c.forwarder.Handle(context.Background(), &forwarder.Request{
		Request: sender.Request{
			ID: "id-1", Method: http.MethodGet, Target: "/x/y?z=1", Host: "a.example",
			Header: http.Header{"Request": {"id-1"}, "Key": {"k1"}},
		},
		Path: "/x/y", Arrived: time.Now(), Timeout: reshardTimeout,
	})
}

// grantPermits has keepers issue permits to all docks after a delay.
func (c *reshardedCluster) grantPermits(delay time.Duration) {
	keepers := newQuotaKeepers()
	keepers.delay = delay
	for _, f := range c.docks {
		f.SetPermitIssuer(keepers)
	}
}

// server returns the server of one of the first shards.
func (c *reshardedCluster) server(shard int) *fakeServer {
	return c.servers[encoder.ServerID(fmt.Sprintf("server-%d", shard))]
}

// setHandler replaces the handler of a server.
func (s *fakeServer) setHandler(h handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handle = h
}

// expectFormer checks that an answer is made of the first shards only and counts them.
func (c *reshardedCluster) expectFormer(o forwarder.Outcome) {
	c.t.Helper()
	g := expect[forwarder.Gathered](c.t, o)
	assert.Equal(c.t, len(g.Stamps)+g.Missing, ownedShards)
	for _, stamp := range g.Stamps {
		assert.Assert(c.t, !strings.Contains(stamp, "next"), "%d parts, one of them %q", len(g.Stamps), stamp)
	}
	slices.Sort(g.Stamps)
	assert.Equal(c.t, len(slices.Compact(g.Stamps)), len(g.Stamps))
	assert.Assert(c.t, string(g.Body) <= record(ownedShards-1)+record(ownedShards-2)+record(ownedShards-3), "%s", g.Body)
}

// TestRequestAwaitingItsPermitKeepsItsShards guards against a request that is admitted under one configuration,
// waits for the permit of its customer's quota, and is sent to the shards of the next one, which are counted
// against the former ones.
func TestRequestAwaitingItsPermitKeepsItsShards(t *testing.T) {
	for _, others := range []int{20, ownedShards, 60} {
		for _, isListed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d listed %t", others, isListed), func(t *testing.T) {
				c := newReshardedCluster(t, others, isListed)
				c.grantPermits(100 * time.Millisecond)
				c.expectFormer(c.getMeanwhile(30 * time.Millisecond))
			})
		}
	}
}

// TestRequestInTrialKeepsItsShards guards against a suspected request that is tried at one shard, and then sent
// to no other one, because the configuration has changed meanwhile.
func TestRequestInTrialKeepsItsShards(t *testing.T) {
	c := newReshardedCluster(t, 60, true)
	c.grantPermits(0)
	for i := range ownedShards {
		c.server(i).setHandler(after(100*time.Millisecond, answers(record(i))))
	}
	c.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: fingerprintOf(t)}})
	c.expectFormer(c.getMeanwhile(50 * time.Millisecond))
}

// TestReplacedSenderKeepsItsShards loses the messages to the senders of the groups, which are replaced when the
// configuration has changed.
func TestReplacedSenderKeepsItsShards(t *testing.T) {
	for _, f := range []fault{faultBlackhole, faultReplyDropped, faultLate} {
		c := newReshardedCluster(t, 60, true)
		c.grantPermits(0)
		c.setFault(f)
		c.expectFormer(c.getMeanwhile(30 * time.Millisecond))
	}
}

// TestHedgesKeepTheirShards has the first servers of all shards answer late, so that hedges and repeats are sent
// after the configuration has changed.
func TestHedgesKeepTheirShards(t *testing.T) {
	c := newReshardedCluster(t, 60, true)
	c.grantPermits(0)
	for i, s := range services(ownedShards) {
		slow := after(time.Minute, answers(record(i)))
		if i%2 == 0 {
			slow = after(50*time.Millisecond, dropsConnection)
		}
		c.server(i).setHandler(slow)
		c.addServer(string(s), fmt.Sprintf("second-%d", i), answers(record(i)))
	}
	for _, f := range c.docks {
		f.UpdateServers(c.services)
	}
	c.expectFormer(c.getMeanwhile(20 * time.Millisecond))
}

// TestStopKeepsTheShards ends a dock's requests after the configuration has changed.
func TestStopKeepsTheShards(t *testing.T) {
	c := newReshardedCluster(t, 60, true)
	c.grantPermits(0)
	for i := range 4 {
		c.server(i).setHandler(after(time.Minute, answers(record(i))))
	}
	outcomes := make(chan forwarder.Outcome, 1)
	go func() { outcomes <- c.getWithKey() }()
	time.Sleep(50 * time.Millisecond)
	c.reshard()
	c.forwarder.EndAt(time.Now().Add(100 * time.Millisecond))
	c.expectFormer(<-outcomes)
}
