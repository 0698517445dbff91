package locator

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// MergeDeparture records a departure that another keeper received: the server is draining or has
// left. It returns the registration if it changed.
func (g *Directory) MergeDeparture(now time.Time, r encoder.Registration) []encoder.Registration {
	e := g.entries[r.ID]
	isChange := e == nil || e.registration.Born < r.Born ||
		e.registration.Born == r.Born && e.registration.State < r.State
	if !isChange {
		return nil
	}
	if e != nil {
		g.releaseAddress(e.registration)
	}
	e = &entry{registration: r, lastHeartbeat: now}
	g.entries[r.ID] = e
	return []encoder.Registration{e.registrationAt(now)}
}
