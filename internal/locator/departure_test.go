package locator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// departureTest is two keepers' directories with the catalog of a dock that watches both. The server "a"
// sends its heartbeats to the second keeper.
type departureTest struct {
	first, second *locator.Directory
	catalog       *locator.Catalog
}

func newDepartureTest() *departureTest {
	d := &departureTest{first: locator.NewDirectory(silence), second: locator.NewDirectory(silence), catalog: locator.NewCatalog()}
	d.catalog.Update(start, keeperOne, true, nil)
	d.catalog.Update(start, keeperTwo, true, nil)
	return d
}

// beat sends a heartbeat of a start of the server to the second keeper.
func (d *departureTest) beat(now time.Time, born time.Time) {
	r := heartbeat("a", born.UnixMilli(), uint64(now.UnixMilli()))
	d.catalog.Update(now, keeperTwo, false, d.second.RecordHeartbeat(now, r))
}

// leave sends the departure of the server, without a start, to the first keeper, and returns what that
// sends to the others.
func (d *departureTest) leave(now time.Time) []encoder.Registration {
	departures := d.first.Deregister(now, "a", 0)
	d.catalog.Update(now, keeperOne, false, departures)
	return departures
}

// merge passes departures to the second keeper.
func (d *departureTest) merge(now time.Time, departures []encoder.Registration) {
	for _, r := range departures {
		d.catalog.Update(now, keeperTwo, false, d.second.MergeDeparture(now, r))
	}
}

func (d *departureTest) expectServing(t *testing.T, now time.Time, why string, ids ...string) {
	t.Helper()
	expectIDs(t, catalogIDs(now, d.catalog), why, ids...)
}

// TestDepartureAtAnotherKeeperTakesEffect guards against a departure without effect: it names no start,
// and another keeper than the one that acknowledges it gets the server's heartbeats. Docks need not wait
// for the keepers to tell each other, or for a keeper of an older release.
func TestDepartureAtAnotherKeeperTakesEffect(t *testing.T) {
	d := newDepartureTest()
	d.beat(at(0), at(-time.Minute))
	d.expectServing(t, at(0), "before", "a")
	d.leave(at(time.Second))
	d.expectServing(t, at(time.Second), "after the departure")
	d.first.RecordHeartbeat(at(2*time.Second), heartbeat("a", at(-time.Minute).UnixMilli(), 99))
	d.catalog.Update(at(2*time.Second), keeperOne, true, d.first.All(at(2*time.Second)))
	d.expectServing(t, at(2*time.Second), "after a heartbeat that was late, at the keeper that acknowledged")
}

// TestDepartureOfANewServerTakesEffect guards against the same for a server whose start is so recent that
// clocks cannot tell whether it was before the departure.
func TestDepartureOfANewServerTakesEffect(t *testing.T) {
	for _, isOlderRelease := range []bool{false, true} {
		d := newDepartureTest()
		d.beat(at(0), at(0))
		departures := d.leave(at(2 * time.Second))
		if isOlderRelease {
			departures = []encoder.Registration{{ID: "a", State: encoder.PresenceGone}}
		}
		d.merge(at(2100*time.Millisecond), departures)
		d.expectServing(t, at(2100*time.Millisecond), "after the departure")
	}
}

// TestDepartureDoesNotBarALaterStart guards against a departure that removes the next start under the same
// ID, also if it reaches a keeper late or the server had been registered at the acknowledging keeper.
func TestDepartureDoesNotBarALaterStart(t *testing.T) {
	for _, wasKnown := range []bool{false, true} {
		d := newDepartureTest()
		if wasKnown {
			d.first.RecordHeartbeat(at(0), heartbeat("a", at(-time.Minute).UnixMilli(), 1))
		}
		d.beat(at(0), at(-time.Minute))
		departures := d.leave(at(time.Second))
		d.beat(at(1500*time.Millisecond), at(1500*time.Millisecond))
		d.merge(at(1700*time.Millisecond), departures)
		d.expectServing(t, at(1700*time.Millisecond), "the later start", "a")
		d.first.RecordHeartbeat(at(2*time.Second), heartbeat("a", at(1500*time.Millisecond).UnixMilli(), 99))
		d.catalog.Update(at(2*time.Second), keeperOne, true, d.first.All(at(2*time.Second)))
		d.expectServing(t, at(2*time.Second), "the later start at both keepers", "a")
	}
}

// TestDepartureOfALaterStartTakesEffect guards against a departure without effect at a keeper that knows an
// earlier start of the server, which it has not heard of for a while or which has left.
func TestDepartureOfALaterStartTakesEffect(t *testing.T) {
	for _, hasLeft := range []bool{false, true} {
		d := newDepartureTest()
		d.catalog.Update(at(0), keeperOne, false, d.first.RecordHeartbeat(at(0), heartbeat("a", at(-time.Minute).UnixMilli(), 1)))
		if hasLeft {
			d.leave(at(time.Second))
		}
		d.beat(at(2*time.Second), at(2*time.Second))
		d.catalog.Update(at(10*time.Second), keeperOne, false, d.first.Sweep(at(10*time.Second)))
		d.beat(at(10*time.Second), at(2*time.Second))
		d.expectServing(t, at(10*time.Second), "before", "a")
		d.leave(at(10 * time.Second))
		d.expectServing(t, at(10*time.Second), "after the departure")
	}
}

// TestDepartureIsNoEnd guards against a server that left being taken for one that crashed, because a keeper
// that did not hear of the departure missed its heartbeats or the departure covers later starts.
func TestDepartureIsNoEnd(t *testing.T) {
	d := newDepartureTest()
	d.catalog.Update(at(0), keeperOne, false, d.first.RecordHeartbeat(at(0), heartbeat("a", at(-time.Minute).UnixMilli(), 1)))
	d.catalog.Update(at(5*time.Second), keeperOne, false, d.first.Sweep(at(5*time.Second)))
	d.beat(at(5*time.Second), at(-time.Minute))
	d.leave(at(6 * time.Second))
	d.catalog.Update(at(10*time.Second), keeperTwo, false, d.second.Sweep(at(10*time.Second)))
	assert.Equal(t, len(d.catalog.Ended(at(10*time.Second))), 0)
}

// TestReplacedServerHasEndedForAllKeepers guards against a server that crashed and whose address another one has
// taken being held for one that left, because other keepers were told that it is gone.
func TestReplacedServerHasEndedForAllKeepers(t *testing.T) {
	d := newDepartureTest()
	d.beat(at(0), at(-time.Minute))
	changed := d.second.RecordHeartbeat(at(time.Second), heartbeat("b", at(time.Second).UnixMilli(), 1))
	d.catalog.Update(at(time.Second), keeperTwo, false, changed)
	for _, r := range changed {
		if r.State != encoder.PresenceReady {
			d.catalog.Update(at(time.Second), keeperOne, false, d.first.MergeDeparture(at(time.Second), r))
		}
	}
	ends := d.catalog.Ended(at(2 * time.Second))
	assert.Equal(t, len(ends), 1)
	assert.Equal(t, ends[0].Server, encoder.ServerID("a"))
}
