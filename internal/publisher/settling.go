package publisher

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// settling is the phase in which a new leader prepares its first view. The leader collects polls
// for a time and then requests the view of the dock that holds the newest one. Members of that view
// that no dock reports any more count as seen when the view arrives, so that none is removed too
// early.
type settling struct {
	isDone  bool
	started time.Time
	// requestedDock is the dock whose view was requested. It is empty if none was.
	requestedDock identifier.HostName
	requestedAt   time.Time
	// timedOut holds the docks that did not send their view in time.
	timedOut map[identifier.HostName]bool
}

// newSettling starts the phase at the beginning of a term.
func newSettling(now time.Time) settling {
	return settling{started: now, timedOut: map[identifier.HostName]bool{}}
}

// wantsViewFrom reports whether the dock is to send its view.
func (s *settling) wantsViewFrom(name identifier.HostName) bool {
	return s.requestedDock != "" && s.requestedDock == name
}

// advanceSettling chooses the dock to request a view from. It ends the phase without a view if no
// dock holds one or none sends it in time.
func (p *Publisher) advanceSettling(now time.Time) {
	s := &p.settling
	if s.isDone || now.Sub(s.started) < p.limits.Gathering || len(p.docks) == 0 {
		return
	}
	if now.Sub(s.started) >= p.limits.Settling {
		s.isDone = true
		return
	}
	if s.requestedDock != "" && now.Sub(s.requestedAt) < p.limits.SeedTimeout {
		return
	}
	if s.requestedDock != "" {
		s.timedOut[s.requestedDock] = true
	}
	s.requestedDock = p.dockWithNewestView()
	s.requestedAt = now
	if s.requestedDock == "" && len(s.timedOut) == 0 {
		// No dock holds a view, so the first one cannot remove members from any dock.
		s.isDone = true
	}
}

// dockWithNewestView returns the dock that holds the newest view and has not failed to send it. It
// returns an empty name if there is none.
func (p *Publisher) dockWithNewestView() identifier.HostName {
	var name identifier.HostName
	var newest identifier.Epoch
	for n, d := range p.docks {
		if p.settling.timedOut[n] || d.epoch == 0 {
			continue
		}
		if d.epoch > newest || (d.epoch == newest && n < name) {
			name, newest = n, d.epoch
		}
	}
	return name
}

// seed adopts a dock's view as the last published one. Reports received since the term began take
// precedence over it.
func (p *Publisher) seed(now time.Time, view *encoder.View) {
	if p.settling.isDone || view.Epoch >= identifier.NewEpoch(p.term, 0) {
		return
	}
	p.settling.isDone = true
	p.epoch = view.Epoch
	p.changes = []change{{epoch: view.Epoch}}
	for _, h := range view.Hosts {
		p.publishedHosts[h.Name] = h
		p.dirtyHosts[h.Name] = true
		if p.docks[h.Name] == nil {
			p.docks[h.Name] = &dock{host: h, lastSeen: now, isSeeded: true}
		}
	}
	for _, s := range view.Servers {
		p.publishedServers[s.Address] = s
		p.dirtyServers[s.Address] = true
		if p.servers[s.Address] == nil {
			p.servers[s.Address] = &server{announced: s, lastSeen: now}
		}
	}
}
