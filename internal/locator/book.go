// Package locator keeps track of backend servers that announce themselves by heartbeats. A
// Book holds what one keeper heard. A Catalog merges what several keepers heard and answers
// which servers take work.
package locator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// tombstoneTime is how long a server that has left is remembered, so that a heartbeat
	// that was delayed on its way does not bring it back.
	tombstoneTime = 60 * time.Second
	// forgetTime is how long a silent server is remembered.
	forgetTime = 30 * time.Second
	// restoredTime is how long a server is remembered that was restored and sends no
	// heartbeat: it may have left while nobody listened.
	restoredTime = 2500 * time.Millisecond
)

// Registry is what one keeper knows of the servers. It is not safe for concurrent use.
type Registry struct {
	// silence is how long a server may send no heartbeat before it counts as silent.
	silence   time.Duration
	entries   map[encoder.ServerID]*entry
	byAddress map[netip.AddrPort]encoder.ServerID
}

// entry is one server with the time of its last heartbeat.
type entry struct {
	registration encoder.Registration
	heard        time.Time
	coldUntil    time.Time
	// isRestored says that the server has sent no heartbeat since the book was restored.
	isRestored bool
}

// NewRegistry returns an empty Book.
func NewRegistry(silence time.Duration) *Registry {
	return &Registry{
		silence:   silence,
		entries:   map[encoder.ServerID]*entry{},
		byAddress: map[netip.AddrPort]encoder.ServerID{},
	}
}

// RecordHeartbeat takes in a heartbeat and returns the servers whose registration has changed.
func (b *Registry) RecordHeartbeat(now time.Time, r encoder.Registration) []encoder.Registration {
	e := b.entries[r.ID]
	if e != nil && !follows(r, e.registration) {
		return nil
	}
	changed := []encoder.Registration{}
	if holder := b.holder(r); holder != nil {
		if holder.registration.Born >= r.Born {
			// The heartbeat was on its way while another server started at the address.
			return nil
		}
		changed = append(changed, b.end(now, holder))
	}
	if e != nil {
		b.free(e.registration)
	}
	if e == nil || e.registration.Born < r.Born {
		e = &entry{}
		b.entries[r.ID] = e
	}
	before := e.registration
	if r.State < before.State {
		r.State = before.State
	}
	e.registration = r
	e.heard = now
	e.isRestored = false
	e.coldUntil = now.Add(r.Cold)
	if r.State != encoder.PresenceGone {
		b.byAddress[r.Address] = r.ID
	}
	if isSame(before, r) {
		return changed
	}
	return append(changed, e.describe(now))
}

// Deregister ends a server. A born of zero ends whichever start is known.
func (b *Registry) Deregister(now time.Time, id encoder.ServerID, born int64) []encoder.Registration {
	e := b.entries[id]
	if e == nil {
		e = &entry{registration: encoder.Registration{ID: id, Born: born}}
		b.entries[id] = e
	}
	if born != 0 && born < e.registration.Born || e.registration.State == encoder.PresenceGone {
		return nil
	}
	if born > e.registration.Born {
		e.registration.Born = born
	}
	return []encoder.Registration{b.end(now, e)}
}

// Sweep marks servers as silent, forgets those that left long ago, and returns the changed.
func (b *Registry) Sweep(now time.Time) []encoder.Registration {
	changed := []encoder.Registration{}
	for id, e := range b.entries {
		quiet := now.Sub(e.heard)
		switch {
		case e.registration.State == encoder.PresenceGone:
			if quiet > tombstoneTime {
				delete(b.entries, id)
			}
		case quiet > forgetTime, e.isRestored && quiet > restoredTime:
			changed = append(changed, b.forget(now, e))
		case quiet > b.silence && !e.registration.Silent:
			e.registration.Silent = true
			changed = append(changed, e.describe(now))
		}
	}
	slices.SortFunc(changed, func(a, b encoder.Registration) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// All returns all servers in the order of their IDs.
func (b *Registry) All(now time.Time) []encoder.Registration {
	all := []encoder.Registration{}
	for _, e := range b.entries {
		all = append(all, e.describe(now))
	}
	slices.SortFunc(all, func(a, b encoder.Registration) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// holder returns the other server that is known at the address of a heartbeat.
func (b *Registry) holder(r encoder.Registration) *entry {
	id, ok := b.byAddress[r.Address]
	if !ok || id == r.ID {
		return nil
	}
	return b.entries[id]
}

// end marks a server as gone.
func (b *Registry) end(now time.Time, e *entry) encoder.Registration {
	r := &e.registration
	r.State = encoder.PresenceGone
	e.heard = now
	b.free(*r)
	return e.describe(now)
}

// forget removes a server that was silent for long. It may come back.
func (b *Registry) forget(now time.Time, e *entry) encoder.Registration {
	r := e.describe(now)
	r.State = encoder.PresenceLost
	delete(b.entries, r.ID)
	b.free(r)
	return r
}

// free gives a server's address up, unless another server has it by now.
func (b *Registry) free(r encoder.Registration) {
	if b.byAddress[r.Address] == r.ID {
		delete(b.byAddress, r.Address)
	}
}

// Restore takes in what was known before a restart. The servers confirm themselves by their
// next heartbeats or are forgotten.
func (b *Registry) Restore(now time.Time, registrations []encoder.Registration) {
	for _, r := range registrations {
		e := &entry{registration: r, heard: now, isRestored: true, coldUntil: now.Add(r.Cold)}
		b.entries[r.ID] = e
		if r.State != encoder.PresenceGone {
			b.byAddress[r.Address] = r.ID
		}
	}
}

// describe returns the registration as of now.
func (e *entry) describe(now time.Time) encoder.Registration {
	r := e.registration
	r.Cold = max(0, e.coldUntil.Sub(now))
	return r
}

// follows tells whether a heartbeat is newer than what is known of its server.
func follows(r, known encoder.Registration) bool {
	if r.Born != known.Born {
		return r.Born > known.Born
	}
	return r.Sequence > known.Sequence && known.State != encoder.PresenceGone
}

// isSame tells whether two registrations of a server differ only in what all heartbeats
// change.
func isSame(a, b encoder.Registration) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	return a == b
}
