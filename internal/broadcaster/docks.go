package broadcaster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// dockTimeout is how long a dock is counted after its last watch, in addition to maxWait.
const dockTimeout = 5 * time.Second

// dockSet holds the docks that watch a keeper. It is not safe for concurrent use.
type dockSet struct {
	docks map[identifier.HostName]*watchingDock
	// lists caches the docks of each failure domain until one of them changes.
	lists map[identifier.DomainName]dockList
}

// watchingDock is the record of one dock.
type watchingDock struct {
	dock      encoder.Dock
	lastWatch time.Time
	// isDisconnected is set when the dock's watch broke off. The dock is still counted until it
	// times out.
	isDisconnected bool
}

// dockList holds the docks of a failure domain in the order of their host names.
type dockList struct {
	docks  []encoder.Dock
	digest uint64
}

// newDockSet returns a set without docks.
func newDockSet() *dockSet {
	return &dockSet{docks: map[identifier.HostName]*watchingDock{}, lists: map[identifier.DomainName]dockList{}}
}

// recordWatch records that a dock has sent a watch request.
func (s *dockSet) recordWatch(now time.Time, host identifier.HostName, dock encoder.Dock) {
	w := s.docks[host]
	if w == nil {
		w = &watchingDock{isDisconnected: true}
		s.docks[host] = w
	}
	if w.isDisconnected || w.dock != dock {
		delete(s.lists, w.dock.Domain)
		delete(s.lists, dock.Domain)
	}
	w.dock, w.lastWatch, w.isDisconnected = dock, now, false
}

// markDisconnected records that a dock's watch broke off.
func (s *dockSet) markDisconnected(host identifier.HostName) {
	w := s.docks[host]
	if w == nil {
		return
	}
	w.isDisconnected = true
	delete(s.lists, w.dock.Domain)
}

// count removes docks that have timed out. It returns the number of docks and of their failure
// domains.
func (s *dockSet) count(now time.Time) (docks, domains int) {
	seen := map[identifier.DomainName]bool{}
	for host, w := range s.docks {
		if now.Sub(w.lastWatch) > dockTimeout+maxWait {
			s.markDisconnected(host)
			delete(s.docks, host)
			continue
		}
		seen[w.dock.Domain] = true
	}
	return len(s.docks), len(seen)
}

// domainDocks returns the connected docks of a failure domain and a digest of the list.
func (s *dockSet) domainDocks(domain identifier.DomainName) ([]encoder.Dock, uint64) {
	list, ok := s.lists[domain]
	if !ok {
		list = s.buildList(domain)
		s.lists[domain] = list
	}
	return list.docks, list.digest
}

// buildList lists the connected docks of a failure domain that have an address.
func (s *dockSet) buildList(domain identifier.DomainName) dockList {
	list := dockList{}
	for _, w := range s.docks {
		if !w.isDisconnected && w.dock.Domain == domain && w.dock.Address.IsValid() {
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
