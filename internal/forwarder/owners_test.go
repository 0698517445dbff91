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
)

const (
	// ownedShards is a number of shards that is divided into four groups.
	ownedShards = 40
	// docksOfDomain gives each group an owner and a second.
	docksOfDomain = 8
)

// fault is what is wrong with the links to owners.
type fault int

const (
	// faultNone carries all messages.
	faultNone fault = iota
	// faultRefused lets nothing leave.
	faultRefused
	// faultLost carries the request, and breaks.
	faultLost
	// faultSilent carries nothing and does not break.
	faultBlackhole
	// faultMute carries the request and no reply.
	faultReplyDropped
	// faultLate carries the reply after the owner has been replaced.
	faultLate
)

// lateBy is how long after the request a late reply comes.
const lateReplyDelay = 260 * time.Millisecond

// fleet is several docks with the same servers.
type cluster struct {
	*deployment
	docks []*forwarder.Forwarder

	mutex       sync.Mutex
	fault       fault
	gatherCalls int
	moreCalls   int
}

// Gather hands the request to another dock.
func (c *cluster) Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error) {
	c.mutex.Lock()
	c.gatherCalls++
	f := c.fault
	c.mutex.Unlock()
	owner := c.docks[dock.Port()]
	switch f {
	case faultRefused:
		return encoder.GatherReply{}, linker.ErrNotSent
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
		return reply, nil
	}
}

// More asks another dock for the rest.
func (c *cluster) More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error) {
	c.mutex.Lock()
	c.moreCalls++
	c.mutex.Unlock()
	return c.docks[dock.Port()].More(ctx, 1, r)
}

// Connect does nothing.
func (c *cluster) Connect(context.Context, netip.AddrPort) error { return nil }

// breakLinks sets what is wrong with the links.
func (c *cluster) setFault(f fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

// newFleet starts docks and one server for each shard, some of them special, and puts a route to
// all shards in force.
func newCluster(t *testing.T, special map[int]handler, r matcher.Route) *cluster {
	t.Helper()
	c := &cluster{deployment: newDeployment(t, ampleBudget)}
	c.addShards(ownedShards, special)
	domainDocks := []encoder.Dock{}
	for i := range docksOfDomain {
		domainDocks = append(domainDocks, encoder.Dock{
			Host: identifier.HostName(fmt.Sprintf("dock-%d", i)), Domain: "one",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)),
		})
	}
	for _, dock := range domainDocks {
		f := c.newForwarder(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1, Host: dock.Host, Peers: c})
		t.Cleanup(f.Close)
		c.forwarder = f
		f.UpdateServers(c.services)
		f.SetFellows(domainDocks)
		c.setRoute(r)
		c.docks = append(c.docks, f)
	}
	return c
}

// total returns how many requests arrived at all servers.
func (c *cluster) totalRequests() int {
	sum := 0
	for _, s := range c.servers {
		n, _ := s.count()
		sum += n
	}
	return sum
}

// whole asks, and checks that the answer is whole.
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

// TestSilentOwnerIsReplaced asks for an answer within 400 ms of owners that freeze before they
// have read the request, or after they have sent it on.
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
		assert.Assert(t, c.gatherCalls > before, "the second docks of the groups are asked next")
	}
}

// TestLateReplyOfAReplacedOwnerIsDropped has owners whose replies come when their shards were asked
// once more, and half of those answers are there.
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

// TestRunsStayBoundedWhenAnOwnerIsReplaced lets owners freeze that would hedge: all of a shard's
// servers are slow. The route allows two runs a shard.
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
	// Whichever of the two servers is asked first is slow.
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
	assert.Equal(t, c.totalRequests(), 2*ownedShards, "a dock that is stopping sends nothing of a request that it refuses")
}

// TestLogTellsWhichOwnerWasSilent follows a caller's identifier to the dock that kept its parts.
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
		assert.Assert(t, strings.Contains(c.requestLog(), part), "%s in %s", part, c.requestLog())
	}
}
