// Package watcher is a dock's side of control in a routed deployment. It watches every keeper,
// puts committed configurations in force, merges what the keepers say of the backend servers,
// and knows whether the dock is in touch with a majority.
package watcher

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// watchWait is how long a keeper without news holds a watch.
	watchWait = 2 * time.Second
	// watchTimeout bounds a watch.
	watchTimeout = 3 * time.Second
	// fetchTimeout bounds the transfer of a configuration.
	fetchTimeout = 2 * time.Second
	// pauseAfterFailure is the time until the next watch of a keeper that did not answer.
	pauseAfterFailure = 100 * time.Millisecond
	// freshness is how long a keeper's answer shows that the dock is in touch with it.
	freshness = 3500 * time.Millisecond
	// refreshInterval is how often the servers are worked out anew without news, since some
	// reports count less when they age.
	refreshInterval = time.Second
	// publishInterval is the least time between two times at which the servers are worked out.
	publishInterval = 100 * time.Millisecond
	// observeDelay is how long observations are collected before they go to the leader.
	observeDelay = 250 * time.Millisecond
)

// Compile reads a configuration's text.
type Compile func(text []byte) (*matcher.Table, error)

// Sink is told what the watcher learns. Its methods return at once.
type Sink interface {
	Configure(t *matcher.Table)
	UpdateServers(services map[identifier.ServiceName][]locator.Server)
	// SetDocks tells how many docks there are, and in how many failure domains.
	SetDocks(docks, domains int)
	// SetFellows replaces the docks of this one's failure domain, itself included.
	SetFellows(fellows []encoder.Dock)
	// TakeObservations returns what was seen of the servers since the last call.
	TakeObservations() encoder.ObserveNotice
	// SetQuarantines replaces the requests that must not run.
	SetQuarantines(quarantines []encoder.Quarantine)
	// SetVerdicts replaces the servers that most docks find slow.
	SetVerdicts(verdicts []encoder.Verdict)
}

// Watcher watches the keepers. It is safe for concurrent use.
type Watcher struct {
	// Set at creation.
	self    encoder.Dock
	pool    *linker.Pool
	compile Compile
	sink    Sink
	clock   timekeeper.Clock
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	// dirty tells the loop that servers have changed.
	dirty chan struct{}
	// observed wakes the observer.
	observed chan struct{}

	// fetching admits one transfer of a configuration at a time.
	fetching sync.Mutex

	// Guarded by mutex.
	mutex         sync.Mutex
	seeds         []netip.AddrPort
	keepers       map[netip.AddrPort]*keeper
	catalog       *locator.Catalog
	configuration uint64
	membersDigest uint64
	// verdictsDigest, fellowsDigest, quarantinesDigest and leader are those of the leader that was
	// heard last.
	verdictsDigest    uint64
	fellowsDigest     uint64
	quarantinesDigest uint64
	leader            netip.AddrPort
	voters            int
	// published is when the servers were worked out last, and isPublishing is set while they
	// are about to be.
	published    time.Time
	isPublishing bool
	// wasFresh is what the log told last.
	wasFresh bool
}

// New starts to watch the keepers that the seeds lead to, as the dock self.
func New(self encoder.Dock, seeds []netip.AddrPort, pool *linker.Pool, compile Compile, sink Sink, clock timekeeper.Clock, log zerolog.Logger) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		self:    self,
		pool:    pool,
		compile: compile,
		sink:    sink,
		clock:   clock,
		log:     log,
		ctx:     ctx,
		cancel:  cancel,
		keepers: map[netip.AddrPort]*keeper{},
		catalog: locator.NewCatalog(),

		dirty:    make(chan struct{}, 1),
		observed: make(chan struct{}, 1),
	}
	w.SetSeeds(seeds)
	w.tasks.Add(2)
	go w.loop()
	go (&observer{w}).loop()
	return w
}

// SetSeeds replaces the addresses that are watched besides the members.
func (w *Watcher) SetSeeds(seeds []netip.AddrPort) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
	for _, a := range seeds {
		w.watch(a)
	}
}

// Close ends all watches and waits for them.
func (w *Watcher) Close() {
	w.cancel()
	w.tasks.Wait()
}

// IsFresh tells whether a majority of the voters answered lately.
func (w *Watcher) IsFresh() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, isFresh := w.countHeard()
	return isFresh
}

// countHeard returns how many voters answered lately, and whether they are a majority. The
// caller holds the lock.
func (w *Watcher) countHeard() (int, bool) {
	now := w.clock.Now()
	n := 0
	for _, k := range w.keepers {
		if k.isVoter && now.Sub(k.heard) < freshness {
			n++
		}
	}
	return n, w.voters > 0 && 2*n > w.voters
}

// tellFreshness logs that the dock lost or regained touch. The caller holds the lock.
func (w *Watcher) tellFreshness() {
	n, isFresh := w.countHeard()
	if isFresh == w.wasFresh {
		return
	}
	w.wasFresh = isFresh
	event := recorder.EventQuorumUnreachable
	if isFresh {
		event = recorder.EventQuorumReachable
	}
	w.log.Warn().Int(recorder.FieldCount, n).Int(recorder.FieldVoters, w.voters).
		Uint64(recorder.FieldConfiguration, w.configuration).Msg(event)
}

// loop works out the servers at intervals.
func (w *Watcher) loop() {
	defer w.tasks.Done()
	ticker := w.clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.dirty:
			w.settle()
		case <-ticker.C:
			w.mutex.Lock()
			w.tellFreshness()
			if !w.catalog.IsSettled(w.clock.Now()) {
				w.publish()
			}
			w.mutex.Unlock()
		}
	}
}

// settle waits for other changes to join the last one and works the servers out.
func (w *Watcher) settle() {
	timer := w.clock.NewTimer(publishInterval)
	defer timer.Stop()
	select {
	case <-w.ctx.Done():
	case <-timer.C:
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.publish()
	}
}

// publishSoon has the servers worked out within a moment, in which other keepers' replies join
// this one. The first ones are not delayed. The caller holds the lock.
func (w *Watcher) publishSoon() {
	if w.isPublishing {
		return
	}
	if w.clock.Now().Sub(w.published) >= publishInterval {
		w.publish()
		return
	}
	w.isPublishing = true
	select {
	case w.dirty <- struct{}{}:
	default:
	}
}

// publish tells the sink which servers there are. The caller holds the lock.
func (w *Watcher) publish() {
	w.published = w.clock.Now()
	w.isPublishing = false
	w.sink.UpdateServers(w.catalog.Servers(w.clock.Now()))
	docks, domains := 1, 1
	for _, k := range w.keepers {
		docks = max(docks, k.docks)
		domains = max(domains, k.domains)
	}
	w.sink.SetDocks(docks, domains)
}

// watch starts to watch an address unless it is watched. The caller holds the lock.
func (w *Watcher) watch(address netip.AddrPort) *keeper {
	k := w.keepers[address]
	if k != nil || w.ctx.Err() != nil {
		return k
	}
	k = &keeper{watcher: w, address: address}
	k.ctx, k.cancel = context.WithCancel(w.ctx)
	w.keepers[address] = k
	w.tasks.Add(1)
	go k.run()
	return k
}

// take puts a reply's news together with those of the other keepers.
func (w *Watcher) take(k *keeper, reply encoder.WatchReply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	if k.heard.IsZero() {
		w.log.Info().Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventKeeperFound)
	}
	k.heard = now
	k.isVoter = reply.IsVoter
	k.docks = reply.Docks
	k.domains = reply.Domains
	k.process = reply.Keeper
	k.seen = reply.Seen
	w.catalog.Update(now, k.address, reply.IsWhole, reply.Servers)
	if len(reply.Members) > 0 && (reply.IsLeader || w.membersDigest == 0) {
		w.follow(reply)
	}
	if reply.IsLeader {
		w.leader = k.address
	}
	if reply.IsLeader && reply.VerdictsDigest != w.verdictsDigest {
		w.verdictsDigest = reply.VerdictsDigest
		w.sink.SetVerdicts(reply.Verdicts)
	}
	if reply.IsLeader && reply.QuarantinesDigest != w.quarantinesDigest {
		w.quarantinesDigest = reply.QuarantinesDigest
		w.sink.SetQuarantines(reply.Quarantines)
	}
	if reply.IsLeader && reply.FellowsDigest != w.fellowsDigest {
		w.fellowsDigest = reply.FellowsDigest
		w.sink.SetFellows(reply.Fellows)
	}
	if reply.IsWhole || len(reply.Servers) > 0 {
		w.publishSoon()
	}
}

// follow watches the members and no others. The seeds stay until a leader is heard. The
// caller holds the lock.
func (w *Watcher) follow(reply encoder.WatchReply) {
	w.voters = reply.Voters
	for _, k := range w.keepers {
		k.isMember = false
	}
	for _, m := range reply.Members {
		if k := w.watch(m.Address); k != nil {
			k.isMember = true
		}
	}
	if !reply.IsLeader {
		return
	}
	w.membersDigest = reply.MembersDigest
	for address, k := range w.keepers {
		if !k.isMember {
			k.cancel()
			delete(w.keepers, address)
			w.catalog.Remove(address)
		}
	}
}
