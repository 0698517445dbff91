package router

import (
	"context"
	"slices"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tracer"
)

// bypass sends the unanswered shards of a stalled batch to their other docks. The stalled batch
// stays in flight, and the first answer for each shard is used.
func (g *scatterGather) bypass(ctx context.Context, c *batchCall) {
	if _, isInFlight := g.calls[c.batch.Attempt]; !isInFlight || !g.run.contract.Idempotent {
		return
	}
	var list []identifier.ShardNumber
	for _, n := range c.batch.Shards {
		p := &g.progress[n]
		if !p.isCovered && p.inFlight == 1 && p.sends < maxSendsPerShard {
			list = append(list, n)
		}
	}
	if len(list) > 0 {
		g.run.router.events.Record(tracer.AttemptStarted, g.run.query.Request, "owner stalls, bypassing it", tracer.F("owner", c.host.Name))
		g.run.router.metricSet.bypasses.Inc(int64(len(list)))
		g.send(ctx, list, g.alternateHost)
	}
}

// retryBypass sends shards to another dock if their bypass was lost while their stalled batch is
// still in flight.
func (g *scatterGather) retryBypass(ctx context.Context, shards []identifier.ShardNumber) {
	if !g.run.contract.Idempotent {
		return
	}
	var list []identifier.ShardNumber
	for _, n := range shards {
		p := &g.progress[n]
		if !p.isCovered && p.inFlight == 1 && p.sends < maxSendsPerShard && g.isAtSuspectDock(n) {
			list = append(list, n)
		}
	}
	if len(list) > 0 {
		g.run.router.metricSet.bypasses.Inc(int64(len(list)))
		g.send(ctx, list, g.preferredHost)
	}
}

// isAtSuspectDock reports whether a batch with the shard is in flight to a suspect dock.
func (g *scatterGather) isAtSuspectDock(n identifier.ShardNumber) bool {
	for _, c := range g.calls {
		if slices.Contains(c.batch.Shards, n) && g.run.router.detector.isSuspect(c.host.Name) {
			return true
		}
	}
	return false
}

// probeSlowBatches probes each other dock whose batch has been in flight for at least
// stallCheckInterval, once per batch.
func (g *scatterGather) probeSlowBatches(ctx context.Context) {
	now := g.run.router.clock.Now()
	for _, c := range g.calls {
		if c.isProbed || c.host.Name == g.run.router.self || now.Sub(c.sent) < stallCheckInterval {
			continue
		}
		c.isProbed = true
		g.run.router.tasks.Add(1)
		go (&stallProbe{router: g.run.router, call: c, stalls: g.stalls}).run(ctx)
	}
}
