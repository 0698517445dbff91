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
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// maximumCallerPause bounds the random pause between two requests of a caller.
	maximumCallerPause = 100 * time.Millisecond
	// callerDeadline is the deadline that a caller sends with its request.
	callerDeadline = 1500 * time.Millisecond
	// callerGracePeriod is how long after the deadline a caller closes its connection.
	callerGracePeriod = 700 * time.Millisecond
	// abandonShare is the share of requests that their callers cancel early.
	abandonShare = 0.05
)

// caller sends one request after the other over keep-alive connections. It selects another dock
// after an answer that is not a success.
type caller struct {
	deployment *deployment
	random     *rand.Rand
	number     int
	// served counts its successful requests, sent all of them.
	served, sent *atomic.Int64
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	dock := c.pickDock()
	for n := 0; ctx.Err() == nil; n++ {
		answer := c.sendRequest(ctx, client, dock, n)
		c.sent.Add(1)
		if answer.IsSuccess() {
			c.served.Add(1)
		} else {
			// Another dock is selected after a failure, as a load balancer would for a retry.
			dock = c.pickDock()
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(maximumCallerPause))))
	}
}

// pickDock returns the host number of a random ready dock, as a load balancer would. After
// dockCount unsuccessful tries it returns any dock.
func (c *caller) pickDock() int {
	for range dockCount {
		host := keeperCount + 1 + c.random.IntN(dockCount)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		isReady := standin.IsReady(ctx, c.deployment.client, c.deployment.publicAddress(host, portReady).String())
		cancel()
		if isReady {
			return host
		}
	}
	return keeperCount + 1 + c.random.IntN(dockCount)
}

// sendRequest sends one request to a dock and records it with its answer.
func (c *caller) sendRequest(ctx context.Context, client *http.Client, dock, n int) standin.Answer {
	all := c.deployment.routes(0)
	request := callerRequest{id: fmt.Sprintf("%08x-%d-%d", c.random.Uint32(), c.number, n), route: all[c.random.IntN(3)]}
	timeout := callerDeadline + callerGracePeriod
	isAbandoned := c.random.Float64() < abandonShare
	if isAbandoned {
		timeout = time.Duration(c.random.Int64N(int64(50 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request.answer = standin.SendRequest(ctx, client, c.deployment.publicAddress(dock, portCaller).String(), request.route.Prefix+"x", request.id, callerDeadline)
	if request.answer.Status == 0 {
		request.abandonedAt = time.Now()
	}
	c.deployment.history.recordRequest(request)
	return request.answer
}

// hasFullCoverage sends one request for all shards to a dock and reports whether the answer covers
// every shard.
func (c *caller) hasFullCoverage(ctx context.Context, dock int) bool {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+callerGracePeriod)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request := callerRequest{id: fmt.Sprintf("probe-%d", c.sent.Add(1)), route: c.deployment.routes(0)[0]}
	request.answer = standin.SendRequest(ctx, client, c.deployment.publicAddress(dock, portCaller).String(), request.route.Prefix+"x", request.id, callerDeadline)
	c.deployment.history.recordRequest(request)
	return request.answer.IsSuccess() && request.answer.Missing == 0
}
