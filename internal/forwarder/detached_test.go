package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// detachedDocks is the number of docks, of which those below cutDocks lose their links to servers.
	detachedDocks = 5
	cutDocks      = 3
	// settleTime is how long a dock may take to handle the loss of its links: half of the users'
	// stability window.
	settleTime = 2 * time.Second
	// callInterval is the time between two requests to one dock.
	callInterval = 50 * time.Millisecond
)

// detachment is several docks, each with its own links to the same servers.
type detachment struct {
	*deployment
	docks []*forwarder.Forwarder
	links []*links
	// refusal is the reply to all requests that are handed over, if it is set.
	refusal *encoder.RelayReply
}

// newDetachment starts servers for some shards and a single service, and the docks.
func newDetachment(t *testing.T, shards int) *detachment {
	t.Helper()
	d := &detachment{deployment: newDeployment(t, ampleBudget)}
	d.addShards(shards, nil)
	d.addServer("plates", "plate-1", answers("plate"))
	d.addServer("plates", "plate-2", answers("plate"))
	for i := range detachedDocks {
		s, l := newLinkedSender()
		f := d.newForwarderWith(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: uint64(i), Host: detachedHost(i), Peers: d}, s)
		t.Cleanup(func() {
			l.set(linkReset)
			f.Close()
			s.Close()
		})
		f.UpdateServers(d.services)
		d.configure(f, shards)
		d.docks, d.links = append(d.docks, f), append(d.links, l)
	}
	for _, f := range d.docks {
		f.SetDomainDocks(d.allDocks())
	}
	return d
}

// Gather is not used, because there are too few shards for owners.
func (d *detachment) Gather(context.Context, netip.AddrPort, encoder.GatherRequest) (encoder.GatherReply, error) {
	return encoder.GatherReply{}, linker.ErrNotSent
}

// More is not used.
func (d *detachment) More(context.Context, netip.AddrPort, encoder.MoreRequest) (encoder.GatherReply, error) {
	return encoder.GatherReply{}, linker.ErrNotSent
}

// Connect does nothing.
func (d *detachment) Connect(context.Context, netip.AddrPort) error { return nil }

// Relay hands a request over to another dock.
func (d *detachment) Relay(ctx context.Context, dock netip.AddrPort, r encoder.RelayRequest) (encoder.RelayReply, error) {
	if d.refusal != nil {
		return *d.refusal, nil
	}
	reply, err := d.docks[dock.Port()].HandleRelayed(ctx, r)
	if err != nil {
		return reply, fmt.Errorf("%w: %w", linker.ErrRemote, err)
	}
	return reply, nil
}

// detachedAddress returns the address of a dock. Its port is the index of the dock.
func detachedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i))
}

// detachedHost returns the name of a dock.
func detachedHost(i int) identifier.HostName { return identifier.HostName(fmt.Sprintf("dock-%d", i)) }

// configure puts the first configuration in force.
func (d *detachment) configure(f *forwarder.Forwarder, shards int) {
	d.configureNumber(f, shards, 1)
}

// configureNumber puts a configuration in force with a route to all shards and one to the single service.
func (d *detachment) configureNumber(f *forwarder.Forwarder, shards int, number uint64) {
	all := scatterRoute(shards, 3, 0.9, 100*time.Millisecond)
	all.Name, all.Host, all.Prefix, all.Timeout, all.Attempts = "all", "a.example", "/all/", time.Second, 2
	one := matcher.Route{Name: "one", Host: "a.example", Prefix: "/one/", Destination: toPlates, Timeout: time.Second, Attempts: 2, LatencyTarget: 100 * time.Millisecond}
	c := matcher.Configuration{Number: number, Routes: []matcher.Route{all, one}}
	for _, s := range append(services(shards), "plates") {
		c.Services = append(c.Services, matcher.Service{Name: s, Connections: 50})
	}
	table, err := matcher.Compile(c)
	assert.NilError(d.t, err)
	f.Configure(table)
}

// handle sends a request to a dock and returns its outcome.
func (d *detachment) handle(dock int, path, id string) forwarder.Outcome {
	method := http.MethodGet
	if path == "/one/" {
		method = http.MethodPost
	}
	return d.docks[dock].Handle(context.Background(), &forwarder.Request{
		Request: sender.Request{ID: id, Method: method, Target: path, Host: "a.example", Header: http.Header{"Request": {id}}},
		Path:    path, Arrived: time.Now(), Timeout: time.Second,
	})
}

// call sends a request to a dock and reports whether it was answered completely.
func (d *detachment) call(dock int, path, id string) bool {
	switch o := d.handle(dock, path, id).(type) {
	case forwarder.Answer:
		return o.Reply.Status == http.StatusOK
	case forwarder.Gathered:
		return o.Missing == 0
	default:
		return false
	}
}

// callAll sends requests to all docks for a duration, and returns how many of each dock's were answered
// completely, and how many it got.
func (d *detachment) callAll(duration time.Duration) (served, sent [detachedDocks]int) {
	var calls sync.WaitGroup
	var mutex sync.Mutex
	for began := time.Now(); time.Since(began) < duration; time.Sleep(callInterval) {
		for i := range detachedDocks {
			path := []string{"/all/", "/one/"}[sent[i]%2]
			sent[i]++
			id := fmt.Sprintf("%d-%d-%d", began.UnixNano(), i, sent[i])
			calls.Go(func() {
				if d.call(i, path, id) {
					mutex.Lock()
					defer mutex.Unlock()
					served[i]++
				}
			})
		}
	}
	calls.Wait()
	return served, sent
}

// share returns the share of requests that some docks served.
func share(served, sent []int) float64 {
	s, n := 0, 0
	for i := range served {
		s, n = s+served[i], n+sent[i]
	}
	return float64(s) / float64(n)
}

// TestCallersWaitForServersThatCannotAnswer cuts a dock off while servers run its requests. They end as
// soon as the dock knows, and where the route permits, another dock runs them, on no more servers than
// the route allows.
func TestCallersWaitForServersThatCannotAnswer(t *testing.T) {
	d := newDetachment(t, 4)
	for _, s := range d.servers {
		s.mutex.Lock()
		s.handle = after(20*time.Millisecond, s.handle)
		s.mutex.Unlock()
	}
	assert.Assert(t, d.call(0, "/all/", "warm"))
	before := d.totalRequests()
	began := time.Now()
	var calls sync.WaitGroup
	served := [2]bool{}
	for i, path := range []string{"/all/", "/one/"} {
		calls.Go(func() { served[i] = d.call(0, path, path) })
	}
	time.Sleep(10 * time.Millisecond)
	d.links[0].set(linkSilent)
	calls.Wait()
	assert.Assert(t, served[0], "another dock can run the request")
	assert.Assert(t, !served[1], "it may have run, and must not run again")
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "%s", time.Since(began))
	for _, s := range d.servers {
		n, _ := s.count()
		assert.Assert(t, n <= 3, "%d requests at %s", n, s.id)
	}
	assert.Assert(t, d.totalRequests()-before <= 2*4+1, "%d requests", d.totalRequests()-before)
}

// TestRequestWaitsThoughNoDockReachesServers cuts all docks off. Their callers must be refused at once,
// and served as soon as the servers can be reached.
func TestRequestWaitsThoughNoDockReachesServers(t *testing.T) {
	d := newDetachment(t, 8)
	d.callAll(500 * time.Millisecond)
	for _, l := range d.links {
		l.set(linkSilent)
	}
	d.callAll(settleTime)
	for _, path := range []string{"/all/", "/one/"} {
		began := time.Now()
		for i := range 10 {
			o := d.handle(i%detachedDocks, path, fmt.Sprint(path, i))
			r := expect[forwarder.Refused](t, o)
			assert.Equal(t, r.Reason, forwarder.ReasonNoServer)
			assert.Assert(t, r.After > 0)
		}
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
	}
	for _, l := range d.links {
		l.set(linkUp)
	}
	d.callAll(settleTime)
	served, sent := d.callAll(time.Second)
	assert.Assert(t, share(served[:], sent[:]) > 0.95, "%v of %v", served, sent)
}

// TestCallersOfDocksWithoutServersAreServedFarWorse cuts some docks off from all servers and compares
// the callers of these with those of the other docks.
func TestCallersOfDocksWithoutServersAreServedFarWorse(t *testing.T) {
	for name, state := range map[string]linkState{"silent": linkSilent, "reset": linkReset, "refusing": linkRefusing} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDetachment(t, 8)
			served, sent := d.callAll(time.Second)
			assert.Assert(t, share(served[:], sent[:]) > 0.95, "%v of %v", served, sent)
			for i := range cutDocks {
				d.links[i].set(state)
			}
			d.callAll(settleTime)
			served, sent = d.callAll(2 * time.Second)
			cut, others := share(served[:cutDocks], sent[:cutDocks]), share(served[cutDocks:], sent[cutDocks:])
			t.Logf("served %v of %v", served, sent)
			assert.Check(t, others > 0.95, "the other docks serve %.2f", others)
			assert.Check(t, cut > 0.95, "the docks without links serve %.2f", cut)
			for i := range cutDocks {
				d.links[i].set(linkUp)
			}
			d.callAll(settleTime)
			served, sent = d.callAll(time.Second)
			assert.Check(t, share(served[:], sent[:]) > 0.95, "after the cut %v of %v", served, sent)
		})
	}
}

// TestRepeatElsewhereKeepsItsConfiguration guards against a request that servers may have run and that is then run by
// another dock on the shards of the next configuration. A request that has not been sent is answered by the
// configuration of the dock that it is handed over to.
func TestRepeatElsewhereKeepsItsConfiguration(t *testing.T) {
	const former, next = 4, 8
	d := newDetachment(t, next)
	for _, f := range d.docks {
		d.configureNumber(f, former, 2)
	}
	for _, s := range d.servers {
		s.setHandler(after(200*time.Millisecond, s.handle))
	}
	outcomes := make(chan forwarder.Outcome, 1)
	go func() { outcomes <- d.handle(0, "/all/", "repeated") }()
	time.Sleep(50 * time.Millisecond)
	for _, f := range d.docks {
		d.configureNumber(f, next, 3)
	}
	d.links[0].set(linkSilent)
	expect[forwarder.Failed](t, <-outcomes)
	for i := former; i < next; i++ {
		n, _ := d.servers[encoder.ServerID(fmt.Sprintf("server-%d", i))].count()
		assert.Equal(t, n, 0, "shard %d", i)
	}
	waitFor(t, func() bool { return d.docks[0].IsDetached() })
	g := expect[forwarder.Gathered](t, d.handle(0, "/all/", "first"))
	assert.Equal(t, len(g.Stamps)+g.Missing, next)
}

// TestRelayedRequestThatMayHaveRunIsRefused guards against a caller that is told that its request has not run, by a
// dock that it was handed over to after a server may have run it.
func TestRelayedRequestThatMayHaveRunIsRefused(t *testing.T) {
	d := newDetachment(t, 4)
	for _, s := range d.servers {
		s.mutex.Lock()
		s.handle = after(200*time.Millisecond, s.handle)
		s.mutex.Unlock()
	}
	d.refusal = &encoder.RelayReply{Outcome: encoder.RelayRefused, Reason: forwarder.ReasonCongested.String(), After: time.Second}
	outcomes := make(chan forwarder.Outcome, 1)
	go func() { outcomes <- d.handle(0, "/all/", "lost") }()
	time.Sleep(50 * time.Millisecond)
	d.links[0].set(linkSilent)
	expect[forwarder.Failed](t, <-outcomes)
}

// TestRequestThatWaitsForConnectionsIsUnsent cuts a dock off while a request waits for connections, and guards
// against a caller that is told that its request may have run. Another dock runs it if there is one, also if
// the route permits no repeats.
func TestRequestThatWaitsForConnectionsIsUnsent(t *testing.T) {
	for _, hasOthers := range []bool{true, false} {
		d := newDetachment(t, 4)
		d.configureOnce(4)
		if !hasOthers {
			d.docks[0].SetDomainDocks(nil)
		}
		expect[forwarder.Gathered](t, d.handle(0, "/once/", "warm"))
		d.links[0].set(linkSilent)
		go d.handle(0, "/once/", "sent")
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		o := d.handle(0, "/once/", "unsent")
		if hasOthers {
			assert.Equal(t, expect[forwarder.Gathered](t, o).Missing, 0)
			continue
		}
		assert.Equal(t, expect[forwarder.Refused](t, o).Reason, forwarder.ReasonNoServer)
		assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
	}
}

// configureOnce puts a configuration in force that permits no repeats and one connection to each server.
func (d *detachment) configureOnce(shards int) {
	route := scatterRoute(shards, 3, 0.9, 100*time.Millisecond)
	route.Name, route.Host, route.Prefix, route.Timeout, route.Attempts = "once", "a.example", "/once/", time.Second, 1
	c := matcher.Configuration{Number: 2, Routes: []matcher.Route{route}}
	for _, s := range services(shards) {
		c.Services = append(c.Services, matcher.Service{Name: s, Connections: 1})
	}
	table, err := matcher.Compile(c)
	assert.NilError(d.t, err)
	for _, f := range d.docks {
		f.Configure(table)
	}
}

// TestUnneededPartIsNotSent guards against requests that servers get after their callers were answered, because
// they waited for a connection.
func TestUnneededPartIsNotSent(t *testing.T) {
	const shards = 20
	d := newDetachment(t, shards)
	d.servers["server-0"].setHandler(after(300*time.Millisecond, answers(record(0))))
	d.configureOnce(shards)
	before, _ := d.servers["server-0"].count()
	for range 3 {
		go d.handle(0, "/once/", "concurrent")
	}
	time.Sleep(1200 * time.Millisecond)
	after, _ := d.servers["server-0"].count()
	assert.Equal(t, after-before, 1)
}
