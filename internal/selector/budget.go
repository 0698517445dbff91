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
	// startShare is the part of the capacity that a host starts with.
	startShare = 0.5
	// lateReserve is the part of the capacity beyond one repeat that a late hedge leaves for
	// requests that failed, and earlyReserve what an early hedge leaves for late ones.
	lateReserve  = 0.25
	earlyReserve = 0.6
	// spareReserve is what another try of a dispensable part leaves for those that decide on an
	// answer.
	spareReserve = 0.5
)

// Need says how badly a repeat is needed.
type Need uint8

// Needs.
const (
	// NeedEarly is a hedge of a request that may yet be answered in time.
	NeedEarly Need = iota
	// NeedLate is a hedge at the last moment at which it is of use.
	NeedLate
	// NeedSpare is another try of a part without which there is still an answer.
	NeedSpare
	// NeedRetry is another try of a request that fails otherwise.
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

// capacity is the largest number of repeats that may follow each other at once. With less
// than one a host could repeat nothing, however many requests it has had.
func (s *Selector) capacity() float64 {
	if s.limits.Ratio == 0 && s.limits.Slack == 0 {
		return 0
	}
	return max(1, slackShare*float64(s.limits.Slack)/float64(s.docks))
}

// budget returns the budget of a service, full at first.
func (s *Selector) budget(service identifier.ServiceName) *budget {
	b := s.budgets[service]
	if b == nil {
		// A host that has restarted may have spent its repeats a moment ago.
		b = &budget{tokens: startShare * s.capacity()}
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
	spare := max(0, s.capacity()-1)
	switch need {
	case NeedEarly:
		return earlyReserve * spare
	case NeedLate:
		return lateReserve * spare
	case NeedSpare:
		return spareReserve * spare
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
