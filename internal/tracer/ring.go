package tracer

import (
	"cmp"
	"slices"
	"sort"

	"banyandock.example/banyandock/internal/identifier"
)

// ring is a ring buffer of the newest events. Its memory grows up to its capacity.
type ring struct {
	capacity int
	events   []Event
	// next is the index of the oldest event if the ring is full, and 0 before.
	next int
}

// add stores an event and discards the oldest one if the ring is full.
func (r *ring) add(e Event) {
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.capacity
}

// at returns the event at position i, where 0 is the oldest event.
func (r *ring) at(i int) Event {
	return r.events[(r.next+i)%len(r.events)]
}

// selected returns the oldest events that a request selects, but at most limit.
func (r *ring) selected(q EventsRequest, limit int) []Event {
	n := len(r.events)
	first := sort.Search(n, func(i int) bool { return r.at(i).Stamp > q.Since })
	var found []Event
	for i := first; i < n && len(found) < limit; i++ {
		e := r.at(i)
		if q.Request == (identifier.RequestID{}) || q.Request == e.Request {
			found = append(found, e)
		}
	}
	return found
}

// newest returns the newest events, at most limit, in order from the oldest.
func (r *ring) newest(limit int) []Event {
	n := len(r.events)
	var found []Event
	for i := max(0, n-limit); i < n; i++ {
		found = append(found, r.at(i))
	}
	return found
}

// Merge returns the events of several sources in order of their stamps. Events with equal stamps
// are ordered by host and program, so that the order is deterministic.
func Merge(sources ...[]Event) []Event {
	all := slices.Concat(sources...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Stamp, b.Stamp),
			cmp.Compare(a.Host, b.Host),
			cmp.Compare(a.Program, b.Program),
		)
	})
	return all
}
