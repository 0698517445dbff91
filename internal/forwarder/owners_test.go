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
	faultSilent
	// faultMute carries the request and no reply.
	faultMute
	// faultLate carries the reply after the owner has been replaced.
	faultLate
)

// lateBy is how long after the request a late reply comes.
const lateBy = 260 * time.Millisecond

// fleet is several docks with the same servers.
type fleet struct {
	*deployment
	docks []*forwarder.Forwarder

	mutex    sync.Mutex
	fault    fault
	gathered int
	asked    int
}

// Gather hands the request to another dock.
func (l *fleet) Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error) {
	l.mutex.Lock()
	l.gathered++
	f := l.fault
	l.mutex.Unlock()
	owner := l.docks[dock.Port()]
	switch f {
	case faultRefused:
		return encoder.GatherReply{}, linker.ErrNotSent
	case faultSilent:
		<-ctx.Done()
		return encoder.GatherReply{}, ctx.Err()
	case faultMute:
		_, _ = owner.Gather(ctx, 1, r)
		<-ctx.Done()
		return encoder.GatherReply{}, ctx.Err()
	case faultLate:
		late := time.After(lateBy)
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
func (l *fleet) More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error) {
	l.mutex.Lock()
	l.asked++
	l.mutex.Unlock()
	return l.docks[dock.Port()].More(ctx, 1, r)
}

// Connect does nothing.
func (l *fleet) Connect(context.Context, netip.AddrPort) error { return nil }

// breakLinks sets what is wrong with the links.
func (l *fleet) breakLinks(f fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = f
}

// newFleet starts docks and one server for each shard, some of them special, and puts a route to
// all shards in force.
func newFleet(t *testing.T, special map[int]handler, r matcher.Route) *fleet {
	t.Helper()
	l := &fleet{deployment: newDeployment(t, ample)}
	l.addShards(ownedShards, special)
	fellows := []encoder.Dock{}
	for i := range docksOfDomain {
		fellows = append(fellows, encoder.Dock{
			Host: identifier.HostName(fmt.Sprintf("dock-%d", i)), Domain: "one",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)),
		})
	}
	for _, dock := range fellows {
		f := l.newForwarder(forwarder.Settings{Domain: "one", Budget: ample, Seed: 1, Host: dock.Host, Peers: l})
		t.Cleanup(f.Close)
		l.forwarder = f
		f.UpdateServers(l.services)
		f.SetFellows(fellows)
		l.route(r)
		l.docks = append(l.docks, f)
	}
	return l
}

// total returns how many requests arrived at all servers.
func (l *fleet) total() int {
	sum := 0
	for _, s := range l.standIns {
		n, _ := s.count()
		sum += n
	}
	return sum
}

// whole asks, and checks that the answer is whole.
func (l *fleet) whole() {
	l.t.Helper()
	g := expect[forwarder.Gathered](l.t, l.get())
	assert.Equal(l.t, g.Missing, 0)
	assert.Equal(l.t, len(g.Stamps), ownedShards)
	slices.Sort(g.Stamps)
	assert.Equal(l.t, len(slices.Compact(g.Stamps)), ownedShards, "each part counts once")
	assert.Equal(l.t, string(g.Body), record(39)+record(38)+record(37))
}

func TestOwnersSendToTheirShards(t *testing.T) {
	l := newFleet(t, nil, scatter(ownedShards, 3, 0.9, time.Second))
	l.whole()
	assert.Equal(t, l.total(), ownedShards)
	assert.Assert(t, l.gathered >= 3, "%d of 4 groups have another owner", l.gathered)
}

func TestOwnerThatCannotBeReachedIsReplaced(t *testing.T) {
	l := newFleet(t, nil, scatter(ownedShards, 3, 0.9, time.Second))
	l.breakLinks(faultRefused)
	l.whole()
	assert.Equal(t, l.total(), ownedShards)
}

// TestSilentOwnerIsReplaced asks for an answer within 400 ms of owners that freeze before they
// have read the request, or after they have sent it on.
func TestSilentOwnerIsReplaced(t *testing.T) {
	for _, f := range []fault{faultSilent, faultMute} {
		l := newFleet(t, nil, scatter(ownedShards, 3, 0.9, 400*time.Millisecond))
		l.breakLinks(f)
		began := time.Now()
		l.whole()
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "%s", time.Since(began))
		for id, s := range l.standIns {
			n, _ := s.count()
			assert.Assert(t, n <= 2, "%d requests at %s", n, id)
		}
		l.breakLinks(faultNone)
		asked := l.gathered
		l.whole()
		assert.Assert(t, l.gathered > asked, "the second docks of the groups are asked next")
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
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, 400*time.Millisecond))
	l.breakLinks(faultLate)
	l.whole()
}

func TestOwnerWhoseLinkBreaksIsReplaced(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(40*time.Millisecond, answers(record(i)))
	}
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, time.Second))
	l.breakLinks(faultLost)
	l.whole()
	for id, s := range l.standIns {
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
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, 120*time.Millisecond))
	for i, s := range services(ownedShards) {
		l.add(string(s), fmt.Sprintf("second-%d", i), slow[i])
	}
	for _, f := range l.docks {
		f.UpdateServers(l.services)
	}
	l.breakLinks(faultMute)
	l.get()
	time.Sleep(300 * time.Millisecond)
	for i := range ownedShards {
		first, _ := l.standIns[encoder.ServerID(fmt.Sprintf("server-%d", i))].count()
		second, _ := l.standIns[encoder.ServerID(fmt.Sprintf("second-%d", i))].count()
		assert.Assert(t, first+second <= 2, "%d runs of shard %d", first+second, i)
	}
}

func TestOwnerHedgesOnceItIsAskedForMore(t *testing.T) {
	var arrived atomic.Int32
	// Whichever of the two servers is asked first is slow.
	firstIsSlow := func(w http.ResponseWriter, r *http.Request, n int) {
		if arrived.Add(1) == 1 {
			after(2*time.Second, answers(record(7)))(w, r, n)
			return
		}
		answers(record(7))(w, r, n)
	}
	l := newFleet(t, map[int]handler{7: firstIsSlow}, scatter(ownedShards, 3, 0.9, 400*time.Millisecond))
	l.add(string(services(ownedShards)[7]), "second", firstIsSlow)
	for _, f := range l.docks {
		f.UpdateServers(l.services)
	}
	l.whole()
	assert.Equal(t, arrived.Load(), int32(2))
	assert.Assert(t, l.asked > 0)
}

func TestOwnersLeaveSlowShardsOutAtTheTarget(t *testing.T) {
	l := newFleet(t, map[int]handler{7: after(2*time.Second, answers(record(7)))}, scatter(ownedShards, 3, 0.9, 200*time.Millisecond))
	began := time.Now()
	g := expect[forwarder.Gathered](t, l.get())
	assert.Equal(t, g.Missing, 1)
	assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%s", time.Since(began))
}

func TestCallerWhoLeftEndsTheOwnersWork(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(2*time.Second, answers(record(i)))
	}
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	l.ask(ctx, "GET", "", time.Second)
	waitFor(t, func() bool {
		left := 0
		for _, s := range l.standIns {
			_, n := s.count()
			left += n
		}
		return left == l.total()
	})
}

func TestStoppingDockFinishesOthersRequests(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = after(100*time.Millisecond, answers(record(i)))
	}
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, time.Second))
	var stopping sync.WaitGroup
	for _, f := range l.docks[:docksOfDomain-1] {
		stopping.Go(func() {
			time.Sleep(50 * time.Millisecond)
			f.StopGathering(t.Context())
		})
	}
	l.whole()
	stopping.Wait()
	assert.Equal(t, l.total(), ownedShards)
	l.whole()
	assert.Equal(t, l.total(), 2*ownedShards, "a dock that is stopping sends nothing of a request that it refuses")
}

// TestLogTellsWhichOwnerWasSilent follows a caller's identifier to the dock that kept its parts.
func TestLogTellsWhichOwnerWasSilent(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = func(w http.ResponseWriter, r *http.Request, n int) {
			after(500*time.Millisecond, answers(record(i)))(w, r, n)
		}
	}
	l := newFleet(t, slow, scatter(ownedShards, 3, 0.9, 50*time.Millisecond))
	l.breakLinks(faultSilent)
	l.get()
	for _, part := range []string{`"request":"id-1"`, `"owners":[{"owner":"dock-`, `"trouble":"silent"`} {
		assert.Assert(t, strings.Contains(l.logged(), part), "%s in %s", part, l.logged())
	}
}
