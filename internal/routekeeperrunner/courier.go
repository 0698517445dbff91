package routekeeperrunner

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// leaderRetryInterval is the time between two attempts to reach a leader.
	leaderRetryInterval = 40 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader that this keeper knows: it may have lost its
	// power, and another one may be elected meanwhile.
	leaderCallTimeout = 300 * time.Millisecond
)

// leaderCaller brings a request that may be repeated to whichever keeper leads.
type leaderCaller[R any] struct {
	clock timekeeper.Clock
	// leader returns where the leader is, as far as known. It is not valid if none is.
	leader func() netip.AddrPort
	// call makes one call. It returns false if the request has to be brought again.
	call func(ctx context.Context, leader netip.AddrPort) (R, bool)
}

// callUntilAnswered brings the request until it is answered. It returns false if the context ends first.
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

// callOnce makes one call of bounded time.
func (c leaderCaller[R]) callOnce(ctx context.Context, leader netip.AddrPort) (R, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	return c.call(ctx, leader)
}

// waitForRetry pauses before the next attempt. It returns false if there is no time for one.
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
