package locator_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

const silence = 4 * time.Second

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	keeperOne = netip.MustParseAddrPort("127.0.0.1:1")
	keeperTwo = netip.MustParseAddrPort("127.0.0.1:2")
)

// at is a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// beat is a heartbeat of a server at an address of its own.
func beat(id string, born int64, sequence uint64) encoder.Registration {
	return encoder.Registration{
		ID: encoder.ServerID(id), Service: "plates", Address: netip.MustParseAddrPort("127.0.0.2:" + map[string]string{"a": "10", "b": "10", "c": "30"}[id]),
		Domain: "one", Slots: 2, Born: born, Sequence: sequence,
	}
}

// state changes a registration's state.
func state(r encoder.Registration, s encoder.Presence) encoder.Registration {
	r.State = s
	return r
}

// ids returns the servers that take work, as a catalog with one keeper sees them.
func ids(now time.Time, b *locator.Registry) []string {
	c := locator.NewCatalog()
	c.Update(now, keeperOne, true, b.All(now))
	return catalogIDs(now, c)
}

func catalogIDs(now time.Time, c *locator.Catalog) []string {
	list := []string{}
	for _, s := range c.Servers(now)["plates"] {
		name := string(s.ID)
		if s.Silent {
			name += " silent"
		}
		list = append(list, name)
	}
	return list
}

// expect compares the servers that take work.
func expect(t *testing.T, got []string, why string, want ...string) {
	t.Helper()
	assert.Equal(t, strings.Join(got, ", "), strings.Join(want, ", "), why)
}

func TestHeartbeatsAreOrdered(t *testing.T) {
	b := locator.NewRegistry(silence)
	assert.Equal(t, len(b.RecordHeartbeat(start, beat("a", 100, 5))), 1)
	assert.Equal(t, len(b.RecordHeartbeat(start, beat("a", 100, 6))), 0, "a heartbeat without news")
	assert.Equal(t, len(b.RecordHeartbeat(start, state(beat("a", 100, 7), encoder.PresenceDraining))), 1)
	b.RecordHeartbeat(start, beat("a", 100, 6))
	expect(t, ids(start, b), "")
	b.RecordHeartbeat(start, beat("a", 100, 8))
	expect(t, ids(start, b), "a server that drains does not return")
	b.RecordHeartbeat(start, beat("a", 90, 99))
	expect(t, ids(start, b), "an earlier start")
	b.RecordHeartbeat(start, beat("a", 110, 1))
	expect(t, ids(start, b), "a new start under the old id", "a")
}

func TestAddressBelongsToTheNewestServer(t *testing.T) {
	b := locator.NewRegistry(silence)
	b.RecordHeartbeat(start, beat("a", 100, 5))
	assert.Equal(t, len(b.RecordHeartbeat(start, beat("b", 200, 1))), 2)
	expect(t, ids(start, b), "", "b")
	b.RecordHeartbeat(start, beat("a", 100, 6))
	expect(t, ids(start, b), "a heartbeat that was delayed by a cut", "b")
	b.RecordHeartbeat(start, beat("a", 300, 1))
	expect(t, ids(start, b), "", "a")
}

// TestAddressIsFreeOnceItsServerStartedElsewhere restarts a server at another address, and starts
// another one at its old address: both take work.
func TestAddressIsFreeOnceItsServerStartedElsewhere(t *testing.T) {
	b := locator.NewRegistry(silence)
	b.RecordHeartbeat(start, beat("a", 100, 5))
	moved := beat("a", 200, 1)
	moved.Address = beat("c", 0, 0).Address
	b.RecordHeartbeat(start, moved)
	b.RecordHeartbeat(start, beat("b", 300, 1))
	expect(t, ids(start, b), "", "a", "b")
}

func TestDepartedServersStayAway(t *testing.T) {
	b := locator.NewRegistry(silence)
	b.RecordHeartbeat(start, beat("a", 100, 5))
	b.Deregister(start, "a", 90)
	expect(t, ids(start, b), "the end of an earlier start", "a")
	b.Deregister(start, "a", 100)
	b.RecordHeartbeat(at(time.Second), beat("a", 100, 9))
	expect(t, ids(start, b), "")
	b.Deregister(start, "c", 50)
	b.RecordHeartbeat(start, beat("c", 50, 1))
	expect(t, ids(start, b), "it left before its first heartbeat arrived")
	b.Sweep(at(2 * time.Minute))
	b.RecordHeartbeat(at(2*time.Minute), beat("c", 60, 1))
	expect(t, ids(start, b), "", "c")
}

func TestSilentServersMayReturn(t *testing.T) {
	b := locator.NewRegistry(silence)
	b.RecordHeartbeat(start, beat("a", 100, 5))
	b.Sweep(at(silence + time.Second))
	expect(t, ids(start, b), "", "a silent")
	b.RecordHeartbeat(at(silence+2*time.Second), beat("a", 100, 6))
	expect(t, ids(start, b), "", "a")
	b.Sweep(at(2 * time.Minute))
	expect(t, ids(start, b), "")
	b.RecordHeartbeat(at(3*time.Minute), beat("a", 100, 7))
	expect(t, ids(start, b), "the same start, after a long cut", "a")
}

func TestRestoredServersMustConfirmThemselves(t *testing.T) {
	b := locator.NewRegistry(silence)
	b.Restore(start, []encoder.Registration{beat("a", 100, 5), beat("c", 100, 5), state(beat("b", 50, 2), encoder.PresenceGone)})
	expect(t, ids(start, b), "", "a", "c")
	b.RecordHeartbeat(at(time.Second), beat("c", 100, 6))
	changed := b.Sweep(at(3 * time.Second))
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].State, encoder.PresenceLost)
	expect(t, ids(at(3*time.Second), b), "", "c")
	b.RecordHeartbeat(at(4*time.Second), beat("b", 50, 3))
	expect(t, ids(at(4*time.Second), b), "what had left stays away", "c")
}

func TestKeepersWordsAddUp(t *testing.T) {
	c := locator.NewCatalog()
	c.Update(start, keeperOne, true, []encoder.Registration{beat("a", 100, 5)})
	silent := beat("a", 100, 3)
	silent.Silent = true
	c.Update(start, keeperTwo, true, []encoder.Registration{silent})
	expect(t, catalogIDs(start, c), "one keeper still hears it", "a")
	c.Update(start, keeperTwo, false, []encoder.Registration{state(beat("a", 100, 6), encoder.PresenceDraining)})
	expect(t, catalogIDs(start, c), "one keeper heard that it leaves")
	c.Update(start, keeperOne, false, []encoder.Registration{beat("a", 110, 1)})
	expect(t, catalogIDs(start, c), "a new start", "a")
	c.Update(start, keeperOne, false, []encoder.Registration{state(beat("a", 110, 1), encoder.PresenceLost)})
	expect(t, catalogIDs(start, c), "no keeper knows the new start any more")
}

func TestRestartedKeeperKeepsServersForAWhile(t *testing.T) {
	c := locator.NewCatalog()
	c.Update(start, keeperOne, true, []encoder.Registration{beat("a", 100, 5), beat("c", 100, 5)})
	c.Update(at(time.Second), keeperOne, true, []encoder.Registration{beat("c", 100, 6)})
	expect(t, catalogIDs(at(2*time.Second), c), "", "a", "c")
	expect(t, catalogIDs(at(6*time.Second), c), "", "c")
}

func TestServersOfAnUnreachableKeeperCountAsSilent(t *testing.T) {
	c := locator.NewCatalog()
	c.Update(start, keeperOne, true, []encoder.Registration{beat("a", 100, 5)})
	c.Disconnect(start, keeperOne)
	expect(t, catalogIDs(at(10*time.Second), c), "no keeper can be reached", "a")
	c.Update(start, keeperTwo, true, []encoder.Registration{beat("c", 100, 5)})
	expect(t, catalogIDs(at(time.Second), c), "", "a", "c")
	expect(t, catalogIDs(at(10*time.Second), c), "", "a silent", "c")
	c.Remove(keeperOne)
	expect(t, catalogIDs(at(10*time.Second), c), "", "c")
}
