package selector

import (
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// ratioShare is the part of the allowed ratio that is spent, so that requests that end
	// before they are counted do not break it.
	ratioShare = 0.9
	// slackShare is the part of the allowed slack that the hosts split.
	slackShare = 0.7
	// hedgeReserve is how many repeats a late hedge leaves for requests that failed, and
	// earlyReserve the part of the capacity that an early hedge leaves for late ones.
	hedgeReserve = 1
	earlyReserve = 0.6
)

// Need says how badly a repeat is needed.
type Need uint8

// Needs.
const (
	// NeedEarly is a hedge of a request that may yet be answered in time.
	NeedEarly Need = iota
	// NeedLate is a hedge at the last moment at which it is of use.
	NeedLate
	// NeedRetry is another try of a request that failed.
	NeedRetry
)

// BudgetLimits bound the repeats that all hosts together send to a service in any window: at
// most Ratio times the requests in the window, and Slack.
type BudgetLimits struct {
	Ratio float64
	Slack int
}

// budget counts the repeats that this host may still send to a service.
type budget struct {
	tokens float64
}

// capacity is the largest number of repeats that may follow each other at once.
func (s *Selector) capacity() float64 {
	return slackShare * float64(s.limits.Slack) / float64(s.docks)
}

// budget returns the budget of a service, full at first.
func (s *Selector) budget(service identifier.ServiceName) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{tokens: s.capacity()}
		s.budgets[service] = b
	}
	return b
}

// CountRequest adds to a service's budget what one request allows.
func (s *Selector) CountRequest(service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.budget(service)
	b.tokens = min(s.capacity(), b.tokens+ratioShare*s.limits.Ratio)
}

// MayRepeat takes one repeat from a service's budget, if enough is left for those that are
// needed more.
func (s *Selector) MayRepeat(service identifier.ServiceName, need Need) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.budget(service)
	if b.tokens < 1+s.reserve(need) {
		return false
	}
	b.tokens--
	return true
}

// reserve is what a repeat must leave in the budget.
func (s *Selector) reserve(need Need) float64 {
	switch need {
	case NeedEarly:
		return max(hedgeReserve, earlyReserve*s.capacity())
	case NeedLate:
		return min(hedgeReserve, s.capacity()/2)
	default:
		return 0
	}
}

// ReturnRepeat gives back a repeat that never left.
func (s *Selector) ReturnRepeat(service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget(service).tokens++
}
