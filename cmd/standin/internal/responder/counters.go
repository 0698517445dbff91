package responder

import "sync"

// Counts are the counters of a backend server since the start of its process.
type Counts struct {
	Received  uint64 `json:"received"`
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	// CancelledWaiting and CancelledRunning count subrequests that were cancelled by their sender.
	CancelledWaiting uint64 `json:"cancelled_waiting"`
	CancelledRunning uint64 `json:"cancelled_running"`
	DeadlineWaiting  uint64 `json:"deadline_waiting"`
	DeadlineRunning  uint64 `json:"deadline_running"`
	Shed             uint64 `json:"shed"`
	VersionGone      uint64 `json:"version_gone"`
	// RefusedDraining counts subrequests that arrived while the server was draining. LateAfterDrain
	// counts those of them that arrived after the grace period.
	RefusedDraining uint64 `json:"refused_draining"`
	LateAfterDrain  uint64 `json:"late_after_drain"`
	Malformed       uint64 `json:"malformed"`
	Crashes         uint64 `json:"crashes"`

	Connections        int    `json:"connections"`
	MaximumConnections int    `json:"maximum_connections"`
	RefusedConnections uint64 `json:"refused_connections"`
	AcceptedTotal      uint64 `json:"accepted_total"`
	MaximumRunning     int    `json:"maximum_running"`

	// BusyNanoseconds is the total time that slots were occupied.
	BusyNanoseconds uint64 `json:"busy_nanoseconds"`
	// Violations counts violations of the server's own invariants.
	Violations uint64 `json:"violations"`
}

// Counters collects the counts of a server across its incarnations.
type Counters struct {
	mutex  sync.Mutex
	counts Counts
}

// Read returns a copy of the counts.
func (c *Counters) Read() Counts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts
}

// update changes the counts while it holds the mutex.
func (c *Counters) update(change func(*Counts)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.counts)
}

// observeRunning records the number of occupied slots and counts a violation if it is not within
// the limit.
func (c *Counters) observeRunning(running, limit int) {
	c.update(func(n *Counts) {
		n.MaximumRunning = max(n.MaximumRunning, running)
		if running > limit || running < 0 {
			n.Violations++
		}
	})
}

// Plus returns the sum of the counts of two servers. Maxima become the larger of the two.
func (c Counts) Plus(o Counts) Counts {
	c.Received += o.Received
	c.Started += o.Started
	c.Completed += o.Completed
	c.CancelledWaiting += o.CancelledWaiting
	c.CancelledRunning += o.CancelledRunning
	c.DeadlineWaiting += o.DeadlineWaiting
	c.DeadlineRunning += o.DeadlineRunning
	c.Shed += o.Shed
	c.VersionGone += o.VersionGone
	c.RefusedDraining += o.RefusedDraining
	c.LateAfterDrain += o.LateAfterDrain
	c.Malformed += o.Malformed
	c.Crashes += o.Crashes
	c.Connections += o.Connections
	c.MaximumConnections = max(c.MaximumConnections, o.MaximumConnections)
	c.RefusedConnections += o.RefusedConnections
	c.AcceptedTotal += o.AcceptedTotal
	c.MaximumRunning = max(c.MaximumRunning, o.MaximumRunning)
	c.BusyNanoseconds += o.BusyNanoseconds
	c.Violations += o.Violations
	return c
}
