package routekeeperrunner

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// leaderPause is the time between two attempts to reach a leader.
	leaderPause = 40 * time.Millisecond
	// leaderCallTime bounds one call to the leader that this keeper knows: it may have lost its
	// power, and another one may be elected meanwhile.
	leaderCallTime = 300 * time.Millisecond
)

// courier brings a request that may be repeated to whichever keeper leads.
type courier[R any] struct {
	clock timekeeper.Clock
	// leader returns where the leader is, as far as known. It is not valid if none is.
	leader func() netip.AddrPort
	// call makes one call. It returns false if the request has to be brought again.
	call func(ctx context.Context, leader netip.AddrPort) (R, bool)
}

// deliver brings the request until it is answered. It returns false if the context ends first.
func (c courier[R]) deliver(ctx context.Context) (R, bool) {
	for {
		if leader := c.leader(); leader.IsValid() {
			if answer, ok := c.callOnce(ctx, leader); ok {
				return answer, true
			}
		}
		if !c.wait(ctx) {
			var none R
			return none, false
		}
	}
}

// callOnce makes one call of bounded time.
func (c courier[R]) callOnce(ctx context.Context, leader netip.AddrPort) (R, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTime)
	defer cancel()
	return c.call(ctx, leader)
}

// wait pauses before the next attempt. It returns false if there is no time for one.
func (c courier[R]) wait(ctx context.Context) bool {
	timer := c.clock.NewTimer(leaderPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
