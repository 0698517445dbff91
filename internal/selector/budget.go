package selector

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// ratioShare is the part of the configured ratio that hosts spend. The rest is a margin, so
	// that requests that end before they are counted do not break the limit.
	ratioShare = 0.9
	// slackShare is the part of the configured slack that is divided among the hosts.
	slackShare = 0.85
	// burstShare is the part of a host's slack that the host may spend at once. The rest is
	// refilled evenly over a window, so that a host never runs out of repeats for long.
	burstShare = 0.7
	// startShare is the part of the burst that a host starts with. It is below one because a host
	// that has just restarted may have spent its repeats immediately before.
	startShare = 0.5
	// lateHedgeReserve is the part of the burst beyond one repeat that a late hedge must leave for
	// retries of failed requests. earlyHedgeReserve is the part that an early hedge must leave for
	// late hedges and retries.
	lateHedgeReserve  = 0.25
	earlyHedgeReserve = 0.6
	// optionalRetryReserve is the part of the burst beyond one repeat that an optional retry must
	// leave for required retries.
	optionalRetryReserve = 0.5
	// ownerShare is the part of the slack that is divided among the owners of a service. It is
	// small because owners may change within a window and because the other hosts need a part.
	ownerShare = 0.3
	// nonOwnerShare is the part of the slack that is refilled over a window for the hosts that send
	// to a service only when its owner fails. Each of these hosts starts with one repeat.
	nonOwnerShare = 0.15
	// defaultWindow is used if BudgetLimits.Window is not positive.
	defaultWindow = 10 * time.Second
)

// RepeatKind is the kind of a repeat. It determines how much of the budget the repeat must leave
// for more important ones.
type RepeatKind uint8

// Kinds of repeats.
const (
	// EarlyHedge is a hedge of a request whose first server may still answer in time.
	EarlyHedge RepeatKind = iota
	// LateHedge is a hedge at the last moment at which its answer can still be in time.
	LateHedge
	// OptionalRetry is a retry of a failed subrequest without which the query can still be
	// answered.
	OptionalRetry
	// RequiredRetry is a retry of a request or subrequest without which the query fails.
	RequiredRetry
)

// BudgetLimits bounds the repeats, that is, retries and hedges, that all hosts together send to a
// service. In any Window, they send at most Ratio times the number of requests plus Slack repeats.
// No repeats are allowed if Ratio and Slack are both zero.
type BudgetLimits struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// budget is the token bucket of the repeats that this host may still send to a service.
type budget struct {
	tokens   float64
	refilled time.Time
}

// allowance is the part of a service's slack that one host may spend.
type allowance struct {
	// burst is the maximum number of repeats that may be sent at once.
	burst float64
	// start is the number of repeats available before the host first sends to the service.
	start float64
	// perSecond is the number of repeats refilled per second without any request.
	perSecond float64
}

// allowance returns this host's part of a service's slack. A nonzero burst is at least one, because
// with a smaller one the host could never repeat a request, no matter how many requests it has
// counted.
func (s *Selector) allowance(service identifier.ServiceName) allowance {
	slack := slackShare * float64(s.limits.Slack)
	hostSlack := slack / float64(s.fleet.Docks)
	switch {
	case s.limits.Ratio == 0 && s.limits.Slack == 0:
		return allowance{}
	case s.ownership.owns(service):
		hostSlack = ownerShare * slack / float64(s.fleet.Domains)
	case s.ownership.hasSenders(service):
		return allowance{burst: 1, start: 1, perSecond: nonOwnerShare * hostSlack / s.window().Seconds()}
	}
	burst := max(1, burstShare*hostSlack)
	return allowance{burst: burst, start: startShare * burst, perSecond: max(0, hostSlack-burst) / s.window().Seconds()}
}

// window returns the interval over which repeats are counted.
func (s *Selector) window() time.Duration {
	if s.limits.Window <= 0 {
		return defaultWindow
	}
	return s.limits.Window
}

// budget returns the budget of a service, refilled up to now, and the allowance that bounds it. The
// caller holds the lock.
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

// CountRequest adds the repeats that one request allows to a service's budget.
func (s *Selector) CountRequest(now time.Time, service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, a := s.budget(now, service)
	b.tokens = min(a.burst, b.tokens+ratioShare*s.limits.Ratio)
}

// MayRepeat takes one repeat from a service's budget and returns true, or returns false if that
// would not leave the reserve for more important repeats.
func (s *Selector) MayRepeat(now time.Time, service identifier.ServiceName, kind RepeatKind) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, a := s.budget(now, service)
	if b.tokens < 1+a.reserve(kind) {
		return false
	}
	b.tokens--
	return true
}

// MayRepeatAll takes one repeat from the budget of each service and returns true, or takes none and
// returns false if any of the budgets is too low.
func (s *Selector) MayRepeatAll(now time.Time, services []identifier.ServiceName, kind RepeatKind) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range services {
		if b, a := s.budget(now, name); b.tokens < 1+a.reserve(kind) {
			return false
		}
	}
	for _, name := range services {
		b, _ := s.budget(now, name)
		b.tokens--
	}
	return true
}

// reserve returns the number of repeats that must remain in the budget after a repeat of this kind.
func (a allowance) reserve(kind RepeatKind) float64 {
	headroom := max(0, a.burst-1)
	switch kind {
	case EarlyHedge:
		return earlyHedgeReserve * headroom
	case LateHedge:
		return lateHedgeReserve * headroom
	case OptionalRetry:
		return optionalRetryReserve * headroom
	default:
		return 0
	}
}

// ReturnRepeat puts a repeat that was taken but not sent back into the service's budget.
func (s *Selector) ReturnRepeat(now time.Time, service identifier.ServiceName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, _ := s.budget(now, service)
	b.tokens++
}
