package watcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// countDepartures returns the number of messages that a server leaves.
func (k *keeper) countDepartures() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.departures
}

// TestDocksAreToldThatAServerLeaves guards against docks that each find out for themselves that a server
// leaves: one of them saw it in a reply. A late heartbeat does not undo it, and the next start of the
// server is used again.
func TestDocksAreToldThatAServerLeaves(t *testing.T) {
	a, b := startKeeper(t, anyPort, 1, t.TempDir()), startKeeper(t, anyPort, 2, t.TempDir())
	defer a.close()
	defer b.close()
	a.setMembers(a, b)
	b.setMembers(a, b)
	b.setLeading(false)
	docks := startDocks(t, 2, a, b)
	// Only the keeper that does not lead gets the server's heartbeats.
	r := heartbeat(1, encoder.PresenceReady, 1)
	b.broadcaster.RecordHeartbeat(r)
	docks[0].waitFor(1)
	docks[1].waitFor(1)
	began := time.Now()
	docks[0].watcher.ReportLeaving(r)
	docks[1].waitFor(0)
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
	b.broadcaster.RecordHeartbeat(heartbeat(1, encoder.PresenceReady, 2))
	time.Sleep(300 * time.Millisecond)
	docks[1].waitFor(0)
	next := heartbeat(1, encoder.PresenceReady, 1)
	next.Born = 2
	b.broadcaster.RecordHeartbeat(next)
	docks[1].waitFor(1)
}

// TestKeepersAreNotToldWhatTheyKnow guards against a message from every dock for each server that leaves,
// when the server has announced that to a keeper.
func TestKeepersAreNotToldWhatTheyKnow(t *testing.T) {
	k := startKeeper(t, anyPort, 1, t.TempDir())
	defer k.close()
	docks := startDocks(t, 1, k)
	r := heartbeat(1, encoder.PresenceReady, 1)
	k.broadcaster.RecordHeartbeat(r)
	docks[0].waitFor(1)
	docks[0].watcher.ReportLeaving(r)
	k.broadcaster.RecordHeartbeat(heartbeat(1, encoder.PresenceDraining, 2))
	docks[0].waitFor(0)
	time.Sleep(time.Second)
	assert.Equal(t, k.countDepartures(), 0)
}
