package selector

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// adjustInterval is the minimum time between two changes of the admitted share. It is about the
	// time after which the servers' reports show the effect of the previous change.
	adjustInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the admitted share at each step while servers are congested.
	decreaseFactor = 0.7
	// increasePerSecond is added to the admitted share per second while servers are not congested.
	increasePerSecond = 0.8
	// maxStep bounds the time that counts for one increase, because the load may have changed
	// during a longer interval without requests.
	maxStep = 500 * time.Millisecond
	// minShare is admitted even if the servers stay congested, so that their state is still
	// observed and no kind of request starves.
	minShare = 0.15
	// urgentQueueLimit and routineQueueLimit are the numbers of waiting requests per slot at which
	// a server counts as congested for urgent and for routine requests. Routine requests have the
	// lower limit, so that they are shed first.
	urgentQueueLimit  = 1.0
	routineQueueLimit = 0.75
	// busyQueue is the number of waiting requests per slot from which a server gets no hedges.
	busyQueue = 1.25
	// maxReportAge is the age at which a server's report no longer counts as its present state.
	maxReportAge = 300 * time.Millisecond
	// congestedShare is the share of a request's services that must be exceeded by the congested
	// services before requests are refused, because a few slow servers are no reason to refuse any.
	congestedShare = 0.5
)

// Throttle decides which share of one kind of request is admitted. If more requests arrive than the
// servers can run, all of them would be late; the throttle refuses so many that the rest is
// answered in time. The share follows additive increase and multiplicative decrease, so that hosts
// that observe the same servers converge to similar shares without communicating. A Throttle is not
// safe for concurrent use.
type Throttle struct {
	share    float64
	credit   float64
	adjusted time.Time
}

// NewThrottle returns a Throttle that initially admits all requests.
func NewThrottle() *Throttle {
	return &Throttle{share: 1, credit: 1}
}

// Admit reports whether a request is admitted, and adjusts the share if the last adjustment is long
// enough ago. IsRetry is set if the caller retries a request that was refused before. Such a
// request has waited longest, so its probability of refusal is squared.
func (t *Throttle) Admit(now time.Time, isCongested, isRetry bool) bool {
	return t.AdmitWeighted(now, isCongested, Candidate{IsRetry: isRetry, Use: meanUse})
}

// update adjusts the share if the last adjustment is long enough ago.
func (t *Throttle) update(now time.Time, isCongested bool) {
	if since := now.Sub(t.adjusted); since >= adjustInterval {
		t.adjusted = now
		t.adjust(isCongested, min(since, maxStep))
	}
}

// shareOf returns the share of fresh requests or of retries that is admitted.
func (t *Throttle) shareOf(isRetry bool) float64 {
	if isRetry {
		return 1 - (1-t.share)*(1-t.share)
	}
	return t.share
}

// earn adds a request's share to the credit.
func (t *Throttle) earn(share float64) { t.credit = min(2, t.credit+share) }

// spend takes one request from the credit. It returns false if the credit is below least.
func (t *Throttle) spend(least float64) bool {
	if t.credit < least {
		return false
	}
	t.credit--
	return true
}

// Share returns the currently admitted share, at most 1.
func (t *Throttle) Share() float64 { return t.share }

// adjust decreases the share by one step, or increases it in proportion to the time since the last
// adjustment.
func (t *Throttle) adjust(isCongested bool, since time.Duration) {
	if isCongested {
		t.share = max(minShare, t.share*decreaseFactor)
		return
	}
	t.share = min(1, t.share+increasePerSecond*since.Seconds())
}

// IsCongested reports whether, for more than congestedShare of the services, even the server with
// the shortest queue has more waiting requests than it can answer in time.
func (s *Selector) IsCongested(now time.Time, services []identifier.ServiceName, isUrgent bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := routineQueueLimit
	if isUrgent {
		limit = urgentQueueLimit
	}
	congested := 0
	for _, name := range services {
		if s.shortestQueue(now, name) >= limit {
			congested++
		}
	}
	return float64(congested) > congestedShare*float64(len(services))
}

// queue returns the number of waiting requests per slot in the server's last report. It is zero if
// the server has not reported recently.
func (v *server) queue(now time.Time) float64 {
	if now.Sub(v.reportedAt) >= maxReportAge {
		return 0
	}
	return v.queueDepth
}

// shortestQueue returns the smallest number of waiting requests per slot among a service's servers,
// or zero if there are none. Servers that name a limit do not count, because they take only few of the
// requests however short their queues are. Those that cannot be reached do not count if another one
// has started, because all requests go to that one. The caller holds the lock.
func (s *Selector) shortestQueue(now time.Time, service identifier.ServiceName) float64 {
	shortest, isFirst := 0.0, true
	hasStarted := s.hasStarted(now, service)
	for _, v := range s.services[service] {
		s.advancePace(now, v)
		if v.namesLimit(now) || hasStarted && (!v.isReachable(now) || v.isDown()) {
			continue
		}
		queue := v.admissionQueue(now)
		if isFirst || queue < shortest {
			shortest, isFirst = queue, false
		}
	}
	return shortest
}
