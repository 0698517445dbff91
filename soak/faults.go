package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// maximumFaultTime bounds the duration of a fault.
	maximumFaultTime = 3 * time.Second
	// maximumFaultInterval bounds the time between the starts of two faults. Faults overlap.
	maximumFaultInterval = 1200 * time.Millisecond
	// drainTime is how long a backend server that leaves still serves at least.
	drainTime = 3 * time.Second
	// maximumLimit bounds the limits that servers name, in requests per second.
	maximumLimit = 5
	// stopTimeout is how long a process may take to exit after SIGTERM.
	stopTimeout = 6 * time.Second
)

// fault is a kind of fault to inject.
type fault struct {
	name string
	// run injects the fault and returns when the fault has ended.
	run func(ctx context.Context, i *faultInjector, random *rand.Rand)
}

// faults lists all kinds of faults.
var faults = []fault{
	{"kill a dock", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.kill(ctx, r, i.randomDock(r)) }},
	{"stop a dock", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.stop(ctx, i.randomDock(r)) }},
	{"freeze a dock", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.freeze(ctx, r, i.randomDock(r)) }},
	{"reload a dock", func(_ context.Context, i *faultInjector, r *rand.Rand) {
		i.processes[i.randomDock(r)].signal(syscall.SIGHUP)
	}},
	{"kill a keeper", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.kill(ctx, r, i.randomKeeper(r)) }},
	{"kill all keepers", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.killKeepers(ctx, r) }},
	{"stop a keeper", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.stop(ctx, i.randomKeeper(r)) }},
	{"freeze a keeper", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.freeze(ctx, r, i.randomKeeper(r)) }},
	{"wipe a keeper", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.wipeKeeper(ctx, r) }},
	{"fill a keeper's disk", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.limitFileSize(ctx, r, i.randomKeeper(r)) }},
	{"partition a host", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.partition(ctx, r, true) }},
	{"partition a host in one direction", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.partition(ctx, r, false) }},
	{"delay a host", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.delay(ctx, r) }},
	{"reset a host's connections", func(_ context.Context, i *faultInjector, r *rand.Rand) { i.network.reset(i.randomHost(r)) }},
	{"slow a server", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.slowBackend(ctx, r) }},
	{"limit a server", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.limitBackend(ctx, r) }},
	{"truncate a server's answers", func(_ context.Context, i *faultInjector, r *rand.Rand) { i.randomBackend(r).FailNext(1 + r.IntN(10)) }},
	{"spoil a server's answers", func(_ context.Context, i *faultInjector, r *rand.Rand) { i.randomBackend(r).SpoilNext(1 + r.IntN(50)) }},
	{"a server leaves", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.leave(ctx, r) }},
	{"replace a server", func(_ context.Context, i *faultInjector, r *rand.Rand) { i.replaceBackend(r) }},
	{"change the configuration", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.submit(ctx, r) }},
	{"two concurrent changes of the configuration", func(ctx context.Context, i *faultInjector, r *rand.Rand) {
		var both sync.WaitGroup
		other := rand.New(rand.NewPCG(r.Uint64(), 1))
		both.Go(func() { i.submit(ctx, other) })
		i.submit(ctx, r)
		both.Wait()
	}},
	{"read the configuration", func(ctx context.Context, i *faultInjector, r *rand.Rand) { i.readBack(ctx, i.randomKeeper(r)) }},
}

// faultInjector injects faults into a deployment.
type faultInjector struct {
	*deployment
	log func(format string, arguments ...any)

	// Guarded by mutex. busy holds the hosts with a fault, and down the keepers among them. Except
	// for killKeepers, down holds at most toleratedHosts keepers.
	mutex sync.Mutex
	down  map[int]bool
	busy  map[int]bool
	tasks sync.WaitGroup
}

// run starts random faults for the duration and returns when all of them have ended.
func (i *faultInjector) run(ctx context.Context, random *rand.Rand, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		i.log("%s", f.name)
		i.tasks.Go(func() { f.run(ctx, i, own) })
		sleep(ctx, time.Duration(random.Int64N(int64(maximumFaultInterval))))
	}
	i.tasks.Wait()
}

func (i *faultInjector) randomHost(r *rand.Rand) int   { return 1 + r.IntN(keeperCount+dockCount) }
func (i *faultInjector) randomKeeper(r *rand.Rand) int { return 1 + r.IntN(keeperCount) }
func (i *faultInjector) randomDock(r *rand.Rand) int   { return keeperCount + 1 + r.IntN(dockCount) }

// reserveHost reserves a host for one fault. It returns false if the host has a fault already, or
// if it is a keeper and toleratedHosts keepers have one.
func (i *faultInjector) reserveHost(host int) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.busy[host] || (isKeeper(host) && len(i.down) >= toleratedHosts) {
		return false
	}
	i.busy[host] = true
	if isKeeper(host) {
		i.down[host] = true
	}
	return true
}

// releaseHost ends the reservation of a host.
func (i *faultInjector) releaseHost(host int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.busy, host)
	delete(i.down, host)
}

// randomFaultTime returns a random duration of a fault.
func randomFaultTime(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(maximumFaultTime)))
}

// kill kills the process of a host with SIGKILL and restarts it later.
func (i *faultInjector) kill(ctx context.Context, r *rand.Rand, host int) {
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	i.processes[host].kill()
	sleep(ctx, randomFaultTime(r))
	i.restart(host)
}

// restart starts the process of a host again.
func (i *faultInjector) restart(host int) {
	err := i.processes[host].start()
	i.history.expect(err == nil, "host %d did not start: %v", host, err)
}

// killKeepers kills all keepers at the same time, unless a keeper has another fault. Their data
// folders are kept.
func (i *faultInjector) killKeepers(ctx context.Context, r *rand.Rand) {
	i.mutex.Lock()
	hasAllKeepers := len(i.down) == 0
	for host := 1; host <= keeperCount; host++ {
		hasAllKeepers = hasAllKeepers && !i.busy[host]
	}
	if hasAllKeepers {
		for host := 1; host <= keeperCount; host++ {
			i.busy[host], i.down[host] = true, true
		}
	}
	i.mutex.Unlock()
	if !hasAllKeepers {
		return
	}
	for host := 1; host <= keeperCount; host++ {
		i.processes[host].signal(syscall.SIGKILL)
	}
	sleep(ctx, time.Duration(r.Int64N(int64(time.Second))))
	for host := 1; host <= keeperCount; host++ {
		i.processes[host].kill()
		i.restart(host)
		i.releaseHost(host)
	}
}

// stop stops a process with SIGTERM and restarts it. The process must exit within stopTimeout.
func (i *faultInjector) stop(ctx context.Context, host int) {
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	p := i.processes[host]
	p.signal(syscall.SIGTERM)
	i.history.expect(p.awaitExit(stopTimeout), "host %d did not exit within %s after SIGTERM", host, stopTimeout)
	p.kill()
	sleep(ctx, pollInterval)
	i.restart(host)
}

// freeze suspends a process with SIGSTOP and resumes it later.
func (i *faultInjector) freeze(ctx context.Context, r *rand.Rand, host int) {
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	i.processes[host].signal(syscall.SIGSTOP)
	sleep(ctx, randomFaultTime(r))
	i.processes[host].signal(syscall.SIGCONT)
}

// wipeKeeper kills a keeper, erases its data folder and restarts it.
func (i *faultInjector) wipeKeeper(ctx context.Context, r *rand.Rand) {
	host := i.randomKeeper(r)
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	i.processes[host].kill()
	err := i.wipeDisk(host)
	i.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, randomFaultTime(r))
	i.restart(host)
	// The host stays reserved while the keeper receives the lost state from the others, because
	// until then its copy of the data counts as lost.
	sleep(ctx, maximumFaultTime)
}

// limitFileSize makes a keeper's writes to files fail for a while. The host stays reserved for
// maximumFaultTime after that.
func (i *faultInjector) limitFileSize(ctx context.Context, r *rand.Rand, host int) {
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	err := i.processes[host].limitFileSize(0)
	i.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, randomFaultTime(r))
	err = i.processes[host].limitFileSize(math.MaxUint64)
	i.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, maximumFaultTime)
}

// partition blocks the links between a host and all other hosts, in both directions or only those
// from the host.
func (i *faultInjector) partition(ctx context.Context, r *rand.Rand, isBidirectional bool) {
	host := i.randomHost(r)
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	i.setHostConditions(host, linkConditions{isBlocked: true}, isBidirectional)
	sleep(ctx, randomFaultTime(r))
	i.setHostConditions(host, linkConditions{}, true)
}

// delay delays traffic between a host and all other hosts by up to 200 ms.
func (i *faultInjector) delay(ctx context.Context, r *rand.Rand) {
	host := i.randomHost(r)
	if !i.reserveHost(host) {
		return
	}
	defer i.releaseHost(host)
	i.setHostConditions(host, linkConditions{delay: time.Duration(r.Int64N(int64(200 * time.Millisecond)))}, true)
	sleep(ctx, randomFaultTime(r))
	i.setHostConditions(host, linkConditions{}, true)
}

// setHostConditions sets the conditions of the links from a host to all other hosts, and if
// isBidirectional is set, of the links from those to the host.
func (i *faultInjector) setHostConditions(host int, c linkConditions, isBidirectional bool) {
	for other := 1; other <= keeperCount+dockCount; other++ {
		i.network.setConditions(link{host, other}, c)
		if isBidirectional {
			i.network.setConditions(link{other, host}, c)
		}
	}
}

// limitBackend makes a random backend server name a limit of up to maximumLimit requests a second.
func (i *faultInjector) limitBackend(ctx context.Context, r *rand.Rand) {
	b := i.randomBackend(r)
	b.NameLimit(fmt.Sprint(r.IntN(maximumLimit + 1)))
	sleep(ctx, randomFaultTime(r))
	b.EndLimit()
}

// leave lets a random backend server leave, after another one of its service has started. Its responses say so, and
// with half of the servers a departure that names no start goes to any keeper; its heartbeats do not.
func (i *faultInjector) leave(ctx context.Context, r *rand.Rand) {
	b := i.takeBackend(r)
	i.addBackend(b.Service())
	sleep(ctx, time.Second)
	b.SayLeaving()
	if r.IntN(2) == 0 {
		for ctx.Err() == nil && !b.Deregister(i.publicAddress(i.randomKeeper(r), portControl).String()) {
			sleep(ctx, pollInterval)
		}
	}
	sleep(ctx, drainTime+randomFaultTime(r))
	b.Close()
}

// slowBackend delays a random backend server's answers by up to 1 s.
func (i *faultInjector) slowBackend(ctx context.Context, r *rand.Rand) {
	b := i.randomBackend(r)
	b.SetDelay(time.Duration(r.Int64N(int64(time.Second))))
	sleep(ctx, randomFaultTime(r))
	b.SetDelay(0)
}
