package poller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/seeder"
	"banyandock.example/banyandock/internal/timekeeper"
)

func init() {
	seeder.Fix()
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// singleKeeperLog is the replicated log of a group of one keeper. It commits at once.
type singleKeeperLog struct {
	mutex  sync.Mutex
	state  *registrar.Registrar
	status governor.GroupStatus
}

func (s *singleKeeperLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status.LastLogIndex++
	s.status.CommitIndex++
	return s.state.Apply(s.status.CommitIndex, command), nil
}

func (s *singleKeeperLog) Barrier(context.Context) error { return nil }

func (s *singleKeeperLog) ReportGroup() {}

func (s *singleKeeperLog) GroupStatus() governor.GroupStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status
}

// parse parses a test manifest, whose text starts with its number.
func parse(text []byte) (*manifestreader.Manifest, error) {
	m := &manifestreader.Manifest{}
	_, err := fmt.Sscanf(string(text), "%d", &m.Number)
	return m, err
}

// manifest returns a test manifest.
func manifest(number uint64, remark string) encoder.ManifestText {
	text := []byte(fmt.Sprintf("%d %s", number, remark))
	sum := sha256.Sum256(text)
	return encoder.ManifestText{Number: number, Digest: hex.EncodeToString(sum[:]), Text: text}
}

func TestPollingOverLinks(t *testing.T) {
	clock := timekeeper.System{}
	mux := linker.NewMux()
	server, err := linker.Listen(netip.MustParseAddrPort("127.0.0.1:0"), linker.Self{Host: "k1", Incarnation: 1}, mux, clock)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	member := encoder.KeeperMember{Name: "k1", Incarnation: 1, Address: server.Address()}
	state := registrar.New(nil)
	replicatedLog := &singleKeeperLog{state: state, status: governor.GroupStatus{
		Self: member, Leader: member, IsLeader: true, IsVoter: true, Term: 1, LastLogTerm: 1, Voters: []encoder.KeeperMember{member},
	}}
	g := governor.New(replicatedLog, state, manifestNumber, clock)
	defer g.Close()
	g.Register(mux)

	pool := linker.NewPool(linker.Self{Host: "d1", Incarnation: 7}, clock)
	defer func() { assert.NilError(t, pool.Close()) }()
	self := func() encoder.Host {
		return encoder.Host{Name: "d1", Incarnation: 7, Domain: "a", State: encoder.HostReady, Address: netip.MustParseAddrPort("127.0.0.1:9")}
	}
	p := poller.New(self, []netip.AddrPort{server.Address()}, poller.LinkCaller{Pool: pool}, clock, parse)
	defer p.Close()
	p.Announce(encoder.Server{Address: netip.MustParseAddrPort("127.0.0.1:10"), Service: "plates", Holdings: []encoder.Holding{{Version: 1, ShardCount: 1}}})
	link := pool.Link(server.Address())
	r, err := linker.Call[encoder.SubmitRequest, encoder.SubmitReply](t.Context(), link, encoder.KindSubmit, encoder.SubmitRequest{Manifest: manifest(4, "")})
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, encoder.SubmitAccepted)

	changed := p.Subscribe()
	deadline := time.After(20 * time.Second)
	for !isServing(p.State()) || !p.IsFresh() {
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("state is %+v", p.State())
		}
	}
	a, ok := p.State().Placement.Assignment("plates", 0)
	assert.Assert(t, ok)
	assert.Equal(t, a.Owner.Name, identifier.HostName("d1"))
}

func isServing(s *poller.State) bool {
	return s.Manifest != nil && s.Manifest.Number == 4 && len(s.View.Servers) == 1 && len(s.View.Hosts) == 1
}

// manifestNumber returns the number of a test manifest.
func manifestNumber(text []byte) (uint64, error) {
	m, err := parse(text)
	return m.Number, err
}
