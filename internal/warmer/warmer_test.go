package warmer_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/warmer"
)

// fakeServers is a fake TargetSource and Opener. Connections to the addresses in refusing fail.
type fakeServers struct {
	mutex    sync.Mutex
	list     []sender.Destination
	open     map[netip.AddrPort]bool
	refusing map[netip.AddrPort]bool
	opened   []time.Time
	// spread, if it is set, makes the servers shared ones.
	spread time.Duration
}

func (s *fakeServers) ConnectionTargets(time.Time) warmer.Targets {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.spread > 0 {
		return warmer.Targets{Shared: s.list, Spread: s.spread}
	}
	return warmer.Targets{Own: s.list}
}

func (s *fakeServers) ConnectPeers(context.Context) {}

func (s *fakeServers) Warm(_ context.Context, to sender.Destination, _ int) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.refusing[to.Address] {
		return 0, errors.New("refused")
	}
	if s.open[to.Address] {
		return 0, nil
	}
	s.open[to.Address] = true
	s.opened = append(s.opened, time.Now())
	return 1, nil
}

func (s *fakeServers) add(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range n {
		port := uint16(1 + len(s.list))
		s.list = append(s.list, sender.Destination{ID: encoder.ServerID("s"), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), port)})
	}
}

func (s *fakeServers) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.opened)
}

// TestConnectionsAreOpenBeforeRequestsArrive covers a host that starts 14 s before its first query
// to 90 shards.
func TestConnectionsAreOpenBeforeRequestsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServers{open: map[netip.AddrPort]bool{}, refusing: map[netip.AddrPort]bool{}}
		w := warmer.New(s, s, timekeeper.System{}, metrics.NewRegistry())
		defer w.Close()
		s.add(90)
		w.Wake()
		time.Sleep(time.Second)
		assert.Equal(t, s.count(), 90)
		for i := 1; i < 90; i++ {
			assert.Assert(t, s.opened[i].Sub(s.opened[i-1]) >= 5*time.Millisecond, "connections are opened at least 5 ms apart")
		}
	})
}

func TestEndedConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServers{open: map[netip.AddrPort]bool{}, refusing: map[netip.AddrPort]bool{}}
		s.add(3)
		s.refusing[s.list[0].Address] = true
		w := warmer.New(s, s, timekeeper.System{}, metrics.NewRegistry())
		defer w.Close()
		time.Sleep(time.Second)
		assert.Equal(t, s.count(), 2, "a server that refuses connections does not delay the others")
		s.mutex.Lock()
		clear(s.open)
		clear(s.refusing)
		s.mutex.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.count(), 5)
	})
}

// TestDocksConnectToASharedServerOneAfterTheOther has 195 docks that learn of a server at the same moment.
// The server needs 5 ms for each connection and resets those that come while more than 100 wait.
func TestDocksConnectToASharedServerOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const docks = 195
		servers := []*fakeServers{}
		for range docks {
			s := &fakeServers{open: map[netip.AddrPort]bool{}, refusing: map[netip.AddrPort]bool{}, spread: docks * 5 * time.Millisecond}
			w := warmer.New(s, s, timekeeper.System{}, metrics.NewRegistry())
			defer w.Close()
			servers = append(servers, s)
			synctest.Wait()
			s.add(1)
			w.Wake()
		}
		time.Sleep(2 * time.Second)
		perInterval := map[time.Duration]int{}
		start := time.Now().Add(-2 * time.Second)
		for _, s := range servers {
			assert.Equal(t, s.count(), 1, "each dock has connected")
			perInterval[s.opened[0].Sub(start)/(100*time.Millisecond)]++
		}
		for at, n := range perInterval {
			assert.Assert(t, n <= 60, "%d docks connect in tenth %d of a second", n, at)
		}
	})
}
