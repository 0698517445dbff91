package forwarder

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// reachInterval is the time between two looks for servers that are down and due for a probe.
	reachInterval = 200 * time.Millisecond
	// maxReachProbes bounds the probes that one look starts.
	maxReachProbes = 16
	// reachTimeout bounds one probe.
	reachTimeout = 300 * time.Millisecond
)

// reachProber finds out when servers are back that refused connections. If requests did, each of them
// would be sent to all other shards for an answer that cannot be complete.
type reachProber struct {
	forwarder *Forwarder
}

// loop starts the probes that are due until the forwarder is closed.
func (r *reachProber) loop() {
	f := r.forwarder
	defer f.tasks.Done()
	ticker := f.clock.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
		if f.IsDetached() {
			continue
		}
		for _, t := range f.selector.DueProbes(f.clock.Now(), maxReachProbes) {
			f.tasks.Add(1)
			go (&reachProbe{forwarder: f, target: t}).run()
		}
	}
}

// reachProbe is the probe of one server.
type reachProbe struct {
	forwarder *Forwarder
	target    selector.Target
}

// run opens a connection to the server, which is kept for requests if that succeeds. A failure is not
// reported, because the server counts as down already.
func (p *reachProbe) run() {
	f := p.forwarder
	defer f.tasks.Done()
	ctx, cancel := context.WithTimeout(f.ctx, reachTimeout)
	defer cancel()
	to := sender.Destination{Address: p.target.Address, ID: p.target.ID, Connections: f.selector.Connections(p.target.Service)}
	if f.sender.Probe(ctx, to) == nil {
		f.selector.Reached(p.target.ID, p.target.Born)
	}
}
