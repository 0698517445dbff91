package selector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
)

// failedShare replays servers that turn 45% of their requests away, in 5 of 20 shards, of which
// 2 may be missing. A part that was turned away is tried once more on the budget. It returns the
// share of queries with too few parts.
func failedShare(needOf func(missing int) selector.RepeatKind) float64 {
	const (
		queries    = 5000
		shedding   = 5
		mayBeGone  = 2
		turnedAway = 0.45
		// queryInterval is that of one of 20 hosts which share 90 queries a second.
		queryInterval = 220 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 130}, 1)
	s.SetDocks(20)
	failed := 0
	for i := range queries {
		now := start.Add(time.Duration(i) * queryInterval)
		missing := 0
		for _, shard := range random.Perm(shedding) {
			service := identifier.ServiceName(rune('a' + shard))
			s.CountRequest(now, service)
			if random.Float64() >= turnedAway {
				continue
			}
			if s.MayRepeat(now, service, needOf(missing)) && random.Float64() >= turnedAway {
				continue
			}
			missing++
		}
		if missing > mayBeGone {
			failed++
		}
	}
	return float64(failed) / queries
}

func TestRepeatsAreKeptForPartsThatDecide(t *testing.T) {
	always := failedShare(func(int) selector.RepeatKind { return selector.RequiredRetry })
	kept := failedShare(func(missing int) selector.RepeatKind {
		if missing < 2 {
			return selector.OptionalRetry
		}
		return selector.RequiredRetry
	})
	t.Logf("queries with too few parts: %.3f if every part is tried again, %.3f if repeats are kept", always, kept)
	// A quarter fewer queries fail.
	assert.Assert(t, kept <= 0.75*always)
}
