package selector

import (
	"math"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/limiter"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// ewmaWeight is the weight of a new observation in the moving averages of slowness and
	// failures.
	ewmaWeight = 0.25
	// observationDecayTime is the time constant with which slowness and failure rate decay without
	// an observation, so that the server is tried again. After this time their weight is 1/e, about
	// a third.
	observationDecayTime = 2 * time.Second
	// loadDecayTime is the time constant with which a server's own report of its load decays.
	loadDecayTime = 100 * time.Millisecond
	// latencySlack is added to latencies before they are compared, because a host that waits for its
	// processor is late by some milliseconds with an answer of any server.
	latencySlack = 5 * time.Millisecond
	// coldFactor multiplies the score of a server that has just started.
	coldFactor = 1.6
	// failureFactor weights the failure rate: the score of a server whose requests all fail is
	// multiplied by 1 + failureFactor.
	failureFactor = 8
	// stallFactor is the multiple of the usual latency beyond which an outstanding request counts
	// as overdue.
	stallFactor = 2.5
	// initialBlock and maxBlock bound the time for which a server that cannot be reached gets no
	// requests while other servers can.
	initialBlock = 100 * time.Millisecond
	maxBlock     = 2 * time.Second
	// initialReplaced and maxReplaced bound the time for which a server gets no requests at all after
	// another one has replied at its address. A later start that the keepers tell of gets them at once.
	initialReplaced = 5 * time.Second
	maxReplaced     = time.Minute
	// overCapInterval is the least time between two reports that a server resets new connections.
	overCapInterval = 5 * time.Second
	// downFailures is the number of consecutive connection failures after which a server counts as
	// unreachable.
	downFailures = 2
)

// server is the state of one server as this host sees it.
type server struct {
	info locator.Server
	// inFlight holds the requests that this host sent to the server and that have not ended.
	inFlight []*InFlightRequest
	// slowness is the moving average of the latency as a multiple of the usual latency. It is zero
	// before the first observation.
	slowness float64
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	observed    time.Time
	// otherLoad is the number of requests of other hosts that the server last reported, per slot.
	otherLoad float64
	// queueDepth is the number of requests waiting at the server in its last report, per slot.
	queueDepth float64
	reportedAt time.Time
	// pace is how long work took at the server in its last report.
	pace pace
	// blockedUntil is the end of the time in which the server gets no requests because connecting
	// to it failed. connectFailures counts consecutive failures to connect, and probedAt is when a probe
	// of a server that is down began last.
	blockedUntil time.Time
	probedAt     time.Time
	// replacedUntil is the end of the time in which the server gets no requests at all because another
	// server replied at its address. replacedFor is how long that time was.
	replacedUntil   time.Time
	replacedFor     time.Duration
	connectFailures int
	// overCapAt is when it was last reported that the server resets new connections.
	overCapAt time.Time
	// limit is what the server last said of the requests that it takes.
	limit limiter.Statement
	// isLimitUnreported is set while the leading keeper has not been told of the limit. refused counts
	// the requests that were refused because of it since the last report.
	isLimitUnreported bool
	refused           int
	// tokenAt is when the server's next token is available, and backlog the time that it needs for the
	// requests that were refused lately.
	tokenAt time.Time
	backlog time.Duration
	// isOutsideSubset is set for servers to which this host does not plan to hold connections.
	isOutsideSubset bool
}

// InFlightRequest is a request that was sent to a server and has not ended. Usual is the median
// latency of such requests, with the round trip if that is long, or zero if unknown.
type InFlightRequest struct {
	server  *server
	started time.Time
	usual   time.Duration
}

// score returns the expected latency of a further request as a multiple of the usual latency.
// SlowRatio is the multiple that the docks together found, or zero if the server is not slow.
func (v *server) score(now time.Time, slowRatio float64) float64 {
	weight := decay(now.Sub(v.observed), observationDecayTime)
	slowness := 1 + (v.currentSlowness()-1)*weight
	score := max(0.2, slowness, slowRatio) * (1 + failureFactor*v.failureRate*weight)
	queue := float64(len(v.inFlight))/float64(v.slots()) + v.otherLoad*decay(now.Sub(v.reportedAt), loadDecayTime)
	score *= (1 + queue) * v.pace.factor(now)
	score += v.overdue(now)
	if now.Before(v.info.ColdUntil) {
		score *= coldFactor
	}
	if v.isDown() || now.Before(v.blockedUntil) {
		score *= blockedFactor
	}
	if v.info.Silent {
		score *= silentFactor
	}
	return score
}

// overdue returns by how many times its usual latency the most delayed in-flight request exceeds
// stallFactor, or zero if none does.
func (v *server) overdue(now time.Time) float64 {
	worst := 0.0
	for _, f := range v.inFlight {
		if f.usual > 0 {
			worst = max(worst, float64(now.Sub(f.started))/float64(f.usual)-stallFactor)
		}
	}
	return worst
}

// currentSlowness returns the slowness, or 1 before the first observation.
func (v *server) currentSlowness() float64 {
	if v.slowness == 0 {
		return 1
	}
	return v.slowness
}

// age returns the time since the server was last observed, or a negative time if it never was.
func (v *server) age(now time.Time) time.Duration {
	if v.observed.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(v.observed)
}

// slots returns the number of requests that the server runs concurrently, and 1 if it is unknown.
func (v *server) slots() int { return max(1, v.info.Slots) }

// isReplaced reports whether another server replied at the server's address lately.
func (v *server) isReplaced(now time.Time) bool { return now.Before(v.replacedUntil) }

// isDown reports whether connecting to the server failed several times in a row, and it has not been
// reached since.
func (v *server) isDown() bool { return v.connectFailures >= downFailures }

// isUnreachable reports whether another server has its address or the server is down.
func (v *server) isUnreachable(now time.Time) bool { return v.isReplaced(now) || v.isDown() }

// decay returns the weight of an observation of the given age.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// Begin records that a request is sent to a server. Usual is the median latency of such requests,
// or zero if unknown. The caller must end the request with Answered, Lost or Cancelled.
func (s *Selector) Begin(now time.Time, id encoder.ServerID, usual time.Duration) *InFlightRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := &InFlightRequest{server: s.servers[id], started: now, usual: usual}
	if f.server != nil {
		if usual > 0 {
			// Otherwise a server would seem slow because of the link to it.
			f.usual += s.longRoundTrip(f.server.info.Domain)
		}
		f.server.inFlight = append(f.server.inFlight, f)
	}
	return f
}

// Load is the load that a server reports: its running and waiting requests, and the number of
// requests that it runs concurrently. Pace is how long work takes there now, as a multiple of the usual
// time, or zero if unknown.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64
}

// Replaced ends a request to which another server replied, which has the chosen one's address. What that
// server says of itself is no observation of the chosen one.
func (s *Selector) Replaced(now time.Time, f *InFlightRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastAnswer = now
	v := f.remove()
	if v == nil {
		return
	}
	v.replacedFor = min(max(initialReplaced, 2*v.replacedFor), maxReplaced)
	v.replacedUntil = now.Add(v.replacedFor)
	s.onServerEvent(ServerEvent{Kind: ServerReplaced, Server: v.info.ID, Service: v.info.Service})
}

// Answered records that a server answered a request, and returns the time since Begin. IsFailure is
// set if the answer is an error that is of no use to the caller. Load is nil if the server reported
// none.
func (s *Selector) Answered(now time.Time, f *InFlightRequest, isFailure bool, load *Load) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := now.Sub(f.started)
	s.lastAnswer = now
	v := f.remove()
	if v == nil {
		return elapsed
	}
	// A refusal by a server with a full queue is evidence of its load, not of its speed.
	isFull := load != nil && load.Waiting >= load.Slots
	if !isFailure || !isFull {
		s.record(f, elapsed, isFailure)
	}
	s.markReached(v)
	v.replacedFor = 0
	v.observe(now, isFailure)
	if !isFailure && f.usual > 0 {
		ratio := relativeLatency(elapsed, f.usual)
		v.slowness = v.currentSlowness() + ewmaWeight*(ratio-v.currentSlowness())
	}
	if load != nil && load.Slots > 0 {
		v.applyLoad(now, *load)
	}
	return elapsed
}

// relativeLatency returns a latency as a multiple of the usual one.
func relativeLatency(elapsed, usual time.Duration) float64 {
	return float64(elapsed+latencySlack) / float64(usual+latencySlack)
}

// applyLoad updates the state with a server's report of its load.
func (v *server) applyLoad(now time.Time, load Load) {
	others := load.Running + load.Waiting - len(v.inFlight)
	v.otherLoad = max(0, float64(others)) / float64(load.Slots)
	v.queueDepth = float64(load.Waiting) / float64(load.Slots)
	v.reportedAt = now
	v.pace = pace{ratio: load.Pace, at: now}
}

// Lost records that a request ended without an answer. IsUnreachable is set if no connection to the
// server could be opened; the server is then blocked for a time that doubles with each such
// failure, up to maxBlock.
func (s *Selector) Lost(now time.Time, f *InFlightRequest, isUnreachable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := f.remove()
	if v == nil {
		return
	}
	s.lastSilence = now
	s.record(f, now.Sub(f.started), true)
	v.observe(now, true)
	if isUnreachable {
		block := min(maxBlock, initialBlock<<min(v.connectFailures, 10))
		v.connectFailures++
		if v.connectFailures == downFailures {
			s.onServerEvent(ServerEvent{Kind: ServerUnreachable, Server: v.info.ID, Service: v.info.Service, Failures: v.connectFailures})
		}
		v.blockedUntil = now.Add(block)
	}
}

// OverCap records that a request ended without an answer because the server accepts no further connection.
// IsBlocked is set if this host has no other connection to it, so that requests had better go elsewhere.
func (s *Selector) OverCap(now time.Time, f *InFlightRequest, isBlocked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := f.remove()
	if v == nil {
		return
	}
	if isBlocked {
		v.blockedUntil = now.Add(initialBlock)
	}
	if now.Sub(v.overCapAt) >= overCapInterval {
		v.overCapAt = now
		s.onServerEvent(ServerEvent{Kind: ServerOverCap, Server: v.info.ID, Service: v.info.Service})
	}
}

// Cancelled records that the caller cancelled a request. A request that already took longer than
// usual counts as an observation of a slow server.
func (s *Selector) Cancelled(now time.Time, f *InFlightRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := f.remove()
	if v == nil || f.usual <= 0 {
		return
	}
	elapsed := now.Sub(f.started)
	if float64(elapsed) >= slowRatio*float64(f.usual) {
		s.lastSilence = now
		s.record(f, elapsed, false)
	}
	if ratio := relativeLatency(elapsed, f.usual); ratio > v.currentSlowness() {
		v.slowness = v.currentSlowness() + ewmaWeight*(ratio-v.currentSlowness())
		v.observe(now, false)
	}
}

// observe decays the averages to the present and updates the failure rate.
func (v *server) observe(now time.Time, isFailure bool) {
	observation := 0.0
	if isFailure {
		observation = 1
	}
	weight := decay(now.Sub(v.observed), observationDecayTime)
	v.slowness = 1 + (v.currentSlowness()-1)*weight
	v.failureRate *= weight
	v.failureRate += ewmaWeight * (observation - v.failureRate)
	v.observed = now
}

// remove removes the request from its server and returns the server, or nil if the server was
// unknown at Begin.
func (f *InFlightRequest) remove() *server {
	if f.server == nil {
		return nil
	}
	inFlight := f.server.inFlight
	for i, other := range inFlight {
		if other == f {
			f.server.inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
			break
		}
	}
	return f.server
}
