package scatterer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"banyandock.example/banyandock/cmd/standin/internal/controller"
	"banyandock.example/banyandock/cmd/standin/internal/loader"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/cmd/standin/internal/supervisor"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// waitLimit bounds the wait for events that must happen. Test results do not depend on its length.
const waitLimit = 30 * time.Second

// freePort returns a port that is currently free on the loopback addresses.
func freePort(t *testing.T) uint16 {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort().Port()
}

// cluster is two entry hosts with four backend servers.
type cluster struct {
	hosts   *Scatterer
	servers *supervisor.Supervisor
	control *controller.Controller
	load    *settingsreader.Load
}

func newCluster(t *testing.T, protocol encoder.ServerProtocol) *cluster {
	t.Helper()
	entry, control := freePort(t), netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), freePort(t))
	first, second := netip.MustParseAddr("127.250.1.1"), netip.MustParseAddr("127.250.1.2")
	docks := []netip.AddrPort{netip.AddrPortFrom(first, entry), netip.AddrPortFrom(second, entry)}
	c := &cluster{}
	var err error
	c.hosts, err = Start(&settingsreader.Baseline{FirstAddress: first, Port: entry, Hosts: 2, Retries: 1}, zerolog.Nop())
	assert.NilError(t, err)
	c.servers, err = supervisor.Start(&settingsreader.Serve{
		AnnounceTo:       docks,
		AnnounceInterval: 10 * time.Millisecond,
		Services: []settingsreader.Service{{
			Name:               "desk",
			Domains:            []identifier.DomainName{"a", "b"},
			FirstAddress:       netip.MustParseAddr("127.250.2.1"),
			Port:               entry,
			Protocol:           protocol,
			Instances:          4,
			ServersPerInstance: 1,
			Replicas:           2,
			Shards:             4,
			Version:            1,
			Slots:              2,
			Connections:        50,
			WaitingLimit:       1000,
			ServiceTime:        time.Millisecond,
			SlowFactor:         1,
			ColdFactor:         1,
			Rows:               2,
		}},
	}, zerolog.Nop())
	assert.NilError(t, err)
	c.control, err = controller.Start(control, c.servers.Servers(), c.servers.Executions(), zerolog.Nop())
	assert.NilError(t, err)
	c.load = &settingsreader.Load{
		Seed:               1,
		Docks:              docks,
		Controls:           []netip.AddrPort{control},
		Service:            "desk",
		Rate:               100,
		Duration:           300 * time.Millisecond,
		Rows:               2,
		ConnectionsPerDock: 50,
		Classes: []settingsreader.Class{{
			Name: "urgent", Caller: "c", Operation: "lookup", Share: 1, Timeout: waitLimit,
			Merge: manifestreader.MergeTopK, RowLimit: 10,
		}},
	}
	return c
}

func (c *cluster) close() {
	c.control.Close()
	c.servers.Close()
	c.hosts.Close()
}

// awaitPlan waits until the hosts have a plan with the given version and shard count and with the
// given number of replicas of each shard.
func (c *cluster) awaitPlan(t *testing.T, version identifier.IndexVersion, shards, replicas int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p := c.hosts.directory.find("desk")
		if p == nil || p.version != version || len(p.replicas) != shards {
			return poll.Continue("plan is %+v", p)
		}
		for _, r := range p.replicas {
			if len(r) != replicas {
				return poll.Continue("plan is %+v", p)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
}

func (c *cluster) run(t *testing.T) *loader.Result {
	t.Helper()
	r, err := loader.New(c.load).Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(r.Violations), 0)
	assert.Equal(t, r.ServerCounts.Violations, uint64(0))
	return r
}

// TestAnswersAreCorrectAfterRepartition checks the answers under load over both protocols, before
// and after a repartition.
func TestAnswersAreCorrectAfterRepartition(t *testing.T) {
	for _, protocol := range encoder.ServerProtocolValues() {
		c := newCluster(t, protocol)
		c.awaitPlan(t, 1, 4, 2)
		r := c.run(t)
		assert.Equal(t, r.Classes[0].Outcomes[merger.OutcomeComplete], r.Classes[0].Sent)
		assert.Equal(t, r.Overhead(), 1.0)
		for _, s := range c.servers.Servers() {
			s.AddVersion(2, 8)
			s.RemoveVersion(1)
		}
		c.awaitPlan(t, 2, 8, 2)
		r = c.run(t)
		assert.Equal(t, r.Classes[0].Coverage(), 1.0)
		c.close()
	}
}

// TestFailedShardIsReportedMissing checks that the coverage is correct if all replicas of a shard
// fail.
func TestFailedShardIsReportedMissing(t *testing.T) {
	c := newCluster(t, encoder.ProtocolHTTP2)
	defer c.close()
	c.awaitPlan(t, 1, 4, 2)
	for _, s := range c.servers.Servers() {
		if s.Placement().Index%s.Placement().GroupSize() == 1 {
			s.SetFaults(responder.Faults{Reply: responder.ReplyCrossed, ReplyShare: 1})
		}
	}
	r := c.run(t)
	assert.Assert(t, r.Classes[0].Outcomes[merger.OutcomePartial] > 0)
}
