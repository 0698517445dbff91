package locator

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// MergeDeparture takes in what another keeper heard: a server is leaving or has left.
func (b *Registry) MergeDeparture(now time.Time, r encoder.Registration) []encoder.Registration {
	e := b.entries[r.ID]
	isNews := e == nil || e.registration.Born < r.Born ||
		e.registration.Born == r.Born && e.registration.State < r.State
	if !isNews {
		return nil
	}
	if e != nil {
		b.free(e.registration)
	}
	e = &entry{registration: r, heard: now}
	b.entries[r.ID] = e
	return []encoder.Registration{e.describe(now)}
}
