package router

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// probeTimeout is the time after which a dock that has not echoed a probe counts as stalled.
	probeTimeout = 40 * time.Millisecond
	// reprobeInterval is the time between two probes of a suspect dock.
	reprobeInterval = 250 * time.Millisecond
	// maxSuspicionTime is the time after which a dock is no longer suspect even if no probe
	// succeeded. By then the views show whether the dock still exists.
	maxSuspicionTime = 10 * time.Second
)

// detector records the suspect docks, which stall or cannot be reached, so that queries go to
// another dock at once. Background probes clear a dock that answers again.
type detector struct {
	// Set at creation.
	clock  timekeeper.Clock
	owners OwnerClient
	stalls metrics.Counter
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// Guarded by mutex.
	mutex    sync.Mutex
	suspects map[identifier.HostName]bool
	isClosed bool
}

func newDetector(clock timekeeper.Clock, owners OwnerClient, stalls metrics.Counter) *detector {
	ctx, cancel := context.WithCancel(context.Background())
	return &detector{
		clock:    clock,
		owners:   owners,
		stalls:   stalls,
		ctx:      ctx,
		cancel:   cancel,
		suspects: map[identifier.HostName]bool{},
	}
}

// isSuspect reports whether queries must avoid a dock.
func (d *detector) isSuspect(name identifier.HostName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.suspects[name]
}

// markSuspect records a dock that stalls or cannot be reached and starts to probe it.
func (d *detector) markSuspect(host encoder.Host) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.suspects[host.Name] || d.isClosed {
		return
	}
	d.suspects[host.Name] = true
	d.stalls.Inc(1)
	d.tasks.Add(1)
	go (&suspectProber{detector: d, host: host}).run()
}

// clear removes a dock from the suspects.
func (d *detector) clear(name identifier.HostName) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.suspects, name)
}

// close cancels the background probes and waits for their goroutines.
func (d *detector) close() {
	d.mutex.Lock()
	d.isClosed = true
	d.mutex.Unlock()
	d.cancel()
	d.tasks.Wait()
}

// probe reports whether a dock echoes a probe within probeTimeout.
func (d *detector) probe(ctx context.Context, host encoder.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.owners.Probe(ctx, host) == nil
}

// suspectProber probes one suspect dock until it answers or maxSuspicionTime has passed.
type suspectProber struct {
	detector *detector
	host     encoder.Host
}

func (p *suspectProber) run() {
	defer p.detector.tasks.Done()
	defer p.detector.clear(p.host.Name)
	ticker := p.detector.clock.NewTicker(reprobeInterval)
	defer ticker.Stop()
	start := p.detector.clock.Now()
	for p.detector.clock.Now().Sub(start) < maxSuspicionTime {
		select {
		case <-ticker.C:
			if p.detector.probe(p.detector.ctx, p.host) || !p.detector.isSuspect(p.host.Name) {
				return
			}
		case <-p.detector.ctx.Done():
			return
		}
	}
}

// stallProbe probes the dock of one slow batch.
type stallProbe struct {
	router *Router
	call   *batchCall
	stalls chan<- *batchCall
}

// run reports the batch as stalled if its dock does not echo the probe.
func (p *stallProbe) run(ctx context.Context) {
	defer p.router.tasks.Done()
	if p.router.detector.probe(ctx, p.call.host) || ctx.Err() != nil {
		return
	}
	p.router.detector.markSuspect(p.call.host)
	p.stalls <- p.call
}
