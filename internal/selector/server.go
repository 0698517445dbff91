package selector

import (
	"math"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

const (
	// slownessGain is the weight of a new observation.
	slownessGain = 0.25
	// forgetTime is after how long without an observation a server's slowness and failures
	// count for a third, so that it is tried again.
	forgetTime = 2 * time.Second
	// loadTime is after how long a server's own report of its load counts for a third.
	loadTime = 100 * time.Millisecond
	// coldFactor is what a server that has just started scores more.
	coldFactor = 1.6
	// failureFactor is what a server scores more if all of its requests fail.
	failureFactor = 8
	// stallFactor is how many times the usual latency a request may be outstanding before
	// its server counts as stalled.
	stallFactor = 2.5
	// firstBlock and longestBlock bound for how long a server that cannot be reached gets
	// no requests while others can.
	firstBlock   = 100 * time.Millisecond
	longestBlock = 2 * time.Second
	// downBlocks is how many failures to reach a server in a row make it count as down.
	downBlocks = 2
)

// server is what this host has seen of one server.
type server struct {
	info locator.Server
	// flights are the requests that are outstanding here.
	flights []*InFlightRequest
	// slowness is the usual latency here as a multiple of the service's.
	slowness float64
	// failures is the share of requests that failed.
	failures float64
	observed time.Time
	// queued is the server's word of its requests less those of this host, per slot.
	queued float64
	// waiting is the number of requests that wait there for each slot.
	waiting    float64
	reportedAt time.Time
	// blockedUntil ends the time without requests after blocks failures to reach it.
	blockedUntil time.Time
	blocks       int
	// isAway is set for servers that this host holds no connections to by plan.
	isAway bool
}

// InFlightRequest is one request that is outstanding at a server.
type InFlightRequest struct {
	server  *server
	started time.Time
	usual   time.Duration
}

// score is the expected latency of a further request in multiples of the usual. Verdict is
// what all docks together found, or zero.
func (v *server) score(now time.Time, verdict float64) float64 {
	weight := fade(now.Sub(v.observed), forgetTime)
	slowness := 1 + (v.currentSlowness()-1)*weight
	score := max(0.2, slowness, verdict) * (1 + failureFactor*v.failures*weight)
	queue := float64(len(v.flights))/float64(v.slots()) + v.queued*fade(now.Sub(v.reportedAt), loadTime)
	score *= 1 + queue
	score += v.stall(now)
	if now.Before(v.info.ColdUntil) {
		score *= coldFactor
	}
	if now.Before(v.blockedUntil) {
		score *= blockedFactor
	}
	if v.info.Silent {
		score *= silentFactor
	}
	return score
}

// stall is by how many times the usual latency the oldest outstanding request is overdue.
func (v *server) stall(now time.Time) float64 {
	worst := 0.0
	for _, f := range v.flights {
		if f.usual > 0 {
			worst = max(worst, float64(now.Sub(f.started))/float64(f.usual)-stallFactor)
		}
	}
	return worst
}

// currentSlowness is the slowness, or 1 before the first observation.
func (v *server) currentSlowness() float64 {
	if v.slowness == 0 {
		return 1
	}
	return v.slowness
}

// age is how long ago the server was last observed. It is negative if it never was.
func (v *server) age(now time.Time) time.Duration {
	if v.observed.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(v.observed)
}

// slots is the number of requests that the server runs at once.
func (v *server) slots() int { return max(1, v.info.Slots) }

// isDown tells whether the server could not be reached several times in a row.
func (v *server) isDown(now time.Time) bool {
	return v.blocks >= downBlocks && now.Before(v.blockedUntil)
}

// fade is the weight of an observation of some age.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// Begin notes a request that is sent to a server. Usual is the usual latency of its kind.
func (s *Selector) Begin(now time.Time, id encoder.ServerID, usual time.Duration) *InFlightRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := &InFlightRequest{server: s.servers[id], started: now, usual: usual}
	if f.server != nil {
		f.server.flights = append(f.server.flights, f)
	}
	return f
}

// Load is what a server says of its requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answered notes that a server answered a request, and returns after which time. A failure is
// an answer that is no use.
func (s *Selector) Answered(now time.Time, f *InFlightRequest, isFailure bool, load *Load) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := now.Sub(f.started)
	v := f.end()
	if v == nil {
		return elapsed
	}
	// What a full server turned away tells how much it has to do, not how slow it is.
	isFull := load != nil && load.Waiting >= load.Slots
	if !isFailure || !isFull {
		s.record(f, elapsed, isFailure)
	}
	if v.blocks >= downBlocks {
		s.believe(ServerEvent{Kind: ServerReachable, Server: v.info.ID, Service: v.info.Service})
	}
	v.blocks = 0
	v.blockedUntil = time.Time{}
	v.observe(now, isFailure)
	if !isFailure && f.usual > 0 {
		ratio := float64(elapsed) / float64(f.usual)
		v.slowness = v.currentSlowness() + slownessGain*(ratio-v.currentSlowness())
	}
	if load != nil && load.Slots > 0 {
		v.report(now, *load)
	}
	return elapsed
}

// report takes in a server's word of its requests.
func (v *server) report(now time.Time, load Load) {
	others := load.Running + load.Waiting - len(v.flights)
	v.queued = max(0, float64(others)) / float64(load.Slots)
	v.waiting = float64(load.Waiting) / float64(load.Slots)
	v.reportedAt = now
}

// Lost notes that a request ended without an answer. IsUnreachable says that the server
// could not be connected to.
func (s *Selector) Lost(now time.Time, f *InFlightRequest, isUnreachable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := f.end()
	if v == nil {
		return
	}
	s.record(f, now.Sub(f.started), true)
	v.observe(now, true)
	if isUnreachable {
		pause := min(longestBlock, firstBlock<<min(v.blocks, 10))
		v.blocks++
		if v.blocks == downBlocks {
			s.believe(ServerEvent{Kind: ServerUnreachable, Server: v.info.ID, Service: v.info.Service, Failures: v.blocks})
		}
		v.blockedUntil = now.Add(pause)
	}
}

// Cancelled notes that a request was given up. If it took longer than usual that is an
// observation, too.
func (s *Selector) Cancelled(now time.Time, f *InFlightRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := f.end()
	if v == nil || f.usual <= 0 {
		return
	}
	ratio := float64(now.Sub(f.started)) / float64(f.usual)
	if ratio >= slowRatio {
		s.record(f, now.Sub(f.started), false)
	}
	if ratio > v.currentSlowness() {
		v.slowness = v.currentSlowness() + slownessGain*(ratio-v.currentSlowness())
		v.observe(now, false)
	}
}

// observe moves the share of failures.
func (v *server) observe(now time.Time, isFailure bool) {
	observation := 0.0
	if isFailure {
		observation = 1
	}
	weight := fade(now.Sub(v.observed), forgetTime)
	v.slowness = 1 + (v.currentSlowness()-1)*weight
	v.failures *= weight
	v.failures += slownessGain * (observation - v.failures)
	v.observed = now
}

// end removes the flight from its server and returns that, or nil if it was not known.
func (f *InFlightRequest) end() *server {
	if f.server == nil {
		return nil
	}
	flights := f.server.flights
	for i, other := range flights {
		if other == f {
			f.server.flights = append(flights[:i:i], flights[i+1:]...)
			break
		}
	}
	return f.server
}
