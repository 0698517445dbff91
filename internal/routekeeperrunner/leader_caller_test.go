package routekeeperrunner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/timekeeper"
)

var (
	unresponsiveLeader = netip.MustParseAddrPort("127.0.0.1:1")
	newLeader          = netip.MustParseAddrPort("127.0.0.1:2")
)

// callUntilAnswered sends a request while the leader changes after the given time. The former
// leader never responds. It returns when the call ended and whether it succeeded.
func callUntilAnswered(t *testing.T, change time.Duration) (time.Duration, bool) {
	t.Helper()
	start := time.Now()
	c := leaderCaller[int]{
		clock: timekeeper.System{},
		leader: func() netip.AddrPort {
			if time.Since(start) < change {
				return unresponsiveLeader
			}
			return newLeader
		},
		call: func(ctx context.Context, leader netip.AddrPort) (int, bool) {
			if leader == newLeader {
				return 7, true
			}
			<-ctx.Done()
			return 0, false
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
	defer cancel()
	answer, ok := c.callUntilAnswered(ctx)
	assert.Equal(t, ok, answer == 7)
	return time.Since(start), ok
}

// TestRequestReachesTheNewLeader sends a request just after the leader has lost power. The call to
// the former leader hangs, and the next leader is elected half a second later.
func TestRequestReachesTheNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elapsed, ok := callUntilAnswered(t, 500*time.Millisecond)
		assert.Assert(t, ok && elapsed < operatorCallTimeout, "%v after %v", ok, elapsed)
		elapsed, ok = callUntilAnswered(t, time.Hour)
		assert.Assert(t, !ok && elapsed <= operatorCallTimeout+leaderRetryInterval, "%v after %v", ok, elapsed)
	})
}
