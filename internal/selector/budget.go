package selector

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// ratioShare is the part of the allowed ratio that is spent, so that requests that end
	// before they are counted do not break it.
	ratioShare = 0.9
	// slackShare is the part of the allowed slack that the hosts split.
	slackShare = 0.85
	// burstShare is the part of a host's slack that may be spent at once. The rest comes back
	// evenly over a window, so that a host is never without repeats for long.
	burstShare = 0.7
	// startShare is the part of the burst that a host starts with. A host that has restarted may
	// have spent its repeats a moment ago.
	startShare = 0.5
	// lateReserve is the part of the burst beyond one repeat that a late hedge leaves for
	// requests that failed, and earlyReserve what an early hedge leaves for late ones.
	lateReserve  = 0.25
	earlyReserve = 0.6
	// spareReserve is what another try of a dispensable part leaves for those that decide on an
	// answer.
	spareReserve = 0.5
	// ownerShare is the part of the slack that a service's owners split. Owners may change within
	// a window, and the other hosts need some.
	ownerShare = 0.3
	// strangerShare is the part of the slack that comes back over a window to the hosts that send
	// to a service only when its owner fails, and that have one repeat each to begin with.
	strangerShare = 0.15
	// defaultWindow is used if the limits name none.
	defaultWindow = 10 * time.Second
)

// RepeatKind says how badly a repeat is needed.
type RepeatKind uint8

// Needs.
const (
	// EarlyHedge is a hedge of a request that may yet be answered in time.
	EarlyHedge RepeatKind = iota
	// LateHedge is a hedge at the last moment at which it is of use.
	LateHedge
	// OptionalRetry is another try of a part without which there is still an answer.
	OptionalRetry
	// RequiredRetry is another try of a request that fails otherwise.
	RequiredRetry
)

// BudgetLimits bound the repeats that all hosts together send to a service in any Window: at
// most Ratio times the requests in the window, and Slack.
type BudgetLimits struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// budget counts the repeats that this host may still send to a service.
type budget struct {
	tokens   float64
	refilled time.Time
}

// allowance is what one host may spend of the slack.
type allowance struct {
	// burst is the largest number of repeats that may follow each other at once.
	burst float64
	// start is what a host has that has not sent to the service yet.
	start float64
	// perSecond is how many come back without any request.
	perSecond float64
}

// allowance returns this host's part of a service's slack. With a burst below one a host could
// repeat nothing, however many requests it has had.
func (s *Selector) allowance(service identifier.ServiceName) allowance {
	slack := slackShare * float64(s.limits.Slack)
	part := slack / float64(s.docks)
	switch {
	case s.limits.Ratio == 0 && s.limits.Slack == 0:
		return allowance{}
	case s.ownership.Owned[service]:
		part = ownerShare * slack / float64(max(1, s.ownership.Owners))
	case s.ownership.Delegated[service]:
		return allowance{burst: 1, start: 1, perSecond: strangerShare * part / s.window().Seconds()}
	}
	burst := max(1, burstShare*part)
	return allowance{burst: burst, start: startShare * burst, perSecond: max(0, part-burst) / s.window().Seconds()}
}

// window is the time over which repeats are counted.
func (s *Selector) window() time.Duration {
	if s.limits.Window <= 0 {
		return defaultWindow
	}
	return s.limits.Window
}

// budget returns the budget of a service with what has come back until now.
func (s *Selector) budget(now time.Time, service identifier.ServiceName) (*budget, allowance) {
	a := s.allowance(service)
	b := s.budgets[service]
	if b == nil {
		b = &budget{tokens: a.start, refilled: now}
		s.budgets[service] = b
	}
	b.tokens = min(a.burst, b.tokens+a.perSecond*max(0, now.Sub(b.refilled)).Seconds())
	b.refilled = now
	return b, a
}

// CountRequest adds to a service's budget what one request allows.
func (s *Selector) CountRequest(now time.Time, service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, a := s.budget(now, service)
	b.tokens = min(a.burst, b.tokens+ratioShare*s.limits.Ratio)
}

// MayRepeat takes one repeat from a service's budget, if enough is left for those that are
// needed more.
func (s *Selector) MayRepeat(now time.Time, service identifier.ServiceName, need RepeatKind) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, a := s.budget(now, service)
	if b.tokens < 1+a.reserve(need) {
		return false
	}
	b.tokens--
	return true
}

// MayRepeatAll takes one repeat from the budget of each of several services, or none of any.
func (s *Selector) MayRepeatAll(now time.Time, services []identifier.ServiceName, need RepeatKind) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range services {
		if b, a := s.budget(now, name); b.tokens < 1+a.reserve(need) {
			return false
		}
	}
	for _, name := range services {
		b, _ := s.budget(now, name)
		b.tokens--
	}
	return true
}

// reserve is what a repeat must leave in the budget.
func (a allowance) reserve(need RepeatKind) float64 {
	spare := max(0, a.burst-1)
	switch need {
	case EarlyHedge:
		return earlyReserve * spare
	case LateHedge:
		return lateReserve * spare
	case OptionalRetry:
		return spareReserve * spare
	default:
		return 0
	}
}

// ReturnRepeat gives back a repeat that never left.
func (s *Selector) ReturnRepeat(now time.Time, service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, _ := s.budget(now, service)
	b.tokens++
}
