package selector

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// adjustInterval is the least time between two changes of the admitted share: about the
	// time after which the servers' reports show the effect of the last one.
	adjustInterval = 100 * time.Millisecond
	// decrease is what is left of the admitted share at each step while servers are congested.
	decrease = 0.7
	// increasePerSecond is by how much the share grows while they are not.
	increasePerSecond = 0.8
	// longestStep bounds the time that counts for one increase: much may have changed since.
	longestStep = 500 * time.Millisecond
	// leastShare is admitted however congested the servers are, so that their state is seen
	// and no kind of request starves.
	leastShare = 0.15
	// urgentQueue and routineQueue are the requests that wait for each slot of a server from
	// which on the server counts as congested. Routine work gives way first.
	urgentQueue  = 1.0
	routineQueue = 0.75
	// busyQueue is the queue for each slot from which on a server gets no hedges.
	busyQueue = 1.25
	// reportTime is how long a server's report counts as its present state.
	reportTime = 300 * time.Millisecond
	// congestedShare is the part of a request's services that must be congested: a few slow
	// servers are no reason to turn work away.
	congestedShare = 0.5
)

// Throttle decides which share of one kind of request is admitted. When more work arrives
// than the servers can do, all of it would be late: the throttle turns away so much that the
// rest is in time. It moves by additive increase and multiplicative decrease, so that hosts
// that see the same servers find their shares without talking.
type Throttle struct {
	share    float64
	credit   float64
	adjusted time.Time
}

// NewThrottle returns a throttle that admits everything.
func NewThrottle() *Throttle {
	return &Throttle{share: 1, credit: 1}
}

// Admit decides on one request. A request that was turned away before has waited longest: its
// chance to be turned away again is squared.
func (t *Throttle) Admit(now time.Time, isCongested, isReturn bool) bool {
	if since := now.Sub(t.adjusted); since >= adjustInterval {
		t.adjusted = now
		t.adjust(isCongested, min(since, longestStep))
	}
	share := t.share
	if isReturn {
		share = 1 - (1-share)*(1-share)
	}
	t.credit = min(2, t.credit+share)
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// Share returns the admitted share.
func (t *Throttle) Share() float64 { return t.share }

// adjust moves the share by one step, or by the time since the last one.
func (t *Throttle) adjust(isCongested bool, since time.Duration) {
	if isCongested {
		t.share = max(leastShare, t.share*decrease)
		return
	}
	t.share = min(1, t.share+increasePerSecond*since.Seconds())
}

// IsCongested tells whether at most of the services even the least loaded server has more
// waiting than it can answer in time.
func (s *Selector) IsCongested(now time.Time, services []identifier.ServiceName, isUrgent bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := routineQueue
	if isUrgent {
		limit = urgentQueue
	}
	congested := 0
	for _, name := range services {
		if s.leastQueue(now, name) >= limit {
			congested++
		}
	}
	return float64(congested) > congestedShare*float64(len(services))
}

// queue is the number of requests that wait at a server for each slot. A server that has not
// reported lately counts as free.
func (v *server) queue(now time.Time) float64 {
	if now.Sub(v.reportedAt) >= reportTime {
		return 0
	}
	return v.waiting
}

// leastQueue is the shortest queue for each slot among a service's servers.
func (s *Selector) leastQueue(now time.Time, service identifier.ServiceName) float64 {
	least := 0.0
	for i, v := range s.services[service] {
		queue := v.queue(now)
		if i == 0 || queue < least {
			least = queue
		}
	}
	return least
}
