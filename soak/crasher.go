package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// crashPause is the time between two requests that crash servers. After longCrashPause, all servers
	// that the last one crashed have returned.
	crashPause     = 300 * time.Millisecond
	longCrashPause = crashDownTime + time.Second
	// stabilityWindow is the time that the deployment has to refuse a request after it has crashed
	// toleratedCrashes servers, and that it may take to settle after a disturbance.
	stabilityWindow  = 4 * time.Second
	toleratedCrashes = 3
	// maximumLateCrashes is the number of servers that the request may reach after that.
	maximumLateCrashes = 3
)

// crasher sends a request that crashes each backend server that runs it.
type crasher struct {
	deployment *deployment
	random     *rand.Rand
	path       string
	// patience is how long a caller waits for an answer before it disconnects.
	patience time.Duration
	sent     int

	// Guarded by mutex.
	mutex   sync.Mutex
	refused int
}

// send sends the request to a random dock after each pause, for a duration or until the context ends.
func (c *crasher) send(ctx context.Context, duration, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pause) {
		dock := keeperCount + 1 + c.random.IntN(dockCount)
		c.sent++
		id := c.id(c.sent)
		requests.Go(func() { c.sendOne(ctx, client, dock, id) })
	}
	requests.Wait()
}

// id returns the identifier of the request that is sent for the nth time.
func (c *crasher) id(n int) string { return fmt.Sprintf("crash%s-%d", c.path, n) }

// sendOne sends the request to a dock and records it with its answer.
func (c *crasher) sendOne(ctx context.Context, client *http.Client, dock int, id string) {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	request := callerRequest{id: id, route: c.deployment.routeOf(c.path)}
	request.answer = standin.SendRequest(ctx, client, c.deployment.publicAddress(dock, portCaller).String(), c.path, id, callerDeadline)
	if request.answer.Status == 0 {
		request.abandonedAt = time.Now()
	}
	c.deployment.history.recordRequest(request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request.answer.IsRefusal() {
		c.refused++
	}
}

// crashes returns the executions of the request that crashed a server, in the order of their times.
func (c *crasher) crashes() []standin.Execution {
	return slices.DeleteFunc(c.collect(c.deployment.history.runsOf), func(e standin.Execution) bool {
		return !c.deployment.layout.crashesServersOf(e.Service)
	})
}

// arrivals returns the times at which the request reached servers, whether they ran it or not.
func (c *crasher) arrivals() []standin.Execution { return c.collect(c.deployment.history.arrivalsOf) }

// collect returns what a function returns for each sending of the request, in the order of the times.
func (c *crasher) collect(of func(id string) []standin.Execution) []standin.Execution {
	list := []standin.Execution{}
	for i := 1; i <= c.sent; i++ {
		list = append(list, of(c.id(i))...)
	}
	slices.SortFunc(list, func(a, b standin.Execution) int { return a.At.Compare(b.At) })
	return list
}

// executionsAfter returns the executions from a time on.
func executionsAfter(list []standin.Execution, start time.Time) []standin.Execution {
	return slices.DeleteFunc(slices.Clone(list), func(e standin.Execution) bool { return e.At.Before(start) })
}
