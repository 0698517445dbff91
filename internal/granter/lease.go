package granter

import "time"

const (
	// leaseTime is how long a leader may issue permits after it began to confirm its leadership with a
	// quorum. It is shorter than the 350 ms in which a voter that has heard from a leader elects no
	// other, less one tick of 25 ms. A leader that was paused for longer must confirm first.
	leaseTime = 250 * time.Millisecond
	// renewTime is the age from which a confirmation is renewed, before it ends.
	renewTime = 100 * time.Millisecond
)

// Lease is the time in which no other keeper can lead. The zero Lease has ended. It answers the load of a
// leader that was paused, suspended or cut off, and does not know yet that another keeper leads.
type Lease struct {
	start       Instant
	isConfirmed bool
}

// Confirm extends the lease: a quorum has confirmed the leadership in answer to messages that were sent at
// start or later.
func (l *Lease) Confirm(start Instant) {
	if !l.isConfirmed || start.Monotonic > l.start.Monotonic {
		*l = Lease{start: start, isConfirmed: true}
	}
}

// IsValid reports whether permits may be issued now.
func (l *Lease) IsValid(now Instant) bool { return l.isConfirmed && now.since(l.start) < leaseTime }

// IsRenewalDue reports whether the leadership should be confirmed again.
func (l *Lease) IsRenewalDue(now Instant) bool {
	return !l.isConfirmed || now.since(l.start) >= renewTime
}
