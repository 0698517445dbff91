package owner

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
)

const (
	// fasterRatio is the ratio of expected latencies below which one replica counts as faster
	// than another.
	fasterRatio = 0.75
	// noReplicaRetryAfter is the longest Retry-After of a shard without a reachable replica.
	noReplicaRetryAfter = time.Second
)

// hasCandidate reports whether a server is left that a task could run on. If not, it returns
// the reason.
func (s *service) hasCandidate(t *task, now time.Time) (encoder.MissingReason, bool) {
	version := t.batch.version()
	reason := encoder.MissingNoReplica
	for _, sv := range t.shard.holders[version] {
		switch {
		case sv.isGone(version, t.number, now):
			reason = encoder.MissingVersion
		case sv.isDraining(now) || slices.Contains(t.triedServers, sv):
		default:
			return 0, true
		}
	}
	return reason, false
}

// readmissionDelay returns the time until the first ejected replica of a task is used again, at
// most noReplicaRetryAfter.
func (s *service) readmissionDelay(t *task, now time.Time) time.Duration {
	delay := noReplicaRetryAfter
	for _, sv := range t.shard.holders[t.batch.version()] {
		if sv.isEjected(now) {
			delay = min(delay, sv.ejectedUntil.Sub(now))
		}
	}
	return delay
}

// chooseServer returns the server that an entry should start on now, or nil if it has to wait.
// It compares all replicas. Only this dock dispatches to them, so its slot counts are exact,
// and a choice between two random replicas would give worse results.
func (s *service) chooseServer(e *entry, now time.Time) *server {
	var best *server
	for _, sv := range e.task.shard.holders[e.task.batch.version()] {
		if s.canStart(e, sv, now) && (best == nil || s.isPreferred(sv, best, now)) {
			best = sv
		}
	}
	if best == nil || s.shouldDefer(e, best, now) {
		return nil
	}
	return best
}

// isPreferred reports whether a server with a free slot is preferred to another one.
func (s *service) isPreferred(sv, other *server, now time.Time) bool {
	slowness := sv.expectedSlowness(s.policy, now)
	otherSlowness := other.expectedSlowness(s.policy, now)
	switch {
	case slowness < fasterRatio*otherSlowness:
		return true
	case otherSlowness < fasterRatio*slowness:
		return false
	}
	// The used shares of the slots are compared, because a server in slow start has fewer
	// slots. By numbers it would get no work while others have free slots, and would stay in
	// slow start.
	busy := len(sv.running) * other.slots(s.policy)
	otherBusy := len(other.running) * sv.slots(s.policy)
	if busy != otherBusy {
		return busy < otherBusy
	}
	return s.random.IntN(2) == 0
}

// shouldDefer reports whether an urgent entry gets its answer sooner by waiting for a slot of a
// faster server than by starting on sv. It schedules an action that ends the wait in any case.
func (s *service) shouldDefer(e *entry, sv *server, now time.Time) bool {
	t := e.task
	if e.isDeferralOver || e.kind != kindFirst || t.batch.request.Urgency != manifestreader.Urgent {
		return false
	}
	slowness := sv.expectedSlowness(s.policy, now)
	if slowness <= s.medianSlowness {
		return false
	}
	for _, faster := range t.shard.holders[t.batch.version()] {
		slots := faster.slots(s.policy)
		if faster == sv || !faster.isUsable(now) || faster.isolatedEntry != nil || slots == 0 {
			continue
		}
		// Times are in units of the operation's median latency.
		fasterSlowness := faster.expectedSlowness(s.policy, now)
		wait := float64(t.shard.urgent.length+1) * fasterSlowness / float64(slots)
		if wait+fasterSlowness >= fasterRatio*slowness {
			continue
		}
		if !e.isDeferred {
			e.isDeferred = true
			s.schedule(now.Add(time.Duration((slowness-fasterSlowness)*float64(s.medianLatency(t)))), endDeferralAction{e})
		}
		return true
	}
	return false
}

// canStart reports whether an entry may use a slot of a server now.
func (s *service) canStart(e *entry, sv *server, now time.Time) bool {
	t := e.task
	version := t.batch.version()
	if sv.free(s.policy) == 0 || slices.Contains(t.triedServers, sv) || sv.isGone(version, t.number, now) {
		return false
	}
	if !sv.isUsable(now) && (len(sv.running) > 0 || t.shard.lastResort(version, now) != sv) {
		return false
	}
	if s.isBlockedBySuspect(e, now) {
		return false
	}
	if t.batch.request.Urgency == manifestreader.Urgent || t.shard.isOverdue(s.policy, now) {
		return true
	}
	return s.canStartRoutine(t.shard, sv, version, now)
}

// fillAllServers starts waiting entries on all servers until their slots are used up.
func (s *service) fillAllServers(now time.Time) {
	for _, sv := range s.servers {
		s.fillServer(sv, now)
	}
}

// fillShardServers starts waiting entries on the servers of a shard until their slots are used
// up.
func (s *service) fillShardServers(h *shard, now time.Time) {
	for _, holders := range h.holders {
		for _, sv := range holders {
			s.fillServer(sv, now)
		}
	}
}

// fillServer starts waiting entries on a server until its slots are used up.
func (s *service) fillServer(sv *server, now time.Time) {
	if len(s.isolatedEntries) > 0 {
		s.startIsolated(now)
	}
	for sv.free(s.policy) > 0 {
		e := s.nextEntry(sv, now)
		if e == nil {
			return
		}
		e.queue.dequeue(e, now)
		s.startAttempt(e, sv, now)
	}
}

// nextEntry returns the entry that gets a free slot of a server, or nil if none can start.
// Overdue routine entries come first within their share, then urgent entries, then routine
// ones.
func (s *service) nextEntry(sv *server, now time.Time) *entry {
	var overdue, urgent, routine *entry
	for _, h := range sv.shards {
		if h.urgent.length > 0 {
			urgent = earlier(urgent, s.firstStartable(&h.urgent, sv, now))
		}
		if h.routine.length == 0 {
			continue
		}
		if h.isOverdue(s.policy, now) {
			overdue = earlier(overdue, s.firstStartable(&h.routine, sv, now))
		} else if urgent == nil {
			routine = earlier(routine, s.firstStartable(&h.routine, sv, now))
		}
	}
	switch {
	case overdue != nil:
		return overdue
	case urgent != nil:
		return urgent
	}
	return routine
}

// earlier returns the entry that was queued earlier. Either may be nil.
func earlier(a, b *entry) *entry {
	if a == nil || (b != nil && b.enqueued.Before(a.enqueued)) {
		return b
	}
	return a
}

// firstStartable returns the first entry of a queue that may start on a server, or nil. It
// gives up entries that can no longer meet their deadline.
func (s *service) firstStartable(q *queue, sv *server, now time.Time) *entry {
	for e := q.head; e != nil; {
		following := e.next
		t := e.task
		switch {
		case now.Add(s.medianLatency(t) / 2).After(t.batch.deadline):
			s.giveUp(e, encoder.MissingOverload, s.expectedWait(t, now))
		case t.shard.holds(sv, t.batch.version()) && s.canStart(e, sv, now) && !s.shouldDefer(e, sv, now):
			return e
		}
		e = following
	}
	return nil
}

// startAttempt sends the subrequest of an entry to a server.
func (s *service) startAttempt(e *entry, sv *server, now time.Time) {
	t := e.task
	t.waitingEntry = nil
	if !s.checkStartInvariants(e, sv, now) {
		s.giveUp(e, encoder.MissingServerError, 0)
		return
	}
	t.attemptCount++
	t.batch.subrequests++
	t.triedServers = append(t.triedServers, sv)
	a := newAttempt(e, sv, now)
	sv.running = append(sv.running, a)
	sv.lastStart = now
	t.running = append(t.running, a)
	if e.isIsolated {
		sv.isolatedEntry = e
	}
	t.shard.updateOverdueCredit(t.batch.request.Urgency, s.policy)
	s.countDispatch(e, now)
	s.scheduleHedge(a, now)
	s.owner.goroutines.Add(1)
	go a.run()
}

// checkStartInvariants returns whether the invariants of every sent subrequest hold. It reports
// a violation if one does not.
func (s *service) checkStartInvariants(e *entry, sv *server, now time.Time) bool {
	t := e.task
	request := &t.batch.request
	switch {
	case len(sv.running) >= sv.slotLimit:
		s.reportViolation("server %s: %d subrequests in %d slots", sv.description.Address, len(sv.running)+1, sv.slotLimit)
	case sv.isolatedEntry != nil && (sv.isolatedEntry != e || len(sv.running) > 0):
		s.reportViolation("server %s: company for a subrequest that runs alone", sv.description.Address)
	case !request.Idempotent && (e.kind == kindHedge || t.mayHaveRun || len(t.running) > 0):
		s.reportViolation("request %s: a second run of a request that is not idempotent", request.Request)
	case sv.isDraining(now):
		s.reportViolation("server %s: new work while it drains", sv.description.Address)
	case t.isClosed:
		s.reportViolation("request %s: shard %d was answered before it was sent", request.Request, t.number)
	case t.shard.role == roleNone:
		s.reportViolation("shard %d: dispatched by a dock that does not own it", t.number)
	case float64(s.hedgeCount) > s.policy.HedgeBudget*float64(s.firstCount)+s.policy.HedgeBurst:
		s.reportViolation("%d hedges for %d subrequests", s.hedgeCount, s.firstCount)
	default:
		return true
	}
	return false
}

// countDispatch updates the counters and budgets for a subrequest that is sent.
func (s *service) countDispatch(e *entry, now time.Time) {
	m := &s.owner.metricSet
	m.subrequests.Inc(1)
	switch e.kind {
	case kindFirst:
		s.firstCount++
		s.hedgeBudget.deposit()
		s.retryBudget.deposit()
		m.queueWait(e.task.batch.request.Urgency).Update(int64(now.Sub(e.enqueued)))
	case kindRetry:
		m.retries.Inc(1)
	case kindHedge:
		m.hedges.Inc(1)
	}
}
