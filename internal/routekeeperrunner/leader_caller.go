package routekeeperrunner

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// leaderRetryInterval is the time between two attempts to reach the leader.
	leaderRetryInterval = 40 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader, because that host may have lost power and
	// another keeper may be elected in the meantime.
	leaderCallTimeout = 300 * time.Millisecond
)

// leaderCaller sends an idempotent request to the current leader and retries until it succeeds.
type leaderCaller[R any] struct {
	clock timekeeper.Clock
	// leader returns the leader's link address. It is invalid if no leader is known.
	leader func() netip.AddrPort
	// call makes one call. It returns false if the request must be retried.
	call func(ctx context.Context, leader netip.AddrPort) (R, bool)
}

// callUntilAnswered sends the request until a call succeeds. It returns false if the context ends
// first.
func (c leaderCaller[R]) callUntilAnswered(ctx context.Context) (R, bool) {
	for {
		if leader := c.leader(); leader.IsValid() {
			if answer, ok := c.callOnce(ctx, leader); ok {
				return answer, true
			}
		}
		if !c.waitForRetry(ctx) {
			var none R
			return none, false
		}
	}
}

// callOnce makes one call with leaderCallTimeout.
func (c leaderCaller[R]) callOnce(ctx context.Context, leader netip.AddrPort) (R, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	return c.call(ctx, leader)
}

// waitForRetry waits for leaderRetryInterval. It returns false if the context ends first.
func (c leaderCaller[R]) waitForRetry(ctx context.Context) bool {
	timer := c.clock.NewTimer(leaderRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
