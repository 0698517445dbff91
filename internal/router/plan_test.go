package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/planner"
)

// TestRunUnderAbandonedPlanIsReportedAsFailed checks that a query is not reported as not run if the
// only run was that of an earlier plan.
func TestRunUnderAbandonedPlanIsReportedAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(1, 20, 7, 8), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
			if batch.Version == 8 {
				return behaviour{fault: "half"}
			}
			return behaviour{fault: "not_sent"}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "failed: coverage")
		assert.NilError(t, b.router.Close())
	})
}

func TestShardWithoutReplicaCountsAsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := makeControl(6, 10, 7)
		control.snapshot.View.Servers = control.snapshot.View.Servers[:9]
		control.snapshot.Plans = planner.NewPlans(control.snapshot.View)
		b := newHarness(control, healthyOwners, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "not run: no_replica")
		assert.Equal(t, len(b.owners.ran), 0)
		o, isPartial := b.router.Route(t.Context(), query("browse")).(Partial)
		assert.Assert(t, isPartial)
		assert.Equal(t, o.Answer.Coverage.Shards, uint32(10))
		assert.Equal(t, o.Answer.Coverage.Covered, uint32(9))
		assert.Equal(t, o.Answer.Coverage.Missing[0].Shard, identifier.ShardNumber(9))
		assert.NilError(t, b.router.Close())
	})
}

func TestLateAnswerOfBypassedOwnerIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := makeControl(6, 20, 7)
		var late, slow identifier.HostName
		b := newHarness(control, func(h encoder.Host, _ encoder.ShardBatch) behaviour {
			switch h.Name {
			case late:
				return behaviour{delay: 90 * time.Millisecond}
			case slow:
				return behaviour{delay: 150 * time.Millisecond}
			default:
				return behaviour{delay: 5 * time.Millisecond}
			}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		for n := range 20 {
			a, _ := control.snapshot.Placement.Assignment("plates", identifier.ShardNumber(n))
			switch {
			case a.Owner.Name == "dock_0":
			case late == "":
				late = a.Owner.Name
			case slow == "" && a.Owner.Name != late:
				slow = a.Owner.Name
			}
		}
		b.owners.unresponsive[late] = true
		o, isComplete := b.router.Route(t.Context(), query("lookup")).(Complete)
		assert.Assert(t, isComplete)
		expectRows(t, o.Answer, 20)
		assert.NilError(t, b.router.Close())
	})
}

func TestNonIdempotentQueryIsNotBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(6, 20, 7), func(encoder.Host, encoder.ShardBatch) behaviour {
			return behaviour{fault: "stall"}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		for i := range 6 {
			b.owners.unresponsive[identifier.HostName("dock_"+string(rune('0'+i)))] = true
		}
		for key := range 12 {
			q := query("reorder")
			q.Key = string(rune('a' + key))
			before := b.owners.batches
			assert.Equal(t, describe(b.router.Route(t.Context(), q)), "in doubt: in_doubt")
			assert.Equal(t, b.owners.batches, before+1)
		}
		assert.NilError(t, b.router.Close())
	})
}

func TestShardIsResentToOwnerNamedInRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := makeControl(6, 20, 7)
		successor := encoder.Host{Name: "dock_new"}
		b := newHarness(control, func(h encoder.Host, _ encoder.ShardBatch) behaviour {
			if h.Name == successor.Name {
				return behaviour{delay: time.Millisecond}
			}
			return behaviour{fault: "moved"}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		b.owners.successor = &successor
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
		assert.NilError(t, b.router.Close())
	})
}

// TestQueryIsReplannedWhenOwnersLackTheVersion uses owners whose views do not contain the newest
// version's servers yet, as after a repartition.
func TestQueryIsReplannedWhenOwnersLackTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(6, 20, 7, 8), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
			if batch.Version == 8 {
				return behaviour{fault: "unknown"}
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		o, isComplete := b.router.Route(t.Context(), query("lookup")).(Complete)
		assert.Assert(t, isComplete)
		assert.Equal(t, o.Answer.Coverage.Version, identifier.IndexVersion(7))
		assert.NilError(t, b.router.Close())
	})
}

// TestFallbackDockServesWhenOwnerAndSecondFail stalls a shard's owner while its second dock refuses
// connections.
func TestFallbackDockServesWhenOwnerAndSecondFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := makeControl(6, 20, 7)
		a, _ := control.snapshot.Placement.Assignment("plates", 3)
		adopted := 0
		b := newHarness(control, func(h encoder.Host, batch encoder.ShardBatch) behaviour {
			switch h.Name {
			case a.Owner.Name:
				return behaviour{fault: "stall"}
			case a.Second.Name:
				return behaviour{fault: "not_sent"}
			}
			if batch.Adopt {
				adopted++
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		b.router.self = "dock_of_no_shard"
		b.owners.unresponsive[a.Owner.Name] = true
		b.owners.unresponsive[a.Second.Name] = true
		start := time.Now()
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
		assert.Assert(t, time.Since(start) < 100*time.Millisecond, "answered after %s", time.Since(start))
		assert.Assert(t, adopted > 0)
		assert.NilError(t, b.router.Close())
	})
}
