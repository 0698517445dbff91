// Package warmer opens connections to backend servers before requests need them. A request to
// every shard that must open a connection to each first misses its latency target: the host
// pays for each in processor time, and each server lets the request wait for the handshake.
package warmer

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// roundInterval is how often connections that have ended meanwhile are replaced.
	roundInterval = 2 * time.Second
	// openInterval is the least time between two new connections, so that opening them leaves
	// the processor to requests.
	openInterval = 5 * time.Millisecond
	// openTimeout bounds opening one connection.
	openTimeout = 300 * time.Millisecond
	// wantedConnections is how many connections each server is given ahead.
	wantedConnections = 1
)

// Directory tells to which servers connections are kept, the most needed first.
type Directory interface {
	Homes(now time.Time) []sender.Destination
	// ConnectPeers opens the links to other docks that requests will need.
	ConnectPeers(ctx context.Context)
}

// Opener opens connections.
type Opener interface {
	// Warm opens connections to a server until there are as many as wanted, and returns how
	// many it opened.
	Warm(ctx context.Context, to sender.Destination, wanted int) (int, error)
}

// Warmer keeps connections open.
type Warmer struct {
	// Set at creation.
	directory Directory
	opener    Opener
	clock     timekeeper.Clock
	failed    metrics.Counter
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	// changed tells the loop that there are other servers.
	changed chan struct{}
}

// New starts a Warmer.
func New(d Directory, o Opener, clock timekeeper.Clock, registry metrics.Registry) *Warmer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Warmer{
		directory: d,
		opener:    o,
		clock:     clock,
		failed:    metrics.GetOrRegisterCounter("warmer.failures", registry),
		ctx:       ctx,
		cancel:    cancel,
		changed:   make(chan struct{}, 1),
	}
	w.tasks.Add(1)
	go w.loop()
	return w
}

// Wake has the servers looked at again soon.
func (w *Warmer) Wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Close stops opening connections and waits for the one that is being opened.
func (w *Warmer) Close() {
	w.cancel()
	w.tasks.Wait()
}

// loop opens what is missing at intervals and when there are other servers.
func (w *Warmer) loop() {
	defer w.tasks.Done()
	ticker := w.clock.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		w.round()
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		case <-w.changed:
		}
	}
}

// round opens what is missing.
func (w *Warmer) round() {
	w.directory.ConnectPeers(w.ctx)
	for _, to := range w.directory.Homes(w.clock.Now()) {
		if w.ctx.Err() != nil {
			return
		}
		w.open(to)
	}
}

// open opens what is missing to one server. A failure is counted and leads to another try in
// the next round: requests find out by themselves whether the server can be reached.
func (w *Warmer) open(to sender.Destination) {
	ctx, cancel := context.WithTimeout(w.ctx, openTimeout)
	defer cancel()
	opened, err := w.opener.Warm(ctx, to, wantedConnections)
	if err != nil {
		w.failed.Inc(1)
	}
	if opened > 0 || err != nil {
		w.pause()
	}
}

// pause leaves the processor to others.
func (w *Warmer) pause() {
	timer := w.clock.NewTimer(openInterval)
	defer timer.Stop()
	select {
	case <-w.ctx.Done():
	case <-timer.C:
	}
}
