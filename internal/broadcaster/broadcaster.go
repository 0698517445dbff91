// Package broadcaster implements a keeper's side of the watch protocol: it records the heartbeats
// of backend servers in a directory and sends the docks that watch the keeper every change of the
// directory and of the committed configuration.
package broadcaster

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// sweepInterval is how often silent servers are removed and the docks' observations are
	// evaluated. If they were evaluated at every notice, a hundred docks would be woken a hundred
	// times a second.
	sweepInterval = 250 * time.Millisecond
	// maxChanges bounds the changes that are kept for docks that lag behind. A dock that lags
	// further gets the whole directory.
	maxChanges = 4096
	// maxWait bounds how long a watch may wait for changes.
	maxWait = 5 * time.Second
	// saveInterval is how often the directory is saved if it has changed.
	saveInterval = time.Second
	// batchDelay is how long changes of the directory are collected before they are sent to a dock.
	// While an index is being resharded, hundreds of servers announce themselves in a second.
	batchDelay = 100 * time.Millisecond
)

// KeeperState is the part of a keeper's state that watch replies contain.
type KeeperState struct {
	// Configuration is the number of the committed configuration that is applied here.
	Configuration uint64
	IsVoter       bool
	IsLeader      bool
	// Members are the voters, including former ones while a change of the voters is not complete,
	// and on the leader also the learners.
	Members       []encoder.KeeperMember
	MembersDigest uint64
	Voters        int
}

// Broadcaster answers the docks that watch one keeper. It is safe for concurrent use.
type Broadcaster struct {
	// Set at creation.
	self        identifier.Incarnation
	clock       timekeeper.Clock
	keeperState func() KeeperState
	files       Files
	log         zerolog.Logger
	stop        chan struct{}
	// quarantinesChanged wakes the saver.
	quarantinesChanged chan struct{}
	tasks              sync.WaitGroup

	// Guarded by mutex.
	mutex           sync.Mutex
	directory       *locator.Directory
	outlierDetector *locator.OutlierDetector
	// crashTracker finds requests that crash servers. The quarantines are its latest result, and
	// quarantinesDigest identifies them.
	crashTracker      *locator.CrashTracker
	quarantines       []encoder.Quarantine
	quarantinesDigest uint64
	// slowServers are the latest result of outlierDetector, and slowServersDigest identifies them.
	slowServers       []encoder.SlowServer
	slowServersDigest uint64
	// changes are the most recent changes of the directory, and base is the number of changes
	// before them.
	changes []encoder.Registration
	base    uint64
	docks   *dockSet
	wakeups wakeChannels
	// savedChange is the number of the last change of the directory that was saved, and
	// savedQuarantines is the digest of the quarantines that were saved last.
	savedChange      uint64
	savedQuarantines uint64
}

// New starts a Broadcaster with the directory and the quarantines that were saved in the files.
// Silence is how long a server may go without a heartbeat.
func New(self identifier.Incarnation, silence time.Duration, keeperState func() KeeperState, files Files, clock timekeeper.Clock, log zerolog.Logger) *Broadcaster {
	b := &Broadcaster{
		self:        self,
		clock:       clock,
		keeperState: keeperState,
		files:       files,
		log:         log,
		stop:        make(chan struct{}),

		quarantinesChanged: make(chan struct{}, 1),

		directory:       locator.NewDirectory(silence),
		outlierDetector: locator.NewOutlierDetector(),
		crashTracker:    locator.NewCrashTracker(),
		docks:           newDockSet(),
		wakeups:         wakeChannels{changed: make(chan struct{}), urgent: make(chan struct{})},
	}
	b.restore()
	b.tasks.Add(2)
	go b.loop()
	go (&saver{b}).loop()
	return b
}

// restore loads the directory and the quarantines that an earlier process saved.
func (b *Broadcaster) restore() {
	now := b.clock.Now()
	saved, err := b.files.Directory.Load()
	if err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnread)
	} else {
		b.directory.Restore(now, saved)
	}
	quarantines, err := b.files.Quarantines.Load()
	if err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventQuarantinesUnread)
		return
	}
	for _, f := range b.crashTracker.Adopt(now, quarantines) {
		b.logFinding(f)
	}
	b.updateQuarantines(now)
	b.savedQuarantines = b.quarantinesDigest
}

// saver saves the directory at intervals, and the quarantines at once when they change.
type saver struct {
	*Broadcaster
}

// loop saves what has changed.
func (s *saver) loop() {
	defer s.tasks.Done()
	ticker := s.clock.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.quarantinesChanged:
			s.saveQuarantines()
		case <-ticker.C:
			s.Save()
			s.saveQuarantines()
		}
	}
}

// saveQuarantines writes the quarantines to their file if they have changed. After a failure, the
// next tick tries again.
func (b *Broadcaster) saveQuarantines() {
	b.mutex.Lock()
	digest, quarantines := b.quarantinesDigest, b.quarantines
	isSaved := digest == b.savedQuarantines
	b.mutex.Unlock()
	if isSaved {
		return
	}
	if err := b.files.Quarantines.Save(quarantines); err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventQuarantinesUnsaved)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.savedQuarantines = digest
}

// Save writes the directory to its file if it has changed. A failure is logged and matters only if
// the keeper restarts before a later save succeeds.
func (b *Broadcaster) Save() {
	b.mutex.Lock()
	lastChange := b.base + uint64(len(b.changes))
	if lastChange == b.savedChange {
		b.mutex.Unlock()
		return
	}
	all := b.directory.All(b.clock.Now())
	b.mutex.Unlock()
	if err := b.files.Directory.Save(all); err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnsaved)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.savedChange = max(b.savedChange, lastChange)
}

// Close stops all goroutines and ends all watches.
func (b *Broadcaster) Close() {
	close(b.stop)
	b.tasks.Wait()
}

// loop removes silent servers and evaluates the docks' observations at intervals.
func (b *Broadcaster) loop() {
	defer b.tasks.Done()
	ticker := b.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.update(func(now time.Time) []encoder.Registration { return b.directory.Sweep(now) })
			b.evaluateObservations()
		}
	}
}

// RecordHeartbeat records a server's heartbeat and returns the registrations that it changed.
func (b *Broadcaster) RecordHeartbeat(r encoder.Registration) []encoder.Registration {
	return b.update(func(now time.Time) []encoder.Registration { return b.directory.RecordHeartbeat(now, r) })
}

// Deregister removes a server and returns the registrations that this changed.
func (b *Broadcaster) Deregister(id encoder.ServerID, born int64) []encoder.Registration {
	return b.update(func(now time.Time) []encoder.Registration { return b.directory.Deregister(now, id, born) })
}

// MergeDeparture records that a server left, as reported by another keeper.
func (b *Broadcaster) MergeDeparture(r encoder.Registration) {
	b.update(func(now time.Time) []encoder.Registration { return b.directory.MergeDeparture(now, r) })
}

// Observe records what a dock observed of the servers.
func (b *Broadcaster) Observe(n encoder.ObserveNotice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outlierDetector.Observe(b.clock.Now(), n.Observations)
}

// ReportCrashes records what a dock holds against requests and the quarantines that it knows of.
func (b *Broadcaster) ReportCrashes(dock identifier.Incarnation, r encoder.CrashReport) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	findings := append(b.crashTracker.Report(now, dock, r.Crashes), b.crashTracker.Adopt(now, r.Quarantines)...)
	if len(findings) == 0 {
		return
	}
	for _, f := range findings {
		b.logFinding(f)
	}
	b.updateQuarantines(now)
}

// updateQuarantines computes the quarantines, and if they have changed, wakes all watches and the
// saver. The caller holds the lock.
func (b *Broadcaster) updateQuarantines(now time.Time) {
	quarantines := b.crashTracker.Quarantines(now)
	digest := quarantinesDigest(quarantines)
	if digest == b.quarantinesDigest {
		return
	}
	b.quarantines, b.quarantinesDigest = quarantines, digest
	b.wakeAllWatches()
	select {
	case b.quarantinesChanged <- struct{}{}:
	default:
	}
}

// logFinding logs that a crash was counted for a fingerprint, that a dock withdrew its crashes, or
// that another process quarantined the fingerprint.
func (b *Broadcaster) logFinding(f locator.CrashFinding) {
	outcome := "suspected"
	if f.IsQuarantined {
		outcome = "quarantined"
	}
	line := b.log.Info().Uint64(recorder.FieldFingerprint, uint64(f.Fingerprint)).Str(recorder.FieldOutcome, outcome)
	switch {
	case f.Crash != nil:
		line.Str(recorder.FieldRequest, f.Crash.Request).Str(recorder.FieldServer, string(f.Crash.Server)).
			Bool(recorder.FieldRepeat, f.Crash.IsRepeat).Int(recorder.FieldCount, f.Count).Msg(recorder.EventCrashCounted)
	case f.IsQuarantined:
		line.Msg(recorder.EventQuarantineAdopted)
	default:
		line.Msg(recorder.EventSuspicionCleared)
	}
}

// evaluateObservations computes the slow servers and the quarantines that have not ended, and wakes
// all watches if either has changed.
func (b *Broadcaster) evaluateObservations() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	b.updateQuarantines(now)
	slowServers := b.outlierDetector.SlowServers(now)
	digest := slowServersDigest(slowServers)
	if digest == b.slowServersDigest {
		return
	}
	b.slowServers, b.slowServersDigest = slowServers, digest
	b.wakeAllWatches()
}

// quarantinesDigest identifies the fingerprints that are quarantined and those that must run
// isolated. It is zero for an empty list.
func quarantinesDigest(quarantines []encoder.Quarantine) uint64 {
	if len(quarantines) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, q := range quarantines {
		// xxhash's Write never returns an error.
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(q.Fingerprint)))
		if q.Remaining > 0 {
			_, _ = d.Write([]byte{1})
		}
	}
	return d.Sum64() | 1
}

// slowServersDigest identifies a list of slow servers. It is zero for an empty list.
func slowServersDigest(servers []encoder.SlowServer) uint64 {
	if len(servers) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, v := range servers {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(string(v.Server))
		_, _ = d.Write([]byte{0, byte(v.Ratio)})
	}
	return d.Sum64() | 1
}

// Notify wakes all watches. It must be called when the committed configuration or the members of
// the group have changed.
func (b *Broadcaster) Notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.wakeAllWatches()
}

// update changes the directory and wakes the watches if anything changed.
func (b *Broadcaster) update(change func(now time.Time) []encoder.Registration) []encoder.Registration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed := change(b.clock.Now())
	if len(changed) == 0 {
		return nil
	}
	b.changes = append(b.changes, changed...)
	if excess := len(b.changes) - maxChanges; excess > 0 {
		b.changes = append([]encoder.Registration{}, b.changes[excess:]...)
		b.base += uint64(excess)
	}
	b.wakeWatches()
	return changed
}

// wakeWatches wakes the watches that wait for changes of the directory. The caller holds the lock.
func (b *Broadcaster) wakeWatches() {
	close(b.wakeups.changed)
	b.wakeups.changed = make(chan struct{})
}

// wakeAllWatches wakes all watches, also those that are collecting changes. The caller holds the
// lock.
func (b *Broadcaster) wakeAllWatches() {
	b.wakeWatches()
	close(b.wakeups.urgent)
	b.wakeups.urgent = make(chan struct{})
}

// Watch answers a dock's watch request as soon as there is an update for it, or without one when
// the requested wait is over. Changes of the directory alone are delayed by batchDelay, so that
// others can join them.
func (b *Broadcaster) Watch(ctx context.Context, dock identifier.HostName, request encoder.WatchRequest) encoder.WatchReply {
	timer := b.clock.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	isDue, isBatching := false, false
	for {
		reply, kind, wakeups := b.prepareReply(dock, request)
		if isDue || kind == updateUrgent {
			return reply
		}
		if kind == updateDirectory && !isBatching {
			isBatching = true
			timer.Reset(batchDelay)
		}
		changed := wakeups.changed
		if isBatching {
			changed = wakeups.urgent
		}
		select {
		case <-changed:
		case <-timer.C:
			isDue = true
		case <-ctx.Done():
			b.markDisconnected(dock)
			isDue = true
		case <-b.stop:
			isDue = true
		}
	}
}

// markDisconnected records that a dock's watch broke off. The dock is not listed until it watches
// again.
func (b *Broadcaster) markDisconnected(dock identifier.HostName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.docks.markDisconnected(dock)
}

// updateKind classifies what a reply to a watch contains.
type updateKind uint8

const (
	updateNone updateKind = iota
	// updateDirectory means that registrations have changed.
	updateDirectory
	// updateUrgent means that the reply must be sent at once.
	updateUrgent
)

// wakeChannels are the channels that watches wait on. Each is closed to wake its waiters and then
// replaced.
type wakeChannels struct {
	// changed is closed at every change, and urgent only at those that must be sent at once.
	changed chan struct{}
	urgent  chan struct{}
}

// prepareReply returns the reply to a watch request, what kind of update the reply contains, and
// the channels to wait on for the next one.
func (b *Broadcaster) prepareReply(dock identifier.HostName, request encoder.WatchRequest) (encoder.WatchReply, updateKind, wakeChannels) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// The channels are read before the keeper's state, so that a change in between is noticed.
	wakeups := b.wakeups
	s := b.keeperState()
	now := b.clock.Now()
	b.docks.recordWatch(now, dock, request.Dock)
	reply := b.newReply(s, request, now)
	b.addDocks(&reply, request, now)
	b.addServers(&reply, request, now)
	switch {
	case isUrgent(reply, request):
		return reply, updateUrgent, wakeups
	case len(reply.Servers) > 0:
		return reply, updateDirectory, wakeups
	default:
		return reply, updateNone, wakeups
	}
}

// newReply returns a reply with the keeper's state. It contains slow servers, quarantines and
// members only if the dock holds others. The caller holds the lock.
func (b *Broadcaster) newReply(s KeeperState, request encoder.WatchRequest, now time.Time) encoder.WatchReply {
	reply := encoder.WatchReply{
		Keeper:         b.self,
		Seen:           b.base + uint64(len(b.changes)),
		Configuration:  s.Configuration,
		IsVoter:        s.IsVoter,
		IsLeader:       s.IsLeader,
		MembersDigest:  s.MembersDigest,
		VerdictsDigest: b.slowServersDigest,

		QuarantinesDigest: b.quarantinesDigest,

		Voters: s.Voters,
	}
	if reply.VerdictsDigest != request.VerdictsDigest {
		reply.Verdicts = b.slowServers
	}
	if reply.QuarantinesDigest != request.QuarantinesDigest {
		reply.Quarantines = b.crashTracker.Quarantines(now)
	}
	if reply.MembersDigest != request.MembersDigest {
		reply.Members = s.Members
	}
	return reply
}

// addDocks adds the number of docks and of their failure domains and, on the leader, the docks in
// the sender's failure domain if it holds another list. The caller holds the lock.
func (b *Broadcaster) addDocks(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	reply.Docks, reply.Domains = b.docks.count(now)
	domainDocks, digest := b.docks.domainDocks(request.Dock.Domain)
	reply.FellowsDigest = digest
	if reply.IsLeader && digest != request.FellowsDigest {
		reply.Fellows = domainDocks
	}
}

// addServers adds the changes that a dock has not seen. It adds the whole directory if those
// changes are no longer kept or if the dock last watched another process of this keeper. The caller
// holds the lock.
func (b *Broadcaster) addServers(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	if request.Keeper == b.self && request.Seen >= b.base && request.Seen <= reply.Seen {
		reply.Servers = b.changes[request.Seen-b.base:]
		return
	}
	reply.IsWhole = true
	reply.Servers = b.directory.All(now)
}

// isUrgent reports whether a reply must be sent at once. Changed members, slow servers and
// quarantines count only from the leader, so that not all keepers answer at once. The others include
// them in their next reply.
func isUrgent(reply encoder.WatchReply, request encoder.WatchRequest) bool {
	if reply.IsWhole || reply.Configuration > request.Configuration {
		return true
	}
	hasChanged := reply.MembersDigest != request.MembersDigest || reply.VerdictsDigest != request.VerdictsDigest ||
		reply.QuarantinesDigest != request.QuarantinesDigest
	return reply.IsLeader && hasChanged
}
