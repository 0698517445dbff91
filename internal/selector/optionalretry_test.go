package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
)

// failedShare simulates queries to 20 shards, of which 2 may be missing in an answer. The servers
// of 5 shards refuse 45% of their requests. A refused subrequest is retried once if the budget
// allows it. It returns the share of queries with too many missing shards.
func failedShare(kindOf func(missing int) selector.RepeatKind) float64 {
	const (
		queries        = 5000
		sheddingShards = 5
		maxMissing     = 2
		refusalRate    = 0.45
		// queryInterval is the interval of one of 20 hosts that share 90 queries per second.
		queryInterval = 220 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 130}, 1)
	s.SetDocks(20, 1)
	failed := 0
	for i := range queries {
		now := start.Add(time.Duration(i) * queryInterval)
		missing := 0
		for _, shard := range random.Perm(sheddingShards) {
			service := identifier.ServiceName(rune('a' + shard))
			s.CountRequest(now, service)
			if random.Float64() >= refusalRate {
				continue
			}
			if s.MayRepeat(now, service, kindOf(missing)) && random.Float64() >= refusalRate {
				continue
			}
			missing++
		}
		if missing > maxMissing {
			failed++
		}
	}
	return float64(failed) / queries
}

func TestRepeatsAreReservedForRequiredRetries(t *testing.T) {
	always := failedShare(func(int) selector.RepeatKind { return selector.RequiredRetry })
	reserved := failedShare(func(missing int) selector.RepeatKind {
		if missing < 2 {
			return selector.OptionalRetry
		}
		return selector.RequiredRetry
	})
	t.Logf("failed queries: %.3f if every subrequest is retried, %.3f if repeats are reserved", always, reserved)
	// Reserving repeats avoids a quarter of the failed queries.
	assert.Assert(t, reserved <= 0.75*always)
}
