// Package broadcaster implements a keeper's side of the watch protocol: it records the heartbeats
// of backend servers in a directory and sends the docks that watch the keeper every change of the
// directory and of the committed configuration.
package broadcaster

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/limiter"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// sweepInterval is how often silent servers are removed and the docks' observations are
	// evaluated. If they were evaluated at every notice, a hundred docks would be woken a hundred
	// times a second.
	sweepInterval = 250 * time.Millisecond
	// pauseTime is the time between two sweeps from which this keeper counts as paused in between.
	pauseTime = time.Second
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
	// Evacuated lists the evacuated failure domains, and EvacuationVersion increases with each change.
	Evacuated         []identifier.DomainName
	EvacuationVersion uint64
	// IsBehind is set while entries may be committed that are not applied here.
	IsBehind bool
}

// Broadcaster answers the docks that watch one keeper. It is safe for concurrent use.
type Broadcaster struct {
	// Set at creation.
	// instance distinguishes the numbers of this Broadcaster's changes from those of an earlier one, also in
	// the same process.
	instance    identifier.Incarnation
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
	// issuer issues tokens for the servers that name limits. limitsDigest identifies the limits.
	issuer       *limiter.Issuer
	limitsDigest uint64
	// slowServers are the latest result of outlierDetector, and slowServersDigest identifies them.
	slowServers       []encoder.SlowServer
	slowServersDigest uint64
	// changes are the most recent changes of the directory, and base is the number of changes
	// before them.
	changes []encoder.Registration
	base    uint64
	docks   *dockSet
	// detachedAt is when a dock was last cut off from the backend servers or no longer was, and
	// hasDetachChanged is set until the watches were woken for it.
	detachedAt       time.Time
	hasDetachChanged bool
	wakeups          wakeChannels
	// wasBehind is whether the keeper was behind at the last sweep.
	wasBehind bool
	// savedChange is the number of the last change of the directory that was saved, and
	// savedQuarantines is the digest of the quarantines that were saved last.
	savedChange      uint64
	savedQuarantines uint64
}

// New starts a Broadcaster with the directory and the quarantines that were saved in the files.
// Silence is how long a server may go without a heartbeat.
func New(silence time.Duration, keeperState func() KeeperState, files Files, clock timekeeper.Clock, log zerolog.Logger) *Broadcaster {
	b := &Broadcaster{
		instance:    identifier.NewIncarnation(),
		clock:       clock,
		keeperState: keeperState,
		files:       files,
		log:         log,
		stop:        make(chan struct{}),

		quarantinesChanged: make(chan struct{}, 1),

		directory:       locator.NewDirectory(silence),
		outlierDetector: locator.NewOutlierDetector(),
		crashTracker:    locator.NewCrashTracker(),
		issuer:          limiter.NewIssuer(),
		limitsDigest:    encoder.NoLimits,
		docks:           newDockSet(),
		wakeups:         wakeChannels{changed: make(chan struct{}), urgent: make(chan struct{})},
	}
	b.restore()
	b.tasks.Add(2)
	go b.loop()
	go (&saver{b}).loop()
	return b
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
	lastSweep := b.clock.Now()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.sweepDocks(lastSweep)
			lastSweep = b.clock.Now()
			b.update(func(now time.Time) []encoder.Registration { return b.directory.Sweep(now) })
			b.evaluateObservations()
			b.announceCaughtUp()
		}
	}
}

// sweepDocks removes silent docks from the lists that other docks send requests by. The lists change at
// once.
func (b *Broadcaster) sweepDocks(lastSweep time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	if now.Sub(lastSweep) > pauseTime {
		b.docks.resumeWatches(now)
		return
	}
	if n := b.docks.markSilent(now); n > 0 {
		b.detachedAt = now
		b.hasDetachChanged = true
		b.log.Info().Int(recorder.FieldCount, n).Msg(recorder.EventDocksSilent)
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

// evaluateObservations computes the slow servers and the quarantines that have not ended, and wakes
// all watches if either has changed.
func (b *Broadcaster) evaluateObservations() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	b.updateQuarantines(now)
	b.updateLimits(now)
	b.announceDetached()
	slowServers := b.outlierDetector.SlowServers(now)
	digest := slowServersDigest(slowServers)
	if digest == b.slowServersDigest {
		return
	}
	b.slowServers, b.slowServersDigest = slowServers, digest
	b.wakeAllWatches()
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

// wakeChannels are the channels that watches wait on. Each is closed to wake its waiters and then
// replaced.
type wakeChannels struct {
	// changed is closed at every change, and urgent only at those that must be sent at once.
	changed chan struct{}
	urgent  chan struct{}
}
