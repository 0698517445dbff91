package governor_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	// Each run takes seconds, so the test suite does only a few. The command line's flags override
	// this number.
	_ = flag.Set("rapid.checks", "8")
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// keeper is a running keeper.
type keeper struct {
	ctx        context.Context
	cancel     context.CancelFunc
	replicator *replicator.Replicator
	state      *registrar.Registrar
	governor   *governor.Governor
}

// dock is the control plane client of a running dock.
type dock struct {
	identity publisher.Dock
	poller   *poller.Poller
	claimer  *claimer.Claimer
	applied  uint64
	stop     chan struct{}
	stopped  chan struct{}
}

// acceptedManifest is a committed manifest and the time of its first commit.
type acceptedManifest struct {
	manifest encoder.ManifestText
	at       time.Time
}

// cluster is a group of keepers and some docks in one synctest bubble.
type cluster struct {
	t       *testing.T
	network *network
	members []replicator.Member
	disks   map[identifier.HostName]*memory
	// docks is changed only by the test's goroutine, under mutex. Other goroutines read it under
	// mutex.
	docks map[identifier.HostName]*dock

	// nextIncarnation is the last incarnation that was given to a process or storage.
	nextIncarnation identifier.Incarnation

	mutex    sync.Mutex
	keepers  map[identifier.HostName]*keeper
	accepted []acceptedManifest
	commands commandLog
	// openAttempts contains the claims of which an attempt ended without a final reply.
	openAttempts map[claimOfKey]bool
}

// claimOfKey identifies a claim: the key and the request that claims it.
type claimOfKey struct {
	key      string
	claimant registrar.Claimant
}

func newClaimOfKey(q encoder.ClaimRequest) claimOfKey {
	return claimOfKey{q.Key, registrar.Claimant{Holder: q.Holder, Request: q.Request}}
}

func newCluster(t *testing.T, seed uint64, keepers, docks int) *cluster {
	cl := &cluster{
		t:        t,
		network:  newNetwork(seed),
		disks:    map[identifier.HostName]*memory{},
		docks:    map[identifier.HostName]*dock{},
		keepers:  map[identifier.HostName]*keeper{},
		commands: commandLog{start: time.Now(), commands: map[uint64]committedCommand{}},

		openAttempts: map[claimOfKey]bool{},
	}
	for i := range keepers {
		m := replicator.Member{
			Name:    identifier.HostName(fmt.Sprintf("k%d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
		}
		cl.members = append(cl.members, m)
		cl.disks[m.Name] = newMemory(cl.newIncarnation())
	}
	for _, m := range cl.members {
		cl.startKeeper(m.Name)
	}
	for i := range docks {
		cl.startDock(dockName(i))
	}
	return cl
}

func dockName(i int) identifier.HostName { return identifier.HostName(fmt.Sprintf("d%d", i)) }

func (cl *cluster) newIncarnation() identifier.Incarnation {
	cl.nextIncarnation++
	return cl.nextIncarnation
}

func (cl *cluster) keeperNameAt(address netip.AddrPort) identifier.HostName {
	for _, m := range cl.members {
		if m.Address == address {
			return m.Name
		}
	}
	return ""
}

// keeper returns a running keeper, or nil if it is stopped.
func (cl *cluster) keeper(name identifier.HostName) *keeper {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.keepers[name]
}

// dock returns a running dock, or nil if it is stopped.
func (cl *cluster) dock(name identifier.HostName) *dock {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.docks[name]
}

// commitObserver is a state machine that records when each manifest is first committed.
type commitObserver struct {
	*registrar.Registrar
	cluster *cluster
}

func (o commitObserver) Apply(index uint64, command []byte) []byte {
	result := o.Registrar.Apply(index, command)
	o.cluster.recordAccepted(o.Manifest())
	o.cluster.recordCommand(index, command, result)
	return result
}

func (cl *cluster) recordCommand(index uint64, command, result []byte) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.commands.record(index, command, result)
}

func (cl *cluster) recordAccepted(m encoder.ManifestText) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if m.Number == 0 {
		return
	}
	for _, a := range cl.accepted {
		if a.manifest.Number == m.Number {
			if a.manifest.Digest != m.Digest {
				panic(fmt.Sprintf("manifest %d was accepted with two digests", m.Number))
			}
			return
		}
	}
	cl.accepted = append(cl.accepted, acceptedManifest{m, time.Now()})
}

// recordOpenAttempt records that an attempt of a claim ended without a final reply, so that the
// keepers may still receive it.
func (cl *cluster) recordOpenAttempt(q encoder.ClaimRequest) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.openAttempts[newClaimOfKey(q)] = true
}

// hasOpenAttempt reports whether the keepers may still receive an attempt of a claim.
func (cl *cluster) hasOpenAttempt(q encoder.ClaimRequest) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.openAttempts[newClaimOfKey(q)]
}

// highestAccepted returns the highest number of the manifests committed by a time.
func (cl *cluster) highestAccepted(at time.Time) uint64 {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	highest := uint64(0)
	for _, a := range cl.accepted {
		if !a.at.After(at) {
			highest = max(highest, a.manifest.Number)
		}
	}
	return highest
}

func (cl *cluster) startKeeper(name identifier.HostName) {
	settings := replicator.Settings{Initial: cl.members, SnapshotEntries: 40, TrailingEntries: 10}
	for _, m := range cl.members {
		if m.Name == name {
			settings.Self = m
		}
	}
	k := &keeper{state: registrar.New(nil)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	var err error
	k.replicator, err = replicator.Open(settings, commitObserver{k.state, cl}, cl.disks[name], transport{cl, name},
		replicator.WithCommandNumber(registrar.SubmittedNumber),
		replicator.WithSeed(uint64(cl.newIncarnation())),
		replicator.WithInvariantFailure(func(v replicator.Violation) { panic(&v) }))
	assert.NilError(cl.t, err)
	k.governor = governor.New(replicatedLog{k.replicator}, k.state, number, timekeeper.System{})
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.keepers[name] = k
}

// stopKeeper stops a keeper. Its storage is kept.
func (cl *cluster) stopKeeper(name identifier.HostName) {
	cl.mutex.Lock()
	k := cl.keepers[name]
	delete(cl.keepers, name)
	cl.mutex.Unlock()
	if k == nil {
		return
	}
	k.cancel()
	k.governor.Close()
	assert.NilError(cl.t, k.replicator.Close())
}

// loseDisk stops a keeper and replaces its storage by an empty one.
func (cl *cluster) loseDisk(name identifier.HostName) {
	cl.stopKeeper(name)
	cl.disks[name] = newMemory(cl.newIncarnation())
}

func (cl *cluster) startDock(name identifier.HostName) {
	d := &dock{identity: publisher.Dock{Name: name, Incarnation: cl.newIncarnation()}, stop: make(chan struct{}), stopped: make(chan struct{})}
	self := func() encoder.Host {
		return encoder.Host{Name: name, Incarnation: d.identity.Incarnation, Domain: "a", State: encoder.HostReady}
	}
	c := keeperClient{cl, d.identity}
	var seeds []netip.AddrPort
	for _, m := range cl.members {
		seeds = append(seeds, m.Address)
	}
	d.poller = poller.New(self, seeds, c, timekeeper.System{}, parse)
	d.claimer = claimer.New(c, d.poller.Leader, timekeeper.System{})
	cl.mutex.Lock()
	cl.docks[name] = d
	cl.mutex.Unlock()
	go cl.announce(d)
}

// announce simulates the backend server that announces itself at a dock every two seconds.
func (cl *cluster) announce(d *dock) {
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

func (cl *cluster) stopDock(name identifier.HostName) {
	d := cl.docks[name]
	if d == nil {
		return
	}
	cl.mutex.Lock()
	delete(cl.docks, name)
	cl.mutex.Unlock()
	close(d.stop)
	<-d.stopped
	d.claimer.Close()
	d.poller.Close()
}

func (cl *cluster) close() {
	for name := range cl.docks {
		cl.stopDock(name)
	}
	for _, m := range cl.members {
		cl.stopKeeper(m.Name)
	}
	cl.network.tasks.Wait()
}

// checkInvariants asserts that each dock's manifest number never falls, that each dock applied only
// committed manifests, and that a fresh dock has every manifest that was committed 3 s ago.
func (cl *cluster) checkInvariants() {
	inForce := cl.highestAccepted(time.Now().Add(-3 * time.Second))
	for name, d := range cl.docks {
		s := d.poller.State()
		number := s.ManifestText.Number
		if number < d.applied {
			cl.t.Fatalf("%s reverted from %d to %d", name, d.applied, number)
		}
		d.applied = number
		if d.poller.IsFresh() && number < inForce {
			cl.t.Fatalf("%s is fresh with manifest %d, but %d was accepted 3 s ago", name, number, inForce)
		}
		cl.checkCommitted(name, s.ManifestText)
	}
}

// checkCommitted asserts that the manifest that a dock applied was committed.
func (cl *cluster) checkCommitted(name identifier.HostName, m encoder.ManifestText) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for _, a := range cl.accepted {
		if a.manifest.Number == m.Number && a.manifest.Digest == m.Digest {
			return
		}
	}
	if m.Number != 0 {
		cl.t.Fatalf("%s applied manifest %d, which was not committed", name, m.Number)
	}
}

// advance waits for a duration and checks the invariants every 50 ms.
func (cl *cluster) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		time.Sleep(min(d, 50*time.Millisecond))
		cl.checkInvariants()
	}
}

// expect waits until a condition holds and returns how long that took. The test fails after limit.
func (cl *cluster) expect(what string, limit time.Duration, condition func() bool) time.Duration {
	cl.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			cl.logState()
			cl.t.Fatalf("did not happen within %s: %s", limit, what)
		}
		cl.advance(50 * time.Millisecond)
	}
	return time.Since(began)
}

// logState logs the state of all keepers and docks.
func (cl *cluster) logState() {
	for _, m := range cl.members {
		if k := cl.keeper(m.Name); k != nil {
			cl.t.Logf("%s: %+v manifest %d", m.Name, k.replicator.Status(), k.state.Manifest().Number)
		}
	}
	for name, d := range cl.docks {
		s := d.poller.State()
		cl.t.Logf("%s: manifest %d fresh %v epoch %s hosts %d servers %d leader %s", name, s.ManifestText.Number, d.poller.IsFresh(), s.View.Epoch, len(s.View.Hosts), len(s.View.Servers), s.Leader)
	}
}

// leader returns the name of the leader with the highest term, or an empty name if there is none.
func (cl *cluster) leader() identifier.HostName {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	var name identifier.HostName
	term := uint64(0)
	for n, k := range cl.keepers {
		if s := k.replicator.Status(); s.IsLeader && s.Term > term {
			name, term = n, s.Term
		}
	}
	return name
}

// isStopped reports whether the dock is stopped.
func (d *dock) isStopped() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// submit sends a manifest to the keepers until one of them returns a final outcome. It returns
// SubmitUnknown after limit.
func (cl *cluster) submit(m encoder.ManifestText, limit time.Duration) encoder.SubmitOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c := keeperClient{cl, publisher.Dock{Name: "operator"}}
	for ctx.Err() == nil {
		for _, member := range cl.members {
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

// manifest returns a test manifest, whose text starts with its number.
func manifest(number uint64, variant string) encoder.ManifestText {
	text := fmt.Appendf(nil, "%d %s", number, variant)
	sum := sha256.Sum256(text)
	return encoder.ManifestText{Number: number, Digest: hex.EncodeToString(sum[:]), Text: text}
}

// number returns the number in the text of a test manifest.
func number(text []byte) (uint64, error) {
	m, err := parse(text)
	return m.Number, err
}

func parse(text []byte) (*manifestreader.Manifest, error) {
	m := &manifestreader.Manifest{}
	_, err := fmt.Sscanf(string(text), "%d", &m.Number)
	return m, err
}
