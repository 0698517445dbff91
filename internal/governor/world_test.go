package governor_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/claimer"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/seeder"
	"banyandock.example/banyandock/internal/timekeeper"
)

func init() {
	seeder.Fix()
	// A run takes seconds, so the test suite makes few. Flags override this for long runs.
	_ = flag.Set("rapid.checks", "8")
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// keeper is one running keeper.
type keeper struct {
	ctx        context.Context
	cancel     context.CancelFunc
	replicator *replicator.Replicator
	state      *registrar.Registrar
	governor   *governor.Governor
}

// dock is one running dock's control side.
type dock struct {
	identity publisher.Dock
	poller   *poller.Poller
	claimer  *claimer.Claimer
	applied  uint64
	stop     chan struct{}
	stopped  chan struct{}
}

// acceptance is a manifest that was committed, and when.
type acceptance struct {
	manifest encoder.ManifestText
	at       time.Time
}

// world is a group of keepers and some docks in one bubble of fake time.
type world struct {
	t       *testing.T
	network *network
	members []replicator.Member
	disks   map[identifier.HostName]*memory
	// docks is changed by the test's goroutine alone, and read by others under mutex.
	docks map[identifier.HostName]*dock

	// nextIncarnation numbers processes and disks.
	nextIncarnation identifier.Incarnation

	mutex    sync.Mutex
	keepers  map[identifier.HostName]*keeper
	accepted []acceptance
}

func newWorld(t *testing.T, seed uint64, keepers, docks int) *world {
	w := &world{
		t:       t,
		network: newNetwork(seed),
		disks:   map[identifier.HostName]*memory{},
		docks:   map[identifier.HostName]*dock{},
		keepers: map[identifier.HostName]*keeper{},
	}
	for i := range keepers {
		m := replicator.Member{
			Name:    identifier.HostName(fmt.Sprintf("k%d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
		}
		w.members = append(w.members, m)
		w.disks[m.Name] = newMemory(w.incarnation())
	}
	for _, m := range w.members {
		w.startKeeper(m.Name)
	}
	for i := range docks {
		w.startDock(dockName(i))
	}
	return w
}

func dockName(i int) identifier.HostName { return identifier.HostName(fmt.Sprintf("d%d", i)) }

func (w *world) incarnation() identifier.Incarnation {
	w.nextIncarnation++
	return w.nextIncarnation
}

func (w *world) nameAt(address netip.AddrPort) identifier.HostName {
	for _, m := range w.members {
		if m.Address == address {
			return m.Name
		}
	}
	return ""
}

// keeper returns a running keeper or nil.
func (w *world) keeper(name identifier.HostName) *keeper {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.keepers[name]
}

// dock returns a running dock or nil.
func (w *world) dock(name identifier.HostName) *dock {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.docks[name]
}

// observer notes when a manifest is first committed.
type observer struct {
	*registrar.Registrar
	world *world
}

func (o observer) Apply(index uint64, command []byte) []byte {
	result := o.Registrar.Apply(index, command)
	o.world.noteAcceptance(o.Manifest())
	return result
}

func (w *world) noteAcceptance(m encoder.ManifestText) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if m.Number == 0 {
		return
	}
	for _, a := range w.accepted {
		if a.manifest.Number == m.Number {
			if a.manifest.Digest != m.Digest {
				panic(fmt.Sprintf("manifest %d was accepted with two digests", m.Number))
			}
			return
		}
	}
	w.accepted = append(w.accepted, acceptance{m, time.Now()})
}

// acceptedBefore returns the highest manifest that was committed at a time.
func (w *world) acceptedBefore(at time.Time) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	highest := uint64(0)
	for _, a := range w.accepted {
		if !a.at.After(at) {
			highest = max(highest, a.manifest.Number)
		}
	}
	return highest
}

func (w *world) startKeeper(name identifier.HostName) {
	settings := replicator.Settings{Initial: w.members, SnapshotEntries: 40, TrailingEntries: 10}
	for _, m := range w.members {
		if m.Name == name {
			settings.Self = m
		}
	}
	k := &keeper{state: registrar.New(nil)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	var err error
	k.replicator, err = replicator.Open(settings, observer{k.state, w}, w.disks[name], transport{w, name},
		replicator.WithMarker(registrar.SubmittedNumber),
		replicator.WithSeed(uint64(w.incarnation())),
		replicator.WithInvariantFailure(func(v replicator.Violation) { panic(&v) }))
	assert.NilError(w.t, err)
	k.governor = governor.New(agreement{k.replicator}, k.state, number, timekeeper.System{})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.keepers[name] = k
}

// stopKeeper ends a keeper at once. What it had synced stays.
func (w *world) stopKeeper(name identifier.HostName) {
	w.mutex.Lock()
	k := w.keepers[name]
	delete(w.keepers, name)
	w.mutex.Unlock()
	if k == nil {
		return
	}
	k.cancel()
	k.governor.Close()
	assert.NilError(w.t, k.replicator.Close())
}

// loseDisk ends a keeper and empties its data folder.
func (w *world) loseDisk(name identifier.HostName) {
	w.stopKeeper(name)
	w.disks[name] = newMemory(w.incarnation())
}

func (w *world) startDock(name identifier.HostName) {
	d := &dock{identity: publisher.Dock{Name: name, Incarnation: w.incarnation()}, stop: make(chan struct{}), stopped: make(chan struct{})}
	self := func() encoder.Host {
		return encoder.Host{Name: name, Incarnation: d.identity.Incarnation, Domain: "a", State: encoder.HostReady}
	}
	c := client{w, d.identity}
	var seeds []netip.AddrPort
	for _, m := range w.members {
		seeds = append(seeds, m.Address)
	}
	d.poller = poller.New(self, seeds, c, timekeeper.System{}, parse)
	d.claimer = claimer.New(c, d.poller.Leader, timekeeper.System{})
	w.mutex.Lock()
	w.docks[name] = d
	w.mutex.Unlock()
	go w.announce(d)
}

// announce plays the backend server beside a dock.
func (w *world) announce(d *dock) {
	defer close(d.stopped)
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	var n byte
	_, _ = fmt.Sscanf(string(d.identity.Name), "d%d", &n)
	for {
		d.poller.Announce(encoder.Server{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, n}), 7000), Service: "plates", Incarnation: 1})
		select {
		case <-ticker.C:
		case <-d.stop:
			return
		}
	}
}

func (w *world) stopDock(name identifier.HostName) {
	d := w.docks[name]
	if d == nil {
		return
	}
	w.mutex.Lock()
	delete(w.docks, name)
	w.mutex.Unlock()
	close(d.stop)
	<-d.stopped
	d.claimer.Close()
	d.poller.Close()
}

func (w *world) close() {
	for name := range w.docks {
		w.stopDock(name)
	}
	for _, m := range w.members {
		w.stopKeeper(m.Name)
	}
	w.network.tasks.Wait()
}

// check asserts what must hold at every moment.
func (w *world) check() {
	inForce := w.acceptedBefore(time.Now().Add(-3 * time.Second))
	for name, d := range w.docks {
		s := d.poller.State()
		number := s.ManifestText.Number
		if number < d.applied {
			w.t.Fatalf("%s reverted from %d to %d", name, d.applied, number)
		}
		d.applied = number
		if d.poller.IsFresh() && number < inForce {
			w.t.Fatalf("%s is fresh with manifest %d, but %d was accepted 3 s ago", name, number, inForce)
		}
		w.checkCommitted(name, s.ManifestText)
	}
}

// checkCommitted asserts that a dock applied nothing but what was committed.
func (w *world) checkCommitted(name identifier.HostName, m encoder.ManifestText) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, a := range w.accepted {
		if a.manifest.Number == m.Number && a.manifest.Digest == m.Digest {
			return
		}
	}
	if m.Number != 0 {
		w.t.Fatalf("%s applied manifest %d, which was not committed", name, m.Number)
	}
}

// wait lets time pass and checks all the while.
func (w *world) wait(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		time.Sleep(min(d, 50*time.Millisecond))
		w.check()
	}
}

// expect waits until a condition holds.
func (w *world) expect(what string, limit time.Duration, condition func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			w.describe()
			w.t.Fatalf("not within %s: %s", limit, what)
		}
		w.wait(50 * time.Millisecond)
	}
	return time.Since(began)
}

// describe logs the state of all processes.
func (w *world) describe() {
	for _, m := range w.members {
		if k := w.keeper(m.Name); k != nil {
			w.t.Logf("%s: %+v manifest %d", m.Name, k.replicator.Status(), k.state.Manifest().Number)
		}
	}
	for name, d := range w.docks {
		s := d.poller.State()
		w.t.Logf("%s: manifest %d fresh %v epoch %s hosts %d servers %d leader %s", name, s.ManifestText.Number, d.poller.IsFresh(), s.View.Epoch, len(s.View.Hosts), len(s.View.Servers), s.Leader)
	}
}

// leader returns the name of the keeper that leads.
func (w *world) leader() identifier.HostName {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var name identifier.HostName
	term := uint64(0)
	for n, k := range w.keepers {
		if s := k.replicator.Status(); s.IsLeader && s.Term > term {
			name, term = n, s.Term
		}
	}
	return name
}

// isStopped says whether a dock process has ended.
func (d *dock) isStopped() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// submit submits until some keeper's answer is final.
func (w *world) submit(m encoder.ManifestText, limit time.Duration) encoder.SubmitOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c := client{w, publisher.Dock{Name: "operator"}}
	for ctx.Err() == nil {
		for _, member := range w.members {
			attempt, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := c.Submit(attempt, member.Address, m)
			cancel()
			if err == nil && reply.Outcome != encoder.SubmitNotLeader && reply.Outcome != encoder.SubmitUnknown {
				return reply.Outcome
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return encoder.SubmitUnknown
}

// manifest makes a test manifest, whose text begins with its number.
func manifest(number uint64, remark string) encoder.ManifestText {
	text := fmt.Appendf(nil, "%d %s", number, remark)
	sum := sha256.Sum256(text)
	return encoder.ManifestText{Number: number, Digest: hex.EncodeToString(sum[:]), Text: text}
}

// number reads the number of a test's manifest.
func number(text []byte) (uint64, error) {
	m, err := parse(text)
	return m.Number, err
}

func parse(text []byte) (*manifestreader.Manifest, error) {
	m := &manifestreader.Manifest{}
	_, err := fmt.Sscanf(string(text), "%d", &m.Number)
	return m, err
}

// agreement is the replicator as the governor needs it.
type agreement struct{ *replicator.Replicator }

func (a agreement) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := a.Replicator.Propose(ctx, command)
	if errors.Is(err, replicator.ErrNotLeader) {
		err = governor.ErrNotLeader
	}
	return result, err
}

func (a agreement) GroupStatus() governor.GroupStatus {
	s := a.Status()
	standing := governor.GroupStatus{
		Self: member(s.Self), Leader: member(s.Leader), IsLeader: s.IsLeader, IsVoter: s.IsVoter,
		Term: s.Term, LastLogTerm: s.LastLogTerm, LastLogIndex: s.LastLogIndex, CommitIndex: s.CommitIndex, Pending: s.Pending,
	}
	for _, v := range s.Voters {
		standing.Voters = append(standing.Voters, member(v))
	}
	for _, v := range s.Outgoing {
		standing.Outgoing = append(standing.Outgoing, member(v))
	}
	return standing
}

func member(m replicator.Member) encoder.KeeperMember {
	return encoder.KeeperMember{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation}
}
