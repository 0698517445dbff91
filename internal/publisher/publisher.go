// Package publisher maintains the directory of docks and backend servers on the leading keeper and
// publishes it as numbered views. The directory is soft state: the leader builds it from the docks'
// polls, and a new leader collects it again.
package publisher

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Publisher holds the directory of one keeper. All methods must be called from the same goroutine.
type Publisher struct {
	// Set at creation.
	limits     Limits
	invariants checker.Hook

	// Set when this keeper becomes the leader.
	isLeading bool
	term      uint64

	settling   settling
	docks      map[identifier.HostName]*dock
	servers    map[netip.AddrPort]*server
	quarantine quarantine

	// The last published view and the changes that led to it.
	epoch            identifier.Epoch
	sequence         uint32
	publishedHosts   map[identifier.HostName]encoder.Host
	publishedServers map[netip.AddrPort]encoder.Server
	changes          []change

	// Members that may differ from the last published view.
	dirtyHosts   map[identifier.HostName]bool
	dirtyServers map[netip.AddrPort]bool
}

// Dock identifies a dock process that polls.
type Dock struct {
	Name        identifier.HostName
	Incarnation identifier.Incarnation
}

// Answer is the leader's part of a poll reply.
type Answer struct {
	// Ready reports whether the leader's view is settled.
	Ready bool
	// View brings the dock up to date. It is nil if the dock holds the current view or if the
	// leader's view is not settled.
	View *encoder.ViewDelta
	// Resend requests the full report that a new leader needs.
	Resend bool
	// SendView requests the dock's view.
	SendView bool
	// Quarantine is nil if the dock holds the current list or if the leader's view is not settled.
	Quarantine *encoder.QuarantineList
}

// New returns a publisher that is not the leader.
func New(options ...Option) *Publisher {
	p := &Publisher{limits: defaultLimits()}
	for _, o := range options {
		o(p)
	}
	p.reset()
	return p
}

// Lead starts a term as leader with an empty directory.
func (p *Publisher) Lead(now time.Time, term uint64) {
	p.invariants.Check(term > p.term, "leader_term_rises", "%d after %d", term, p.term)
	p.reset()
	p.isLeading = true
	p.term = term
	p.settling = newSettling(now)
	p.quarantine = newQuarantine(p.limits.Quarantine, term)
}

// Resign ends the leadership and clears the directory.
func (p *Publisher) Resign() {
	p.reset()
}

// IsLeading reports whether the publisher leads in the given term.
func (p *Publisher) IsLeading(term uint64) bool {
	return p.isLeading && p.term == term
}

// Poll applies a dock's report and returns what the dock needs to catch up.
func (p *Publisher) Poll(now time.Time, from Dock, request encoder.PollRequest) Answer {
	if !p.isLeading {
		return Answer{}
	}
	known := p.updateDock(now, from, request)
	if !known {
		return Answer{Resend: true}
	}
	unknown := p.updateServers(now, request)
	p.quarantine.adopt(now, request.Quarantined)
	if request.View != nil {
		p.seed(now, request.View)
	}
	if !p.settling.isDone {
		return Answer{Resend: unknown, SendView: p.settling.wantsViewFrom(from.Name)}
	}
	return Answer{
		Ready:      true,
		View:       p.Delta(request.KnownEpoch),
		Resend:     unknown,
		Quarantine: p.quarantine.list(now, request.KnownQuarantine),
	}
}

// Advance removes members that have been silent for too long and publishes any changes.
func (p *Publisher) Advance(now time.Time) {
	if !p.isLeading {
		return
	}
	p.advanceSettling(now)
	if !p.settling.isDone {
		return
	}
	p.expireDocks(now)
	p.expireServers(now)
	p.quarantine.expire(now)
	p.publish()
}

// RecordCrashes records the crashes that a dock has counted for a fingerprint. It returns false if
// this keeper is not the leader.
func (p *Publisher) RecordCrashes(now time.Time, from identifier.HostName, n encoder.QuarantineNotice) bool {
	if !p.isLeading {
		return false
	}
	p.quarantine.addCrashes(now, from, n)
	return true
}

// Docks returns the state that each dock reported last, sorted by name.
func (p *Publisher) Docks(now time.Time) []encoder.DockStatus {
	all := make([]encoder.DockStatus, 0, len(p.docks))
	for _, d := range p.docks {
		all = append(all, encoder.DockStatus{Host: d.host, Manifest: d.manifest, Epoch: d.epoch, Heard: now.Sub(d.lastSeen)})
	}
	slices.SortFunc(all, func(a, b encoder.DockStatus) int {
		return strings.Compare(string(a.Host.Name), string(b.Host.Name))
	})
	return all
}

// Servers returns the number of backend servers in the published view.
func (p *Publisher) Servers() int {
	return len(p.publishedServers)
}

// IsReady reports whether this keeper leads and its view is settled.
func (p *Publisher) IsReady() bool {
	return p.isLeading && p.settling.isDone
}

// IsPresent reports whether a dock process has polled within the silence limit. It returns true for
// every process while the view is not settled.
func (p *Publisher) IsPresent(d Dock) bool {
	if !p.settling.isDone {
		return true
	}
	known := p.docks[d.Name]
	return known != nil && known.host.Incarnation == d.Incarnation
}

// reset ends the leadership and clears the directory.
func (p *Publisher) reset() {
	p.isLeading = false
	p.settling = settling{}
	p.docks = map[identifier.HostName]*dock{}
	p.servers = map[netip.AddrPort]*server{}
	p.quarantine = quarantine{}
	p.epoch = 0
	p.sequence = 0
	p.publishedHosts = map[identifier.HostName]encoder.Host{}
	p.publishedServers = map[netip.AddrPort]encoder.Server{}
	p.changes = nil
	p.dirtyHosts = map[identifier.HostName]bool{}
	p.dirtyServers = map[netip.AddrPort]bool{}
}
