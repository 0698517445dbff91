// Package admitter performs admission control at the root, before anything is dispatched. It
// refuses requests that exceed the limits of their contract or that would wait too long in the
// queues of shard owners.
package admitter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/timekeeper"
)

//go:generate ../../bin/enumer -type Decision -transform snake -output decision_enumer.go

const (
	// minimumRetryAfter is the minimum time after which a refused caller should retry.
	minimumRetryAfter = 50 * time.Millisecond
	// rateBurst is the time whose worth of requests at the contract's rate may arrive at once.
	rateBurst = time.Second
	// deadlineShare is the part of a request's timeout that it may spend in queues. The rest is for
	// running.
	deadlineShare = 0.5
)

// Decision is the result of an admission check.
type Decision uint8

// Results of an admission check.
const (
	// Admitted requests may be dispatched. Release must be called when they end.
	Admitted Decision = iota
	// RateLimited requests exceed the contract's rate.
	RateLimited
	// ConcurrencyLimited requests exceed the contract's concurrency.
	ConcurrencyLimited
	// Overloaded requests would wait in queues for more than deadlineShare of their timeout.
	Overloaded
)

// contractKey identifies a contract.
type contractKey struct {
	caller    identifier.CallerName
	service   identifier.ServiceName
	operation identifier.OperationName
}

// usage is the state of one contract at this dock.
type usage struct {
	limiter *rate.Limiter
	// rate is this dock's share of the contract's rate, in requests per second, to which the
	// limiter is set.
	rate    float64
	running int
}

// delayReport is the last queueing delay that an owner reported for a service.
type delayReport struct {
	delay encoder.QueueDelay
	at    time.Time
}

// Admitter decides on the admission of requests. It is safe for concurrent use.
type Admitter struct {
	// Set at creation.
	clock timekeeper.Clock

	// Guarded by mutex.
	mutex   sync.Mutex
	usages  map[contractKey]*usage
	reports map[identifier.ServiceName]map[identifier.HostName]delayReport
}

// New returns an Admitter without running requests and reported delays.
func New(clock timekeeper.Clock) *Admitter {
	return &Admitter{
		clock:   clock,
		usages:  map[contractKey]*usage{},
		reports: map[identifier.ServiceName]map[identifier.HostName]delayReport{},
	}
}

// Admit decides on a request. Docks is the number of ready docks, among which the contract's rate
// is divided. Timeout is the request's timeout, of which it may spend deadlineShare in queues. If
// the request is refused, Admit also returns the time after which the caller may retry.
func (a *Admitter) Admit(c manifestreader.Contract, docks int, timeout time.Duration) (Decision, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	// The queueing delay is checked before the rate, so that a refused request consumes no token.
	wait := a.expectedDelay(c.Service, c.Urgency, now)
	if limit := time.Duration(deadlineShare * float64(timeout)); wait > limit {
		return Overloaded, max(wait-limit, minimumRetryAfter)
	}
	u := a.usage(c, docks)
	if u.running >= c.Concurrency {
		return ConcurrencyLimited, minimumRetryAfter
	}
	if !u.limiter.AllowN(now, 1) {
		return RateLimited, max(time.Duration(float64(time.Second)/u.rate), minimumRetryAfter)
	}
	u.running++
	return Admitted, 0
}

// Release records the end of an admitted request.
func (a *Admitter) Release(c manifestreader.Contract) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if u := a.usages[keyOf(c)]; u != nil && u.running > 0 {
		u.running--
	}
}

// Report records the queueing delay that an owner reported with a reply.
func (a *Admitter) Report(service identifier.ServiceName, owner identifier.HostName, delay encoder.QueueDelay) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	owners := a.reports[service]
	if owners == nil {
		owners = map[identifier.HostName]delayReport{}
		a.reports[service] = owners
	}
	owners[owner] = delayReport{delay: delay, at: a.clock.Now()}
}

// expectedDelay returns the longest queueing delay at any of the service's owners, because a query
// needs an answer from all of them. A reported delay decreases by its age, because queues drain in
// real time, and because refusals based on an old report would never lead to a new report.
func (a *Admitter) expectedDelay(service identifier.ServiceName, urgency manifestreader.Urgency, now time.Time) time.Duration {
	var longest time.Duration
	for owner, r := range a.reports[service] {
		delay := r.delay.Urgent
		if urgency == manifestreader.Routine {
			delay = r.delay.Routine
		}
		age := now.Sub(r.at)
		if max(r.delay.Urgent, r.delay.Routine) <= age {
			delete(a.reports[service], owner)
			continue
		}
		longest = max(longest, delay-age)
	}
	return longest
}

// usage returns the state of a contract, with the limiter set to this dock's share of the rate.
func (a *Admitter) usage(c manifestreader.Contract, docks int) *usage {
	key := keyOf(c)
	share := c.RatePerSecond / float64(max(docks, 1))
	burst := max(1, int(share*rateBurst.Seconds()))
	u := a.usages[key]
	if u == nil {
		u = &usage{limiter: rate.NewLimiter(rate.Limit(share), burst), rate: share}
		a.usages[key] = u
	}
	if u.rate != share {
		u.rate = share
		u.limiter.SetLimitAt(a.clock.Now(), rate.Limit(share))
		u.limiter.SetBurstAt(a.clock.Now(), burst)
	}
	return u
}

// keyOf returns the key of a contract.
func keyOf(c manifestreader.Contract) contractKey {
	return contractKey{c.Caller, c.Service, c.Operation}
}
