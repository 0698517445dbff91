// Package monitor decides whether this dock has lost its links to the backend servers, as opposed to
// servers that have failed. Only links to all servers count: a dock that can reach some of them is
// attached. It performs no I/O: its callers report what requests and probes meet.
package monitor

import (
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// SilenceTime is how long no server may answer, while requests wait, before the dock is suspected
	// to be cut off. It is longer than the pauses of single servers.
	SilenceTime = 200 * time.Millisecond
	// suspectServers is the number of different servers that must be silent, or refuse connections.
	suspectServers = 2
	// failureTime is how long a failure to connect counts.
	failureTime = 2 * time.Second
	// verificationTime is how long the dock is not suspected again after a probe has reached a server.
	verificationTime = 500 * time.Millisecond
	// returnServers is the number of servers that a round of probes must reach before a dock that was
	// cut off counts as attached again.
	returnServers = 2
)

// Monitor holds the evidence on the links of this dock. It is safe for concurrent use.
type Monitor struct {
	// Guarded by mutex.
	mutex sync.Mutex
	// isDetached is set while the dock cannot reach any server.
	isDetached bool
	// waiting holds the servers that got a request since a server answered last, with the time of the
	// first one.
	waiting map[encoder.ServerID]time.Time
	// failed holds the servers to which a connection failed since one was opened last.
	failed map[encoder.ServerID]time.Time
	// reachedAt is when a server last answered or accepted a connection, and verifiedAt when a probe
	// last reached one.
	reachedAt  time.Time
	verifiedAt time.Time
}

// New returns a Monitor of an attached dock.
func New() *Monitor {
	return &Monitor{waiting: map[encoder.ServerID]time.Time{}, failed: map[encoder.ServerID]time.Time{}}
}

// Sent records that a request is being sent to a server.
func (m *Monitor) Sent(now time.Time, server encoder.ServerID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, ok := m.waiting[server]; !ok {
		m.waiting[server] = now
	}
}

// Answered records that a server answered a request.
func (m *Monitor) Answered(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.waiting)
	m.reachedAt = now
}

// ConnectionFailed records that no connection to a server could be opened, or that one broke.
func (m *Monitor) ConnectionFailed(now time.Time, server encoder.ServerID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failed[server] = now
}

// IsSuspect reports whether the dock may be cut off, so that servers must be probed.
func (m *Monitor) IsSuspect(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.isDetached || now.Sub(m.verifiedAt) < verificationTime {
		return false
	}
	return m.countSilent(now) >= suspectServers || m.countFailed(now) >= suspectServers
}

// IsWaiting reports whether a server has not answered a request yet, or refused a connection lately,
// so that IsSuspect may become true as time passes.
func (m *Monitor) IsWaiting(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.waiting) >= suspectServers || m.countFailed(now) >= suspectServers
}

// countSilent returns the number of servers that have been silent for SilenceTime. The caller holds
// the lock.
func (m *Monitor) countSilent(now time.Time) int {
	n := 0
	for _, since := range m.waiting {
		if now.Sub(since) >= SilenceTime {
			n++
		}
	}
	return n
}

// countFailed returns the number of servers that connections failed to lately. The caller holds the
// lock.
func (m *Monitor) countFailed(now time.Time) int {
	for id, at := range m.failed {
		if now.Sub(at) >= failureTime {
			delete(m.failed, id)
		}
	}
	return len(m.failed)
}

// Probed records how many servers a round of probes tried and reached. It reports whether that
// detached the dock or attached it again.
func (m *Monitor) Probed(now time.Time, tried, reached int) (hasChanged bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if tried == 0 {
		return false
	}
	if reached > 0 {
		m.reachedAt = now
	}
	wasDetached := m.isDetached
	if wasDetached {
		m.isDetached = reached < min(returnServers, tried)
	} else {
		m.isDetached = reached == 0
	}
	if !m.isDetached {
		clear(m.waiting)
		clear(m.failed)
		m.verifiedAt = now
	}
	return m.isDetached != wasDetached
}

// IsDetached reports whether the dock cannot reach any server.
func (m *Monitor) IsDetached() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isDetached
}

// HasReachedSince reports whether a server was reached after a moment, so that a failure at that
// moment was not due to the links of this dock.
func (m *Monitor) HasReachedSince(at time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reachedAt.After(at)
}
