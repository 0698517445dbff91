package locator

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// departureDelay bounds the time that a departure takes from one keeper to another.
const departureDelay = time.Second

// MergeDeparture records a departure that another keeper or a dock received: the server is draining or
// has left. It returns the registration if it changed.
func (g *Directory) MergeDeparture(now time.Time, r encoder.Registration) []encoder.Registration {
	e := g.entries[r.ID]
	if e != nil && namesNoStart(r) {
		return g.mergeAnyStart(now, r, e)
	}
	isChange := e == nil || e.registration.Born < r.Born ||
		e.registration.Born == r.Born && e.registration.State < r.State
	if !isChange {
		return nil
	}
	if e != nil {
		g.releaseAddress(e.registration)
	}
	e = &entry{registration: r, lastHeartbeat: now, knownSince: now}
	g.entries[r.ID] = e
	return []encoder.Registration{e.registrationAt(now)}
}

// namesNoStart reports whether a departure names no start of its server. A keeper of an older release
// then sends nothing but the server's ID, and only for a server that it does not know.
func namesNoStart(r encoder.Registration) bool {
	return r.IsAnyStart || r.State == encoder.PresenceGone && r.Born == 0 && r.Service == ""
}

// mergeAnyStart marks a registered server as gone whose departure names no start, unless it may have
// started after the departure.
func (g *Directory) mergeAnyStart(now time.Time, r encoder.Registration, e *entry) []encoder.Registration {
	isLater := e.registration.Born > r.Born && now.Sub(e.knownSince) < departureDelay
	if isLater || e.registration.State == encoder.PresenceGone {
		return nil
	}
	return []encoder.Registration{g.markLeft(now, e)}
}

// HasDeparted reports whether any keeper reports that a start of a server leaves or has left, or that the
// server has started again since, or whether no keeper reports the server any more.
func (c *Catalog) HasDeparted(start Start) bool {
	isListed := false
	for _, r := range c.keepers {
		h, ok := r.servers[start.Server]
		if !ok {
			continue
		}
		known := h.registration
		if known.Born > start.Born || known.Born == start.Born && known.State != encoder.PresenceReady {
			return true
		}
		isListed = true
	}
	return !isListed
}
