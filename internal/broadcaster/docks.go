package broadcaster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// dockTimeout is how long a dock is counted after its last watch, in addition to maxWait.
	dockTimeout = 5 * time.Second
	// silentSlack is how much longer than its watch waits a dock may be silent before it is no longer
	// listed.
	silentSlack = time.Second
	// maxRelays bounds the docks to which one dock is told to hand requests over. There are enough of
	// them for the load to spread, and for some to remain if others are cut off too.
	maxRelays = 32
)

// dockSet holds the docks that watch a keeper. It is not safe for concurrent use.
type dockSet struct {
	docks map[identifier.HostName]*watchingDock
	// lists caches the docks of each failure domain that can reach backend servers, until one of them
	// changes.
	lists map[identifier.DomainName]dockList
}

// watchingDock is the record of one dock.
type watchingDock struct {
	dock      encoder.Dock
	lastWatch time.Time
	// wait is how long the dock's watches wait for changes.
	wait time.Duration
	// isDisconnected is set when the dock's watch broke off or the dock has been silent. It is still
	// counted until it times out.
	isDisconnected bool
	// isDetached is set while the dock has lost its links to all backend servers. detachVersion is the
	// dock's version of that.
	isDetached    bool
	detachVersion uint64
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

// recordWatch records that a dock has sent a watch request that waits at most wait.
func (s *dockSet) recordWatch(now time.Time, host identifier.HostName, dock encoder.Dock, wait time.Duration) {
	w := s.docks[host]
	if w == nil {
		w = &watchingDock{isDisconnected: true}
		s.docks[host] = w
	}
	if w.isDisconnected || w.dock != dock {
		delete(s.lists, w.dock.Domain)
		delete(s.lists, dock.Domain)
	}
	w.dock, w.lastWatch, w.wait, w.isDisconnected = dock, now, wait, false
}

// markSilent records that docks were silent for longer than their watches wait, because their links to
// this keeper have failed without a sign. It returns their number. If they are more than half of the
// listed docks, this keeper's own links may have failed instead, and nothing is recorded.
func (s *dockSet) markSilent(now time.Time) int {
	usable, silent := 0, []identifier.HostName{}
	for host, w := range s.docks {
		if !w.isUsable() {
			continue
		}
		usable++
		if now.Sub(w.lastWatch) > w.wait+silentSlack {
			silent = append(silent, host)
		}
	}
	if 2*len(silent) > usable {
		return 0
	}
	for _, host := range silent {
		s.markDisconnected(host)
	}
	return len(silent)
}

// resumeWatches counts the present as the time of the last watch of all docks, because this keeper was
// paused and could receive none.
func (s *dockSet) resumeWatches(now time.Time) {
	for _, w := range s.docks {
		w.lastWatch = now
	}
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

// setDetached records whether a dock has lost its links to all backend servers, unless a newer version
// is known. A dock that has just started has version 0. It reports whether that is new.
func (s *dockSet) setDetached(host identifier.HostName, version uint64, isDetached bool) (isNew bool) {
	w := s.docks[host]
	if w == nil || (version != 0 && version < w.detachVersion) {
		return false
	}
	isNew = w.isDetached != isDetached
	w.isDetached, w.detachVersion = isDetached, version
	if isNew {
		delete(s.lists, w.dock.Domain)
	}
	return isNew
}

// relays returns at most maxRelays docks that can reach backend servers, chosen by a hash that differs
// among the hosts that ask, and a digest of the list.
func (s *dockSet) relays(host identifier.HostName) ([]encoder.Dock, uint64) {
	ranks := map[identifier.HostName]uint64{}
	docks := []encoder.Dock{}
	for _, w := range s.docks {
		if w.isUsable() && w.dock.Host != host {
			docks = append(docks, w.dock)
			ranks[w.dock.Host] = xxhash.Sum64String(string(host) + "\x00" + string(w.dock.Host))
		}
	}
	slices.SortFunc(docks, func(a, b encoder.Dock) int { return cmp.Compare(ranks[a.Host], ranks[b.Host]) })
	docks = docks[:min(maxRelays, len(docks))]
	return docks, docksDigest(docks)
}

// isUsable reports whether other docks may send requests to the dock.
func (w *watchingDock) isUsable() bool {
	return !w.isDisconnected && !w.isDetached && w.dock.Address.IsValid()
}

// domainDocks returns the connected docks of a failure domain that can reach backend servers, and a
// digest of the list.
func (s *dockSet) domainDocks(domain identifier.DomainName) ([]encoder.Dock, uint64) {
	list, ok := s.lists[domain]
	if !ok {
		list = s.buildList(domain)
		s.lists[domain] = list
	}
	return list.docks, list.digest
}

// buildList lists the usable docks of a failure domain.
func (s *dockSet) buildList(domain identifier.DomainName) dockList {
	list := dockList{}
	for _, w := range s.docks {
		if w.isUsable() && w.dock.Domain == domain {
			list.docks = append(list.docks, w.dock)
		}
	}
	slices.SortFunc(list.docks, func(a, b encoder.Dock) int { return cmp.Compare(a.Host, b.Host) })
	list.digest = docksDigest(list.docks)
	return list
}

// docksDigest identifies a list of docks. It is never zero.
func docksDigest(docks []encoder.Dock) uint64 {
	d := xxhash.New()
	for _, dock := range docks {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(string(dock.Host))
		_, _ = d.WriteString(dock.Address.String())
	}
	return d.Sum64() | 1
}
