package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
)

// canWait reports whether a new task fits into its queue, can meet its deadline there and is
// not refused under pressure. It returns the expected wait.
func (s *service) canWait(t *task, now time.Time) (time.Duration, bool) {
	urgency := t.batch.request.Urgency
	wait := s.expectedWait(t, now)
	limit := s.policy.RoutineQueueLimit
	if urgency == manifestreader.Urgent {
		limit = s.policy.UrgentQueueLimit
	}
	if t.shard.queue(urgency).length >= limit {
		return wait, false
	}
	if now.Add(wait + s.medianLatency(t)).After(t.batch.deadline) {
		return wait, false
	}
	excess := wait
	if urgency == manifestreader.Routine {
		// Routine work waits for OverdueWait behind urgent work by design. Counting that wait
		// as pressure refused a third of what its share of the dispatches could carry.
		excess -= s.policy.OverdueWait
	}
	return wait, t.batch.admissionRank() >= s.pressure(excess, t.batch.request.Timeout)
}

// pressure returns the position of an expected wait between PressureStart and PressureFull of a
// timeout, from 0 to 1.
func (s *service) pressure(wait, timeout time.Duration) float64 {
	start := s.policy.PressureStart * float64(timeout)
	full := s.policy.PressureFull * float64(timeout)
	if float64(wait) <= start {
		return 0
	}
	return min(1, (float64(wait)-start)/(full-start))
}

// admissionRank returns a number from 0 to 1 that is the same on all shards and docks for a
// request. Under pressure each shard refuses the requests of low rank. If the shards refused
// different requests, few queries over many shards would be complete although most subrequests
// run: with 20 shards at 1.5 times their capacity, 1 query in 50 was complete.
func (b *batch) admissionRank() float64 {
	return float64(xxhash.Sum64(b.request.Request[:])>>11) / (1 << 53)
}

// canStartRoutine reports whether routine work may use a free slot of a server or must leave it
// free for urgent work. An urgent subrequest that finds all slots busy waits until the first of
// them is free. If routine work takes much longer than urgent work, one slot of the shard is
// always left free, and under pressure one slot of each server that has several, so that hedges
// find a slot too. Otherwise one slot of the shard is left free under pressure only, because
// this costs routine work up to a quarter of its throughput.
//
// The reservations under pressure apply at random, with a probability proportional to the
// pressure. If they always applied, they would never end, because they take the capacity from
// routine work that is needed to end the pressure.
func (s *service) canStartRoutine(h *shard, sv *server, version indexVersion, now time.Time) bool {
	if h.lastUrgentAt.IsZero() || now.Sub(h.lastUrgentAt) > s.policy.ReserveWindow {
		return true
	}
	free, total := 0, 0
	for _, other := range h.holders[version] {
		if other.isUsable(now) {
			free += other.free(s.policy)
			total += other.slots(s.policy)
		}
	}
	// The reservation never excludes routine work completely.
	if free > min(s.policy.ReservedSlots, total-1) && (sv.slots(s.policy) < 2 || sv.free(s.policy) > 1) {
		return true
	}
	isUnderPressure := s.routinePressure(h, now) > s.policy.ReserveFull*s.random.Float64()
	isRoutineSlower := float64(s.medianLatencies[manifestreader.Routine]) > s.policy.ReserveRatio*float64(s.medianLatencies[manifestreader.Urgent])
	if free <= min(s.policy.ReservedSlots, total-1) {
		return !isRoutineSlower && !isUnderPressure
	}
	return !isRoutineSlower || !isUnderPressure
}

// routinePressure returns the pressure of a shard's routine queue.
func (s *service) routinePressure(h *shard, now time.Time) float64 {
	first := h.routine.head
	if first == nil {
		return 0
	}
	waitBehind := h.routine.waitBehind(h.routine.length, 0, now)
	return s.pressure(waitBehind, first.task.batch.request.Timeout)
}

// expectedWait returns the expected wait of a new task like t if no slot is free.
func (s *service) expectedWait(t *task, now time.Time) time.Duration {
	q := t.shard.queue(t.batch.request.Urgency)
	return q.waitBehind(q.length+1, s.fallbackInterval(t, now), now)
}

// fallbackInterval returns the expected time between two dispatches while all usable slots are
// busy.
func (s *service) fallbackInterval(t *task, now time.Time) time.Duration {
	medianLatency := s.medianLatency(t)
	effectiveSlots := 0.0
	for _, sv := range t.shard.holders[t.batch.version()] {
		if sv.isUsable(now) {
			effectiveSlots += float64(sv.slots(s.policy)) / sv.expectedSlowness(s.policy, now)
		}
	}
	if effectiveSlots == 0 {
		return medianLatency
	}
	return time.Duration(float64(medianLatency) / effectiveSlots)
}

// queueDelay returns the longest expected wait of new work on a batch's shards, by urgency.
func (s *service) queueDelay(b *batch) encoder.QueueDelay {
	now := s.owner.settings.clock.Now()
	var expectedDelay encoder.QueueDelay
	for i := range b.tasks {
		t := &b.tasks[i]
		if t.shard == nil {
			continue
		}
		expectedDelay.Urgent = max(expectedDelay.Urgent, s.expectedDelay(t, manifestreader.Urgent, now))
		expectedDelay.Routine = max(expectedDelay.Routine, s.expectedDelay(t, manifestreader.Routine, now))
	}
	return expectedDelay
}

// expectedDelay returns the expected wait of new work of an urgency on a task's shard.
func (s *service) expectedDelay(t *task, urgency manifestreader.Urgency, now time.Time) time.Duration {
	q := t.shard.queue(urgency)
	if q.length == 0 && t.shard.freeSlots(t.batch.version(), s.policy, now) > 0 {
		return 0
	}
	return q.waitBehind(q.length+1, s.fallbackInterval(t, now), now)
}
