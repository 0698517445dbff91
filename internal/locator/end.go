package locator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// endTime is how long after its last heartbeat the end of a server is of interest.
const endTime = 30 * time.Second

// Start identifies one start of a server.
type Start struct {
	Server encoder.ServerID
	Born   int64
}

// End is what is known of the end of a server that had not left: it ended between two moments. Earliest is
// zero if it is not known.
type End struct {
	Start
	Earliest time.Time
	Latest   time.Time
}

// Ended returns the starts of servers that ended without leaving, as all keepers that report them say,
// ordered by server. Earlier ones than endTime ago are left out.
func (c *Catalog) Ended(now time.Time) []End {
	ends := map[encoder.ServerID]End{}
	alive := map[encoder.ServerID]int64{}
	left := map[encoder.ServerID]int64{}
	for _, r := range c.keepers {
		for id, h := range r.servers {
			switch {
			case h.hasLeft():
				left[id] = max(left[id], h.registration.Born)
				continue
			case h.hasEnded():
			case h.registration.State == encoder.PresenceGone:
				// The keeper was told of an end that another one saw.
				continue
			default:
				alive[id] = max(alive[id], h.registration.Born)
				continue
			}
			e := End{Start: Start{Server: id, Born: h.registration.Born}, Earliest: h.silentSince, Latest: h.silentSince.Add(h.registration.EndWindow)}
			known, ok := ends[id]
			if !ok || known.Born < e.Born || known.Born == e.Born && known.Earliest.Before(e.Earliest) {
				ends[id] = e
			}
		}
	}
	maps.DeleteFunc(c.restarted, func(_ encoder.ServerID, e End) bool { return now.Sub(e.Latest) > endTime })
	list := slices.Collect(maps.Values(c.restarted))
	for id, e := range ends {
		departed, ok := left[id]
		hasLeft := ok && departed >= e.Born
		if born, ok := alive[id]; (!ok || born != e.Born) && !hasLeft && now.Sub(e.Earliest) < endTime {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b End) int { return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born)) })
	return list
}

// recordRestart records that a server has started again under its ID, if it had not left before.
func (c *Catalog) recordRestart(now time.Time, before, after encoder.Registration) {
	if after.State == encoder.PresenceGone {
		// A departure that names no start covers later ones than the registered one.
		return
	}
	if before.Born < after.Born && before.State == encoder.PresenceReady && before.Born != 0 {
		c.restarted[before.ID] = End{Start: Start{Server: before.ID, Born: before.Born}, Latest: now}
	}
}

// hasLeft reports whether the keeper got the server's departure. A server that it took for gone because another
// one started at its address is silent.
func (h timedRegistration) hasLeft() bool {
	return h.registration.State == encoder.PresenceGone && !h.registration.Silent
}

// hasEnded reports whether the keeper saw the server's heartbeats cease, or another server at its
// address, though it had not left. A keeper of an older release does not say since when.
func (h timedRegistration) hasEnded() bool {
	return h.registration.Silent && h.registration.SilentFor > 0
}
