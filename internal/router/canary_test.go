package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

// withCanary enables canaries in the contract of lookups.
func withCanary(c *fixedControl) *fixedControl {
	c.snapshot.Manifest.Contracts[0].Canary = manifestreader.CanaryAlways
	return c
}

func TestQueryWithCrashedCanaryIsNotScattered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(withCanary(makeControl(6, 20, 7)), func(encoder.Host, encoder.ShardBatch) behaviour {
			return behaviour{fault: "crash"}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "failed: crashed")
		assert.Equal(t, len(b.owners.ran), 1)
		assert.NilError(t, b.router.Close())
	})
}

func TestRecentSuccessNeedsNoCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canaries := 0
		b := newHarness(withCanary(makeControl(6, 20, 7)), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
			if batch.Canary {
				canaries++
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		for range 3 {
			assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
		}
		assert.Equal(t, canaries, 1)
		time.Sleep(2 * successTTL)
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
		assert.Equal(t, canaries, 2)
		assert.NilError(t, b.router.Close())
	})
}

func TestLostCanaryIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canaries := 0
		b := newHarness(withCanary(makeControl(6, 20, 7)), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
			if batch.Canary {
				canaries++
			}
			if batch.Canary && canaries == 1 {
				return behaviour{fault: "lost_before"}
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
		assert.Equal(t, canaries, 2)
		assert.NilError(t, b.router.Close())
	})
}

func TestQuarantinedFingerprintIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(6, 20, 7), healthyOwners, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		q := query("lookup")
		b.router.quarantine.AddCrashes(identifier.NewFingerprint(q.Service, q.Operation, q.Body), 2)
		o, isNotRun := b.router.Route(t.Context(), q).(NotRun)
		assert.Assert(t, isNotRun)
		assert.Equal(t, o.Code, CodeQuarantined)
		assert.Assert(t, o.RetryAfter > 0)
		assert.Equal(t, len(b.owners.ran), 0)
		assert.NilError(t, b.router.Close())
	})
}

func TestQueryWithUnreachableCoverageIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isFirst := true
		b := newHarness(makeControl(6, 20, 7), func(encoder.Host, encoder.ShardBatch) behaviour {
			if isFirst {
				isFirst = false
				return behaviour{delay: time.Millisecond, fault: "shed"}
			}
			return behaviour{fault: "stall"}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		start := time.Now()
		assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "failed: overloaded")
		assert.Assert(t, time.Since(start) < 5*time.Millisecond, "answered after %s", time.Since(start))
		assert.NilError(t, b.router.Close())
	})
}

func TestStalledDockOfCanaryIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := withCanary(makeControl(6, 20, 7))
		q := query("lookup")
		shard := identifier.ShardNumber(uint64(identifier.NewFingerprint(q.Service, q.Operation, q.Body)) % 20)
		a, _ := control.snapshot.Placement.Assignment("plates", shard)
		b := newHarness(control, func(h encoder.Host, _ encoder.ShardBatch) behaviour {
			if h.Name == a.Owner.Name {
				return behaviour{fault: "stall"}
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		b.router.self = "dock_of_no_shard"
		b.owners.unresponsive[a.Owner.Name] = true
		start := time.Now()
		assert.Equal(t, describe(b.router.Route(t.Context(), q)), "complete")
		assert.Assert(t, time.Since(start) < 100*time.Millisecond, "answered after %s", time.Since(start))
		assert.NilError(t, b.router.Close())
	})
}

// TestQueryIsNotScatteredWithoutCanaryAnswer makes all canaries fail without a crash. The query
// must not be sent to all shards before one of them has answered.
func TestQueryIsNotScatteredWithoutCanaryAnswer(t *testing.T) {
	for _, fault := range []string{"shed", "moved", "version", "lost_before"} {
		synctest.Test(t, func(t *testing.T) {
			scatteredBatches := 0
			b := newHarness(withCanary(makeControl(6, 20, 7)), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
				if !batch.Canary {
					scatteredBatches++
				}
				return behaviour{fault: fault}
			}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
			_, isComplete := b.router.Route(t.Context(), query("lookup")).(Complete)
			assert.Assert(t, !isComplete)
			assert.Equal(t, scatteredBatches, 0, fault)
			assert.NilError(t, b.router.Close())
		})
	}
}
