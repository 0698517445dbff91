package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashTime is how long requests that crash servers are sent before and after a restart.
const crashTime = 4 * time.Second

// crashRun is a deployment that gets requests that crash backend servers.
type crashRun struct {
	crasher
	t         *testing.T
	startedAt time.Time
	// calmSince is when the disturbances of the deployment ended. It is zero if there were none.
	calmSince time.Time
}

// newCrashRun starts a deployment that serves requests. The seed determines the docks that get them.
func newCrashRun(t *testing.T, seed uint64, path string) *crashRun {
	return newCrashRunWith(t, seed, path, standardLayout())
}

// newCrashRunWith is like newCrashRun with another layout of the deployment.
func newCrashRunWith(t *testing.T, seed uint64, path string, l layout) *crashRun {
	secondOctet, thirdOctet := reserveAddresses(t)
	s := &soak{t: t, seed: seed, folder: t.TempDir(), startedAt: time.Now()}
	d, err := startDeployment(s.folder, programs, secondOctet, thirdOctet, l)
	s.deployment = d
	t.Cleanup(func() {
		d.close()
		s.keepLogs()
	})
	assert.NilError(t, err)
	c := &crashRun{t: t, startedAt: s.startedAt, crasher: crasher{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), path: path, patience: callerDeadline + callerGracePeriod}}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	d.submit(ctx, c.random)
	s.awaitServing(ctx, startTimeout)
	return c
}

// check fails the test if the request reached servers more than maximumLateCrashes times later than
// stabilityWindow after its third crash. That is counted from when the third run began.
func (c *crashRun) check() {
	c.t.Helper()
	list := c.crashes()
	assert.Assert(c.t, len(list) >= toleratedCrashes, "the request reached only %d servers", len(list))
	from := list[toleratedCrashes-1].At.Add(c.deployment.layout.crashDelay)
	if c.calmSince.After(from) {
		from = c.calmSince
	}
	late := executionsAfter(c.arrivals(), from.Add(stabilityWindow))
	for i, e := range list {
		c.t.Logf("%6.2f s  crash %d: %s at %s of %s", e.At.Sub(c.startedAt).Seconds(), i+1, e.Request, e.Server, e.Service)
	}
	c.t.Logf("sent %d times, refused %d times, crashed %d servers, reached servers %d times late", c.sent, c.refused, len(list), len(late))
	assert.Check(c.t, len(late) <= maximumLateCrashes, "%d crashes, %d arrivals later than %s after the third", len(list), len(late), stabilityWindow)
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
	c.send(context.Background(), 3*longCrashPause, longCrashPause)
	c.check()
}

// TestRequestCrashesServersAgainAfterARestart restarts all hosts, two keepers with empty disks, after
// a request was found to crash servers.
func TestRequestCrashesServersAgainAfterARestart(t *testing.T) {
	t.Parallel()
	c := newCrashRun(t, 2, crashPath+"-single/x")
	c.send(context.Background(), crashTime, crashPause)
	c.wipeAll()
	time.Sleep(stabilityWindow)
	c.send(context.Background(), crashTime, crashPause)
	c.check()
}
