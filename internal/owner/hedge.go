package owner

import (
	"time"

	"banyandock.example/banyandock/internal/manifestreader"
)

// defaultHedgeDelay is the hedge delay while there are too few latency samples.
const defaultHedgeDelay = 50 * time.Millisecond

// hedgeDelay returns the time after which an attempt is hedged.
func (s *service) hedgeDelay(a *attempt) time.Duration {
	delay, ok := s.operation(a.task).latencies.quantileEstimate()
	if !ok {
		return defaultHedgeDelay
	}
	return max(delay, s.policy.HedgeFloor)
}

// scheduleHedge schedules the hedge of an attempt, if it may be hedged.
func (s *service) scheduleHedge(a *attempt, now time.Time) {
	t := a.task
	request := &t.batch.request
	if !request.Idempotent || a.entry.isIsolated || a.entry.kind == kindHedge || len(t.shard.holders[t.batch.version()]) < 2 {
		return
	}
	at := now.Add(s.hedgeDelay(a))
	if at.Add(s.medianLatency(t) / 2).After(t.batch.deadline) {
		return
	}
	s.schedule(at, hedgeAction{a})
}

// hedge sends the subrequest of a slow attempt to another replica as well, ahead of routine
// work. If the budget is used up, it is scheduled again after another hedge delay.
func (s *service) hedge(a *attempt, now time.Time) {
	t := a.task
	if t.waitingEntry != nil || len(t.running) != 1 || t.shard.role == roleNone {
		return
	}
	if _, ok := s.hasCandidate(t, now); !ok {
		return
	}
	reserve := 0.0
	if t.batch.request.Urgency == manifestreader.Routine {
		// Half of the burst is reserved for urgent work.
		reserve = s.policy.HedgeBurst / 2
	}
	if !s.hedgeBudget.withdraw(reserve) {
		s.owner.metricSet.hedgesDenied.Inc(1)
		s.scheduleHedge(a, now)
		return
	}
	s.hedgeCount++
	s.startOrQueue(&entry{task: t, kind: kindHedge, enqueued: a.entry.enqueued}, now)
}
