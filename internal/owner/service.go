package owner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
)

// medianSlownessInterval is the number of recorded latencies between two updates of the median
// slowness of the servers.
const medianSlownessInterval = 32

// maxOperations is the largest number of operations whose latencies are recorded separately.
const maxOperations = 64

// service is the state of all shards and servers of one service.
type service struct {
	// Set at creation.
	owner  *Owner
	name   identifier.ServiceName
	policy *Policy
	// wake makes the loop check the scheduled actions again.
	wake chan struct{}

	// Guarded by mutex: membership, changed by a new view or a handover.
	mutex     sync.Mutex
	isClosed  bool
	shards    map[identifier.ShardNumber]*shard
	servers   map[netip.AddrPort]*server
	placement *placer.Placement

	// Guarded by mutex: changed by dispatch.
	random      *rand.Rand
	firstCount  int64
	hedgeCount  int64
	hedgeBudget budget
	retryBudget budget
	// isolatedEntries are the entries that wait for a server without other subrequests.
	isolatedEntries []*entry
	suspects        map[identifier.Fingerprint]*suspect

	// Guarded by mutex: changed by replies.
	operations map[operationKey]*operation
	// medianSlowness is the median of the servers' slowness. Zero means unknown.
	medianSlowness      float64
	untilMedianSlowness int
	// medianLatencies are the median latencies by urgency.
	medianLatencies [2]time.Duration

	// Guarded by mutex: scheduled actions. timerTarget is the time that the loop's timer is
	// set to. Zero means that no action is scheduled.
	actions     actionHeap
	timerTarget time.Time
}

// newService returns a service without servers and starts its loop.
func newService(o *Owner, name identifier.ServiceName) *service {
	policy := &o.settings.policy
	s := &service{
		owner:       o,
		name:        name,
		policy:      policy,
		wake:        make(chan struct{}, 1),
		shards:      map[identifier.ShardNumber]*shard{},
		servers:     map[netip.AddrPort]*server{},
		random:      rand.New(rand.NewPCG(o.settings.seed, 0)),
		hedgeBudget: newBudget(policy.HedgeBudget, policy.HedgeBurst),
		retryBudget: newBudget(policy.RetryBudget, policy.RetryBurst),
		suspects:    map[identifier.Fingerprint]*suspect{},
		operations:  map[operationKey]*operation{},
	}
	s.registerQueueGauges(o.settings.registry)
	o.goroutines.Add(1)
	go s.loop()
	return s
}

// shard returns the state of a shard number. It creates the state if there is none.
func (s *service) shard(number identifier.ShardNumber) *shard {
	h := s.shards[number]
	if h == nil {
		h = &shard{number: number}
		s.shards[number] = h
	}
	return h
}

// operation returns the latencies of a task's operation. Operations beyond maxOperations share
// one distribution for each urgency.
func (s *service) operation(t *task) *operation {
	key := operationKey{t.batch.request.Operation, t.batch.request.Urgency}
	if op := s.operations[key]; op != nil {
		return op
	}
	if len(s.operations) >= maxOperations {
		key.name = ""
	}
	op := s.operations[key]
	if op == nil {
		op = &operation{latencies: newDistribution(s.policy.HedgeQuantile)}
		s.operations[key] = op
	}
	return op
}

// medianLatency returns the median latency of a task's operation. Zero means unknown.
func (s *service) medianLatency(t *task) time.Duration {
	return s.operation(t).medianLatency
}

// updateMedianSlowness computes the median slowness of the servers every medianSlownessInterval
// calls.
func (s *service) updateMedianSlowness() {
	s.untilMedianSlowness--
	if s.untilMedianSlowness > 0 {
		return
	}
	s.untilMedianSlowness = medianSlownessInterval
	slowness := make([]float64, 0, len(s.servers))
	for _, sv := range s.servers {
		if sv.slowness > 0 {
			slowness = append(slowness, sv.slowness)
		}
	}
	if len(slowness) == 0 {
		return
	}
	slices.Sort(slowness)
	s.medianSlowness = slowness[(len(slowness)-1)/2]
}

// admit dispatches, queues or refuses a new task.
func (s *service) admit(t *task, now time.Time) {
	h := s.shards[t.number]
	switch {
	case s.isClosed:
		t.closeMissing(encoder.MissingOwner, 0)
		return
	case h == nil:
		t.closeMissing(encoder.MissingNoReplica, 0)
		return
	}
	t.shard = h
	request := &t.batch.request
	s.adopt(h, request)
	if reason, ok := h.canServe(t.batch.version()); !ok {
		t.closeMissing(reason, 0)
		return
	}
	if request.Urgency == manifestreader.Urgent {
		h.lastUrgentAt = now
	}
	if h.role == roleSecond {
		s.owner.metricSet.servedAsSecond.Inc(1)
	}
	e := &entry{task: t, enqueued: now, isIsolated: request.Alone}
	if wait, ok := s.checkSuspect(e, now); !ok {
		t.closeMissing(encoder.MissingQuarantine, wait)
		return
	}
	s.startOrQueue(e, now)
}

// startOrQueue starts an entry or queues it. It closes the task if the entry can neither start
// nor wait.
func (s *service) startOrQueue(e *entry, now time.Time) {
	t := e.task
	if s.giveUpWithoutReplica(e, now) {
		return
	}
	t.waitingEntry = e
	if e.isIsolated {
		s.queueIsolated(e, now)
		return
	}
	if sv := s.chooseServer(e, now); sv != nil {
		s.startAttempt(e, sv, now)
		return
	}
	if e.kind == kindFirst {
		if wait, ok := s.canWait(t, now); !ok {
			s.giveUp(e, encoder.MissingOverload, wait)
			return
		}
	}
	q := t.shard.queue(t.batch.request.Urgency)
	if e.kind == kindFirst {
		q.push(e, now)
		return
	}
	// Retries and hedges go first, because their task has waited in the queue already.
	q.pushFront(e, now)
}

// giveUpWithoutReplica gives up an entry if no server is left that it could run on, and reports
// whether it did.
func (s *service) giveUpWithoutReplica(e *entry, now time.Time) bool {
	t := e.task
	reason, ok := s.hasCandidate(t, now)
	if ok {
		return false
	}
	retryAfter := s.readmissionDelay(t, now)
	if e.failure != nil {
		reason = reasonOf(e.failure.Cause)
		retryAfter = s.retryAfter(t, e.failure, now)
	}
	s.giveUp(e, reason, retryAfter)
	return true
}

// giveUp removes an entry and closes its task, unless an attempt of the task still runs.
func (s *service) giveUp(e *entry, reason encoder.MissingReason, retryAfter time.Duration) {
	t := e.task
	s.removeEntry(e)
	if len(t.running) > 0 || t.isClosed {
		return
	}
	if reason == encoder.MissingOverload {
		s.owner.metricSet.refused.Inc(1)
	}
	t.closeMissing(reason, retryAfter)
}

// removeEntry removes an entry that was not sent and refunds the budget of a hedge.
func (s *service) removeEntry(e *entry) {
	if e.task.waitingEntry == e {
		e.task.waitingEntry = nil
	}
	e.unlink()
	if e.kind == kindHedge {
		s.hedgeBudget.refund()
		s.hedgeCount--
	}
	if e.isIsolated {
		s.removeIsolated(e)
	}
}

// closeOpenTasks closes the open tasks of a batch that is given up.
func (s *service) closeOpenTasks(b *batch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.owner.settings.clock.Now()
	for i := range b.tasks {
		t := &b.tasks[i]
		switch {
		case t.isClosed:
		case t.mayHaveRun || len(t.running) > 0:
			t.closeMissing(encoder.MissingDeadline, 0)
		default:
			s.owner.metricSet.refused.Inc(1)
			t.closeMissing(encoder.MissingOverload, s.expectedWait(t, now))
		}
	}
}

// close refuses the waiting entries, cancels the running attempts and ends the loop.
func (s *service) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed = true
	for _, h := range s.shards {
		h.role = roleNone
	}
	s.recheckWaiting(s.owner.settings.clock.Now())
	for _, sv := range s.servers {
		for _, a := range sv.running {
			if !a.task.isClosed {
				a.task.closeMissing(encoder.MissingOwner, 0)
			}
		}
	}
	s.wakeLoop()
}

// reportViolation counts and logs a violated invariant and calls the violation hook.
func (s *service) reportViolation(format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	s.owner.metricSet.violations.Inc(1)
	s.owner.settings.logger.Error().Str("service", string(s.name)).Str("invariant", detail).Msg("invariant violated")
	s.owner.settings.violationHook(detail)
}
