package linker

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

// counterClock is a logical clock that only counts events and has no physical time.
type counterClock struct {
	mutex sync.Mutex
	last  uint64
}

func (c *counterClock) Stamp() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	return c.last
}

func (c *counterClock) ObserveStamp(stamp uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = max(c.last, stamp)
}

func startServerWithClock(t *testing.T, clock LogicalClock) *Server {
	t.Helper()
	mux := NewMux()
	Handle(mux, encoder.KindStatus, func(_ context.Context, _ Peer, q uint64) (uint64, error) {
		if clock == nil {
			return q, nil
		}
		return clock.Stamp(), nil
	})
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Self{Host: "server", LogicalClock: clock}, mux, timekeeper.System{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func TestStampsOrderCauseAndEffect(t *testing.T) {
	s := startServerWithClock(t, &counterClock{})
	client := &counterClock{last: 1000}
	l := NewLink(s.Address(), Self{Host: "client", LogicalClock: client}, timekeeper.System{})
	defer func() { _ = l.Close() }()
	for range 20 {
		before := client.Stamp()
		handled, err := Call[uint64, uint64](t.Context(), l, encoder.KindStatus, 0)
		assert.NilError(t, err)
		after := client.Stamp()
		assert.Assert(t, before < handled && handled < after, "%d %d %d", before, handled, after)
	}
}

func TestPeerWithoutLogicalClockIsServed(t *testing.T) {
	s := startServerWithClock(t, nil)
	l := NewLink(s.Address(), Self{Host: "client", LogicalClock: &counterClock{}}, timekeeper.System{})
	defer func() { _ = l.Close() }()
	got, err := Call[uint64, uint64](t.Context(), l, encoder.KindStatus, 7)
	assert.NilError(t, err)
	assert.Equal(t, got, uint64(7))
}
