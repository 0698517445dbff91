// Package locator tracks backend servers that register by heartbeats. A Directory holds the servers
// that one keeper received heartbeats from. A Catalog merges the directories of several keepers and
// returns the servers that may receive requests. An OutlierDetector finds slow servers and a
// CrashTracker finds requests that crash servers, both from the observations of all docks.
package locator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// tombstoneTime is how long a server that has left is kept, so that a delayed heartbeat does
	// not add it again.
	tombstoneTime = 60 * time.Second
	// expiryTime is how long a server without heartbeats is kept.
	expiryTime = 30 * time.Second
	// restoredExpiryTime is how long a restored server without heartbeats is kept. It is shorter
	// than expiryTime because the server may have left while the keeper was down.
	restoredExpiryTime = 2500 * time.Millisecond
	// maxClockDifference bounds the difference between the clocks of a keeper and of a server.
	maxClockDifference = 5 * time.Second
	// coldTolerance is the change of the end of a server's cold time that docks need not know of. Heartbeats
	// arrive with different delays.
	coldTolerance = 500 * time.Millisecond
	// heartbeatsInSilence is the number of heartbeat intervals that fit into the time after which a
	// server is marked as silent.
	heartbeatsInSilence = 3
)

// Directory holds the servers that one keeper received heartbeats from. It is not safe for
// concurrent use.
type Directory struct {
	// silence is the time without heartbeats after which a server is marked as silent.
	silence   time.Duration
	entries   map[encoder.ServerID]*entry
	byAddress map[netip.AddrPort]encoder.ServerID
}

// entry is one server with the time of its last heartbeat, or of its end if it has left.
type entry struct {
	registration  encoder.Registration
	lastHeartbeat time.Time
	// knownSince is the time of the first heartbeat of this start, or zero if it is not known.
	knownSince time.Time
	coldUntil  time.Time
	// silentSince is the time of the last heartbeat of a silent server.
	silentSince time.Time
	// isRestored is set until the first heartbeat after the directory was restored.
	isRestored bool
}

// NewDirectory returns an empty Directory. Silence is the time without heartbeats after which a
// server is marked as silent.
func NewDirectory(silence time.Duration) *Directory {
	return &Directory{
		silence:   silence,
		entries:   map[encoder.ServerID]*entry{},
		byAddress: map[netip.AddrPort]encoder.ServerID{},
	}
}

// RecordHeartbeat records a heartbeat and returns the registrations that changed. It ignores
// heartbeats that are older than the recorded one. The state of one start never goes back, for
// example from draining to ready. A server that starts at the address of another one replaces it.
func (g *Directory) RecordHeartbeat(now time.Time, r encoder.Registration) []encoder.Registration {
	e := g.entries[r.ID]
	if e != nil && !isNewer(r, e.registration) {
		return nil
	}
	changed := []encoder.Registration{}
	if addressHolder := g.addressHolder(r); addressHolder != nil {
		if addressHolder.registration.Born >= r.Born {
			// The heartbeat was delayed, and another server has started at the address since.
			return nil
		}
		changed = append(changed, g.markReplaced(now, addressHolder))
	}
	if e != nil {
		g.releaseAddress(e.registration)
	}
	if e == nil || e.registration.Born < r.Born {
		e = &entry{knownSince: now}
		g.entries[r.ID] = e
	}
	before, wasColdFor := e.registration, max(0, e.coldUntil.Sub(now))
	if r.State < before.State {
		r.State = before.State
	}
	e.registration = r
	e.lastHeartbeat = now
	e.isRestored = false
	e.coldUntil = now.Add(r.Cold)
	if r.State != encoder.PresenceGone {
		g.byAddress[r.Address] = r.ID
	}
	if isUnchanged(before, r) && (r.Cold-wasColdFor).Abs() <= coldTolerance {
		return changed
	}
	return append(changed, e.registrationAt(now))
}

// Deregister marks a server as gone and returns the registrations that changed. It ignores the call
// if the server has started again since the start at born. If born is zero, the call names no start: it
// applies to the registered start if that is current, and otherwise to all that are certainly earlier
// than now. An unknown server is recorded as gone, so that its delayed heartbeats do not add it.
func (g *Directory) Deregister(now time.Time, id encoder.ServerID, born int64) []encoder.Registration {
	e := g.entries[id]
	isAnyStart := born == 0
	if isAnyStart {
		born = latestStart(now, e)
	}
	if e == nil {
		e = &entry{registration: encoder.Registration{ID: id}}
		g.entries[id] = e
	} else if !isDeparture(born, e.registration) {
		return nil
	}
	e.registration.Born = born
	e.registration.IsAnyStart = isAnyStart
	return []encoder.Registration{g.markLeft(now, e)}
}

// isDeparture reports whether the departure of the start at born changes a registration.
func isDeparture(born int64, known encoder.Registration) bool {
	return born > known.Born || born == known.Born && known.State != encoder.PresenceGone
}

// latestStart returns the latest start, in milliseconds of Unix time, to which a departure applies that
// names none. Unless the registered start is current, the server may have started again since, and may
// send its heartbeats to another keeper. e may be nil.
func latestStart(now time.Time, e *entry) int64 {
	earlier := now.Add(-maxClockDifference).UnixMilli()
	switch {
	case e == nil:
		return earlier
	case e.registration.State != encoder.PresenceGone && !e.registration.Silent && !e.isRestored:
		return e.registration.Born
	default:
		return max(e.registration.Born, earlier)
	}
}

// Sweep marks servers without heartbeats as silent, removes expired servers and tombstones, and
// returns the registrations that changed, ordered by ID.
func (g *Directory) Sweep(now time.Time) []encoder.Registration {
	changed := []encoder.Registration{}
	for id, e := range g.entries {
		sinceHeartbeat := now.Sub(e.lastHeartbeat)
		switch {
		case e.registration.State == encoder.PresenceGone:
			if sinceHeartbeat > tombstoneTime {
				delete(g.entries, id)
			}
		case sinceHeartbeat > expiryTime, e.isRestored && sinceHeartbeat > restoredExpiryTime:
			changed = append(changed, g.remove(now, e))
		case sinceHeartbeat > g.silence && !e.registration.Silent:
			e.registration.Silent = true
			e.recordEnd(g.silence / heartbeatsInSilence)
			changed = append(changed, e.registrationAt(now))
		}
	}
	slices.SortFunc(changed, func(a, b encoder.Registration) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// All returns all registrations, ordered by ID.
func (g *Directory) All(now time.Time) []encoder.Registration {
	all := []encoder.Registration{}
	for _, e := range g.entries {
		all = append(all, e.registrationAt(now))
	}
	slices.SortFunc(all, func(a, b encoder.Registration) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// addressHolder returns the other server that is registered at the address of a heartbeat, or nil
// if there is none.
func (g *Directory) addressHolder(r encoder.Registration) *entry {
	id, ok := g.byAddress[r.Address]
	if !ok || id == r.ID {
		return nil
	}
	return g.entries[id]
}

// markReplaced marks a server as gone that had not left when another one started at its address.
func (g *Directory) markReplaced(now time.Time, e *entry) encoder.Registration {
	e.registration.Silent = true
	e.recordEnd(min(now.Sub(e.lastHeartbeat), g.silence/heartbeatsInSilence))
	return g.markGone(now, e)
}

// recordEnd records how long after its last heartbeat a server has ended at the latest, unless the time
// of that heartbeat is not known.
func (e *entry) recordEnd(window time.Duration) {
	if e.isRestored {
		return
	}
	e.silentSince = e.lastHeartbeat
	e.registration.EndWindow = window
}

// markLeft marks a server as gone that has left, whether or not its heartbeats had ceased before.
func (g *Directory) markLeft(now time.Time, e *entry) encoder.Registration {
	e.registration.Silent = false
	e.registration.EndWindow = 0
	e.silentSince = time.Time{}
	return g.markGone(now, e)
}

// markGone marks a server as gone, releases its address and returns its registration.
func (g *Directory) markGone(now time.Time, e *entry) encoder.Registration {
	r := &e.registration
	r.State = encoder.PresenceGone
	e.lastHeartbeat = now
	g.releaseAddress(*r)
	return e.registrationAt(now)
}

// remove removes a server without heartbeats and returns its registration in the state
// PresenceLost. Unlike a server that is gone, it returns with its next heartbeat.
func (g *Directory) remove(now time.Time, e *entry) encoder.Registration {
	r := e.registrationAt(now)
	r.State = encoder.PresenceLost
	delete(g.entries, r.ID)
	g.releaseAddress(r)
	return r
}

// releaseAddress releases a server's address unless another server has been registered at it.
func (g *Directory) releaseAddress(r encoder.Registration) {
	if g.byAddress[r.Address] == r.ID {
		delete(g.byAddress, r.Address)
	}
}

// Restore adds the registrations that were saved before a restart. Servers that send no heartbeat
// within restoredExpiryTime are removed.
func (g *Directory) Restore(now time.Time, registrations []encoder.Registration) {
	for _, r := range registrations {
		e := &entry{registration: r, lastHeartbeat: now, isRestored: true, coldUntil: now.Add(r.Cold)}
		g.entries[r.ID] = e
		if r.State != encoder.PresenceGone {
			g.byAddress[r.Address] = r.ID
		}
	}
}

// registrationAt returns the registration with the remaining cold time and the time of silence at now.
func (e *entry) registrationAt(now time.Time) encoder.Registration {
	r := e.registration
	r.Cold = max(0, e.coldUntil.Sub(now))
	r.SilentFor = 0
	if r.Silent && !e.silentSince.IsZero() {
		r.SilentFor = now.Sub(e.silentSince)
	}
	return r
}

// isNewer reports whether a heartbeat is newer than the recorded registration of its server.
func isNewer(r, known encoder.Registration) bool {
	if r.Born != known.Born {
		return r.Born > known.Born
	}
	return r.Sequence > known.Sequence && known.State != encoder.PresenceGone
}

// isUnchanged reports whether two registrations of a server differ only in fields that change with
// every heartbeat.
func isUnchanged(a, b encoder.Registration) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	a.SilentFor, b.SilentFor = 0, 0
	a.EndWindow, b.EndWindow = 0, 0
	return a == b
}
