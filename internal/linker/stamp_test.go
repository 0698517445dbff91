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

// counter is a logical clock without physical time.
type counter struct {
	mutex sync.Mutex
	last  uint64
}

func (c *counter) Stamp() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	return c.last
}

func (c *counter) ObserveStamp(stamp uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = max(c.last, stamp)
}

func startStamped(t *testing.T, stamper LogicalClock) *Server {
	t.Helper()
	mux := NewMux()
	Handle(mux, encoder.KindStatus, func(_ context.Context, _ Peer, q uint64) (uint64, error) {
		if stamper == nil {
			return q, nil
		}
		return stamper.Stamp(), nil
	})
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Self{Host: "server", LogicalClock: stamper}, mux, timekeeper.System{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func TestStampsOrderCauseAndEffect(t *testing.T) {
	s := startStamped(t, &counter{})
	client := &counter{last: 1000}
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

func TestStampsMeetPeerWithoutStamps(t *testing.T) {
	s := startStamped(t, nil)
	l := NewLink(s.Address(), Self{Host: "client", LogicalClock: &counter{}}, timekeeper.System{})
	defer func() { _ = l.Close() }()
	got, err := Call[uint64, uint64](t.Context(), l, encoder.KindStatus, 7)
	assert.NilError(t, err)
	assert.Equal(t, got, uint64(7))
}
