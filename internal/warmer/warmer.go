// Package warmer opens connections to backend servers before requests need them. A first request to
// every shard that had to open all connections would miss its latency target, because opening
// connections costs the host processor time and each server delays the request by the handshake.
package warmer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// roundInterval is the interval at which closed connections are replaced.
	roundInterval = 2 * time.Second
	// openInterval is the minimum time between two new connections, so that opening connections
	// does not take processor time from requests.
	openInterval = 5 * time.Millisecond
	// openTimeout is the timeout for opening the missing connections to one server.
	openTimeout = 300 * time.Millisecond
	// connectionsPerServer is the number of connections to each server that are kept open.
	connectionsPerServer = 1
)

// Targets are the servers to which connections are kept open.
type Targets struct {
	// Own are the servers that few docks send to, and Shared those that every dock sends to.
	Own    []sender.Destination
	Shared []sender.Destination
	// Spread is the time over which all docks together open their first connections to shared servers,
	// because a server that gets many at once resets some.
	Spread time.Duration
}

// TargetSource provides the servers and docks to connect to.
type TargetSource interface {
	// ConnectionTargets returns the servers to which connections are kept open.
	ConnectionTargets(now time.Time) Targets
	// ConnectPeers opens the links to other docks that requests will need.
	ConnectPeers(ctx context.Context)
}

// Opener opens connections.
type Opener interface {
	// Warm opens connections to a server until it has the wanted number, and returns the number of
	// connections opened.
	Warm(ctx context.Context, to sender.Destination, wanted int) (int, error)
}

// Warmer keeps connections to backend servers open.
type Warmer struct {
	// Set at creation.
	targets TargetSource
	opener  Opener
	clock   timekeeper.Clock
	failed  metrics.Counter
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// changed wakes the loop after the servers changed. It is buffered, so that a signal during a
	// round is not lost.
	changed chan struct{}
}

// New starts a Warmer. Close must be called to stop it.
func New(t TargetSource, o Opener, clock timekeeper.Clock, registry metrics.Registry) *Warmer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Warmer{
		targets: t,
		opener:  o,
		clock:   clock,
		failed:  metrics.GetOrRegisterCounter("warmer.failures", registry),
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}, 1),
	}
	w.tasks.Add(1)
	go w.loop()
	return w
}

// Wake starts a round without waiting for the interval. It does not block.
func (w *Warmer) Wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Close cancels the opening of connections and waits until the loop has ended.
func (w *Warmer) Close() {
	w.cancel()
	w.tasks.Wait()
}

// loop opens the missing connections at intervals and after calls of Wake. Connections to shared servers
// follow after a random part of the spread.
func (w *Warmer) loop() {
	defer w.tasks.Done()
	ticker := w.clock.NewTicker(roundInterval)
	defer ticker.Stop()
	shared := w.clock.NewTimer(0)
	defer shared.Stop()
	isSharedDue, isScheduled := false, true
	for {
		spread := w.warmAll(isSharedDue)
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		case <-shared.C:
			isSharedDue, isScheduled = true, false
		case <-w.changed:
			if !isScheduled {
				isSharedDue, isScheduled = false, true
				shared.Reset(randomPart(spread))
			}
		}
	}
}

// randomPart returns a random part of a duration.
func randomPart(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// warmAll opens the missing connections to all peers and servers, those to shared servers only if they are
// due. It returns the spread of shared servers.
func (w *Warmer) warmAll(isSharedDue bool) time.Duration {
	w.targets.ConnectPeers(w.ctx)
	targets := w.targets.ConnectionTargets(w.clock.Now())
	w.openAll(targets.Own)
	if isSharedDue {
		w.openAll(targets.Shared)
	}
	return targets.Spread
}

// openAll opens the missing connections to servers.
func (w *Warmer) openAll(destinations []sender.Destination) {
	for _, to := range destinations {
		if w.ctx.Err() != nil {
			return
		}
		w.open(to)
	}
}

// open opens the missing connections to one server. A failure is counted, and the next round tries
// again. It is not reported otherwise, because requests detect unreachable servers themselves.
func (w *Warmer) open(to sender.Destination) {
	ctx, cancel := context.WithTimeout(w.ctx, openTimeout)
	defer cancel()
	opened, err := w.opener.Warm(ctx, to, connectionsPerServer)
	if err != nil {
		w.failed.Inc(1)
	}
	if opened > 0 || err != nil {
		w.pause()
	}
}

// pause waits for openInterval or until the Warmer is closed, so that the processor is available to
// requests.
func (w *Warmer) pause() {
	timer := w.clock.NewTimer(openInterval)
	defer timer.Stop()
	select {
	case <-w.ctx.Done():
	case <-timer.C:
	}
}
