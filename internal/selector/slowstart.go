package selector

import (
	"maps"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// recentStart is the age up to which a start counts as recent by the server's clock, which may
	// differ from this host's by as much.
	recentStart = 5 * time.Second
	// maxPaceEvents bounds the slow starts that are reported as events per paceEventInterval, because all
	// servers of a deployment may start at once.
	maxPaceEvents     = 20
	paceEventInterval = 10 * time.Second
)

// paceEvents counts the reported slow starts of an interval.
type paceEvents struct {
	began time.Time
	count int
}

// mayReport reports whether one more slow start may be reported, and counts it.
func (e *paceEvents) mayReport(now time.Time) bool {
	if now.Sub(e.began) >= paceEventInterval {
		e.began, e.count = now, 0
	}
	e.count++
	return e.count <= maxPaceEvents
}

// SetSlowStarts sets the services whose servers begin slowly after they have started or recovered.
func (s *Selector) SetSlowStarts(services map[identifier.ServiceName]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowStarts = maps.Clone(services)
}

// StartPaces begins the slow starts of the servers that have started or recovered. It is called after
// Update, so that the slow starts of servers that get no requests end in time.
func (s *Selector) StartPaces(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range s.servers {
		s.advancePace(now, v)
	}
}

// inheritPace prepares the slow start of a server. Before is its state until now, or nil if it was not
// known. The caller holds the lock.
func (v *server) inheritPace(before *server) {
	v.pendingPace = paceUnknown
	if before != nil {
		v.pace = before.pace
		v.pendingPace = paceStarted
	}
}

// markRecovered prepares a slow start of a server that was down or silent. One that was only slow
// has answered all the time, and its score follows its latency.
func (v *server) markRecovered() {
	if v.pendingPace == paceNone {
		v.pendingPace = paceRecovered
	}
}

// isCold reports whether the server says that it is cold.
func (v *server) isCold(now time.Time) bool { return now.Before(v.info.ColdUntil) }

// hasStartedRecently reports whether the server's start is recent.
func (v *server) hasStartedRecently(now time.Time) bool {
	return now.Sub(time.UnixMilli(v.info.Born)).Abs() <= recentStart
}

// advancePace begins a slow start that is pending, and lets one in progress grow or end. The caller holds
// the lock.
func (s *Selector) advancePace(now time.Time, v *server) {
	cause := v.pendingPace
	if cause == paceNone && !v.pace.isActive() {
		return
	}
	if !s.slowStarts[v.info.Service] {
		v.pace.stop(now)
		// Whether a server that has just become known has started recently is decided once its service is configured.
		if cause != paceUnknown {
			v.pendingPace = paceNone
		}
		return
	}
	v.pendingPace = paceNone
	if cause == paceUnknown {
		cause = paceNone
		if v.isCold(now) || v.hasStartedRecently(now) {
			cause = paceStarted
		}
	}
	if cause != paceNone {
		v.pace.begin(now, cause)
		v.hasStarted = v.hasStarted || cause == paceStarted
		if !v.pace.isLogged && s.paceEvents.mayReport(now) {
			v.pace.isLogged = true
			s.onServerEvent(ServerEvent{Kind: ServerSlowStart, Server: v.info.ID, Service: v.info.Service})
		}
	}
	if v.pace.grow(now, v.isCold(now), v.overdue(now) > 0) && v.pace.isLogged {
		v.pace.isLogged = false
		s.onServerEvent(ServerEvent{Kind: ServerFullPace, Server: v.info.ID, Service: v.info.Service})
	}
}

// isOverPace reports whether a server in slow start has as many requests in progress as it may have,
// those of other docks included.
func (v *server) isOverPace(now time.Time) bool {
	if !v.pace.isActive() {
		return false
	}
	others := v.otherLoad * float64(v.slots()) * decay(now.Sub(v.reportedAt), loadDecayTime)
	return float64(len(v.inFlight))+others > v.pace.window(v.slots())-1+loadTolerance
}

// chooseWithinPace returns the best server of a service, or the next best one if that is over its pace
// and another one can take the request. The caller holds the lock.
func (s *Selector) chooseWithinPace(now time.Time, service identifier.ServiceName, excluded []encoder.ServerID, usual time.Duration) (*server, float64) {
	for _, v := range s.services[service] {
		s.advancePace(now, v)
	}
	best, score := s.choose(now, service, excluded, usual)
	if best == nil || !best.pace.isActive() {
		return best, score
	}
	isOver := best.isOverPace(now)
	if !isOver && s.random.Float64() < best.pace.share {
		return best, score
	}
	unfit := slices.Clone(excluded)
	for _, v := range s.services[service] {
		if v == best || !s.canReplace(now, v, isOver) {
			unfit = append(unfit, v.info.ID)
		}
	}
	other, otherScore := s.choose(now, service, unfit, usual)
	if other == nil {
		return best, score
	}
	s.passedOver++
	return other, otherScore
}

// canReplace reports whether a server can take a request for which another one in slow start would be the
// best choice. If that one is over its pace, a server with a queue can take it too. The caller holds
// the lock.
func (s *Selector) canReplace(now time.Time, v *server, isOver bool) bool {
	if !v.isReachable(now) || v.isDown() || v.namesLimit(now) {
		return false
	}
	if v.pace.isActive() && (v.isOverPace(now) || s.random.Float64() >= v.pace.share) {
		return false
	}
	return isOver || v.queue(now) < busyQueue && v.overdue(now) == 0
}

// isStarting reports whether the server is in slow start because it has started.
func (v *server) isStarting() bool { return v.pace.cause == paceStarted }

// hasStarted reports whether a reachable server of a service has started since this dock knows the service.
// The caller holds the lock.
func (s *Selector) hasStarted(now time.Time, service identifier.ServiceName) bool {
	return slices.ContainsFunc(s.services[service], func(v *server) bool { return v.hasStarted && v.isReachable(now) && !v.isDown() })
}

// admissionQueue returns the waiting requests per slot that count for admission: the server's own
// report, or a full queue if it has just started and is over its pace.
func (v *server) admissionQueue(now time.Time) float64 {
	if v.isStarting() && v.isOverPace(now) {
		return max(v.queue(now), urgentQueueLimit)
	}
	return v.queue(now)
}

// mayConnect reports whether a connection may be opened to a server before requests need it. Of the docks
// only the share of a server's slow start does so. The caller holds the lock.
func (s *Selector) mayConnect(v *server) bool {
	return !v.pace.isActive() || s.random.Float64() < v.pace.share
}

// probeInterval returns the time between two probes of a server that is down, given the usual time. It is
// longer for one that has failed again soon after it was back.
func (v *server) probeInterval(usual time.Duration) time.Duration { return usual << v.pace.relapses }
