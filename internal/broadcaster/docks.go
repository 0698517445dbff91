package broadcaster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// dockTime is how long a dock counts after its last watch.
const dockTime = 5 * time.Second

// fleet is the docks that watch a keeper. It is not safe for concurrent use.
type fleet struct {
	docks map[identifier.HostName]*watching
	// lists holds the docks of each failure domain until one of them changes.
	lists map[identifier.DomainName]dockList
}

// watching is one dock.
type watching struct {
	dock  encoder.Dock
	heard time.Time
	// isAway says that its watch broke off. It still counts for a while.
	isAway bool
}

// dockList is the docks of a failure domain in the order of their addresses.
type dockList struct {
	docks  []encoder.Dock
	digest uint64
}

// newFleet returns a fleet without docks.
func newFleet() *fleet {
	return &fleet{docks: map[identifier.HostName]*watching{}, lists: map[identifier.DomainName]dockList{}}
}

// hear notes that a dock watches.
func (f *fleet) hear(now time.Time, host identifier.HostName, dock encoder.Dock) {
	w := f.docks[host]
	if w == nil {
		w = &watching{isAway: true}
		f.docks[host] = w
	}
	if w.isAway || w.dock != dock {
		delete(f.lists, w.dock.Domain)
		delete(f.lists, dock.Domain)
	}
	w.dock, w.heard, w.isAway = dock, now, false
}

// leave notes that a dock's watch broke off.
func (f *fleet) leave(host identifier.HostName) {
	w := f.docks[host]
	if w == nil {
		return
	}
	w.isAway = true
	delete(f.lists, w.dock.Domain)
}

// count returns how many docks there are, and in how many failure domains.
func (f *fleet) count(now time.Time) (docks, domains int) {
	seen := map[identifier.DomainName]bool{}
	for host, w := range f.docks {
		if now.Sub(w.heard) > dockTime+maxWait {
			f.leave(host)
			delete(f.docks, host)
			continue
		}
		seen[w.dock.Domain] = true
	}
	return len(f.docks), len(seen)
}

// fellows returns the docks of a failure domain that can be asked, and a digest of the list.
func (f *fleet) fellows(domain identifier.DomainName) ([]encoder.Dock, uint64) {
	list, ok := f.lists[domain]
	if !ok {
		list = f.collect(domain)
		f.lists[domain] = list
	}
	return list.docks, list.digest
}

// collect lists the docks of a failure domain.
func (f *fleet) collect(domain identifier.DomainName) dockList {
	list := dockList{}
	for _, w := range f.docks {
		if !w.isAway && w.dock.Domain == domain && w.dock.Address.IsValid() {
			list.docks = append(list.docks, w.dock)
		}
	}
	slices.SortFunc(list.docks, func(a, b encoder.Dock) int { return cmp.Compare(a.Host, b.Host) })
	d := xxhash.New()
	for _, dock := range list.docks {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(string(dock.Host))
		_, _ = d.WriteString(dock.Address.String())
	}
	list.digest = d.Sum64() | 1
	return list
}
