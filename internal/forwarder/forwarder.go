// Package forwarder answers callers' opaque requests. It finds the route, sends the request to a
// backend server of the route's service or to one server of each shard, retries and hedges
// requests that may be repeated, and merges the shards' parts into one answer.
package forwarder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/delegator"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/suspector"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// defaultRetryAfter is the time after which the caller of a refused request may retry.
	defaultRetryAfter = 500 * time.Millisecond
	// startupTime is how long a host needs after its start to receive the configuration and the
	// list of servers. Requests refused before that may be retried when it ends.
	startupTime = 900 * time.Millisecond
	// congestedRetryAfter is the time after which callers may retry requests that were refused
	// because the servers were overloaded, if the configuration has no customers.
	congestedRetryAfter = 700 * time.Millisecond
	// A request whose timeout is below resubmitNumerator/resubmitDenominator of its route's
	// timeout counts as one that was refused before, because the earlier tries used up some of
	// the caller's time.
	resubmitNumerator, resubmitDenominator = 9, 10
	// stopPollInterval is how often a stopping dock checks whether other docks' requests have
	// finished.
	stopPollInterval = 20 * time.Millisecond
	// minRetryAfter is the shortest delay given to callers during startup.
	minRetryAfter = 200 * time.Millisecond
	// hedgeQuantile is the quantile of a route's latency that determines when a request is
	// hedged.
	hedgeQuantile = 0.88
)

// Request is a caller's request with its arrival time and timeout.
type Request struct {
	sender.Request
	// Path selects the route.
	Path string
	// Arrived is the time at which the request had been read completely.
	Arrived time.Time
	// Timeout is how long the caller waits, counted from Arrived. Zero means that the caller
	// gave no timeout.
	Timeout time.Duration
	// isRelayed is set for a request that another dock has handed over.
	isRelayed bool
	// maxRuns limits the servers of a service that may run the request, if it is not zero.
	maxRuns int
	// customer is the customer that another dock has identified. It is empty for a request of a caller.
	customer identifier.CustomerName
	// hasPermit is set if the dock that handed the request over holds a permit for it.
	hasPermit bool
	// message is the Hold of the message with which another dock has handed the request over.
	message *reserver.Hold
}

// Settings are the settings of a Forwarder.
type Settings struct {
	Domain identifier.DomainName
	Budget selector.BudgetLimits
	Seed   uint64
	// QuotaWindow is the interval in which customers' requests are counted.
	QuotaWindow time.Duration
	// Host is this dock's name. Peers sends messages to other docks. If it is nil, this dock
	// sends to all shards itself.
	Host  identifier.HostName
	Peers Peers
	// Account accounts for the memory of other docks' requests. If it is nil, nothing does.
	Account *reserver.Account
}

// Forwarder answers requests. It is safe for concurrent use.
type Forwarder struct {
	// Set at creation.
	clock     timekeeper.Clock
	log       zerolog.Logger
	selector  *selector.Selector
	sender    *sender.Sender
	reporter  *reporter
	crossings *crossings
	account   *reserver.Account
	// overshoot estimates how late answers leave that were due at the latency target.
	overshoot overshoot
	startedAt time.Time
	// work hands attempts to idle workers.
	work chan *attempt
	// ctx is cancelled by Close, which cancels all requests to backend servers.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// onObserved is called when there are new observations of servers, and onTargetsChanged when
	// connections must be kept to other servers than before.
	onObserved       func()
	onTargetsChanged func()
	// onLeaving is called when a server said in a reply that it leaves.
	onLeaving func(encoder.Registration)

	ending ending

	// Written by Configure.
	table atomic.Pointer[matcher.Table]

	// host is this dock's name. peers sends messages to other docks. If it is nil, this dock sends to all
	// shards itself.
	host  identifier.HostName
	peers Peers
	// delegator assigns the shards to the docks that send to them.
	delegator *delegator.Delegator
	// lastQuery is the number of the last query that was delegated.
	lastQuery atomic.Uint64
	suspector *suspector.Suspector
	// accuser holds the requests that servers have not answered, and endChecker checks whether these
	// servers have ended.
	accuser    *accuser.Accuser
	endChecker *endChecker
	// tokens permit requests to servers that name limits.
	tokens *tokens
	// permits permit requests of customers with quotas. quotaWindow is the interval in which these are
	// counted.
	permits     *permits
	quotaWindow time.Duration
	// detachment finds out whether this dock can reach servers, and relays holds the docks that can.
	detachment *detachment
	relays     *relays

	// Guarded by mutex.
	mutex sync.Mutex
	// random draws which requests of customers above the mean are admitted, and when refused ones return.
	random      *rand.Rand
	routeStates map[matcher.RouteName]*routeState
	// batches are the queries that other docks delegated to this one.
	batches    map[batchKey]*batch
	isStopping bool
	// relayedCount is the number of requests of other docks that this dock runs now.
	relayedCount int
}

// routeState holds the statistics and balancing state of a route. It is kept when a new
// configuration still contains the route.
type routeState struct {
	// latency estimates the latency of the route's requests at a single server.
	latency *selector.Latencies
	// roundRobin selects the services of a weighted route.
	roundRobin *roundRobin
	// throttle is guarded by the forwarder's mutex.
	throttle *selector.Throttle
}

// New returns a Forwarder without a configuration. Close must be called to stop it.
func New(settings Settings, s *sender.Sender, clock timekeeper.Clock, log zerolog.Logger, metrics *measurer.Registry) *Forwarder {
	serverSelector := selector.New(settings.Domain, settings.Budget, settings.Seed)
	serverSelector.OnServerEvent((&serverLogger{log}).logChange)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		ctx:              ctx,
		cancel:           cancel,
		clock:            clock,
		log:              log,
		selector:         serverSelector,
		sender:           s,
		account:          settings.Account,
		startedAt:        clock.Now(),
		work:             make(chan *attempt),
		onObserved:       func() {},
		onTargetsChanged: func() {},
		onLeaving:        func(encoder.Registration) {},
		reporter:         newReporter(log, metrics, clock.Now()),
		crossings:        newCrossings(metrics),
		random:           rand.New(rand.NewPCG(settings.Seed, admissionStream)),
		routeStates:      map[matcher.RouteName]*routeState{},
		batches:          map[batchKey]*batch{},
		suspector:        suspector.New(),
		accuser:          accuser.New(),
		host:             settings.Host,
		peers:            settings.Peers,
		delegator:        delegator.New(settings.Host),
	}
	f.ending.ctx, f.ending.cancel = context.WithCancel(ctx)
	f.tokens = &tokens{forwarder: f}
	f.permits = newPermits(f, metrics)
	f.quotaWindow = settings.QuotaWindow
	f.detachment = newDetachment(f)
	f.relays = &relays{inFlight: map[netip.AddrPort]int{}}
	f.endChecker = &endChecker{forwarder: f, checking: map[locator.Start]bool{}}
	f.tasks.Add(3)
	go f.detachment.loop()
	go f.endChecker.loop()
	go (&reachProber{f}).loop()
	return f
}

// OnObserved sets the function that is called when there are new observations of servers. The
// function must not block. It must be set before the first request.
func (f *Forwarder) OnObserved(onObserved func()) { f.onObserved = onObserved }

// OnConnectionTargetsChanged sets the function that is called when connections must be kept to
// other servers than before. The function must not block. It must be set before the first
// configuration.
func (f *Forwarder) OnConnectionTargetsChanged(onTargetsChanged func()) {
	f.onTargetsChanged = onTargetsChanged
}

// Configure puts a configuration in force, unless the one in force has the same or a higher
// number.
func (f *Forwarder) Configure(t *matcher.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	old := f.table.Load()
	if old != nil && old.Number() >= t.Number() {
		return
	}
	f.reporter.removeStale(old, t)
	f.table.Store(t)
	connections, coldRates := map[identifier.ServiceName]int{}, map[identifier.ServiceName]float64{}
	slowStarts := map[identifier.ServiceName]bool{}
	for _, s := range t.Services() {
		connections[s.Name] = s.Connections
		slowStarts[s.Name] = s.WarmUp > 0
		if s.ColdRate > 0 {
			coldRates[s.Name] = s.ColdRate
		}
	}
	f.selector.SetColdRates(coldRates)
	f.selector.SetSlowStarts(slowStarts)
	f.selector.SetServices(connections)
	f.removeStale(t)
	f.updateOwnership()
}

// updateOwnership reassigns the shards to the docks.
func (f *Forwarder) updateOwnership() {
	table := f.table.Load()
	if f.peers == nil {
		table = nil
	}
	ownership := f.delegator.Assign(table, f.selector)
	if f.selector.SetOwnership(ownership) {
		f.log.Info().Int(recorder.FieldCount, ownership.CountOwned()).
			Int(recorder.FieldFellows, f.delegator.CountDocks()).Msg(recorder.EventOwners)
		f.trimConnections()
	}
	f.onTargetsChanged()
}

// SetDomainDocks replaces the list of docks in this dock's failure domain, which includes this
// dock.
func (f *Forwarder) SetDomainDocks(docks []encoder.Dock) {
	f.delegator.SetDocks(docks)
	f.updateOwnership()
}

// removeStale removes the state of routes that the new configuration does not contain, so that
// memory does not grow with the number of configurations. The caller holds the lock.
func (f *Forwarder) removeStale(t *matcher.Table) {
	names := map[matcher.RouteName]bool{}
	for _, r := range t.Routes() {
		names[r.Name] = true
	}
	maps.DeleteFunc(f.routeStates, func(name matcher.RouteName, _ *routeState) bool { return !names[name] })
}

// Table returns the configuration in force, or nil before the first one.
func (f *Forwarder) Table() *matcher.Table { return f.table.Load() }

// UpdateServers replaces the servers that requests may be sent to.
func (f *Forwarder) UpdateServers(services map[identifier.ServiceName][]locator.Server) {
	isChanged := f.selector.Update(services)
	f.selector.StartPaces(f.clock.Now())
	f.retainConnections()
	if isChanged {
		f.onTargetsChanged()
	}
}

// TakeObservations returns the observations of servers since the last call.
func (f *Forwarder) TakeObservations() []encoder.Observation { return f.selector.TakeObservations() }

// SetSlowServers replaces the list of servers that most docks consider slow.
func (f *Forwarder) SetSlowServers(slowServers []encoder.SlowServer) {
	f.selector.SetSlowServers(slowServers)
}

// MergeLimits adds what other docks know of the limits that servers name.
func (f *Forwarder) MergeLimits(limits []encoder.ServerLimit) {
	f.selector.MergeLimits(f.clock.Now(), limits)
}

// Stats returns the selector's current figures for metrics.
func (f *Forwarder) Stats() selector.Stats { return f.selector.Stats(f.clock.Now()) }

// LeastAdmitted returns the lowest admitted share over all routes, from 0 to 1. It is 1 before the
// first request.
func (f *Forwarder) LeastAdmitted() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	least := 1.0
	for _, state := range f.routeStates {
		least = min(least, state.throttle.Share())
	}
	return least
}

// SetDocks sets how many hosts share the repeat budget and the servers' connections, and the
// number of their failure domains.
func (f *Forwarder) SetDocks(docks, domains int) {
	if f.selector.SetDocks(docks, domains) {
		f.updateOwnership()
	}
}

// Close cancels all requests to backend servers and waits until they have ended.
func (f *Forwarder) Close() {
	f.cancel()
	f.tasks.Wait()
}

// Handle answers one request. The context must be cancelled when the caller disconnects.
func (f *Forwarder) Handle(ctx context.Context, r *Request) Outcome {
	table := f.table.Load()
	if table == nil {
		return Refused{After: f.retryAfter(), Reason: ReasonNoConfiguration}
	}
	return f.handle(ctx, table, r)
}

// handle answers a request by a configuration.
func (f *Forwarder) handle(ctx context.Context, table *matcher.Table, r *Request) Outcome {
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return NoRoute{}
	}
	customer, ok := f.identify(table, route, r)
	if !ok {
		return Unauthorized{}
	}
	q := f.newQuery(ctx, table, route, customer, r)
	defer q.finish()
	o := q.settlePermit(q.admitAndAnswer())
	f.reporter.report(q, f.clock.Now(), o)
	return o
}

// retryAfter returns the time after which a caller may retry at a host that cannot serve.
func (f *Forwarder) retryAfter() time.Duration {
	age := f.clock.Now().Sub(f.startedAt)
	if age < startupTime {
		return max(minRetryAfter, startupTime-age)
	}
	return defaultRetryAfter
}

// state returns a route's state, which it creates if there is none. The caller holds the lock.
func (f *Forwarder) state(route matcher.RouteName) *routeState {
	state := f.routeStates[route]
	if state == nil {
		state = &routeState{
			latency:    selector.NewLatencies(hedgeQuantile),
			roundRobin: &roundRobin{},
			throttle:   selector.NewThrottle(),
		}
		f.routeStates[route] = state
	}
	return state
}

// latency returns the latency estimates of a route's requests at a single server.
func (f *Forwarder) latency(route matcher.RouteName) *selector.Latencies {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(route).latency
}

// roundRobin returns the round robin of a weighted route.
func (f *Forwarder) roundRobin(route matcher.RouteName) *roundRobin {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(route).roundRobin
}
