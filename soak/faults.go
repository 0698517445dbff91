package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// longestFault bounds a disturbance, and longestPause the time until the next one begins. They
	// overlap.
	longestFault = 3 * time.Second
	longestPause = 1200 * time.Millisecond
	// stopTime is how long a process may take to end after SIGTERM.
	stopTime = 6 * time.Second
)

// fault is one kind of disturbance. It returns when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, d *disturber, random *rand.Rand)
}

// faults are all kinds.
var faults = []fault{
	{"kill a dock", func(ctx context.Context, d *disturber, r *rand.Rand) { d.kill(ctx, r, d.anyDock(r)) }},
	{"stop a dock", func(ctx context.Context, d *disturber, r *rand.Rand) { d.stop(ctx, d.anyDock(r)) }},
	{"freeze a dock", func(ctx context.Context, d *disturber, r *rand.Rand) { d.freeze(ctx, r, d.anyDock(r)) }},
	{"reload a dock", func(_ context.Context, d *disturber, r *rand.Rand) {
		d.processes[d.anyDock(r)].signal(syscall.SIGHUP)
	}},
	{"kill a keeper", func(ctx context.Context, d *disturber, r *rand.Rand) { d.kill(ctx, r, d.anyKeeper(r)) }},
	{"kill all keepers", func(ctx context.Context, d *disturber, r *rand.Rand) { d.killKeepers(ctx, r) }},
	{"stop a keeper", func(ctx context.Context, d *disturber, r *rand.Rand) { d.stop(ctx, d.anyKeeper(r)) }},
	{"freeze a keeper", func(ctx context.Context, d *disturber, r *rand.Rand) { d.freeze(ctx, r, d.anyKeeper(r)) }},
	{"wipe a keeper", func(ctx context.Context, d *disturber, r *rand.Rand) { d.wipeKeeper(ctx, r) }},
	{"fill a keeper's disk", func(ctx context.Context, d *disturber, r *rand.Rand) { d.fill(ctx, r, d.anyKeeper(r)) }},
	{"cut a host off", func(ctx context.Context, d *disturber, r *rand.Rand) { d.cut(ctx, r, true) }},
	{"cut a host off one way", func(ctx context.Context, d *disturber, r *rand.Rand) { d.cut(ctx, r, false) }},
	{"delay a host", func(ctx context.Context, d *disturber, r *rand.Rand) { d.delay(ctx, r) }},
	{"reset a host's connections", func(_ context.Context, d *disturber, r *rand.Rand) { d.network.reset(d.anyHost(r)) }},
	{"slow a server", func(ctx context.Context, d *disturber, r *rand.Rand) { d.slow(ctx, r) }},
	{"break a server's answers", func(_ context.Context, d *disturber, r *rand.Rand) { d.anyBackend(r).FailNext(1 + r.IntN(10)) }},
	{"replace a server", func(_ context.Context, d *disturber, r *rand.Rand) { d.replaceBackend(r) }},
	{"change the configuration", func(ctx context.Context, d *disturber, r *rand.Rand) { d.submit(ctx, r) }},
	{"two changes at once", func(ctx context.Context, d *disturber, r *rand.Rand) {
		var both sync.WaitGroup
		other := rand.New(rand.NewPCG(r.Uint64(), 1))
		both.Go(func() { d.submit(ctx, other) })
		d.submit(ctx, r)
		both.Wait()
	}},
	{"read the configuration", func(ctx context.Context, d *disturber, r *rand.Rand) { d.readBack(ctx, d.anyKeeper(r)) }},
}

// disturber disturbs a deployment.
type disturber struct {
	*deployment
	log func(format string, arguments ...any)

	// Guarded by mutex. down holds the keepers that are lost, of which there may be only as many as
	// the deployment bears, and busy the hosts that are disturbed.
	mutex sync.Mutex
	down  map[int]bool
	busy  map[int]bool
	tasks sync.WaitGroup
}

// run disturbs the deployment for a while, in an order that the seed draws, and lets it heal.
func (d *disturber) run(ctx context.Context, random *rand.Rand, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		d.log("%s", f.name)
		d.tasks.Go(func() { f.run(ctx, d, own) })
		sleep(ctx, time.Duration(random.Int64N(int64(longestPause))))
	}
	d.tasks.Wait()
}

func (d *disturber) anyHost(r *rand.Rand) int   { return 1 + r.IntN(keeperCount+dockCount) }
func (d *disturber) anyKeeper(r *rand.Rand) int { return 1 + r.IntN(keeperCount) }
func (d *disturber) anyDock(r *rand.Rand) int   { return keeperCount + 1 + r.IntN(dockCount) }

// take reserves a host for one disturbance. A keeper is refused if too many are lost already.
func (d *disturber) take(host int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.busy[host] || (isKeeper(host) && len(d.down) >= toleratedHosts) {
		return false
	}
	d.busy[host] = true
	if isKeeper(host) {
		d.down[host] = true
	}
	return true
}

// release gives a host back.
func (d *disturber) release(host int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.busy, host)
	delete(d.down, host)
}

// duration draws how long a disturbance lasts.
func duration(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(longestFault))) }

// kill ends a process without warning and starts it again.
func (d *disturber) kill(ctx context.Context, r *rand.Rand, host int) {
	if !d.take(host) {
		return
	}
	defer d.release(host)
	d.processes[host].kill()
	sleep(ctx, duration(r))
	d.restart(host)
}

// restart starts a process again.
func (d *disturber) restart(host int) {
	err := d.processes[host].start()
	d.history.expect(err == nil, "host %d does not start: %v", host, err)
}

// killKeepers ends all keepers at once. Their disks stay.
func (d *disturber) killKeepers(ctx context.Context, r *rand.Rand) {
	d.mutex.Lock()
	isCalm := len(d.down) == 0
	for host := 1; host <= keeperCount; host++ {
		isCalm = isCalm && !d.busy[host]
	}
	if isCalm {
		for host := 1; host <= keeperCount; host++ {
			d.busy[host], d.down[host] = true, true
		}
	}
	d.mutex.Unlock()
	if !isCalm {
		return
	}
	for host := 1; host <= keeperCount; host++ {
		d.processes[host].signal(syscall.SIGKILL)
	}
	sleep(ctx, time.Duration(r.Int64N(int64(time.Second))))
	for host := 1; host <= keeperCount; host++ {
		d.processes[host].kill()
		d.restart(host)
		d.release(host)
	}
}

// stop ends a process gracefully, which must not take long, and starts it again.
func (d *disturber) stop(ctx context.Context, host int) {
	if !d.take(host) {
		return
	}
	defer d.release(host)
	p := d.processes[host]
	p.signal(syscall.SIGTERM)
	d.history.expect(p.await(stopTime), "host %d has not ended %s after SIGTERM", host, stopTime)
	p.kill()
	sleep(ctx, pollInterval)
	d.restart(host)
}

// freeze pauses a process.
func (d *disturber) freeze(ctx context.Context, r *rand.Rand, host int) {
	if !d.take(host) {
		return
	}
	defer d.release(host)
	d.processes[host].signal(syscall.SIGSTOP)
	sleep(ctx, duration(r))
	d.processes[host].signal(syscall.SIGCONT)
}

// wipeKeeper takes a keeper's disk away.
func (d *disturber) wipeKeeper(ctx context.Context, r *rand.Rand) {
	host := d.anyKeeper(r)
	if !d.take(host) {
		return
	}
	defer d.release(host)
	d.processes[host].kill()
	err := d.wipe(host)
	d.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, duration(r))
	d.restart(host)
	// A disk that was lost counts as lost until the keeper has learnt all anew.
	sleep(ctx, longestFault)
}

// fill lets a keeper write nothing for a while.
func (d *disturber) fill(ctx context.Context, r *rand.Rand, host int) {
	if !d.take(host) {
		return
	}
	defer d.release(host)
	err := d.processes[host].fill(0)
	d.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, duration(r))
	err = d.processes[host].fill(math.MaxUint64)
	d.history.expect(err == nil, "host %d: %v", host, err)
	sleep(ctx, longestFault)
}

// cut keeps a host from all others, or only what it sends from them.
func (d *disturber) cut(ctx context.Context, r *rand.Rand, both bool) {
	host := d.anyHost(r)
	if !d.take(host) {
		return
	}
	defer d.release(host)
	d.shape(host, weather{isCut: true}, both)
	sleep(ctx, duration(r))
	d.shape(host, weather{}, true)
}

// delay makes a host's links slow.
func (d *disturber) delay(ctx context.Context, r *rand.Rand) {
	host := d.anyHost(r)
	if !d.take(host) {
		return
	}
	defer d.release(host)
	d.shape(host, weather{delay: time.Duration(r.Int64N(int64(200 * time.Millisecond)))}, true)
	sleep(ctx, duration(r))
	d.shape(host, weather{}, true)
}

// shape sets the weather of a host's links to all other hosts, and of those back.
func (d *disturber) shape(host int, w weather, both bool) {
	for other := 1; other <= keeperCount+dockCount; other++ {
		d.network.set(link{host, other}, w)
		if both {
			d.network.set(link{other, host}, w)
		}
	}
}

// slow makes a backend server slow.
func (d *disturber) slow(ctx context.Context, r *rand.Rand) {
	b := d.anyBackend(r)
	b.SetDelay(time.Duration(r.Int64N(int64(time.Second))))
	sleep(ctx, duration(r))
	b.SetDelay(0)
}
