package router

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/placer"
)

// preferredHost returns the shard's owner, its second dock while the owner is suspect, or a
// fallback dock while both are. It returns false if the shard is not assigned.
func (g *scatterGather) preferredHost(n identifier.ShardNumber) (encoder.Host, bool) {
	a, ok := g.snapshot.Placement.Assignment(g.run.query.Service, n)
	if !ok {
		return encoder.Host{}, false
	}
	detector := g.run.router.detector
	if !detector.isSuspect(a.Owner.Name) {
		return a.Owner, true
	}
	if !detector.isSuspect(a.Second.Name) {
		return a.Second, true
	}
	return g.fallbackHost(n, a), true
}

// fallbackHost returns a ready dock for a shard whose owner and second dock cannot be used. All
// roots that suspect the same docks choose the same one. It returns the owner if all ready docks
// are suspect.
func (g *scatterGather) fallbackHost(n identifier.ShardNumber, a placer.Assignment) encoder.Host {
	best := a.Owner
	highest := uint64(0)
	for _, h := range g.snapshot.View.Hosts {
		if h.State != encoder.HostReady || g.run.router.detector.isSuspect(h.Name) {
			continue
		}
		weight := uint64(identifier.NewFingerprint(g.run.query.Service, identifier.OperationName(h.Name), []byte{byte(n), byte(n >> 8)}))
		if weight > highest {
			best = h
			highest = weight
		}
	}
	return best
}

// ownerFromRefusal returns the owner that the last refusal contained, unless the shard was last
// sent there. Otherwise it returns alternateHost.
func (g *scatterGather) ownerFromRefusal(n identifier.ShardNumber) (encoder.Host, bool) {
	p := &g.progress[n]
	if p.missing.Owner != nil && p.missing.Owner.Name != p.lastHost {
		return *p.missing.Owner, true
	}
	return g.alternateHost(n)
}

// alternateHost returns the shard's owner, or its second dock if the shard was last sent to the
// owner. If that dock is suspect, it returns a fallback dock.
func (g *scatterGather) alternateHost(n identifier.ShardNumber) (encoder.Host, bool) {
	a, ok := g.snapshot.Placement.Assignment(g.run.query.Service, n)
	if !ok {
		return encoder.Host{}, false
	}
	other := a.Owner
	if a.Owner.Name == g.progress[n].lastHost {
		other = a.Second
	}
	if g.run.router.detector.isSuspect(other.Name) {
		return g.fallbackHost(n, a), true
	}
	return other, true
}

// isAdoption reports whether any of the shards is sent to a dock that this root's placement does
// not assign it to, because the shard's owner and second dock are both suspect.
func (g *scatterGather) isAdoption(host encoder.Host, shards []identifier.ShardNumber) bool {
	for _, n := range shards {
		a, ok := g.snapshot.Placement.Assignment(g.run.query.Service, n)
		detector := g.run.router.detector
		if ok && host.Name != a.Owner.Name && host.Name != a.Second.Name && detector.isSuspect(a.Owner.Name) && detector.isSuspect(a.Second.Name) {
			return true
		}
	}
	return false
}
