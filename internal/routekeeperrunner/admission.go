package routekeeperrunner

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/recorder"
)

// outsideGrace is how long a keeper that is outside of the group records heartbeats, so that the servers are
// known when it joins. It exceeds the time that a group takes to form.
const outsideGrace = 5 * time.Second

// admission decides whether a keeper acknowledges what servers say. Docks hear only from members of the
// group, so that the servers of a keeper outside of it would be lost, and their departures have no effect. It
// is safe for concurrent use.
type admission struct {
	log zerolog.Logger

	// Guarded by mutex. outsideSince is when the keeper was first found outside of the group, or zero.
	mutex        sync.Mutex
	outsideSince time.Time
	isRefusing   bool
}

// admits reports whether to acknowledge a server's message at now. A server that is not acknowledged calls
// another keeper. isMember is whether this keeper is in the group, and isDeparture whether the server
// leaves.
func (a *admission) admits(now time.Time, isMember, isDeparture bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if isMember {
		a.outsideSince = time.Time{}
		a.isRefusing = false
		return true
	}
	if a.outsideSince.IsZero() {
		a.outsideSince = now
	}
	outsideFor := now.Sub(a.outsideSince)
	if !isDeparture && outsideFor < outsideGrace {
		return true
	}
	if !a.isRefusing {
		a.isRefusing = true
		a.log.Warn().Dur(recorder.FieldElapsed, outsideFor).Msg(recorder.EventKeeperOutside)
	}
	return false
}

// isMember reports whether this keeper is in the group: it is a voter, or it follows a leader as a learner.
func (k *Keeper) isMember() bool {
	s := k.replicator.Status()
	return s.IsVoter || s.Leader.Name != ""
}
