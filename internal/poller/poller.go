// Package poller implements the dock's side of the poll protocol: it polls the voting keepers,
// applies committed manifests and published views, forwards the announcements of backend servers to
// the leader, and reports whether the dock's manifest is certainly in force.
package poller

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// slotInterval is the time between two regular polls. It bounds the control traffic in bytes,
	// independent of the number of voters.
	slotInterval = time.Second / 6
	// voterInterval is the least time between two regular polls of one voter.
	voterInterval = 500 * time.Millisecond
	// urgentInterval is the least time between two polls of the leader that report changes.
	urgentInterval = 50 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// freshness is how long after a majority was polled its replies prove that the applied manifest
	// is in force.
	freshness = 3 * time.Second
)

// Caller sends a poll to the keeper at an address and waits for its reply.
type Caller interface {
	Poll(ctx context.Context, address netip.AddrPort, request encoder.PollRequest) (encoder.PollReply, error)
}

// LinkCaller sends polls over links.
type LinkCaller struct {
	Pool *linker.Pool
}

// Poll sends a poll to the keeper and returns its reply.
func (c LinkCaller) Poll(ctx context.Context, address netip.AddrPort, request encoder.PollRequest) (encoder.PollReply, error) {
	return linker.Call[encoder.PollRequest, encoder.PollReply](ctx, c.Pool.Link(address), encoder.KindPoll, request)
}

// Parse parses a manifest's text.
type Parse func(text []byte) (*manifestreader.Manifest, error)

// State is the dock's copy of the deployment's state. It is immutable.
type State struct {
	// View is the newest view. Its epoch is zero before the first one arrives.
	View *encoder.View
	// Placement is the assignment of the view's shards to docks.
	Placement *placer.Placement
	// Manifest is the newest committed manifest, or nil before the first one arrives.
	Manifest     *manifestreader.Manifest
	ManifestText encoder.ManifestText
	// Fresh reports whether the manifest was certainly in force when the state was published. Use
	// Poller.IsFresh for the current moment.
	Fresh bool
	// Quarantined holds the end of the quarantine of each quarantined fingerprint.
	Quarantined map[identifier.Fingerprint]time.Time
	// Leader is the address of the leading keeper. It is not valid if none is known.
	Leader netip.AddrPort
}

// QuarantinedUntil returns the end of a fingerprint's quarantine. It returns false if the
// fingerprint is not quarantined now.
func (s *State) QuarantinedUntil(f identifier.Fingerprint, now time.Time) (time.Time, bool) {
	end, ok := s.Quarantined[f]
	return end, ok && end.After(now)
}

// Poller polls the voters. It is safe for concurrent use.
type Poller struct {
	// Set at creation.
	self       func() encoder.Host
	seeds      []netip.AddrPort
	caller     Caller
	clock      timekeeper.Clock
	parse      Parse
	invariants checker.Hook

	work   chan func()
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// Written by the loop.
	state      atomic.Pointer[State]
	freshUntil atomic.Pointer[time.Time]

	subscribersMutex sync.Mutex
	subscribers      []chan struct{}

	// Owned by the loop.
	group    group
	reporter reporter
	targets  map[netip.AddrPort]*target
	// roundRobin counts the turns. Modulo the number of voters it selects the next one to poll.
	roundRobin int
}

// target is the state of the polls to one address.
type target struct {
	lastSent   time.Time
	isInFlight bool
}

// Option configures a Poller.
type Option func(*Poller)

// WithInvariants sets the hook that is called when an invariant is violated.
func WithInvariants(hook checker.Hook) Option {
	return func(p *Poller) { p.invariants = hook }
}

// New starts polling. Self returns the current description of the dock. Seeds are the addresses of
// some keepers, whose replies list the current voters.
func New(self func() encoder.Host, seeds []netip.AddrPort, caller Caller, clock timekeeper.Clock, parse Parse, options ...Option) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{
		self:     self,
		seeds:    seeds,
		caller:   caller,
		clock:    clock,
		parse:    parse,
		work:     make(chan func()),
		ctx:      ctx,
		cancel:   cancel,
		group:    newGroup(),
		reporter: newReporter(),
		targets:  map[netip.AddrPort]*target{},
	}
	for _, o := range options {
		o(p)
	}
	empty := &encoder.View{}
	p.state.Store(&State{View: empty, Placement: placer.Place(empty)})
	p.freshUntil.Store(&time.Time{})
	p.tasks.Add(1)
	go p.loop()
	return p
}

// State returns the current state.
func (p *Poller) State() *State {
	return p.state.Load()
}

// IsFresh reports whether the applied manifest is certainly in force at this moment.
func (p *Poller) IsFresh() bool {
	return p.clock.Now().Before(*p.freshUntil.Load())
}

// Leader returns the address of the leading keeper. It returns an invalid address if none is known.
func (p *Poller) Leader() netip.AddrPort {
	return p.state.Load().Leader
}

// Subscribe returns a channel that receives a value after the state has changed. Several changes in
// a row may cause a single value.
func (p *Poller) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	p.subscribersMutex.Lock()
	defer p.subscribersMutex.Unlock()
	p.subscribers = append(p.subscribers, c)
	return c
}

// Announce forwards a backend server's announcement to the leader: at once if it is new or changed,
// otherwise with the next poll.
func (p *Poller) Announce(server encoder.Server) {
	p.runInLoop(func() { p.reporter.announce(p.clock.Now(), server) })
}

// Refresh polls the leader at once because the dock's own description has changed.
func (p *Poller) Refresh() {
	p.runInLoop(func() { p.reporter.isUrgent = true })
}

// Close stops polling and waits for all goroutines.
func (p *Poller) Close() {
	p.cancel()
	p.tasks.Wait()
}

// runInLoop runs a function in the loop's goroutine. It does nothing if the poller is closed.
func (p *Poller) runInLoop(f func()) {
	select {
	case p.work <- f:
	case <-p.ctx.Done():
	}
}

// loop is the goroutine that owns the control state.
func (p *Poller) loop() {
	defer p.tasks.Done()
	slots := p.clock.NewTicker(slotInterval)
	defer slots.Stop()
	p.pollNext()
	for {
		select {
		case <-p.ctx.Done():
			return
		case f := <-p.work:
			f()
			p.pollLeaderIfUrgent()
		case <-slots.C:
			p.reporter.expire(p.clock.Now())
			p.pollLeaderIfUrgent()
			p.pollNext()
			p.updateFreshness()
		}
	}
}

// pollNext polls the next voter that is due, in round-robin order.
func (p *Poller) pollNext() {
	addresses := p.addresses()
	for range addresses {
		p.roundRobin++
		// Half a slot of tolerance keeps a ticker's jitter from halving the rate.
		if p.poll(addresses[p.roundRobin%len(addresses)], voterInterval-slotInterval/2) {
			return
		}
	}
}

// pollLeaderIfUrgent polls the leader out of turn if there is something urgent to report.
func (p *Poller) pollLeaderIfUrgent() {
	leader := p.group.leaderAddress()
	if p.reporter.isUrgent && leader.IsValid() {
		p.poll(leader, urgentInterval)
	}
}

// addresses returns the voters' addresses, and the seeds while the dock is not fresh.
func (p *Poller) addresses() []netip.AddrPort {
	all := p.group.voterAddresses()
	if p.IsFresh() {
		return all
	}
	for _, seed := range p.seeds {
		all = appendMissing(all, seed)
	}
	return all
}

// poll starts one poll, unless one is in flight to the address or the last one was sent less than
// interval ago. It reports whether it started a poll.
func (p *Poller) poll(address netip.AddrPort, interval time.Duration) bool {
	now := p.clock.Now()
	t := p.targets[address]
	if t == nil {
		t = &target{}
		p.targets[address] = t
	}
	if t.isInFlight || now.Sub(t.lastSent) < interval {
		return false
	}
	t.isInFlight = true
	t.lastSent = now
	x := &exchange{poller: p, address: address, sent: now}
	x.request = encoder.PollRequest{
		KnownVoters:   p.group.knownVotersDigest(address),
		KnownManifest: p.State().ManifestText.Number,
	}
	if address == p.group.leaderAddress() {
		x.report = p.reporter.buildReport(now, p.self(), p.State(), &x.request)
	}
	p.tasks.Add(1)
	go x.run()
	return true
}

// appendMissing appends an address unless the list contains it.
func appendMissing(all []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	for _, b := range all {
		if a == b {
			return all
		}
	}
	return append(all, a)
}
