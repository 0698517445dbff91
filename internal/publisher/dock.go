package publisher

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// dock is the leader's record of one dock.
type dock struct {
	host encoder.Host
	// former is the incarnation that this one replaced. Its last polls may arrive late and are
	// ignored.
	former   identifier.Incarnation
	sequence uint64
	manifest uint64
	epoch    identifier.Epoch
	lastSeen time.Time
	// isSeeded is set for a dock that is known only from another dock's view and has not polled
	// yet.
	isSeeded bool
}

// updateDock applies the poll's report on the dock itself. It returns false if the leader has no
// record of the dock and the poll does not describe it.
func (p *Publisher) updateDock(now time.Time, from Dock, request encoder.PollRequest) bool {
	d := p.docks[from.Name]
	isNew := d == nil || d.host.Incarnation != from.Incarnation || d.isSeeded
	if isNew {
		if d != nil && !d.isSeeded && d.former == from.Incarnation {
			return true
		}
		if request.Host == nil {
			return false
		}
		former := identifier.Incarnation(0)
		if d != nil && d.host.Incarnation != from.Incarnation {
			former = d.host.Incarnation
		}
		d = &dock{former: former}
		p.docks[from.Name] = d
	}
	if request.Sequence <= d.sequence {
		return true
	}
	d.sequence = request.Sequence
	d.manifest = request.KnownManifest
	d.epoch = request.KnownEpoch
	d.lastSeen = now
	if request.Host != nil && *request.Host != d.host {
		d.host = *request.Host
		d.host.Name = from.Name
		d.host.Incarnation = from.Incarnation
		p.dirtyHosts[from.Name] = true
	}
	return true
}

// expireDocks removes docks that have not polled within the silence limit. If all docks of a
// failure domain are silent by the time the first of them expires, they are removed in one view.
func (p *Publisher) expireDocks(now time.Time) {
	domainLastSeen := map[identifier.DomainName]time.Time{}
	for _, d := range p.docks {
		if d.lastSeen.After(domainLastSeen[d.host.Domain]) {
			domainLastSeen[d.host.Domain] = d.lastSeen
		}
	}
	lost := map[identifier.DomainName]bool{}
	for _, d := range p.docks {
		isGone := now.Sub(d.lastSeen) >= p.limits.DockSilence
		if isGone && now.Sub(domainLastSeen[d.host.Domain]) >= p.limits.DockDomainSilence {
			lost[d.host.Domain] = true
		}
	}
	for name, d := range p.docks {
		if lost[d.host.Domain] || now.Sub(d.lastSeen) >= p.limits.DockSilence {
			delete(p.docks, name)
			p.dirtyHosts[name] = true
		}
	}
}
