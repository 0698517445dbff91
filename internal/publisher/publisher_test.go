package publisher

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/seeder"
)

func init() { seeder.Fix() }

var start = time.UnixMilli(1_700_000_000_000)

func host(name, domain string) encoder.Host {
	return encoder.Host{Name: identifier.HostName(name), Domain: identifier.DomainName(domain), Incarnation: 1, State: encoder.HostReady}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 7000)
}

func backend(n int, domain string, state encoder.ServerState) encoder.Server {
	return encoder.Server{Address: address(n), Service: "plates", Domain: identifier.DomainName(domain), Incarnation: 1, State: state, Holdings: []encoder.Holding{{Version: 1, Shard: 0, ShardCount: 1}}}
}

// dockClient simulates one dock.
type dockClient struct {
	p        *Publisher
	host     encoder.Host
	sequence uint64
	view     *encoder.View
}

func newDockClient(p *Publisher, name, domain string) *dockClient {
	return &dockClient{p: p, host: host(name, domain), view: &encoder.View{}}
}

// poll reports servers as announced at this moment and applies the answer.
func (c *dockClient) poll(now time.Time, servers ...encoder.Server) Answer {
	q := encoder.PollRequest{KnownEpoch: c.view.Epoch, Host: &c.host}
	for _, s := range servers {
		q.Announcements = append(q.Announcements, encoder.Announcement{Server: s})
	}
	return c.send(now, q)
}

func (c *dockClient) send(now time.Time, q encoder.PollRequest) Answer {
	c.sequence++
	q.Sequence = c.sequence
	a := c.p.Poll(now, Dock{c.host.Name, c.host.Incarnation}, q)
	if a.View != nil {
		if v, ok := c.view.Apply(a.View); ok {
			c.view = v
		}
	}
	return a
}

func (c *dockClient) expectServers(t *testing.T, want ...int) {
	t.Helper()
	got := map[netip.AddrPort]bool{}
	for _, s := range c.view.Servers {
		got[s.Address] = true
	}
	expected := map[netip.AddrPort]bool{}
	for _, n := range want {
		expected[address(n)] = true
	}
	assert.Assert(t, reflect.DeepEqual(got, expected), "servers are %v", got)
}

// newSettledLeader returns a leader of term 1 whose view is settled, one dock that holds the first
// view, and the current time.
func newSettledLeader(t *testing.T, servers ...encoder.Server) (*Publisher, *dockClient, time.Time) {
	t.Helper()
	p := New()
	p.Lead(start, 1)
	c := newDockClient(p, "d1", "a")
	c.poll(start, servers...)
	now := start.Add(1700 * time.Millisecond)
	p.Advance(now)
	assert.Assert(t, c.poll(now).Ready)
	return p, c, now
}

func TestFirstViewWaitsForGathering(t *testing.T) {
	p := New()
	p.Lead(start, 1)
	c := newDockClient(p, "d1", "a")
	c.poll(start, backend(1, "a", encoder.ServerReady))
	p.Advance(start.Add(time.Second))
	assert.Assert(t, !c.poll(start.Add(time.Second)).Ready)
	p.Advance(start.Add(1700 * time.Millisecond))
	assert.Assert(t, c.poll(start.Add(1700*time.Millisecond)).Ready)
	assert.Equal(t, c.view.Epoch, identifier.NewEpoch(1, 1))
	c.expectServers(t, 1)
}

func TestDrainingIsPublishedWithTheNextAdvance(t *testing.T) {
	p, c, now := newSettledLeader(t, backend(1, "a", encoder.ServerReady))
	c.poll(now, backend(1, "a", encoder.ServerDraining))
	// Another dock's report of the server as ready is too recent to undo the draining.
	other := newDockClient(p, "d2", "b")
	other.poll(now.Add(time.Second), backend(1, "a", encoder.ServerReady))
	p.Advance(now.Add(time.Second))
	c.poll(now.Add(time.Second))
	assert.Equal(t, c.view.Servers[0].State, encoder.ServerDraining)
	// A server that cancelled its draining is ready again.
	other.poll(now.Add(3*time.Second), backend(1, "a", encoder.ServerReady))
	p.Advance(now.Add(3 * time.Second))
	c.poll(now.Add(3 * time.Second))
	assert.Equal(t, c.view.Servers[0].State, encoder.ServerReady)
}

func TestRestartedServerReplacesItsPredecessor(t *testing.T) {
	p, c, now := newSettledLeader(t, backend(1, "a", encoder.ServerDraining))
	restarted := backend(1, "a", encoder.ServerCold)
	restarted.Incarnation = 2
	c.poll(now.Add(time.Second), restarted)
	p.Advance(now.Add(time.Second))
	c.poll(now.Add(time.Second))
	assert.Equal(t, c.view.Servers[0].Incarnation, identifier.Incarnation(2))
	// An earlier announcement of the predecessor that arrives late is ignored.
	q := encoder.PollRequest{Host: &c.host, Announcements: []encoder.Announcement{{Server: backend(1, "a", encoder.ServerReady), Age: 3 * time.Second}}}
	c.send(now.Add(2*time.Second), q)
	p.Advance(now.Add(2 * time.Second))
	c.poll(now.Add(2 * time.Second))
	assert.Equal(t, c.view.Servers[0].Incarnation, identifier.Incarnation(2))
}

func TestSilentMembersAreRemoved(t *testing.T) {
	p, c, now := newSettledLeader(t, backend(1, "a", encoder.ServerReady), backend(2, "a", encoder.ServerReady))
	newDockClient(p, "d2", "a").poll(now)
	// Both servers last announced themselves at the start.
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(500 * time.Millisecond) {
		c.send(at, encoder.PollRequest{Heard: []encoder.AnnouncementAge{{Address: address(1)}}, KnownEpoch: c.view.Epoch})
		p.Advance(at)
		if at.Sub(now) > 3*time.Second {
			assert.Equal(t, len(c.view.Hosts), 1)
		}
		c.expectServers(t, 1, 2)
	}
	p.Advance(start.Add(10 * time.Second))
	c.poll(start.Add(10 * time.Second))
	c.expectServers(t, 1)
}

func TestUnknownDockOrServerCausesResend(t *testing.T) {
	_, c, now := newSettledLeader(t)
	unknown := newDockClient(c.p, "d2", "a")
	assert.Assert(t, unknown.send(now, encoder.PollRequest{}).Resend)
	a := c.send(now, encoder.PollRequest{Heard: []encoder.AnnouncementAge{{Address: address(9)}}})
	assert.Assert(t, a.Resend)
}

func TestLostDomainIsPublishedAsASmallDelta(t *testing.T) {
	var servers []encoder.Server
	for n := range 1000 {
		servers = append(servers, backend(n, []string{"a", "b"}[n%2], encoder.ServerReady))
	}
	p, c, now := newSettledLeader(t, servers...)
	docks := make([]*dockClient, 50)
	for n := range docks {
		docks[n] = newDockClient(p, fmt.Sprintf("b%d", n), "b")
		docks[n].poll(now)
	}
	p.Advance(now)
	c.poll(now)
	assert.Equal(t, len(c.view.Hosts), 51)
	// Domain b sends no more reports. The dock of domain a still reports the servers of domain a.
	bytes := 0
	for at := now; at.Before(now.Add(8 * time.Second)); at = at.Add(500 * time.Millisecond) {
		q := encoder.PollRequest{KnownEpoch: c.view.Epoch}
		for n := 0; n < 1000; n += 2 {
			q.Heard = append(q.Heard, encoder.AnnouncementAge{Address: address(n)})
		}
		if a := c.send(at, q); a.View != nil {
			b, err := encoder.Encode(a.View)
			assert.NilError(t, err)
			bytes += len(b)
		}
		p.Advance(at)
	}
	assert.Equal(t, len(c.view.Hosts), 1)
	assert.Equal(t, len(c.view.Servers), 500)
	assert.Assert(t, bytes < 100, "%d bytes", bytes)
}

func TestServersAreKeptWhenAllAreSilent(t *testing.T) {
	p, c, now := newSettledLeader(t, backend(1, "a", encoder.ServerReady), backend(2, "b", encoder.ServerReady), backend(3, "c", encoder.ServerReady))
	for at := now; at.Before(now.Add(30 * time.Second)); at = at.Add(500 * time.Millisecond) {
		c.poll(at)
		p.Advance(at)
	}
	c.expectServers(t, 1, 2, 3)
}

func TestNewLeaderTakesOverTheView(t *testing.T) {
	_, c, now := newSettledLeader(t, backend(1, "a", encoder.ServerReady), backend(2, "b", encoder.ServerReady))
	old := c.view
	next := New()
	next.Lead(now, 2)
	c.p = next
	// Only server 1 is reported to the new leader, as draining.
	c.poll(now.Add(time.Second), backend(1, "a", encoder.ServerDraining))
	next.Advance(now.Add(1700 * time.Millisecond))
	a := c.poll(now.Add(1800 * time.Millisecond))
	assert.Assert(t, a.SendView && !a.Ready)
	c.send(now.Add(1900*time.Millisecond), encoder.PollRequest{KnownEpoch: old.Epoch, View: old})
	next.Advance(now.Add(2 * time.Second))
	a = c.poll(now.Add(2100 * time.Millisecond))
	assert.Assert(t, a.Ready)
	assert.Equal(t, a.View.Base, old.Epoch)
	assert.Equal(t, len(a.View.Servers), 1)
	assert.Equal(t, c.view.Epoch, identifier.NewEpoch(2, 1))
	c.expectServers(t, 1, 2)
	// Server 2 stays until it has been silent for the whole limit under the new leader.
	c.poll(now.Add(5*time.Second), backend(1, "a", encoder.ServerDraining))
	next.Advance(now.Add(1900*time.Millisecond + 10*time.Second - 1))
	c.poll(now.Add(11 * time.Second))
	c.expectServers(t, 1, 2)
}

func TestNewLeaderAsksAnotherDockAfterSeedTimeout(t *testing.T) {
	p := New()
	p.Lead(start, 2)
	a, b := newDockClient(p, "d1", "a"), newDockClient(p, "d2", "a")
	a.view = &encoder.View{Epoch: identifier.NewEpoch(1, 9)}
	b.view = &encoder.View{Epoch: identifier.NewEpoch(1, 8)}
	a.poll(start)
	b.poll(start)
	p.Advance(start.Add(1700 * time.Millisecond))
	assert.Assert(t, a.poll(start.Add(1800*time.Millisecond)).SendView)
	assert.Assert(t, !b.poll(start.Add(1800*time.Millisecond)).SendView)
	p.Advance(start.Add(3400 * time.Millisecond))
	assert.Assert(t, b.poll(start.Add(3500*time.Millisecond)).SendView)
	p.Advance(start.Add(5100 * time.Millisecond))
	assert.Assert(t, !b.poll(start.Add(5200*time.Millisecond)).SendView)
	// No dock sends a view, so after ten seconds the leader publishes what was reported to it.
	p.Advance(start.Add(10 * time.Second))
	assert.Assert(t, b.poll(start.Add(10*time.Second)).Ready)
}

func TestLatePollsOfAReplacedProcessAreIgnored(t *testing.T) {
	p, c, now := newSettledLeader(t)
	former := *c
	c.host.Incarnation = 2
	c.sequence = 0
	c.poll(now)
	former.poll(now)
	p.Advance(now)
	c.poll(now)
	assert.Equal(t, c.view.Hosts[0].Incarnation, identifier.Incarnation(2))
	// An earlier poll of the same process arrives after a later one.
	c.host.State = encoder.HostDraining
	c.poll(now)
	c.host.State = encoder.HostReady
	c.sequence--
	c.poll(now)
	p.Advance(now)
	c.poll(now)
	assert.Equal(t, c.view.Hosts[0].State, encoder.HostDraining)
}

func TestRepeatedCrashesQuarantineAFingerprint(t *testing.T) {
	p, c, now := newSettledLeader(t)
	c.send(now, encoder.PollRequest{KnownQuarantine: 1})
	p.RecordCrashes(now, "d1", encoder.QuarantineNotice{Fingerprint: 7, Crashes: 1})
	p.RecordCrashes(now, "d1", encoder.QuarantineNotice{Fingerprint: 7, Crashes: 1})
	version := c.send(now, encoder.PollRequest{}).Quarantine.Version
	assert.Assert(t, c.send(now, encoder.PollRequest{KnownQuarantine: version}).Quarantine == nil)
	p.RecordCrashes(now, "d2", encoder.QuarantineNotice{Fingerprint: 7, Crashes: 1})
	list := c.send(now.Add(time.Minute), encoder.PollRequest{KnownQuarantine: version}).Quarantine
	assert.DeepEqual(t, list.Quarantined, []encoder.Quarantine{{Fingerprint: 7, Remaining: 9 * time.Minute}})
	// The next leader adopts the list from the docks.
	p = New()
	p.Lead(now.Add(time.Minute), 2)
	c.p = p
	c.send(now.Add(time.Minute), encoder.PollRequest{Host: &c.host, Quarantined: list.Quarantined})
	p.Advance(now.Add(2 * time.Minute))
	list = c.send(now.Add(2*time.Minute), encoder.PollRequest{Host: &c.host, KnownQuarantine: list.Version}).Quarantine
	assert.DeepEqual(t, list.Quarantined, []encoder.Quarantine{{Fingerprint: 7, Remaining: 8 * time.Minute}})
	p.Advance(now.Add(10 * time.Minute))
	assert.Equal(t, len(p.quarantine.expiries), 0)
}

// TestRandomDeltas checks that docks that miss polls and changes of leader end up with exactly the
// view that the leader published.
func TestRandomDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		term := uint64(1)
		now := start
		p.Lead(now, term)
		docks := []*dockClient{newDockClient(p, "d1", "a"), newDockClient(p, "d2", "b"), newDockClient(p, "d3", "b")}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			p.Advance(now)
			c := rapid.SampledFrom(docks).Draw(t, "dock")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				term++
				p = New()
				p.Lead(now, term)
				for _, d := range docks {
					d.p = p
				}
			case 1:
				c.host.State = rapid.SampledFrom(encoder.HostStateValues()).Draw(t, "state")
				c.poll(now)
			case 2, 3, 4:
				n := rapid.IntRange(0, 7).Draw(t, "server")
				c.poll(now, backend(n, []string{"a", "b"}[n%2], rapid.SampledFrom(encoder.ServerStateValues()).Draw(t, "server state")))
			default:
				if a := c.poll(now); a.SendView {
					c.send(now, encoder.PollRequest{KnownEpoch: c.view.Epoch, View: c.view})
				}
			}
		}
		for range 40 {
			now = now.Add(400 * time.Millisecond)
			p.Advance(now)
			for _, d := range docks {
				if a := d.poll(now); a.SendView {
					d.send(now, encoder.PollRequest{KnownEpoch: d.view.Epoch, View: d.view})
				}
			}
		}
		for _, d := range docks {
			d.poll(now)
			assert.Equal(t, d.view.Epoch, p.epoch)
			assert.Equal(t, len(d.view.Hosts), 3)
			checkView(t, d.view, p)
		}
	})
}

// checkView compares a dock's view with the published one.
func checkView(t *rapid.T, v *encoder.View, p *Publisher) {
	hosts := map[identifier.HostName]encoder.Host{}
	for _, h := range v.Hosts {
		hosts[h.Name] = h
	}
	servers := map[netip.AddrPort]encoder.Server{}
	for _, s := range v.Servers {
		servers[s.Address] = s
	}
	if !reflect.DeepEqual(hosts, p.publishedHosts) || !reflect.DeepEqual(servers, p.publishedServers) {
		t.Fatalf("view is %v and %v, published is %v and %v", hosts, servers, p.publishedHosts, p.publishedServers)
	}
}
