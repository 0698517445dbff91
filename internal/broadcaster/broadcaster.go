// Package broadcaster is a keeper's side towards docks: it takes in the heartbeats of backend
// servers and tells the docks that watch it at once what has changed, in the directory or in
// the committed configuration.
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
	// sweepInterval is how often servers are checked for silence, and what docks saw of them is
	// judged. Judged at every notice, a hundred docks would be told a hundred times a second.
	sweepInterval = 250 * time.Millisecond
	// maxChanges bounds the changes that are kept for docks that lag. Who lags more gets the
	// whole directory.
	maxChanges = 4096
	// maxWait bounds how long a watch may wait.
	maxWait = 5 * time.Second
	// saveInterval is how often a directory that has changed is saved.
	saveInterval = time.Second
	// batchTime is how long changes of the directory are collected before a dock hears of them.
	// While an index is cut anew, hundreds of servers announce themselves in a second.
	batchTime = 100 * time.Millisecond
)

// Standing is what the broadcaster tells of the agreement.
type Standing struct {
	// Configuration is the number of the committed configuration that is applied here.
	Configuration uint64
	IsVoter       bool
	IsLeader      bool
	// Members are the voters and, on the leader, those that it teaches.
	Members       []encoder.KeeperMember
	MembersDigest uint64
	Voters        int
}

// Broadcaster serves the docks of one keeper. It is safe for concurrent use.
type Broadcaster struct {
	// Set at creation.
	self     identifier.Incarnation
	clock    timekeeper.Clock
	standing func() Standing
	shelf    *Shelf
	log      zerolog.Logger
	stop     chan struct{}
	tasks    sync.WaitGroup

	// Guarded by mutex.
	mutex sync.Mutex
	book  *locator.Book
	judge *locator.Judge
	// culprits finds requests that crash servers, and quarantines are its latest.
	culprits          *locator.Culprits
	quarantines       []encoder.Quarantine
	quarantinesDigest uint64
	// verdicts are the judge's latest, and verdictsDigest identifies them.
	verdicts       []encoder.SlowServer
	verdictsDigest uint64
	// changes are the last ones; base is the number of those before.
	changes []encoder.Registration
	base    uint64
	docks   *fleet
	waking  wakes
	// saved is the number of the last change that is on the shelf.
	saved uint64
}

// New starts a Broadcaster with the directory that lies on the shelf. Silence is how long a
// server may send no heartbeat.
func New(self identifier.Incarnation, silence time.Duration, standing func() Standing, shelf *Shelf, clock timekeeper.Clock, log zerolog.Logger) *Broadcaster {
	b := &Broadcaster{
		self:     self,
		clock:    clock,
		standing: standing,
		shelf:    shelf,
		log:      log,
		stop:     make(chan struct{}),
		book:     locator.NewBook(silence),
		judge:    locator.NewJudge(),
		culprits: locator.NewCulprits(),
		docks:    newFleet(),
		waking:   wakes{changed: make(chan struct{}), urgent: make(chan struct{})},
	}
	b.restore()
	b.tasks.Add(2)
	go b.loop()
	go (&saver{b}).loop()
	return b
}

// restore takes in the directory of an earlier process.
func (b *Broadcaster) restore() {
	known, err := b.shelf.Load()
	if err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnread)
		return
	}
	b.book.Restore(b.clock.Now(), known)
}

// saver saves the directory from time to time.
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
		case <-ticker.C:
			s.Save()
		}
	}
}

// Save puts the directory on the shelf if it has changed. A directory that cannot be saved
// is missed only after a restart.
func (b *Broadcaster) Save() {
	b.mutex.Lock()
	at := b.base + uint64(len(b.changes))
	if at == b.saved {
		b.mutex.Unlock()
		return
	}
	all := b.book.All(b.clock.Now())
	b.mutex.Unlock()
	if err := b.shelf.Save(all); err != nil {
		b.log.Warn().Err(err).Msg(recorder.EventDirectoryUnsaved)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.saved = max(b.saved, at)
}

// Close ends the loop and all watches.
func (b *Broadcaster) Close() {
	close(b.stop)
	b.tasks.Wait()
}

// loop looks for silent servers.
func (b *Broadcaster) loop() {
	defer b.tasks.Done()
	ticker := b.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.update(func(now time.Time) []encoder.Registration { return b.book.Sweep(now) })
			b.judgeServers()
		}
	}
}

// Beat takes in a heartbeat and returns what it changed.
func (b *Broadcaster) Beat(r encoder.Registration) []encoder.Registration {
	return b.update(func(now time.Time) []encoder.Registration { return b.book.Beat(now, r) })
}

// Leave ends a server and returns what that changed.
func (b *Broadcaster) Leave(id encoder.ServerID, born int64) []encoder.Registration {
	return b.update(func(now time.Time) []encoder.Registration { return b.book.Leave(now, id, born) })
}

// Depart takes in another keeper's word of a server that leaves.
func (b *Broadcaster) Depart(r encoder.Registration) {
	b.update(func(now time.Time) []encoder.Registration { return b.book.Depart(now, r) })
}

// Observe takes in what a dock saw of the servers.
func (b *Broadcaster) Observe(n encoder.ObserveNotice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	b.judge.Observe(now, n.Observations)
	b.culprits.Observe(now, n.Crashes, n.Innocent)
}

// judgeServers tells the docks if other servers are slow now, or other requests must not run.
func (b *Broadcaster) judgeServers() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	verdicts, quarantines := b.judge.Verdicts(now), b.culprits.Quarantined(now)
	digest, other := verdictsDigest(verdicts), quarantinesDigest(quarantines)
	if digest == b.verdictsDigest && other == b.quarantinesDigest {
		return
	}
	b.verdicts, b.verdictsDigest = verdicts, digest
	b.quarantines, b.quarantinesDigest = quarantines, other
	b.wakeAll()
}

// quarantinesDigest identifies a list of quarantines. It is zero for an empty one.
func quarantinesDigest(quarantines []encoder.Quarantine) uint64 {
	if len(quarantines) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, q := range quarantines {
		// xxhash's Write never returns an error.
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(q.Fingerprint)))
	}
	return d.Sum64() | 1
}

// verdictsDigest identifies a list of verdicts. It is zero for an empty one.
func verdictsDigest(verdicts []encoder.SlowServer) uint64 {
	if len(verdicts) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, v := range verdicts {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(string(v.Server))
		_, _ = d.Write([]byte{0, byte(v.Ratio)})
	}
	return d.Sum64() | 1
}

// Notify wakes the docks because the committed configuration or the members changed.
func (b *Broadcaster) Notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.wakeAll()
}

// update changes the book and wakes the docks.
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
	b.wake()
	return changed
}

// wake lets the watches look again that wait for changes of the directory. The caller holds
// the lock.
func (b *Broadcaster) wake() {
	close(b.waking.changed)
	b.waking.changed = make(chan struct{})
}

// wakeAll lets all watches look again. The caller holds the lock.
func (b *Broadcaster) wakeAll() {
	b.wake()
	close(b.waking.urgent)
	b.waking.urgent = make(chan struct{})
}

// Watch answers a dock as soon as there is news for it, or when its time is up. Changes of the
// directory alone wait a moment for others to join them.
func (b *Broadcaster) Watch(ctx context.Context, dock identifier.HostName, request encoder.WatchRequest) encoder.WatchReply {
	timer := b.clock.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	isDue, isBatching := false, false
	for {
		reply, news, wakes := b.look(dock, request)
		if isDue || news == newsUrgent {
			return reply
		}
		if news == newsDirectory && !isBatching {
			isBatching = true
			timer.Reset(batchTime)
		}
		changed := wakes.changed
		if isBatching {
			changed = wakes.urgent
		}
		select {
		case <-changed:
		case <-timer.C:
			isDue = true
		case <-ctx.Done():
			b.leave(dock)
			isDue = true
		case <-b.stop:
			isDue = true
		}
	}
}

// leave notes that a dock's watch broke off: it is no fellow to others until it watches again.
func (b *Broadcaster) leave(dock identifier.HostName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.docks.leave(dock)
}

// news says what there is to tell a dock.
type news uint8

const (
	newsNone news = iota
	// newsDirectory are changed registrations.
	newsDirectory
	// newsUrgent is what a dock must hear at once.
	newsUrgent
)

// wakes are closed and replaced at each change.
type wakes struct {
	// changed is closed at every change, urgent at those that docks must hear of at once.
	changed chan struct{}
	urgent  chan struct{}
}

// look returns what is new for a dock, and the channels to wait on.
func (b *Broadcaster) look(dock identifier.HostName, request encoder.WatchRequest) (encoder.WatchReply, news, wakes) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// The channels are taken before the standing, so that a change in between is noticed.
	waking := b.waking
	s := b.standing()
	now := b.clock.Now()
	b.docks.hear(now, dock, request.Dock)
	reply := b.reply(s, request)
	b.addDocks(&reply, request, now)
	b.addServers(&reply, request, now)
	switch {
	case isUrgent(reply, request):
		return reply, newsUrgent, waking
	case len(reply.Servers) > 0:
		return reply, newsDirectory, waking
	default:
		return reply, newsNone, waking
	}
}

// reply returns the keeper's standing, with verdicts and members only if the dock has others. The
// caller holds the lock.
func (b *Broadcaster) reply(s Standing, request encoder.WatchRequest) encoder.WatchReply {
	reply := encoder.WatchReply{
		Keeper:         b.self,
		Seen:           b.base + uint64(len(b.changes)),
		Configuration:  s.Configuration,
		IsVoter:        s.IsVoter,
		IsLeader:       s.IsLeader,
		MembersDigest:  s.MembersDigest,
		VerdictsDigest: b.verdictsDigest,

		QuarantinesDigest: b.quarantinesDigest,

		Voters: s.Voters,
	}
	if reply.VerdictsDigest != request.VerdictsDigest {
		reply.Verdicts = b.verdicts
	}
	if reply.QuarantinesDigest != request.QuarantinesDigest {
		reply.Quarantines = b.quarantines
	}
	if reply.MembersDigest != request.MembersDigest {
		reply.Members = s.Members
	}
	return reply
}

// addDocks adds how many docks there are and, on the leader, the sender's fellows if it knows
// others. The caller holds the lock.
func (b *Broadcaster) addDocks(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	reply.Docks, reply.Domains = b.docks.count(now)
	fellows, digest := b.docks.fellows(request.Dock.Domain)
	reply.FellowsDigest = digest
	if reply.IsLeader && digest != request.FellowsDigest {
		reply.Fellows = fellows
	}
}

// addServers adds the changes that a dock has not seen, or the whole directory if they are not
// kept any more or the dock watched another start of the keeper. The caller holds the lock.
func (b *Broadcaster) addServers(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	if request.Keeper == b.self && request.Seen >= b.base && request.Seen <= reply.Seen {
		reply.Servers = b.changes[request.Seen-b.base:]
		return
	}
	reply.IsWhole = true
	reply.Servers = b.book.All(now)
}

// isUrgent tells whether a reply holds what a dock must hear at once. Members and verdicts count
// only from the leader, who has them first.
func isUrgent(reply encoder.WatchReply, request encoder.WatchRequest) bool {
	if reply.IsWhole || reply.Configuration > request.Configuration {
		return true
	}
	isNews := reply.MembersDigest != request.MembersDigest || reply.VerdictsDigest != request.VerdictsDigest ||
		reply.QuarantinesDigest != request.QuarantinesDigest
	return reply.IsLeader && isNews
}
