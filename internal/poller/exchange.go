package poller

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// exchange is one poll and its reply.
type exchange struct {
	poller  *Poller
	address netip.AddrPort
	sent    time.Time
	request encoder.PollRequest
	// report is what the request reports to the leader. It is nil in polls of other keepers.
	report *report
}

// run polls the keeper and passes the reply to the loop.
func (x *exchange) run() {
	defer x.poller.tasks.Done()
	ctx, cancel := context.WithTimeout(x.poller.ctx, pollTimeout)
	defer cancel()
	reply, err := x.poller.caller.Poll(ctx, x.address, x.request)
	x.poller.runInLoop(func() { x.poller.handleReply(x, reply, err) })
}
