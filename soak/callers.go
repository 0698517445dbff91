package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// callerCount is the number of callers that ask at the same time.
	callerCount = 12
	// callerPause is the longest time between two requests of a caller.
	callerPause = 100 * time.Millisecond
	// callerDeadline is how long a caller waits.
	callerDeadline = 1500 * time.Millisecond
	// callerSlack is how much later than that a caller gives up by itself.
	callerSlack = 700 * time.Millisecond
	// leaveShare is the share of requests whose callers leave early.
	leaveShare = 0.05
)

// caller asks one request after the other over kept connections, until its dock is gone.
type caller struct {
	deployment *deployment
	random     *rand.Rand
	number     int
	// served and sent count its requests.
	served, sent *atomic.Int64
}

// run asks until the context ends.
func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	dock := c.pick()
	for n := 0; ctx.Err() == nil; n++ {
		a := c.ask(ctx, client, dock, n)
		c.sent.Add(1)
		if a.IsSuccess() {
			c.served.Add(1)
		} else {
			// A caller's retry reaches another dock.
			dock = c.pick()
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

// pick chooses a dock as the balancer does: one that is ready, if any is.
func (c *caller) pick() int {
	for range dockCount {
		host := keeperCount + 1 + c.random.IntN(dockCount)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		isReady := standin.IsReady(ctx, c.deployment.client, c.deployment.public(host, portReady).String())
		cancel()
		if isReady {
			return host
		}
	}
	return keeperCount + 1 + c.random.IntN(dockCount)
}

// ask sends one request and notes the answer.
func (c *caller) ask(ctx context.Context, client *http.Client, dock, n int) standin.Answer {
	all := routes(0)
	a := asked{id: fmt.Sprintf("%08x-%d-%d", c.random.Uint32(), c.number, n), route: all[c.random.IntN(3)]}
	limit := callerDeadline + callerSlack
	isLeaving := c.random.Float64() < leaveShare
	if isLeaving {
		limit = time.Duration(c.random.Int64N(int64(50 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.answer = standin.SendRequest(ctx, client, c.deployment.public(dock, portCaller).String(), a.route.Prefix+"x", a.id, callerDeadline)
	if a.answer.Status == 0 {
		a.left = time.Now()
	}
	c.deployment.history.answered(a)
	return a.answer
}

// isWhole asks a dock once for all shards and tells whether none is missing.
func (c *caller) isWhole(ctx context.Context, dock int) bool {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+callerSlack)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a := asked{id: fmt.Sprintf("probe-%d", c.sent.Add(1)), route: routes(0)[0]}
	a.answer = standin.SendRequest(ctx, client, c.deployment.public(dock, portCaller).String(), a.route.Prefix+"x", a.id, callerDeadline)
	c.deployment.history.answered(a)
	return a.answer.IsSuccess() && a.answer.Missing == 0
}
