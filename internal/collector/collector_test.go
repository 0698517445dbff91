package collector

import (
	"context"
	"errors"
	"net/netip"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errUnreachable = errors.New("process is unreachable")

// address returns the address of the process with a number.
func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, n}), 7400)
}

// fakeProcesses replies from its maps and returns errUnreachable for all other processes.
type fakeProcesses struct {
	statuses map[netip.AddrPort]encoder.StatusReply
	tracers  map[netip.AddrPort]*tracer.Tracer
}

func (f fakeProcesses) Status(_ context.Context, keeper netip.AddrPort) (encoder.StatusReply, error) {
	status, exists := f.statuses[keeper]
	if !exists {
		return status, errUnreachable
	}
	return status, nil
}

func (f fakeProcesses) Events(_ context.Context, process netip.AddrPort, q tracer.EventsRequest) (tracer.EventsReply, error) {
	t := f.tracers[process]
	if t == nil {
		return tracer.EventsReply{}, errUnreachable
	}
	q.Limit = 3
	return t.Events(q), nil
}

// keeperStatus returns the status of a keeper that lists the keepers 1 to 3 as voters.
func keeperStatus(name string, term uint64, isLeading bool, docks ...encoder.DockStatus) encoder.StatusReply {
	s := encoder.StatusReply{Docks: docks, Poll: encoder.PollReply{Keeper: identifier.HostName(name), Term: term, LeaderReady: isLeading}}
	for n := byte(1); n <= 3; n++ {
		s.Poll.Voters = append(s.Poll.Voters, encoder.KeeperMember{Address: address(n)})
	}
	return s
}

// dock returns a dock's status. Docks have the numbers from 10 on.
func dock(name string, n byte, domain string) encoder.DockStatus {
	return encoder.DockStatus{Host: encoder.Host{Name: identifier.HostName(name), Address: address(n), Domain: identifier.DomainName(domain)}}
}

func TestAllKeepersAreFoundFromOneAddress(t *testing.T) {
	c := New(fakeProcesses{statuses: map[netip.AddrPort]encoder.StatusReply{
		address(1): keeperStatus("a", 4, true),
		address(2): keeperStatus("b", 5, true),
	}})
	keepers := c.Keepers(t.Context(), []netip.AddrPort{address(2), address(2)})
	assert.Equal(t, len(keepers), 3)
	for i, k := range keepers {
		assert.Equal(t, k.Address, address(byte(i+1)))
	}
	assert.ErrorIs(t, keepers[2].Err, errUnreachable)
	leader, exists := Leader(keepers)
	assert.Assert(t, exists)
	assert.Equal(t, string(leader.Status.Poll.Keeper), "b")
	_, exists = Leader(keepers[2:])
	assert.Assert(t, !exists)
}

func TestTimelineMergesAllProcesses(t *testing.T) {
	clock := tracer.NewHybridClock(timekeeper.System{})
	tracers := map[netip.AddrPort]*tracer.Tracer{
		address(1):  tracer.New("keeper", "a", clock),
		address(10): tracer.New("dock", "a", clock),
	}
	for i := range 20 {
		n := byte(1)
		if i%3 > 0 {
			n = 10
		}
		tracers[address(n)].Record(tracer.EpochApplied, identifier.RequestID{}, "", tracer.F("number", i))
	}
	c := New(fakeProcesses{
		statuses: map[netip.AddrPort]encoder.StatusReply{address(1): keeperStatus("a", 1, true, dock("b", 11, "two"), dock("a", 10, "one"))},
		tracers:  tracers,
	})
	sources := Sources(c.Keepers(t.Context(), []netip.AddrPort{address(1)}))
	line := c.Timeline(t.Context(), sources, tracer.EventsRequest{})
	assert.Equal(t, len(line.Events), 20)
	for i, e := range line.Events {
		assert.Equal(t, e.Fields[0], tracer.F("number", i))
	}
	programs := ""
	for _, s := range line.Sources {
		isUnreachable := s.Address != address(1) && s.Address != address(10)
		assert.Equal(t, s.Err != nil, isUnreachable, "%v", s)
		programs += s.Program + string(s.Host) + string(s.Domain) + " "
	}
	assert.Equal(t, programs, "keeper keeper keeperaone dockaone dockbtwo ")
}
