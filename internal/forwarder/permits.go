package forwarder

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/granter"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
)

const (
	// permitWait is how long requests wait for the leading keeper before other keepers are asked.
	permitWait = 120 * time.Millisecond
	// permitTimeout bounds a request to the leading keeper. Permits that arrive after permitWait are
	// returned. Later ones are lost to their customers.
	permitTimeout = 450 * time.Millisecond
	// reserveTimeout bounds a request to one keeper for permits of its reserve.
	reserveTimeout = 60 * time.Millisecond
	// leaderRetryInterval is how long the leading keeper is not asked after a request has failed.
	leaderRetryInterval = 100 * time.Millisecond
	// reserveRetryInterval is how long no reserve is asked for a customer for which none had permits.
	reserveRetryInterval = 300 * time.Millisecond
	// unknownRetryAfter is the time after which the caller of a request may retry of which no keeper
	// could tell whether it is within the quota.
	unknownRetryAfter = 300 * time.Millisecond
)

// PermitIssuer passes requests for permits on to keepers.
type PermitIssuer interface {
	// RequestPermits asks the leading keeper. A reply without grants means that the keeper does not lead.
	RequestPermits(ctx context.Context, r encoder.QuotaRequest) (encoder.QuotaReply, error)
	// RequestReserve asks one keeper for permits of its reserve.
	RequestReserve(ctx context.Context, keeper netip.AddrPort, r encoder.QuotaRequest) (encoder.QuotaReply, error)
	// PermitKeepers lists the keepers that have reserves, the leading one last.
	PermitKeepers() []netip.AddrPort
}

// permits gets permits of customers' quotas for this dock. Requests that wait while a message is under way
// are sent together in the next one. It is safe for concurrent use.
type permits struct {
	// Set at creation.
	forwarder *Forwarder
	clock     granter.Clock
	counts    permitCounts

	// Set before the first request. It is nil on a dock without keepers.
	issuer PermitIssuer

	// Guarded by mutex.
	mutex   sync.Mutex
	waiting []*permitCall
	returns granter.Returns
	// isRunning is set while requests are sent.
	isRunning bool
	// failedUntil is when the leading keeper is asked again after a failure, and emptyUntil when the
	// reserves are asked again for a customer.
	failedUntil time.Time
	emptyUntil  map[identifier.CustomerName]time.Time
	uses        map[identifier.CustomerName]recentUse
}

// recentUse is what the leading keeper said of a customer.
type recentUse struct {
	multiple float64
	at       time.Time
}

// permitCall is a request that waits for its permit.
type permitCall struct {
	customer      *matcher.Customer
	configuration uint64
	// results receives one result. isAbandoned is set if the request no longer waits. It is guarded by
	// the mutex of permits.
	results     chan permitResult
	isAbandoned bool
	// wait is the time until the next permit by a leader that is new and granted none.
	wait time.Duration
}

// permitOutcome is the kind of a permitResult.
type permitOutcome uint8

const (
	// permitUnknown means that no keeper could tell whether the request is within the quota.
	permitUnknown permitOutcome = iota
	permitGranted
	permitOverQuota
)

// permitResult is the answer to a request for a permit.
type permitResult struct {
	outcome permitOutcome
	permit  granter.Permit
	// wait is the time until the caller may retry, if no permit was granted.
	wait time.Duration
}

// permitCounts are the metrics of permits.
type permitCounts struct {
	asked, granted, refused, unknown, returned, expired, reserve metrics.Counter
}

// newPermits returns permits that get none until an issuer is set.
func newPermits(f *Forwarder, m *measurer.Registry) *permits {
	return &permits{
		forwarder: f, clock: granter.Clock{Base: f.clock.Now()},
		emptyUntil: map[identifier.CustomerName]time.Time{}, uses: map[identifier.CustomerName]recentUse{},
		counts: permitCounts{
			asked:    m.Counter("permits.asked", "Requests for which a permit of the customer's quota was asked for."),
			granted:  m.Counter("permits.granted", "Permits that keepers granted."),
			refused:  m.Counter("permits.refused", "Requests that were over their customer's quota."),
			unknown:  m.Counter("permits.unknown", "Requests of which no keeper could tell whether they were within the quota."),
			returned: m.Counter("permits.returned", "Permits that were not used and returned."),
			expired:  m.Counter("permits.expired", "Permits that ended before they could be used."),
			reserve:  m.Counter("permits.reserve", "Permits from keepers' reserves."),
		},
	}
}

// SetPermitIssuer sets the issuer of permits. It must be called before the first request.
func (f *Forwarder) SetPermitIssuer(issuer PermitIssuer) { f.permits.issuer = issuer }

// now returns the present by both clocks.
func (p *permits) now() granter.Instant { return p.clock.At(p.forwarder.clock.Now()) }

// acquire gets the permit for one request of a customer.
func (p *permits) acquire(ctx context.Context, c *matcher.Customer, configuration uint64) permitResult {
	p.counts.asked.Inc(1)
	call := &permitCall{customer: c, configuration: configuration, results: make(chan permitResult, 1)}
	if !p.enqueue(call) {
		return p.count(permitResult{wait: unknownRetryAfter})
	}
	select {
	case r := <-call.results:
		return p.count(r)
	case <-ctx.Done():
		return p.count(p.abandon(call))
	}
}

// abandon ends the wait of a call. It returns the result if that has arrived meanwhile.
func (p *permits) abandon(call *permitCall) permitResult {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call.isAbandoned = true
	select {
	case r := <-call.results:
		return r
	default:
		return permitResult{wait: unknownRetryAfter}
	}
}

// count counts a result.
func (p *permits) count(r permitResult) permitResult {
	switch {
	case r.outcome == permitOverQuota:
		p.counts.refused.Inc(1)
	case r.outcome == permitUnknown:
		p.counts.unknown.Inc(1)
	case r.permit.IsReserve():
		p.counts.reserve.Inc(1)
		p.counts.granted.Inc(1)
	default:
		p.counts.granted.Inc(1)
	}
	return r
}

// giveBack gives a permit that was not used back to the keeper, with the next message.
func (p *permits) giveBack(permit granter.Permit) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.keepReturn(permit)
}

// keepReturn keeps a permit that is returned with the next message. The caller holds the lock.
func (p *permits) keepReturn(permit granter.Permit) {
	p.returns.Add(permit)
	p.counts.returned.Inc(1)
}

// recentUse returns what a customer asked for in the last window as a part of its rate, in multiples of the
// mean of all customers that asked. It is 1 if that is not known.
func (p *permits) recentUse(customer identifier.CustomerName) float64 {
	use, age, ok := p.lastUse(customer)
	if !ok || age > p.forwarder.quotaWindow {
		return 1
	}
	return use
}

// lastUse returns what the leading keeper last said of a customer, and how long ago. It returns false if it
// said nothing.
func (p *permits) lastUse(customer identifier.CustomerName) (multiple float64, age time.Duration, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	use, ok := p.uses[customer]
	return use.multiple, p.forwarder.clock.Now().Sub(use.at), ok
}

// enqueue adds a call to the next message. It returns false if permits cannot be asked for.
func (p *permits) enqueue(call *permitCall) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.issuer == nil || p.forwarder.ctx.Err() != nil {
		return false
	}
	p.waiting = append(p.waiting, call)
	if !p.isRunning {
		p.isRunning = true
		p.forwarder.tasks.Add(1)
		go p.run()
	}
	return true
}

// run sends messages until no call waits.
func (p *permits) run() {
	defer p.forwarder.tasks.Done()
	for {
		calls, mayAskLeader, ok := p.next()
		switch {
		case !ok:
			return
		case mayAskLeader:
			p.askLeader(calls)
		default:
			p.startReserve(calls)
		}
	}
}

// next returns the calls of the next message, all of one configuration, and whether the leading keeper may
// be asked. It returns false if no call waits.
func (p *permits) next() (calls []*permitCall, mayAskLeader, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	left := []*permitCall{}
	for _, c := range p.waiting {
		switch {
		case c.isAbandoned:
		case len(calls) == 0 || c.configuration == calls[0].configuration:
			calls = append(calls, c)
		default:
			left = append(left, c)
		}
	}
	p.waiting = left
	p.isRunning = len(calls) > 0
	return calls, !p.forwarder.clock.Now().Before(p.failedUntil), p.isRunning
}

// deliver passes a result on. The permit of a call that no longer waits is returned.
func (p *permits) deliver(call *permitCall, r permitResult) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !call.isAbandoned {
		call.results <- r
		return
	}
	if r.outcome == permitGranted {
		p.keepReturn(r.permit)
	}
}

// takeReturns returns the unused permits for a message.
func (p *permits) takeReturns() []encoder.QuotaReturn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.returns.Take()
}

// leaderFailed lets the reserves be used for some time.
func (p *permits) leaderFailed(count int, err error) {
	f := p.forwarder
	p.mutex.Lock()
	p.failedUntil = f.clock.Now().Add(leaderRetryInterval)
	p.mutex.Unlock()
	if f.ctx.Err() == nil {
		f.log.Warn().Err(err).Int(recorder.FieldCount, count).Msg(recorder.EventPermitsFailed)
	}
}

// shuffledKeepers returns the keepers that have reserves, the leading one last and the others in random
// order, so that the docks do not all empty the same reserve first.
func (p *permits) shuffledKeepers() []netip.AddrPort {
	keepers := p.issuer.PermitKeepers()
	others := keepers[:max(0, len(keepers)-1)]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return keepers
}
