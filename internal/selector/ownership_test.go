package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
)

// threeOwners returns the ownership of a service with three owners, as an owner or another host
// sees it.
func threeOwners(isOwner bool) selector.Ownership {
	rank := allotter.NoRank
	if isOwner {
		rank = 0
	}
	return selector.Ownership{Ranks: map[identifier.ServiceName]int{"plates": rank}}
}

// TestOwnersRepeatsStayWithinBudget has 102 hosts in three failure domains. A service's owners send
// as many repeats as they may, other hosts become the owners at some time, and every other host
// repeats requests itself while the owners change. No window of ten seconds may contain more
// repeats than the limits allow.
func TestOwnersRepeatsStayWithinBudget(t *testing.T) {
	const (
		docks, owners = 102, 3
		slack         = 268
		ratio         = 0.2
		window        = 10
	)
	rapid.Check(t, func(r *rapid.T) {
		hosts := []*selector.Selector{}
		for range docks {
			s := selector.New("one", selector.BudgetLimits{Ratio: ratio, Slack: slack, Window: window * time.Second}, 1)
			s.SetDocks(docks, owners)
			s.SetOwnership(threeOwners(false))
			hosts = append(hosts, s)
		}
		changeAt := rapid.IntRange(5, 35).Draw(r, "change")
		first := 0
		requests, repeats := [40]int{}, [40]int{}
		for second := range requests {
			if second == 0 || second == changeAt {
				first = rapid.IntRange(0, docks-owners).Draw(r, "first owner")
				for i, s := range hosts {
					s.SetOwnership(threeOwners(i >= first && i < first+owners))
				}
			}
			now := start.Add(time.Duration(second) * time.Second)
			for i, s := range hosts {
				isOwner := i >= first && i < first+owners
				n := 0
				if isOwner {
					n = rapid.IntRange(0, 30).Draw(r, "requests")
				}
				for range n {
					s.CountRequest(now, "plates")
				}
				requests[second] += n
				// The other hosts send repeats themselves while the owners change.
				for (isOwner || second == changeAt) && s.MayRepeat(now, "plates", selector.RequiredRetry) {
					repeats[second]++
				}
			}
			requested, repeated := 0, 0
			for i := max(0, second-window+1); i <= second; i++ {
				requested += requests[i]
				repeated += repeats[i]
			}
			if float64(repeated) > ratio*float64(requested)+slack {
				r.Fatalf("%d repeats of %d requests up to second %d", repeated, requested, second)
			}
		}
	})
}

// TestOwnersCanHedgeWithinBudget has an owner with 15 requests per second, every twelfth of which
// reaches a server that pauses. The first second is not checked, because a new owner starts with a
// part of the burst.
func TestOwnersCanHedgeWithinBudget(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 268}, 1)
	s.SetDocks(102, 3)
	s.SetOwnership(threeOwners(true))
	denied := 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * time.Second / 15)
		s.CountRequest(now, "plates")
		if i >= 15 && i%12 == 0 && !s.MayRepeat(now, "plates", selector.EarlyHedge) {
			denied++
		}
	}
	assert.Equal(t, denied, 0)
}

func TestMayRepeatAllTakesAllOrNone(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 20}, 1)
	both := []identifier.ServiceName{"plates", "orders"}
	for s.MayRepeat(start, "orders", selector.RequiredRetry) {
	}
	assert.Assert(t, !s.MayRepeatAll(start, both, selector.RequiredRetry))
	assert.Assert(t, s.MayRepeatAll(start, both[:1], selector.RequiredRetry), "the refused call took no repeats")
}

func TestOwnersHoldMoreConnections(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{}, 1)
	s.SetDocks(102, 3)
	s.SetServices(map[identifier.ServiceName]int{"plates": 86})
	assert.Equal(t, s.Connections("plates"), 1)
	s.SetOwnership(threeOwners(true))
	assert.Assert(t, s.Connections("plates") > 4)
	assert.Assert(t, 2*3*s.Connections("plates") <= 86, "the current and the next owners fit")
	assert.Equal(t, s.RoleFor("plates"), selector.RoleOwner)
	s.SetOwnership(threeOwners(false))
	assert.Equal(t, s.RoleFor("plates"), selector.RoleNone)
	assert.Equal(t, s.Connections("plates"), 0, "only senders may connect")
}
