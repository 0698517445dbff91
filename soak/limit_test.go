package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// limitWindow is the interval in which the requests at a limited server are counted.
	limitWindow = 4 * time.Second
	// A limited server may get limitFactor times what its limit allows in limitWindow, and limitSlack
	// requests more.
	limitFactor = 1.5
	limitSlack  = 5
	// limitedTime is how long servers name limits after the stability window.
	limitedTime = 6 * time.Second
)

// limitedServer is a backend server with the limit that it names, in requests per second.
type limitedServer struct {
	*standin.Backend
	limit float64
}

// nameLimits makes some servers name limits: one server of the first shard, both of the second, and
// both of the single service, one of which takes no requests at all.
func nameLimits(d *deployment) []limitedServer {
	list := []limitedServer{}
	seen := map[string]int{}
	limits := map[string][]float64{"shard-0": {0.5}, "shard-1": {2, 1.5}, serviceSingle: {3, 0}}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, b := range d.backends {
		n := seen[b.Service()]
		seen[b.Service()]++
		if n >= len(limits[b.Service()]) {
			continue
		}
		limit := limits[b.Service()][n]
		b.NameLimit(fmt.Sprint(limit))
		list = append(list, limitedServer{Backend: b, limit: limit})
	}
	return list
}

// worstWindow returns the largest number of times within limitWindow after the start.
func worstWindow(times []time.Time, start time.Time) int {
	worst, first := 0, 0
	for last, at := range times {
		for times[first].Before(start) && first < last || at.Sub(times[first]) > limitWindow {
			first++
		}
		if !at.Before(start) {
			worst = max(worst, last-first+1)
		}
	}
	return worst
}

// TestServersGetMoreThanTheLimitThatTheyName sends requests to all docks while some servers name
// limits, and counts the requests that reach these servers.
func TestServersGetMoreThanTheLimitThatTheyName(t *testing.T) {
	t.Parallel()
	c := newCrashRun(t, 3, "")
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	s := &soak{deployment: c.deployment}
	for i := range callerCount {
		one := &caller{deployment: c.deployment, random: rand.New(rand.NewPCG(3, uint64(i))), number: i, served: &s.served, sent: &s.sent}
		callers.Go(func() { one.run(ctx) })
	}
	time.Sleep(time.Second)
	named := time.Now()
	limited := nameLimits(c.deployment)
	sleep(ctx, stabilityWindow+limitedTime)
	for _, b := range limited {
		b.EndLimit()
	}
	ended := time.Now()
	// A server that takes no requests is asked again only once in a while.
	sleep(ctx, 2*stabilityWindow)
	cancel()
	callers.Wait()
	for _, b := range limited {
		times := c.deployment.history.runsAt(b.ID())
		during, after := 0, 0
		for _, at := range times {
			switch {
			case at.After(ended):
				after++
			case at.After(named.Add(stabilityWindow)):
				during++
			}
		}
		worst := worstWindow(times[:len(times)-after], named.Add(stabilityWindow))
		allowed := int(limitFactor*b.limit*limitWindow.Seconds()) + limitSlack
		t.Logf("%s of %s, limit %g: %d requests while limited, at most %d in %s, %d allowed; %d after the limit", b.ID(), b.Service(), b.limit, during, worst, limitWindow, allowed, after)
		assert.Check(t, worst <= allowed, "%s got %d requests in %s, %d are allowed", b.ID(), worst, limitWindow, allowed)
		assert.Check(t, during > 0, "%s got no request, so that it could not say that its limit has ended", b.ID())
		assert.Check(t, after > allowed, "%s got only %d requests after its limit had ended", b.ID(), after)
	}
}
