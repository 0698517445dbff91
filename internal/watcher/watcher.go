// Package watcher implements the dock's side of the watch protocol in a routed deployment. It
// watches every keeper, applies committed configurations, merges the keepers' directories of
// backend servers, and reports whether a majority of the voters has answered recently.
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
	// watchWait is how long a keeper without updates waits before it answers a watch.
	watchWait = 2 * time.Second
	// watchTimeout bounds one watch.
	watchTimeout = 3 * time.Second
	// fetchTimeout bounds the transfer of a configuration.
	fetchTimeout = 2 * time.Second
	// retryDelay is the delay before the next watch of a keeper that did not answer.
	retryDelay = 100 * time.Millisecond
	// freshness is how long a keeper counts toward a majority after its last reply.
	freshness = 3500 * time.Millisecond
	// refreshInterval is how often the servers are computed again without an update, because some
	// keepers' entries count less as they age.
	refreshInterval = time.Second
	// publishInterval is the least time between two computations of the servers.
	publishInterval = 100 * time.Millisecond
	// observeDelay is how long observations are collected before they are sent to the leader. It
	// also bounds the sending.
	observeDelay = 250 * time.Millisecond
)

// Compile compiles a configuration's text.
type Compile func(text []byte) (*matcher.Table, error)

// Sink receives the watcher's results. Its methods must not block.
type Sink interface {
	// Configure applies a compiled configuration.
	Configure(t *matcher.Table)
	// UpdateServers replaces the known servers of all services.
	UpdateServers(services map[identifier.ServiceName][]locator.Server)
	// SetEndedServers passes the starts of servers that ended without leaving. It is called before
	// UpdateServers.
	SetEndedServers(ends []locator.End)
	// SetDocks sets the number of docks and the number of their failure domains.
	SetDocks(docks, domains int)
	// SetDomainDocks replaces the list of docks in this dock's failure domain, which includes the
	// dock itself.
	SetDomainDocks(domainDocks []encoder.Dock)
	// TakeObservations returns what was observed of the servers since the last call.
	TakeObservations() []encoder.Observation
	// CrashReport returns what the dock holds against requests, and a version that changes with it.
	// The version is zero as long as there was nothing to report.
	CrashReport() (encoder.CrashReport, uint64)
	// SetQuarantines adds a keeper's list of requests that must not run, or must run isolated.
	SetQuarantines(quarantines []encoder.Quarantine)
	// SetSlowServers replaces the list of servers that most docks observe as slow.
	SetSlowServers(slowServers []encoder.SlowServer)
	// MergeLimits adds what the docks know of the limits that servers name.
	MergeLimits(limits []encoder.ServerLimit)
	// SetRelays replaces the list of docks that can reach backend servers.
	SetRelays(docks []encoder.Dock)
	// SetEvacuated replaces the list of evacuated failure domains. It is called before UpdateServers.
	SetEvacuated(domains []identifier.DomainName, version uint64)
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

	// dirty wakes the loop when servers have changed.
	dirty chan struct{}
	// observed wakes the observer when there are observations.
	observed chan struct{}

	// detachChanged wakes the detachReporter.
	detachChanged chan struct{}

	// fetchMutex allows one transfer of a configuration at a time.
	fetchMutex sync.Mutex

	// Guarded by mutex.
	mutex         sync.Mutex
	seeds         []netip.AddrPort
	keepers       map[netip.AddrPort]*keeper
	catalog       *locator.Catalog
	configuration uint64
	membersDigest uint64
	// slowServersDigest, limitsDigest, domainDocksDigest and leader come from the latest reply of a
	// leader.
	slowServersDigest uint64
	limitsDigest      uint64
	domainDocksDigest uint64
	leader            netip.AddrPort
	// leaderTerm is the highest term of a leader that a keeper named in answer to a request for permits.
	leaderTerm uint64
	voters     int
	// docks and domains are the numbers of docks and of their failure domains.
	docks   peak
	domains peak
	// lastPublish is when the servers were last computed. isPublishScheduled is set while another
	// computation is scheduled.
	lastPublish        time.Time
	isPublishScheduled bool
	// isDetached is set while this dock has lost its links to all backend servers. detachVersion
	// increases with each change of it.
	isDetached    bool
	detachVersion uint64
	// leaving are the servers that said in replies that they leave, as long as the keepers must be told.
	leaving map[locator.Start]*leavingServer
	// evacuations tells which failure domains are evacuated.
	evacuations evacuations
	// wasFresh is the result of IsFresh that was logged last.
	wasFresh bool
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithoutEvacuationWait passes servers on before it is known which failure domains are evacuated.
func WithoutEvacuationWait() Option { return func(w *Watcher) { w.evacuations.isKnown = true } }

// New starts to watch the keepers at the seed addresses and the group members that they report.
// Self describes the dock that watches.
func New(self encoder.Dock, seeds []netip.AddrPort, pool *linker.Pool, compile Compile, sink Sink, clock timekeeper.Clock, log zerolog.Logger, options ...Option) *Watcher {
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

		detachChanged: make(chan struct{}, 1),
		limitsDigest:  encoder.NoLimits,
		leaving:       map[locator.Start]*leavingServer{},
	}
	for _, o := range options {
		o(w)
	}
	w.SetSeeds(seeds)
	w.tasks.Add(4)
	go w.loop()
	go (&leavingReporter{w}).loop()
	go (&observer{w}).loop()
	go (&detachReporter{Watcher: w, acknowledged: map[netip.AddrPort]uint64{}}).loop()
	return w
}

// SetSeeds replaces the addresses that are watched in addition to the group's members.
func (w *Watcher) SetSeeds(seeds []netip.AddrPort) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
	for _, a := range seeds {
		w.addKeeper(a)
	}
}

// Close ends all watches and waits for their goroutines.
func (w *Watcher) Close() {
	w.cancel()
	w.tasks.Wait()
}

// IsFresh reports whether a majority of the voters has answered within the freshness period.
func (w *Watcher) IsFresh() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, isFresh := w.countRecentVoters()
	return isFresh
}

// countRecentVoters returns how many voters have answered recently, and whether they are a
// majority. The caller holds the lock.
func (w *Watcher) countRecentVoters() (int, bool) {
	now := w.clock.Now()
	n := 0
	for _, k := range w.keepers {
		if k.isVoter && now.Sub(k.lastReply) < freshness {
			n++
		}
	}
	return n, w.voters > 0 && 2*n > w.voters
}

// logFreshness logs a change of whether a majority of the voters has answered recently. The caller
// holds the lock.
func (w *Watcher) logFreshness() {
	n, isFresh := w.countRecentVoters()
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

// loop computes the servers after changes and at intervals.
func (w *Watcher) loop() {
	defer w.tasks.Done()
	ticker := w.clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.dirty:
			w.publishAfterDelay()
		case <-ticker.C:
			w.mutex.Lock()
			w.logFreshness()
			w.settleEvacuations()
			if !w.catalog.IsSettled(w.clock.Now()) {
				w.publish()
			}
			w.mutex.Unlock()
			w.reportCrashes()
		}
	}
}

// publishAfterDelay computes the servers after publishInterval, so that several changes are handled
// together.
func (w *Watcher) publishAfterDelay() {
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

// schedulePublish computes the servers at once if the last computation is at least publishInterval
// ago. Otherwise it schedules a computation, so that the replies of several keepers are handled
// together. The caller holds the lock.
func (w *Watcher) schedulePublish() {
	if w.isPublishScheduled {
		return
	}
	if w.clock.Now().Sub(w.lastPublish) >= publishInterval {
		w.publish()
		return
	}
	w.isPublishScheduled = true
	select {
	case w.dirty <- struct{}{}:
	default:
	}
}

// publish computes the servers and passes them and the number of docks to the sink. It does nothing until it
// is known which failure domains are evacuated. The caller holds the lock.
func (w *Watcher) publish() {
	w.lastPublish = w.clock.Now()
	w.isPublishScheduled = false
	if !w.evacuations.isKnown {
		return
	}
	w.sink.SetEndedServers(w.catalog.Ended(w.clock.Now()))
	w.sink.UpdateServers(w.catalog.Servers(w.clock.Now()))
	docks, domains := 1, 1
	for _, k := range w.keepers {
		docks = max(docks, k.docks)
		domains = max(domains, k.domains)
	}
	w.sink.SetDocks(w.docks.observe(w.lastPublish, docks), w.domains.observe(w.lastPublish, domains))
}

// addKeeper starts to watch an address unless it is being watched already. It returns nil if the
// address is not watched and the watcher is closed. The caller holds the lock.
func (w *Watcher) addKeeper(address netip.AddrPort) *keeper {
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

// handleReply merges a keeper's reply to a request with those of the other keepers.
func (w *Watcher) handleReply(k *keeper, request encoder.WatchRequest, reply encoder.WatchReply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	if k.lastReply.IsZero() {
		w.log.Info().Stringer(recorder.FieldKeeper, k.address).Msg(recorder.EventKeeperFound)
	}
	k.lastReply = now
	k.isVoter = reply.IsVoter
	k.docks = reply.Docks
	k.domains = reply.Domains
	k.incarnation = reply.Keeper
	k.lastChange = reply.Seen
	k.takesShort = k.takesShort || reply.TakesShort
	w.catalog.Update(now, k.address, reply.IsWhole, reply.Servers)
	if len(reply.Members) > 0 && (reply.IsLeader || w.membersDigest == 0) {
		w.updateKeepers(reply)
	}
	w.mergeEvacuations(k, reply)
	w.mergeLists(k, request, reply)
	if reply.IsWhole || len(reply.Servers) > 0 {
		w.schedulePublish()
	}
}

// mergeLists takes over the lists in a reply. A reply leaves out the lists that the dock had when it sent
// the request. Another keeper's reply may have replaced them since; the next request then asks for them. The
// caller holds the lock.
func (w *Watcher) mergeLists(k *keeper, request encoder.WatchRequest, reply encoder.WatchReply) {
	if reply.IsLeader {
		w.leader = k.address
	}
	if reply.IsLeader && isNewList(reply.VerdictsDigest, request.VerdictsDigest, w.slowServersDigest) {
		w.slowServersDigest = reply.VerdictsDigest
		w.sink.SetSlowServers(reply.Verdicts)
	}
	if reply.LimitsDigest != 0 && isNewList(reply.LimitsDigest, request.LimitsDigest, w.limitsDigest) {
		w.limitsDigest = reply.LimitsDigest
		w.sink.MergeLimits(reply.Limits)
	}
	if reply.QuarantinesDigest != k.quarantinesDigest {
		k.quarantinesDigest = reply.QuarantinesDigest
		w.sink.SetQuarantines(reply.Quarantines)
	}
	// Without any list, that of a keeper that does not lead is used until the leader is found.
	isFirstList := w.domainDocksDigest == 0 && len(reply.Fellows) > 0
	if (reply.IsLeader || isFirstList) && isNewList(reply.FellowsDigest, request.FellowsDigest, w.domainDocksDigest) {
		w.domainDocksDigest = reply.FellowsDigest
		w.sink.SetDomainDocks(reply.Fellows)
	}
}

// isNewList reports whether a reply contains the list with the digest, which is the case if the dock had
// another when it sent the request, and whether it differs from the one that the dock has now.
func isNewList(digest, requested, current uint64) bool {
	return digest != requested && digest != current
}

// updateKeepers watches the members that a reply lists. If the reply comes from a leader, it ends
// the watches of all other keepers; until then the seeds remain. The caller holds the lock.
func (w *Watcher) updateKeepers(reply encoder.WatchReply) {
	w.voters = reply.Voters
	for _, k := range w.keepers {
		k.isMember = false
	}
	for _, m := range reply.Members {
		if k := w.addKeeper(m.Address); k != nil {
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
