package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// TestQueryIsRetriedWhileOwnershipMoves makes all docks refuse a query because they do not own its
// shards, as they do while their views differ. No backend server receives a request meanwhile. The
// query is answered once the views agree.
func TestQueryIsRetriedWhileOwnershipMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		b := newHarness(makeControl(6, 20, 7), func(encoder.Host, encoder.ShardBatch) behaviour {
			if time.Since(start) < 120*time.Millisecond {
				return behaviour{delay: time.Millisecond, fault: "moved"}
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		for _, operation := range []identifier.OperationName{"lookup", "reorder"} {
			start = time.Now()
			o := b.router.Route(t.Context(), query(operation))
			_, isComplete := o.(Complete)
			assert.Assert(t, isComplete, "%s: %T %+v", operation, o, o)
		}
		assert.Assert(t, b.owners.batches < 300, "%d batches", b.owners.batches)
		assert.NilError(t, b.router.Close())
	})
}

// TestQueryIsRetriedWhileADockStops makes one dock unreachable and all others refuse because they
// do not own its shards, as happens just after a dock has stopped. Keepers with a slow disk make
// this period longer.
func TestQueryIsRetriedWhileADockStops(t *testing.T) {
	for _, moving := range []time.Duration{60 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(moving.String(), func(t *testing.T) { expectCompleteWhileDockStops(t, moving) })
	}
}

func expectCompleteWhileDockStops(t *testing.T, movingTime time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		gone := identifier.HostName("dock_1")
		control := makeControl(6, 20, 7)
		control.snapshot.Manifest.Contracts[0].Deadline = 2 * time.Second
		b := newHarness(control, func(h encoder.Host, _ encoder.ShardBatch) behaviour {
			switch {
			case time.Since(start) > movingTime && h.Name != gone:
				return behaviour{delay: time.Millisecond}
			case h.Name == gone:
				return behaviour{fault: "not_sent"}
			default:
				return behaviour{delay: time.Millisecond, fault: "moved"}
			}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		o := b.router.Route(t.Context(), query("lookup"))
		assert.NilError(t, b.router.Close())
		_, isComplete := o.(Complete)
		assert.Assert(t, isComplete, "%T %+v", o, o)
	})
}

// TestCanaryIsRetriedWhileOwnershipMoves guards against a query that is given up because its canary was refused
// three times within milliseconds, while docks with different views each report the other as owner.
func TestCanaryIsRetriedWhileOwnershipMoves(t *testing.T) {
	for _, fault := range []string{"moved", "not_sent"} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			b := newHarness(withCanary(makeControl(6, 20, 7)), func(encoder.Host, encoder.ShardBatch) behaviour {
				if time.Since(start) < 60*time.Millisecond {
					return behaviour{delay: time.Millisecond, fault: fault}
				}
				return behaviour{delay: time.Millisecond}
			}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
			o := b.router.Route(t.Context(), query("lookup"))
			assert.NilError(t, b.router.Close())
			_, isComplete := o.(Complete)
			assert.Assert(t, isComplete, "%s: %T %+v", fault, o, o)
		})
	}
}
