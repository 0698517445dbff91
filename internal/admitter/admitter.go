// Package admitter decides at the root, before anything is dispatched, whether a request
// can be taken: by the limits of its contract and by the queueing delay that owners report.
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
	// minimumRetryAfter is the least time that a refused caller is told to wait.
	minimumRetryAfter = 50 * time.Millisecond
	// rateBurst is the time's worth of requests that may arrive at once.
	rateBurst = time.Second
	// deadlineShare is the part of a request's time that waiting in queues may take. The
	// rest is for running.
	deadlineShare = 0.5
)

// Decision is the result of an admission check.
type Decision uint8

// Verdicts.
const (
	// Admitted requests may be dispatched; Release must be called when they end.
	Admitted Decision = iota
	// RateLimited requests exceed the contract's rate.
	RateLimited
	// ConcurrencyLimited requests exceed the contract's concurrency.
	ConcurrencyLimited
	// Overloaded requests would wait in queues for too much of their time.
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
	// rate is the share of the contract's rate that limiter was set to.
	rate    float64
	running int
}

// delayReport is the last queueing delay that one owner reported for a service.
type delayReport struct {
	delay encoder.QueueDelay
	at    time.Time
}

// Admitter is safe for concurrent use.
type Admitter struct {
	// Set at creation.
	clock timekeeper.Clock

	// Guarded by mutex.
	mutex   sync.Mutex
	usages  map[contractKey]*usage
	reports map[identifier.ServiceName]map[identifier.HostName]delayReport
}

// New returns an Admitter without any history.
func New(clock timekeeper.Clock) *Admitter {
	return &Admitter{
		clock:   clock,
		usages:  map[contractKey]*usage{},
		reports: map[identifier.ServiceName]map[identifier.HostName]delayReport{},
	}
}

// Admit checks a request. docks is the number of ready docks, among which the contract's
// rate is divided. For a refusal it also returns when to come back.
func (a *Admitter) Admit(c manifestreader.Contract, docks int, timeout time.Duration) (Decision, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	// The backlog is checked before the rate, so that a refusal uses up no token.
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

// Release ends an admitted request.
func (a *Admitter) Release(c manifestreader.Contract) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if u := a.usages[keyOf(c)]; u != nil && u.running > 0 {
		u.running--
	}
}

// Report notes the queueing delay that an owner reported with a reply.
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

// expectedDelay is the longest wait at any of the service's owners, since a query needs
// them all. A report shrinks with its age: a queue empties in real time, and a refusal on
// an old report would never bring a new one.
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

// usage returns the contract's state, with the limiter set to this dock's share.
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

// keyOf returns the identity of a contract.
func keyOf(c manifestreader.Contract) contractKey {
	return contractKey{c.Caller, c.Service, c.Operation}
}
