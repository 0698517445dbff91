package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// playTime is how long a play sends the request that crashes servers, and playPause the time between
	// two of them.
	playTime  = 25 * time.Second
	playPause = 400 * time.Millisecond
	// runTimeBeforeCrash is how long a request runs before it crashes its server.
	runTimeBeforeCrash = 30 * time.Millisecond
	// impatience is how long a caller waits that disconnects before the server crashes.
	impatience = 20 * time.Millisecond
)

// play sends requests that crash servers to random docks, and checks how many servers they reach.
func play(t *testing.T, seed uint64, path string, l layout, patience time.Duration) {
	t.Helper()
	t.Parallel()
	c := newCrashRunWith(t, seed, crashPath+path, l)
	if patience > 0 {
		c.patience = patience
	}
	c.send(context.Background(), playTime, playPause)
	c.check()
}

// incompleteIndex is the layout of the users' record of issue 27: an index of few shards, of which
// three quarters must be in the answer, and servers that are back after 4 s.
func incompleteIndex() layout {
	l := standardLayout()
	l.shards, l.downTime = 20, 4*time.Second
	l.crashRoute = standin.Route{Timeout: 600 * time.Millisecond, LatencyTarget: 40 * time.Millisecond, RowLimit: 5, Coverage: 0.75}
	return l
}

// drawnPlay is a play whose layout, callers and disturbances are drawn from a seed.
type drawnPlay struct {
	layout    layout
	path      string
	patience  time.Duration
	pause     time.Duration
	hasOthers bool
	// disturb restarts hosts for a while, or is nil.
	disturb     func(ctx context.Context, i *faultInjector, r *rand.Rand)
	disturbance string
}

// drawPlay draws a play.
func drawPlay(r *rand.Rand) drawnPlay {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a))) }
	oneOf := func(share float64) bool { return r.Float64() < share }
	p := drawnPlay{layout: incompleteIndex(), path: "-all/x", patience: callerDeadline, pause: between(50*time.Millisecond, 2*time.Second), hasOthers: oneOf(0.5)}
	l := &p.layout
	l.shards = []int{4, 10, 20, 40}[r.IntN(4)]
	l.crashDelay, l.downTime = between(0, 60*time.Millisecond), between(time.Second, 6*time.Second)
	l.isSilentCrash = oneOf(0.25)
	l.heartbeatInterval = []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond}[r.IntN(2)]
	if oneOf(0.3) {
		p.path = "-single/x"
	}
	if oneOf(0.5) {
		p.patience = between(5*time.Millisecond, 80*time.Millisecond)
	}
	if oneOf(0.2) {
		crashing := 1 + r.IntN(l.shards/2)
		l.crashes = func(service string) bool {
			return service == serviceCrash || slices.Contains(shardNames(crashing), service)
		}
	}
	switch r.IntN(4) {
	case 0:
		p.disturbance = "docks killed"
		p.disturb = func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.kill(ctx, r, i.randomDock(r)) }
	case 1:
		p.disturbance = "docks stopped"
		p.disturb = func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.stop(ctx, i.randomDock(r)) }
	case 2:
		p.disturbance = "keepers killed"
		p.disturb = func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.kill(ctx, r, i.randomKeeper(r)) }
	}
	return p
}

// TestCrashPlays plays drawn requests that crash servers.
func TestCrashPlays(t *testing.T) {
	first, count := uint64(1), 2
	if *firstSeed > 0 {
		first, count = *firstSeed, *seeds
	}
	for i := range count {
		seed := first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDrawnPlay(t, seed)
		})
	}
}

// runDrawnPlay runs the play of a seed. Disturbances last the first third of it. What reaches servers
// is counted from the stability window after them on, because hosts that restart may send more.
func runDrawnPlay(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	p := drawPlay(r)
	t.Logf("%s, patience %s, pause %s, %d shards, run %s, down %s, silent %t, heartbeat %s, partial %t, others %t, %q", p.path, p.patience, p.pause,
		p.layout.shards, p.layout.crashDelay, p.layout.downTime, p.layout.isSilentCrash, p.layout.heartbeatInterval, p.layout.crashes != nil, p.hasOthers, p.disturbance)
	c := newCrashRunWith(t, seed, crashPath+p.path, p.layout)
	c.patience = p.patience
	ctx, cancel := context.WithCancel(context.Background())
	var others sync.WaitGroup
	if p.hasOthers {
		for i := range callerCount {
			one := &caller{deployment: c.deployment, random: rand.New(rand.NewPCG(seed, uint64(i+10))), number: i, served: &atomic.Int64{}, sent: &atomic.Int64{}}
			others.Go(func() { one.run(ctx) })
		}
	}
	if p.disturb != nil {
		f := &faultInjector{deployment: c.deployment, log: t.Logf, down: map[int]bool{}, busy: map[int]bool{}}
		others.Go(func() {
			for end := time.Now().Add(playTime / 3); time.Now().Before(end); {
				p.disturb(ctx, f, r)
			}
			c.calmSince = time.Now()
		})
	}
	c.send(ctx, playTime, p.pause)
	cancel()
	others.Wait()
	c.check()
}

// TestRequestCrashesServersOfAnIncompleteIndex guards against runs that the dock gives up itself,
// because too few shards are left, and that crash their servers nevertheless.
func TestRequestCrashesServersOfAnIncompleteIndex(t *testing.T) {
	l := incompleteIndex()
	l.crashDelay = 10 * time.Millisecond
	play(t, 1, "-all/x", l, 0)
}

func TestRequestCrashesServersAfterItsCallerLeft(t *testing.T) {
	l := standardLayout()
	l.crashDelay = runTimeBeforeCrash
	play(t, 2, "-all/x", l, impatience)
}

func TestSingleRequestCrashesServersAfterItsCallerLeft(t *testing.T) {
	l := standardLayout()
	l.crashDelay = runTimeBeforeCrash
	play(t, 3, "-single/x", l, impatience)
}

func TestRequestSilencesServersAgainAndAgain(t *testing.T) {
	l := standardLayout()
	l.isSilentCrash = true
	play(t, 4, "-all/x", l, 0)
}

func TestSingleRequestSilencesServersAgainAndAgain(t *testing.T) {
	l := standardLayout()
	l.isSilentCrash = true
	play(t, 5, "-single/x", l, 0)
}

// TestRequestCrashesServersOfSomeShards guards against a request that some shards answer while it
// crashes the servers of others.
func TestRequestCrashesServersOfSomeShards(t *testing.T) {
	l := incompleteIndex()
	l.crashes = func(service string) bool { return service == shardName(3) || service == shardName(7) }
	play(t, 6, "-all/x", l, 0)
}

// TestRequestCrashesServersAgainAfterARestartBeforeItsQuarantine restarts all hosts, two keepers with
// empty disks, when a request is isolated and not quarantined yet.
func TestRequestCrashesServersAgainAfterARestartBeforeItsQuarantine(t *testing.T) {
	t.Parallel()
	l := incompleteIndex()
	l.crashDelay = runTimeBeforeCrash
	c := newCrashRunWith(t, 7, crashPath+"-all/x", l)
	c.patience = impatience
	c.send(context.Background(), playPause, playPause)
	time.Sleep(2 * time.Second)
	c.wipeAll()
	c.calmSince = time.Now()
	time.Sleep(stabilityWindow + l.downTime)
	c.send(context.Background(), playTime/2, playPause)
	c.check()
}
