package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// ownedShards is the number of shards. It yields four groups.
	ownedShards = 40
	// docksOfDomain is the number of docks. It suffices for an owner and a second dock per group.
	docksOfDomain = 8
)

// fault is a fault of the links to owners.
type fault int

const (
	// faultNone delivers all messages.
	faultNone fault = iota
	// faultRefused fails each call before the request is sent.
	faultRefused
	// faultLost delivers the request, then breaks the link.
	faultLost
	// faultBlackhole drops the request without an error.
	faultBlackhole
	// faultReplyDropped delivers the request and drops the reply without an error.
	faultReplyDropped
	// faultFull has no memory for the request at the owner.
	faultFull
	// faultLate delivers the reply after the owner has been replaced.
	faultLate
)

// lateReplyDelay is the time from a request to a late reply.
const lateReplyDelay = 260 * time.Millisecond

// cluster is several docks with the same servers. It carries the messages between them.
type cluster struct {
	*deployment
	docks       []*forwarder.Forwarder
	domainDocks []encoder.Dock

	mutex       sync.Mutex
	fault       fault
	gatherCalls int
	// asked counts the calls of Gather by the dock that was asked.
	asked      map[netip.AddrPort]int
	moreCalls  int
	relayCalls int
	// refusals is the number of the next requests to docks that are not sent.
	refusals int
	// firstFault, if it is set, becomes the fault of the links to firstDock, which is the first dock that
	// is called after that.
	firstFault fault
	firstDock  netip.AddrPort
	// rewrite, if it is set, changes the first replies of docks that gather parts.
	rewrite func(*encoder.GatherReply)
}

// Gather passes the request to another dock, subject to the current fault.
func (c *cluster) Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error) {
	c.mutex.Lock()
	c.gatherCalls++
	c.asked[dock]++
	f := c.fault
	if c.refusals > 0 {
		c.refusals--
		f = faultRefused
	}
	if c.firstFault != faultNone && !c.firstDock.IsValid() {
		c.firstDock = dock
	}
	if dock == c.firstDock {
		f = c.firstFault
	}
	c.mutex.Unlock()
	owner := c.docks[dock.Port()]
	switch f {
	case faultRefused:
		return encoder.GatherReply{}, linker.ErrNotSent
	case faultFull:
		return encoder.GatherReply{}, fmt.Errorf("%w: %w", linker.ErrRemote, linker.ErrFull)
	case faultBlackhole:
		<-ctx.Done()
		return encoder.GatherReply{}, ctx.Err()
	case faultReplyDropped:
		_, _ = owner.Gather(ctx, 1, r)
		<-ctx.Done()
		return encoder.GatherReply{}, ctx.Err()
	case faultLate:
		late := time.After(lateReplyDelay)
		reply, err := owner.Gather(ctx, 1, r)
		<-late
		return reply, err
	case faultLost:
		broken, cancel := context.WithTimeout(ctx, 15*time.Millisecond)
		defer cancel()
		_, _ = owner.Gather(broken, 1, r)
		return encoder.GatherReply{}, linker.ErrLost
	default:
		reply, err := owner.Gather(ctx, 1, r)
		if err != nil {
			return reply, fmt.Errorf("%w: %w", linker.ErrRemote, err)
		}
		if c.rewrite != nil {
			c.rewrite(&reply)
		}
		return reply, nil
	}
}

// More requests more parts from another dock.
func (c *cluster) More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error) {
	c.mutex.Lock()
	c.moreCalls++
	c.mutex.Unlock()
	return c.docks[dock.Port()].More(ctx, 1, r)
}

// Relay hands a request over to another dock.
func (c *cluster) Relay(ctx context.Context, dock netip.AddrPort, r encoder.RelayRequest) (encoder.RelayReply, error) {
	c.mutex.Lock()
	c.relayCalls++
	c.mutex.Unlock()
	return c.docks[dock.Port()].HandleRelayed(ctx, r)
}

// Connect does nothing.
func (c *cluster) Connect(context.Context, netip.AddrPort) error { return nil }

// setFault sets the fault of all links.
func (c *cluster) setFault(f fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

// newCluster starts one server for each shard and the docks, and applies a configuration with a
// route to all shards. special replaces the handlers of some shards by index.
func newCluster(t *testing.T, special map[int]handler, r matcher.Route) *cluster {
	t.Helper()
	c := &cluster{deployment: newDeployment(t, ampleBudget), asked: map[netip.AddrPort]int{}}
	c.addShards(ownedShards, special)
	domainDocks := []encoder.Dock{}
	for i := range docksOfDomain {
		domainDocks = append(domainDocks, encoder.Dock{
			Host: identifier.HostName(fmt.Sprintf("dock-%d", i)), Domain: "one",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)),
		})
	}
	c.domainDocks = domainDocks
	for _, dock := range domainDocks {
		f := c.newForwarder(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1, Host: dock.Host, Peers: c})
		t.Cleanup(f.Close)
		c.forwarder = f
		f.UpdateServers(c.services)
		f.SetDomainDocks(domainDocks)
		c.setRoute(r)
		c.docks = append(c.docks, f)
	}
	return c
}

// getComplete sends a GET request and checks that the answer contains each shard's part once.
func (c *cluster) getComplete() {
	c.t.Helper()
	g := expect[forwarder.Gathered](c.t, c.get())
	assert.Equal(c.t, g.Missing, 0)
	assert.Equal(c.t, len(g.Stamps), ownedShards)
	slices.Sort(g.Stamps)
	assert.Equal(c.t, len(slices.Compact(g.Stamps)), ownedShards, "each part counts once")
	assert.Equal(c.t, string(g.Body), record(39)+record(38)+record(37))
}

func TestOwnersSendToTheirShards(t *testing.T) {
	c := newCluster(t, nil, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.getComplete()
	assert.Equal(t, c.totalRequests(), ownedShards)
	assert.Assert(t, c.gatherCalls >= 3, "%d of 4 groups have another owner", c.gatherCalls)
}

func TestUnreachableOwnerIsReplaced(t *testing.T) {
	c := newCluster(t, nil, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.setFault(faultRefused)
	c.getComplete()
	assert.Equal(t, c.totalRequests(), ownedShards)
}

// TestOwnerWithoutMemoryIsNotSuspected guards against owners that are passed over, also for small requests, because they
// had no memory for a large one, which this dock then sends itself.
func TestOwnerWithoutMemoryIsNotSuspected(t *testing.T) {
	c := newCluster(t, nil, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.setFault(faultFull)
	c.getComplete()
	assert.Equal(t, c.totalRequests(), ownedShards)
	c.setFault(faultNone)
	c.getComplete()
	for dock, calls := range c.asked {
		assert.Equal(t, calls, 2, "the same docks are asked again, not %s", dock)
	}
	assert.Equal(t, c.totalRequests(), 2*ownedShards)
}

// TestOwnerHoldsTheRequestUntilItsEnd guards against requests that are held after the reply to their message, and that no
// account counts by then.
func TestOwnerHoldsTheRequestUntilItsEnd(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addShards(2, map[int]handler{1: after(300*time.Millisecond, answers(record(1)))})
	d.setRoute(scatterRoute(2, 3, 0.9, time.Second))
	account := reserver.New(1<<20, timekeeper.System{})
	message := account.Open(netip.AddrPort{}, func() {})
	assert.NilError(t, message.Reserve(t.Context(), 1000, reserver.Request))
	request := encoder.GatherRequest{
		Query: 1, Request: "id-1", Method: "GET", Head: []byte("GET /x/y HTTP/1.1\r\nHost: a.example\r\nRequest: id-1\r\n"),
		Services: services(2), Rows: 3, Remaining: time.Second, Target: 90 * time.Millisecond, Attempts: 1,
	}
	reply, err := d.forwarder.Gather(reserver.WithHold(t.Context(), message), 1, request)
	message.Close()
	assert.NilError(t, err)
	assert.Assert(t, !reply.IsDone)
	assert.Equal(t, account.Used(), int64(1000))
	for !reply.IsDone {
		reply, err = d.forwarder.More(t.Context(), 1, encoder.MoreRequest{Query: 1})
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return account.Used() == 0 })
}

// TestSilentOwnerIsReplaced checks that a query is answered within 400 ms although the owners
// freeze before they have read the request, or after they have sent it to the servers.
func TestSilentOwnerIsReplaced(t *testing.T) {
	for _, f := range []fault{faultBlackhole, faultReplyDropped} {
		c := newCluster(t, nil, scatterRoute(ownedShards, 3, 0.9, 400*time.Millisecond))
		c.setFault(f)
		began := time.Now()
		c.getComplete()
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "%s", time.Since(began))
		for id, s := range c.servers {
			n, _ := s.count()
			assert.Assert(t, n <= 2, "%d requests at %s", n, id)
		}
		c.setFault(faultNone)
		before := c.gatherCalls
		c.getComplete()
		assert.Assert(t, c.gatherCalls > before, "the request goes to the second docks of the groups next")
	}
}

// TestLateReplyOfAReplacedOwnerIsDropped checks that no part counts twice. The owners reply after
// the request has been sent to their shards again and half of those shards have answered.
func TestLateReplyOfAReplacedOwnerIsDropped(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = func(w http.ResponseWriter, r *http.Request, n int) {
			if n > 1 && i%2 == 0 {
				answers(record(i))(w, r, n)
				return
			}
			after(120*time.Millisecond, answers(record(i)))(w, r, n)
		}
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, 400*time.Millisecond))
	c.setFault(faultLate)
	c.getComplete()
}

func TestOwnerWhoseLinkBreaksIsReplaced(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(40*time.Millisecond, answers(record(i)))
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, time.Second))
	c.setFault(faultLost)
	c.getComplete()
	for id, s := range c.servers {
		n, _ := s.count()
		assert.Assert(t, n <= 2, "%d requests at %s", n, id)
	}
}

// TestRunsStayBoundedWhenAnOwnerIsReplaced checks that a request runs at most twice per shard, as
// the route allows. The owners freeze after they have sent the request, and all servers of a shard
// are slow, so that the owners would hedge.
func TestRunsStayBoundedWhenAnOwnerIsReplaced(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(150*time.Millisecond, answers(record(i)))
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, 120*time.Millisecond))
	for i, s := range services(ownedShards) {
		c.addServer(string(s), fmt.Sprintf("second-%d", i), slow[i])
	}
	for _, f := range c.docks {
		f.UpdateServers(c.services)
	}
	c.setFault(faultReplyDropped)
	c.get()
	time.Sleep(300 * time.Millisecond)
	for i := range ownedShards {
		first, _ := c.servers[encoder.ServerID(fmt.Sprintf("server-%d", i))].count()
		second, _ := c.servers[encoder.ServerID(fmt.Sprintf("second-%d", i))].count()
		assert.Assert(t, first+second <= 2, "%d runs of shard %d", first+second, i)
	}
}

func TestOwnerHedgesAfterAMoreRequest(t *testing.T) {
	var arrived atomic.Int32
	// Whichever of the two servers receives the first request is slow.
	firstIsSlow := func(w http.ResponseWriter, r *http.Request, n int) {
		if arrived.Add(1) == 1 {
			after(2*time.Second, answers(record(7)))(w, r, n)
			return
		}
		answers(record(7))(w, r, n)
	}
	c := newCluster(t, map[int]handler{7: firstIsSlow}, scatterRoute(ownedShards, 3, 0.9, 400*time.Millisecond))
	c.addServer(string(services(ownedShards)[7]), "second", firstIsSlow)
	for _, f := range c.docks {
		f.UpdateServers(c.services)
	}
	c.getComplete()
	assert.Equal(t, arrived.Load(), int32(2))
	assert.Assert(t, c.moreCalls > 0)
}

func TestSlowShardOfAnOwnerIsLeftOutAtTheTarget(t *testing.T) {
	c := newCluster(t, map[int]handler{7: after(2*time.Second, answers(record(7)))}, scatterRoute(ownedShards, 3, 0.9, 200*time.Millisecond))
	began := time.Now()
	g := expect[forwarder.Gathered](t, c.get())
	assert.Equal(t, g.Missing, 1)
	assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%s", time.Since(began))
}

func TestCallerDisconnectCancelsTheOwnersRequests(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(2*time.Second, answers(record(i)))
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.send(ctx, "GET", "", time.Second)
	waitFor(t, func() bool {
		cancelled := 0
		for _, s := range c.servers {
			_, n := s.count()
			cancelled += n
		}
		return cancelled == c.totalRequests()
	})
}

func TestStoppingDockFinishesDelegatedRequests(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(100*time.Millisecond, answers(record(i)))
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, time.Second))
	var stopping sync.WaitGroup
	for _, f := range c.docks[:docksOfDomain-1] {
		stopping.Go(func() {
			time.Sleep(50 * time.Millisecond)
			f.StopGathering(t.Context())
		})
	}
	c.getComplete()
	stopping.Wait()
	assert.Equal(t, c.totalRequests(), ownedShards)
	c.getComplete()
	assert.Equal(t, c.totalRequests(), 2*ownedShards, "a stopping dock sends no part of a request that it refuses")
}

// TestLogNamesTheSilentOwner checks that the log line with the caller's request ID names the owner
// that did not return its parts.
func TestLogNamesTheSilentOwner(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = func(w http.ResponseWriter, r *http.Request, n int) {
			after(500*time.Millisecond, answers(record(i)))(w, r, n)
		}
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, 50*time.Millisecond))
	c.setFault(faultBlackhole)
	c.get()
	for _, part := range []string{`"request":"id-1"`, `"owners":[{"owner":"dock-`, `"trouble":"silent"`} {
		assert.Assert(t, strings.Contains(c.requestLog(), part), "%s is not in %s", part, c.requestLog())
	}
}
