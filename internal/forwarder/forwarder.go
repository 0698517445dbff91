// Package forwarder answers callers' opaque requests: it finds the route, passes the request
// to a backend server of the route's service or to one of each shard, repeats what may be
// repeated, and gathers the parts of an answer.
package forwarder

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// retrySoon is when a caller may come back whose request was turned away.
	retrySoon = 500 * time.Millisecond
	// startTime is how long a host that has just started needs to learn the configuration and
	// the servers. Callers that come earlier are told when it ends.
	startTime = 900 * time.Millisecond
	// congestedRetry is when callers are told to come back that were turned away because the
	// servers have too much work.
	congestedRetry = 700 * time.Millisecond
	// returnShare of returnParts of a route's timeout is what a request has left at most that
	// was turned away before.
	returnShare, returnParts = 9, 10
	// stopInterval is how often a dock that stops looks whether other docks' requests are over.
	stopInterval = 20 * time.Millisecond
	// leastRetry is the shortest time that callers are told to wait.
	leastRetry = 200 * time.Millisecond
	// hedgeShare is the quantile of a route's latency after which a second server is asked.
	hedgeShare = 0.88
)

// Request is a caller's request.
type Request struct {
	sender.Request
	// Path selects the route.
	Path string
	// Arrived is when the request had been read.
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived on. Zero means that it does not say.
	Timeout time.Duration
}

// Settings of a Forwarder.
type Settings struct {
	Domain identifier.DomainName
	Budget selector.BudgetLimits
	Seed   uint64
	// Host is this dock's name. Peers carries messages to others; without it, this dock sends to
	// all shards itself.
	Host  identifier.HostName
	Peers Peers
}

// Forwarder answers requests. It is safe for concurrent use.
type Forwarder struct {
	// Set at creation.
	clock    timekeeper.Clock
	log      zerolog.Logger
	selector *selector.Selector
	sender   *sender.Sender
	reporter *reporter
	// overshoot is how late answers leave that were planned for the latency target.
	overshoot overshoot
	started   time.Time
	// work hands attempts to workers that wait for one.
	work chan *attempt
	// ctx ends with the forwarder, and all requests to backend servers with it.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// observed is called when there are new observations of servers, and rehomed when there are
	// others to hold connections to.
	observed func()
	rehomed  func()

	// Written by Configure.
	table atomic.Pointer[matcher.Table]

	// owners knows which docks send to which shards.
	owners  *owners
	crashes *crashes

	// Guarded by mutex.
	mutex  sync.Mutex
	states map[matcher.RouteName]*routeState
	// batches are the queries of other docks.
	batches    map[batchKey]*batch
	isStopping bool
}

// routeState is what was learnt of a route, and outlives configurations that keep the route.
type routeState struct {
	// latency estimates the route's latency at one server.
	latency *selector.Latencies
	// wheel holds the turns of a weighted route.
	wheel *wheel
	// throttle is guarded by the forwarder's mutex.
	throttle *selector.Throttle
}

// New returns a Forwarder without a configuration.
func New(settings Settings, s *sender.Sender, clock timekeeper.Clock, log zerolog.Logger, metrics *measurer.Registry) *Forwarder {
	chooser := selector.New(settings.Domain, settings.Budget, settings.Seed)
	chooser.OnBelief((&diary{log}).note)
	ctx, cancel := context.WithCancel(context.Background())
	return &Forwarder{
		ctx:      ctx,
		cancel:   cancel,
		clock:    clock,
		log:      log,
		selector: chooser,
		sender:   s,
		started:  clock.Now(),
		work:     make(chan *attempt),
		observed: func() {},
		rehomed:  func() {},
		reporter: newReporter(log, metrics, clock.Now()),
		states:   map[matcher.RouteName]*routeState{},
		batches:  map[batchKey]*batch{},
		crashes:  newCrashes(),
		owners:   &owners{self: settings.Host, peers: settings.Peers, domains: 1, suspects: map[netip.AddrPort]time.Time{}},
	}
}

// OnObserved calls a function when there are new observations of servers. It must return at
// once, and is set before the first request.
func (f *Forwarder) OnObserved(observed func()) { f.observed = observed }

// OnRehomed calls a function when connections are to be held to other servers. It must return at
// once, and is set before the first configuration.
func (f *Forwarder) OnRehomed(rehomed func()) { f.rehomed = rehomed }

// Configure puts a configuration in force unless a higher one is.
func (f *Forwarder) Configure(t *matcher.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	old := f.table.Load()
	if old != nil && old.Number() >= t.Number() {
		return
	}
	f.reporter.forget(old, t)
	f.table.Store(t)
	connections := map[identifier.ServiceName]int{}
	for _, s := range t.Services() {
		connections[s.Name] = s.Connections
	}
	f.selector.SetServices(connections)
	f.forget(t)
	f.replan()
}

// replan divides the sending among docks anew.
func (f *Forwarder) replan() {
	ownership := f.owners.plan(f.table.Load())
	if f.selector.SetOwnership(ownership) {
		f.log.Info().Int(recorder.FieldCount, len(ownership.Owned)).
			Int(recorder.FieldFellows, f.owners.countFellows()).Msg(recorder.EventOwners)
	}
	f.rehomed()
}

// SetFellows replaces the docks of this one's failure domain.
func (f *Forwarder) SetFellows(fellows []encoder.Dock) {
	f.owners.setFellows(fellows)
	f.replan()
}

// forget drops what was learnt of routes that are no more, so that it does not grow with the
// number of configurations. The caller holds the lock.
func (f *Forwarder) forget(t *matcher.Table) {
	names := map[matcher.RouteName]bool{}
	for _, r := range t.Routes() {
		names[r.Name] = true
	}
	maps.DeleteFunc(f.states, func(name matcher.RouteName, _ *routeState) bool { return !names[name] })
}

// Table returns the configuration in force, or nil before the first one.
func (f *Forwarder) Table() *matcher.Table { return f.table.Load() }

// UpdateServers replaces the servers that may be asked.
func (f *Forwarder) UpdateServers(services map[identifier.ServiceName][]locator.Server) {
	isChanged := f.selector.Update(services)
	addresses := map[netip.AddrPort]encoder.ServerID{}
	for _, servers := range services {
		for _, s := range servers {
			addresses[s.Address] = s.ID
		}
	}
	f.sender.Retain(addresses)
	if isChanged {
		f.rehomed()
	}
}

// TakeObservations returns what was seen of the servers since the last call.
func (f *Forwarder) TakeObservations() encoder.ObserveNotice {
	seen, innocent := f.crashes.take()
	return encoder.ObserveNotice{Observations: f.selector.TakeObservations(), Crashes: seen, Innocent: innocent}
}

// SetVerdicts replaces the servers that most docks find slow.
func (f *Forwarder) SetVerdicts(verdicts []encoder.SlowServer) { f.selector.SetVerdicts(verdicts) }

// Levels returns the levels of what requests are decided on.
func (f *Forwarder) Levels() selector.Levels { return f.selector.Levels() }

// LeastAdmitted returns the least share of any route's requests that is admitted.
func (f *Forwarder) LeastAdmitted() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	least := 1.0
	for _, state := range f.states {
		least = min(least, state.throttle.Share())
	}
	return least
}

// SetDocks tells how many hosts share the budget of repeats and the servers' connections, and in
// how many failure domains they are.
func (f *Forwarder) SetDocks(docks, domains int) {
	f.selector.SetDocks(docks)
	if f.owners.setDomains(domains) {
		f.replan()
	}
}

// Close ends all requests to backend servers and waits for them.
func (f *Forwarder) Close() {
	f.cancel()
	f.tasks.Wait()
}

// Handle answers one request. The context ends when the caller has left.
func (f *Forwarder) Handle(ctx context.Context, r *Request) Outcome {
	table := f.table.Load()
	if table == nil {
		return Refused{After: f.comeBack(), Reason: ReasonNoConfiguration}
	}
	route := table.Match(r.Host, r.Path)
	if route == nil {
		return NoRoute{}
	}
	q := f.newQuery(ctx, table, route, r)
	defer q.finish()
	o := q.admitAndAnswer()
	f.reporter.report(q, f.clock.Now(), o)
	return o
}

// comeBack is when a caller may come back to a host that cannot serve.
func (f *Forwarder) comeBack() time.Duration {
	age := f.clock.Now().Sub(f.started)
	if age < startTime {
		return max(leastRetry, startTime-age)
	}
	return retrySoon
}

// state returns what was learnt of a route. The caller holds the lock.
func (f *Forwarder) state(route matcher.RouteName) *routeState {
	state := f.states[route]
	if state == nil {
		state = &routeState{
			latency:  selector.NewLatencies(hedgeShare),
			wheel:    &wheel{},
			throttle: selector.NewThrottle(),
		}
		f.states[route] = state
	}
	return state
}

// latency returns the estimates of a route's latency at one server.
func (f *Forwarder) latency(route matcher.RouteName) *selector.Latencies {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(route).latency
}

// wheel returns the turns of a weighted route.
func (f *Forwarder) wheel(route matcher.RouteName) *wheel {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(route).wheel
}

// admits tells whether the servers have room for a request in time.
func (f *Forwarder) admits(q *query) bool {
	now := f.clock.Now()
	services := matcher.Services(q.route.Destination)
	isCongested := f.selector.IsCongested(now, services, q.route.Priority <= q.table.TopPriority())
	isReturn := q.request.Timeout > 0 && q.request.Timeout < returnShare*q.route.Timeout/returnParts
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t := f.state(q.route.Name).throttle
	isAdmitted := t.Admit(now, isCongested, isReturn)
	q.admission = admission{isCongested: isCongested, isReturn: isReturn, share: t.Share()}
	return isAdmitted
}
