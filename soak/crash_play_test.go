package soak

import (
	"context"
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
