package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// register is a state machine that counts commands and keeps the last one.
type register struct {
	mutex sync.Mutex
	count int
	last  string
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count++
	r.last = string(command)
	return fmt.Appendf(nil, "%d", r.count)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return fmt.Appendf(nil, "%d %s", r.count, r.last), nil
}

func (r *register) Restore(b []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, err := fmt.Sscanf(string(b), "%d %s", &r.count, &r.last)
	return err
}

func (r *register) applied() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count
}

// group runs members in one process and delivers their messages immediately.
type group struct {
	t          testing.TB
	initial    []replicator.Member
	mutex      sync.Mutex
	running    map[identifier.HostName]*replicator.Replicator
	state      map[identifier.HostName]*register
	folders    map[identifier.HostName]string
	isIsolated map[identifier.HostName]bool
	// sizeLimit is the largest size in bytes of a message that a host receives. Zero means no
	// limit.
	sizeLimit      map[identifier.HostName]int
	changeSettings func(*replicator.Settings)
	options        []replicator.Option
}

// groupTransport sends the messages of one member.
type groupTransport struct {
	group *group
	from  identifier.HostName
}

func (s groupTransport) Send(to replicator.Member, message []byte) {
	s.group.mutex.Lock()
	r := s.group.running[to.Name]
	sizeLimit := s.group.sizeLimit[to.Name]
	isIsolated := s.group.isIsolated[to.Name] || s.group.isIsolated[s.from] || sizeLimit > 0 && len(message) > sizeLimit
	s.group.mutex.Unlock()
	if r != nil && !isIsolated {
		r.Deliver(message)
	}
}

func newGroup(t testing.TB, n int) *group {
	g := &group{
		t:              t,
		running:        map[identifier.HostName]*replicator.Replicator{},
		state:          map[identifier.HostName]*register{},
		folders:        map[identifier.HostName]string{},
		isIsolated:     map[identifier.HostName]bool{},
		sizeLimit:      map[identifier.HostName]int{},
		changeSettings: func(*replicator.Settings) {},
	}
	for i := range n {
		m := replicator.Member{
			Name:    identifier.HostName(string(rune('a' + i))),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		}
		g.initial = append(g.initial, m)
		g.folders[m.Name] = t.TempDir()
	}
	return g
}

// start opens a member on its data folder.
func (g *group) start(m replicator.Member) {
	g.t.Helper()
	j, err := journaler.Open(g.folders[m.Name])
	assert.NilError(g.t, err)
	settings := replicator.Settings{Self: m, Initial: g.initial}
	g.changeSettings(&settings)
	state := &register{}
	options := append([]replicator.Option{
		replicator.WithSeed(uint64(m.Address.Port())),
		replicator.WithInvariantFailure(func(v replicator.Violation) { panic(&v) }),
	}, g.options...)
	r, err := replicator.Open(settings, state, j, groupTransport{g, m.Name}, options...)
	assert.NilError(g.t, err)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running[m.Name] = r
	g.state[m.Name] = state
}

func (g *group) startAll() {
	for _, m := range g.initial {
		g.start(m)
	}
}

// stop closes a member.
func (g *group) stop(name identifier.HostName) {
	g.mutex.Lock()
	r := g.running[name]
	delete(g.running, name)
	g.mutex.Unlock()
	if r != nil {
		assert.NilError(g.t, r.Close())
	}
}

func (g *group) stopAll() {
	for _, m := range g.initial {
		g.stop(m.Name)
	}
}

// leader returns a member that leads and is not isolated, or nil.
func (g *group) leader() *replicator.Replicator {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for name, r := range g.running {
		if r.Status().IsLeader && !g.isIsolated[name] {
			return r
		}
	}
	return nil
}

// eventually waits, in the virtual time of the test, until a condition holds.
func (g *group) eventually(what string, condition func() bool) {
	g.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, m := range g.initial {
		if r := g.running[m.Name]; r != nil {
			g.t.Logf("%s: %+v", m.Name, r.Status())
		}
	}
	g.t.Fatalf("condition never held: %s", what)
}

// propose commits a command through the current leader.
func (g *group) propose(command string) {
	g.t.Helper()
	g.eventually("propose "+command, func() bool {
		r := g.leader()
		if r == nil {
			return false
		}
		_, err := r.Propose(context.Background(), []byte(command))
		return err == nil
	})
}

func (g *group) expectApplied(want int) {
	g.t.Helper()
	g.eventually(fmt.Sprintf("%d applied everywhere", want), func() bool {
		for name := range g.running {
			if g.state[name].applied() != want {
				return false
			}
		}
		return true
	})
}

func TestGroupsElectAndReplicate(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, n)
			g.startAll()
			defer g.stopAll()
			g.propose("x")
			g.propose("y")
			g.expectApplied(2)
			assert.NilError(t, g.leader().Barrier(t.Context()))
			s := g.leader().Status()
			assert.Equal(t, len(s.Voters), n)
			assert.Assert(t, s.IsVoter)
		})
	}
}

func TestFollowersRefuseAndNameTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		defer g.stopAll()
		g.propose("x")
		g.expectApplied(1)
		lead := g.leader().Status().Self
		for _, r := range g.running {
			if r.Status().IsLeader {
				continue
			}
			_, err := r.Propose(t.Context(), []byte("y"))
			var refusal *replicator.NotLeaderError
			assert.Assert(t, errors.As(err, &refusal) && errors.Is(err, replicator.ErrNotLeader))
			assert.Equal(t, refusal.Leader, lead)
			assert.ErrorIs(t, r.Barrier(t.Context()), replicator.ErrNotLeader)
		}
	})
}

func TestRestartKeepsWhatWasCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.startAll()
		for i := range 20 {
			g.propose(fmt.Sprint(i))
		}
		g.stopAll()
		g.startAll()
		defer g.stopAll()
		g.expectApplied(20)
	})
}
