package owner

import (
	"errors"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// slowServerRatio is the ratio of a server's slowness to the median slowness above which its
// latencies are not recorded for the hedge delay, because a slow replica must not delay the
// hedges against it.
const slowServerRatio = 2

// asFailure returns the Failure that an error wraps. Any other error counts as a server error
// after which the subrequest may have run.
func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Cause: CauseServerError, Started: true, Detail: err.Error()}
}

// handleOutcome applies the outcome of an attempt and gives the freed slot to a waiting entry.
func (s *service) handleOutcome(a *attempt, result Result, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.owner.settings.clock.Now()
	sv := a.server
	a.hasEnded = true
	sv.removeAttempt(a)
	if sv.isolatedEntry == a.entry {
		sv.isolatedEntry = nil
	}
	a.task.removeAttempt(a)
	if err == nil && !a.task.isResultOfShard(result) {
		err = &Failure{Cause: CauseBadReply, Started: true, Detail: "reply contains rows of another shard"}
	}
	if err == nil {
		s.handleSuccess(a, result, now)
	} else {
		s.handleFailure(a, asFailure(err), now)
	}
	s.fillServer(sv, now)
}

// removeAttempt removes an ended attempt from the task.
func (t *task) removeAttempt(a *attempt) {
	if i := slices.Index(t.running, a); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
}

// isResultOfShard reports whether all rows of a result belong to the task's shard.
func (t *task) isResultOfShard(result Result) bool {
	for _, row := range result.Rows {
		if row.Shard != t.number {
			return false
		}
	}
	return true
}

// handleSuccess records a result and closes its task with it. A result that arrives after its
// task was closed is recorded but not used.
func (s *service) handleSuccess(a *attempt, result Result, now time.Time) {
	s.recordLatency(a, now.Sub(a.started), true, now)
	a.server.recordSuccess(now)
	s.clearSuspect(a, now)
	t := a.task
	if t.isClosed {
		s.owner.metricSet.lateResults.Inc(1)
		return
	}
	if a.entry.kind == kindHedge {
		s.owner.metricSet.hedgeWins.Inc(1)
	}
	s.owner.metricSet.subrequestLatency(t.batch.request.Urgency).Update(int64(now.Sub(a.entry.enqueued)))
	t.closeCovered(result)
}

// recordLatency records the latency of an attempt. If isComplete is false, the attempt was
// cancelled and the latency is a lower bound.
func (s *service) recordLatency(a *attempt, latency time.Duration, isComplete bool, now time.Time) {
	sv := a.server
	request := &a.task.batch.request
	op := s.operation(a.task)
	if op.medianLatency == 0 {
		op.medianLatency = latency
	}
	sv.recordSlowness(float64(latency)/float64(max(op.medianLatency, 1)), isComplete, s.policy, now)
	if s.medianSlowness == 0 || sv.slowness <= slowServerRatio*s.medianSlowness {
		op.latencies.add(latency)
		op.medianLatency = trackMedian(op.medianLatency, latency)
		s.medianLatencies[request.Urgency] = trackMedian(s.medianLatencies[request.Urgency], latency)
	}
	s.updateMedianSlowness()
}

// handleFailure records a failure and retries its task or closes it.
func (s *service) handleFailure(a *attempt, f *Failure, now time.Time) {
	if a.isCancelled && f.Cause != CauseConnectionLost {
		s.handleCancellation(a, now)
		return
	}
	t := a.task
	// A crash may quarantine the request, which closes the task if it waits for a slot.
	t.mayHaveRun = t.mayHaveRun || f.Started
	s.recordServerFailure(a, f, now)
	if t.isClosed {
		return
	}
	if len(t.running) > 0 || t.waitingEntry != nil {
		// Another attempt of the same task runs or waits.
		return
	}
	s.retry(a, f, now)
}

// handleCancellation records an attempt that was cancelled because another replica was faster
// or the batch was given up. If the attempt lasted at least the hedge delay and the server has
// been silent for a long time, it counts as a failure of the server.
func (s *service) handleCancellation(a *attempt, now time.Time) {
	s.owner.metricSet.cancels.Inc(1)
	s.endIsolatedRun(a, now)
	latency := now.Sub(a.started)
	if latency < s.hedgeDelay(a) {
		return
	}
	s.recordLatency(a, latency, false, now)
	if a.server.isSilent(s.medianLatency(a.task), now) && a.server.recordFailure(s.policy) {
		s.eject(a.server, now)
	}
}

// recordServerFailure updates the state of the server that an attempt failed on.
func (s *service) recordServerFailure(a *attempt, f *Failure, now time.Time) {
	sv := a.server
	if f.Cause == CauseConnectionLost {
		s.recordCrash(a, now)
		s.eject(sv, now)
		return
	}
	s.endIsolatedRun(a, now)
	switch f.Cause {
	case CauseNotSent:
		s.eject(sv, now)
	case CauseServerError, CauseBadReply:
		if sv.recordFailure(s.policy) {
			s.eject(sv, now)
		}
	case CauseShed:
		sv.shedUntil = now.Add(max(f.RetryAfter, s.policy.ShedPause))
		s.schedule(sv.shedUntil, resumeServerAction{sv})
		s.owner.metricSet.shedByServers.Inc(1)
	case CauseDraining:
		sv.drainUntil = now.Add(s.policy.DrainOverrideTime)
		s.schedule(sv.drainUntil, resumeServerAction{sv})
		s.recheckWaiting(now)
	case CauseVersionGone:
		sv.markGone(a.task.batch.version(), a.task.number, now.Add(s.policy.DrainOverrideTime))
		s.recheckWaiting(now)
	default:
	}
}

// eject ejects a server and schedules its return.
func (s *service) eject(sv *server, now time.Time) {
	until := sv.eject(s.policy, now)
	s.schedule(until, resumeServerAction{sv})
	s.owner.metricSet.ejections.Inc(1)
	s.owner.settings.eventHook(ServerEjected{Server: sv.description.Address, Until: until})
}

// retry sends a task to another replica if that is safe and within the budget. Otherwise it
// closes the task.
func (s *service) retry(a *attempt, f *Failure, now time.Time) {
	t := a.task
	if f.Cause == CauseConnectionLost {
		s.retryIsolated(t, f, now)
		return
	}
	safe := t.batch.request.Idempotent || !t.mayHaveRun
	if !safe || !s.isRetryable(f) || !s.takeRetryBudget(f) {
		t.closeMissing(reasonOf(f.Cause), s.retryAfter(t, f, now))
		return
	}
	s.startOrQueue(&entry{task: t, kind: kindRetry, enqueued: now, failure: f}, now)
}

// isRetryable reports whether another replica can succeed after a failure.
func (s *service) isRetryable(f *Failure) bool { return f.Cause != CauseCancelled }

// takeRetryBudget withdraws a retry from the budget and reports whether the budget allowed it.
// Retries after CauseNotSent, CauseDraining and CauseVersionGone are free, because the other
// replica does the work in place of the first.
func (s *service) takeRetryBudget(f *Failure) bool {
	switch f.Cause {
	case CauseNotSent, CauseDraining, CauseVersionGone:
		return true
	default:
		return s.retryBudget.withdraw(0)
	}
}

// retryAfter returns the time after which a caller should retry. Zero means no hint.
func (s *service) retryAfter(t *task, f *Failure, now time.Time) time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	switch f.Cause {
	case CauseShed:
		return max(s.policy.ShedPause, s.expectedWait(t, now))
	case CauseNotSent, CauseDraining:
		return s.readmissionDelay(t, now)
	default:
		return 0
	}
}

// reasonOf returns the reason for a missing shard after a failure.
func reasonOf(cause FailureCause) encoder.MissingReason {
	switch cause {
	case CauseNotSent, CauseDraining:
		return encoder.MissingNoReplica
	case CauseShed:
		return encoder.MissingOverload
	case CauseVersionGone:
		return encoder.MissingVersion
	case CauseCancelled:
		return encoder.MissingDeadline
	case CauseConnectionLost:
		return encoder.MissingCrash
	case CauseServerError, CauseBadReply:
		return encoder.MissingServerError
	}
	return encoder.MissingServerError
}
