package broadcaster

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

// newTestBroadcaster starts a broadcaster that keeps its files in a folder.
func newTestBroadcaster(folder string) *Broadcaster {
	state := func() KeeperState { return KeeperState{IsLeader: true, IsVoter: true} }
	return New(4*time.Second, state, NewFiles(folder), timekeeper.System{}, zerolog.Nop())
}

// testServer returns the first heartbeat of a server.
func testServer(id encoder.ServerID, port uint16) encoder.Registration {
	return encoder.Registration{ID: id, Service: "plates", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Born: 1, Sequence: 1}
}

// TestChangesOfARestartedKeeperAreNotSkipped guards against a dock that misses servers: a keeper starts again
// within its process, as after an error of its disk, and numbers its changes from 0 again. A dock that has
// seen the first change of the former numbers has not seen the new one.
func TestChangesOfARestartedKeeperAreNotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newTestBroadcaster(t.TempDir())
		first.RecordHeartbeat(testServer("a", 7000))
		seen := first.Watch(t.Context(), "dock", encoder.WatchRequest{Wait: time.Second})
		assert.Equal(t, len(seen.Servers), 1)
		first.Close()
		second := newTestBroadcaster(t.TempDir())
		defer second.Close()
		second.RecordHeartbeat(testServer("b", 7001))
		reply := second.Watch(t.Context(), "dock", encoder.WatchRequest{Keeper: seen.Keeper, Seen: seen.Seen, Wait: time.Second})
		assert.Assert(t, reply.IsWhole)
		assert.Equal(t, len(reply.Servers), 1)
		assert.Equal(t, reply.Servers[0].ID, encoder.ServerID("b"))
	})
}
