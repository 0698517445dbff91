package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
)

// owned is the division of one service among three owners, as one of them or another host sees it.
func owned(isOwner bool) selector.Ownership {
	return selector.Ownership{
		Owned:     map[identifier.ServiceName]bool{"plates": isOwner},
		Delegated: map[identifier.ServiceName]bool{"plates": true},
		Owners:    3,
	}
}

// TestOwnersRepeatsStayInTheBudget replays 102 hosts in three failure domains, where a service's
// owners hedge all that they may while their hosts fail and others follow, and every other host
// stands in once. No window of ten seconds may hold more repeats than are allowed.
func TestOwnersRepeatsStayInTheBudget(t *testing.T) {
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
			s.SetDocks(docks)
			s.SetOwnership(owned(false))
			hosts = append(hosts, s)
		}
		changeAt := rapid.IntRange(5, 35).Draw(r, "change")
		first := 0
		requests, repeats := [40]int{}, [40]int{}
		for second := range requests {
			if second == 0 || second == changeAt {
				first = rapid.IntRange(0, docks-owners).Draw(r, "first owner")
				for i, s := range hosts {
					s.SetOwnership(owned(i >= first && i < first+owners))
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
				// The others stand in while owners change.
				for (isOwner || second == changeAt) && s.MayRepeat(now, "plates", selector.RequiredRetry) {
					repeats[second]++
				}
			}
			asked, repeated := 0, 0
			for i := max(0, second-window+1); i <= second; i++ {
				asked += requests[i]
				repeated += repeats[i]
			}
			if float64(repeated) > ratio*float64(asked)+slack {
				r.Fatalf("%d repeats of %d requests up to second %d", repeated, asked, second)
			}
		}
	})
}

// TestOwnersHaveRepeatsForTheirHedges replays an owner with 15 requests a second, a twelfth of
// which meet a server that pauses. In its first second it holds back, as it may follow another.
func TestOwnersHaveRepeatsForTheirHedges(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 268}, 1)
	s.SetDocks(102)
	s.SetOwnership(owned(true))
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

func TestRepeatsOfAllServicesOrNone(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{Ratio: 0.2, Slack: 20}, 1)
	both := []identifier.ServiceName{"plates", "orders"}
	for s.MayRepeat(start, "orders", selector.RequiredRetry) {
	}
	assert.Assert(t, !s.MayRepeatAll(start, both, selector.RequiredRetry))
	assert.Assert(t, s.MayRepeatAll(start, both[:1], selector.RequiredRetry), "what was refused took nothing")
}

func TestOwnersHoldMoreConnections(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{}, 1)
	s.SetDocks(102)
	s.SetServices(map[identifier.ServiceName]int{"plates": 86})
	assert.Equal(t, s.Connections("plates"), 1)
	s.SetOwnership(owned(true))
	assert.Assert(t, s.Connections("plates") > 4)
	assert.Assert(t, 2*3*s.Connections("plates") <= 86, "owners and those who follow them fit")
	assert.Assert(t, !s.IsOwnedElsewhere("plates"))
	s.SetOwnership(owned(false))
	assert.Assert(t, s.IsOwnedElsewhere("plates"))
}
