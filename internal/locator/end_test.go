package locator_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// endTest is a keeper's directory with a dock's catalog.
type endTest struct {
	directory *locator.Directory
	catalog   *locator.Catalog
	keeper    netip.AddrPort
}

func newEndTest() *endTest {
	return &endTest{
		directory: locator.NewDirectory(silence), catalog: locator.NewCatalog(),
		keeper: netip.MustParseAddrPort("10.0.0.1:1"),
	}
}

// address is the address of all servers of the tests of ends.
const address = "10.1.0.1:1"

// beat sends a heartbeat of a start of a server.
func (e *endTest) beat(now time.Time, id string, born int64) {
	r := encoder.Registration{ID: encoder.ServerID(id), Service: "plates", Address: netip.MustParseAddrPort(address), Born: born, Sequence: uint64(now.UnixMilli())}
	e.catalog.Update(now, e.keeper, false, e.directory.RecordHeartbeat(now, r))
}

// sweep lets the keeper look for silent servers.
func (e *endTest) sweep(now time.Time) {
	e.catalog.Update(now, e.keeper, false, e.directory.Sweep(now))
}

func TestServerWithoutHeartbeatsHasEnded(t *testing.T) {
	e := newEndTest()
	start := time.Unix(100, 0)
	e.beat(start, "a", 1)
	e.sweep(start.Add(2 * time.Second))
	assert.Equal(t, len(e.catalog.Ended(start.Add(2*time.Second))), 0)
	now := start.Add(silence + time.Second)
	e.sweep(now)
	want := []locator.End{{Start: locator.Start{Server: "a", Born: 1}, Earliest: start, Latest: start.Add(silence / 3)}}
	assert.DeepEqual(t, e.catalog.Ended(now), want)
	e.beat(now, "a", 1)
	assert.Equal(t, len(e.catalog.Ended(now)), 0, "its heartbeats have returned")
}

func TestServerWhoseAddressIsTakenHasEnded(t *testing.T) {
	e := newEndTest()
	start := time.Unix(100, 0)
	e.beat(start, "a", 1)
	now := start.Add(500 * time.Millisecond)
	e.beat(now, "b", 2)
	assert.DeepEqual(t, e.catalog.Ended(now), []locator.End{{Start: locator.Start{Server: "a", Born: 1}, Earliest: start, Latest: now}})
}

func TestRestartUnderTheSameIDIsAnEnd(t *testing.T) {
	e := newEndTest()
	start := time.Unix(100, 0)
	e.beat(start, "a", 1)
	now := start.Add(time.Second)
	e.beat(now, "a", 2)
	assert.DeepEqual(t, e.catalog.Ended(now), []locator.End{{Start: locator.Start{Server: "a", Born: 1}, Latest: now}})
	assert.Equal(t, len(e.catalog.Ended(now.Add(time.Minute))), 0)
}

func TestServerThatLeavesHasNotEnded(t *testing.T) {
	e := newEndTest()
	now := time.Unix(100, 0)
	e.beat(now, "a", 1)
	e.catalog.Update(now, e.keeper, false, e.directory.Deregister(now, "a", 1))
	e.beat(now.Add(time.Second), "b", 2)
	e.sweep(now.Add(2 * silence))
	for _, end := range e.catalog.Ended(now.Add(2 * silence)) {
		assert.Assert(t, end.Server != "a")
	}
}

// TestServerThatMovedToAnotherKeeperLives guards against a keeper that no longer gets the heartbeats.
func TestServerThatMovedToAnotherKeeperLives(t *testing.T) {
	e := newEndTest()
	start := time.Unix(100, 0)
	e.beat(start, "a", 1)
	other := &endTest{directory: locator.NewDirectory(silence), catalog: e.catalog, keeper: netip.MustParseAddrPort("10.0.0.2:1")}
	other.beat(start.Add(time.Second), "a", 1)
	now := start.Add(silence + time.Second/2)
	e.sweep(now)
	other.sweep(now)
	assert.Equal(t, len(e.catalog.Ended(now)), 0)
}
