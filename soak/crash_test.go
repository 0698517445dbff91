package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/platform/standin"
)

const (
	// crashPause is the time between two requests that crash servers. After longCrashPause, all servers
	// that the last one crashed have returned.
	crashPause     = 300 * time.Millisecond
	longCrashPause = crashDownTime + time.Second
	// crashTime is how long such requests are sent before and after a restart.
	crashTime = 4 * time.Second
	// stabilityWindow is the time that the deployment has to refuse a request after it has crashed
	// toleratedCrashes servers, and that it may take to settle after a disturbance.
	stabilityWindow  = 4 * time.Second
	toleratedCrashes = 3
	// maximumLateCrashes is the number of servers that the request may reach after that.
	maximumLateCrashes = 3
	// extraSingleServers is the number of additional servers of the service without shards.
	extraSingleServers = 8
)

// crashRun sends requests that crash backend servers to a deployment.
type crashRun struct {
	t          *testing.T
	deployment *deployment
	random     *rand.Rand
	startedAt  time.Time
	path       string
	sent       int
	refused    int
}

// newCrashRun starts a deployment that serves requests. The seed determines the docks that get them.
func newCrashRun(t *testing.T, seed uint64, path string) *crashRun {
	secondOctet, thirdOctet := reserveAddresses(t)
	s := &soak{t: t, seed: seed, folder: t.TempDir(), startedAt: time.Now()}
	d, err := startDeployment(s.folder, programs, secondOctet, thirdOctet)
	s.deployment = d
	t.Cleanup(func() {
		d.close()
		s.keepLogs()
	})
	assert.NilError(t, err)
	for range extraSingleServers {
		d.addBackend(serviceSingle)
	}
	c := &crashRun{t: t, deployment: d, random: rand.New(rand.NewPCG(seed, 0)), startedAt: s.startedAt, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d.submit(ctx, c.random)
	s.awaitServing(ctx, startTimeout)
	return c
}

// send sends the request to a random dock after each pause, for a duration.
func (c *crashRun) send(duration, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	var mutex sync.Mutex
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		dock := keeperCount + 1 + c.random.IntN(dockCount)
		c.sent++
		id := fmt.Sprintf("crash-%d", c.sent)
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
			defer cancel()
			answer := standin.SendRequest(ctx, client, c.deployment.publicAddress(dock, portCaller).String(), c.path, id, callerDeadline)
			mutex.Lock()
			defer mutex.Unlock()
			if answer.IsRefusal() {
				c.refused++
			}
		})
	}
	requests.Wait()
}

// crashes returns the times at which the request reached servers, in ascending order, and for each
// the request's identifier.
func (c *crashRun) crashes() []standin.Execution {
	h := c.deployment.history
	h.mutex.Lock()
	defer h.mutex.Unlock()
	list := []standin.Execution{}
	for i := 1; i <= c.sent; i++ {
		list = append(list, h.runs[fmt.Sprintf("crash-%d", i)]...)
	}
	slices.SortFunc(list, func(a, b standin.Execution) int { return a.At.Compare(b.At) })
	return list
}

// check fails the test if the request reached more than maximumLateCrashes servers later than
// stabilityWindow after its third crash.
func (c *crashRun) check() {
	c.t.Helper()
	list := c.crashes()
	assert.Assert(c.t, len(list) >= toleratedCrashes, "the request reached only %d servers", len(list))
	third := list[toleratedCrashes-1].At
	late := slices.DeleteFunc(slices.Clone(list), func(e standin.Execution) bool { return e.At.Before(third.Add(stabilityWindow)) })
	for i, e := range list {
		c.t.Logf("%6.2f s  crash %d: %s at %s of %s", e.At.Sub(c.startedAt).Seconds(), i+1, e.Request, e.Server, e.Service)
	}
	c.t.Logf("sent %d times, refused %d times, reached %d servers, %d of them late", c.sent, c.refused, len(list), len(late))
	assert.Assert(c.t, len(late) <= maximumLateCrashes, "%d crashes, %d of them later than %s after the third", len(list), len(late), stabilityWindow)
}

// wipeAll kills all hosts at the same moment and erases the disks of toleratedHosts keepers before it
// starts the hosts again.
func (c *crashRun) wipeAll() {
	for host := 1; host <= keeperCount+dockCount; host++ {
		c.deployment.processes[host].signal(syscall.SIGKILL)
	}
	for host := 1; host <= keeperCount+dockCount; host++ {
		c.deployment.processes[host].kill()
	}
	for host := 1; host <= toleratedHosts; host++ {
		assert.NilError(c.t, c.deployment.wipeDisk(host))
	}
	for host := 1; host <= keeperCount+dockCount; host++ {
		assert.NilError(c.t, c.deployment.processes[host].start())
	}
}

// TestScatteredRequestCrashesServersAgainAndAgain sends a request that crashes a server of each
// shard until long after the servers have returned.
func TestScatteredRequestCrashesServersAgainAndAgain(t *testing.T) {
	t.Parallel()
	c := newCrashRun(t, 1, crashPath+"-all/x")
	c.send(3*longCrashPause, longCrashPause)
	c.check()
}

// TestRequestCrashesServersAgainAfterARestart restarts all hosts, two keepers with empty disks, after
// a request was found to crash servers.
func TestRequestCrashesServersAgainAfterARestart(t *testing.T) {
	t.Parallel()
	c := newCrashRun(t, 2, crashPath+"-single/x")
	c.send(crashTime, crashPause)
	c.wipeAll()
	time.Sleep(stabilityWindow)
	c.send(crashTime, crashPause)
	c.check()
}
