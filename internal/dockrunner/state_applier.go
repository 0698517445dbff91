package dockrunner

import (
	"sync/atomic"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/planner"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/router"
	"banyandock.example/banyandock/internal/tracer"
)

// stateApplier applies each new state of the poller: it passes new views to the owner and the
// connector, and derives from the view what the router needs for queries. Its goroutine is the only
// one that changes the dock's control state.
type stateApplier struct {
	// Set at creation.
	dock    *dock
	changes <-chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	// Written by apply, read by queries.
	preparedState atomic.Pointer[preparedState]

	// Used by apply only.
	epoch    identifier.Epoch
	view     encoder.View
	manifest uint64
	isFresh  bool
}

// preparedState contains the values that are computed once for each state of the poller.
type preparedState struct {
	state      *poller.State
	plans      *planner.Plans
	readyDocks int
}

// newStateApplier applies the current state and starts to apply later ones.
func newStateApplier(d *dock) *stateApplier {
	c := &stateApplier{
		dock:    d,
		changes: d.poller.Subscribe(),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	c.apply(d.poller.State())
	go c.run()
	return c
}

// Snapshot returns the state that a query uses.
func (c *stateApplier) Snapshot() router.Snapshot {
	p := c.preparedState.Load()
	return router.Snapshot{
		View:       p.state.View,
		Placement:  p.state.Placement,
		Plans:      p.plans,
		Manifest:   p.state.Manifest,
		IsFresh:    c.dock.poller.IsFresh(),
		ReadyDocks: p.readyDocks,
	}
}

// Close stops the goroutine and waits for it.
func (c *stateApplier) Close() {
	close(c.stop)
	<-c.stopped
}

// run applies each new state until Close.
func (c *stateApplier) run() {
	defer close(c.stopped)
	for {
		select {
		case <-c.changes:
			c.apply(c.dock.poller.State())
		case <-c.stop:
			return
		}
	}
}

// apply passes a state to the dock's components.
func (c *stateApplier) apply(s *poller.State) {
	last := c.preparedState.Load()
	p := &preparedState{state: s, readyDocks: countReady(s.View.Hosts)}
	if last != nil && last.state.View == s.View {
		p.plans = last.plans
	} else {
		p.plans = planner.NewPlans(s.View)
		c.dock.connector.Update(s.View)
		c.dock.owner.Update(s.View, s.Placement)
	}
	c.preparedState.Store(p)
	c.dock.quarantine.Adopt(s.Quarantined)
	c.recordChanges(s)
	c.markReady(s)
}

// markReady changes the dock's state from joining to ready, in which it may own shards, once the
// manifest in force is known and confirmed.
func (c *stateApplier) markReady(s *poller.State) {
	if s.Manifest == nil || !s.Fresh {
		return
	}
	if c.dock.state.CompareAndSwap(uint32(encoder.HostJoining), uint32(encoder.HostReady)) {
		c.dock.poller.Refresh()
	}
}

// recordChanges records changes of view, manifest and freshness as events.
func (c *stateApplier) recordChanges(s *poller.State) {
	events := c.dock.process.Events
	if s.View.Epoch != c.epoch {
		c.epoch = s.View.Epoch
		fields := []tracer.Field{tracer.F("epoch", c.epoch), tracer.F("hosts", len(s.View.Hosts)), tracer.F("servers", len(s.View.Servers))}
		fields = append(fields, compareViews(c.view, *s.View).fields()...)
		c.view = *s.View
		events.Record(tracer.EpochApplied, identifier.RequestID{}, "", fields...)
	}
	if s.ManifestText.Number != c.manifest {
		c.manifest = s.ManifestText.Number
		events.Record(tracer.ManifestApplied, identifier.RequestID{}, "", tracer.F("number", c.manifest))
	}
	if s.Fresh != c.isFresh {
		c.isFresh = s.Fresh
		kind := tracer.ManifestStale
		if s.Fresh {
			kind = tracer.ManifestFresh
		}
		events.Record(kind, identifier.RequestID{}, "", tracer.F("number", c.manifest))
	}
}

// countReady counts the docks that accept callers' requests.
func countReady(hosts []encoder.Host) int {
	n := 0
	for _, h := range hosts {
		if h.State == encoder.HostReady {
			n++
		}
	}
	return n
}
