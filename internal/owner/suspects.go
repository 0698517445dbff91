package owner

import (
	"net/netip"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// crashLimit is the number of servers that a fingerprint may crash before its requests are
// refused.
const crashLimit = 2

// suspect is a fingerprint that was running on a server whose connection broke. Until one run
// has succeeded, it runs on one server at a time and isolated, so that its crashes are bounded
// and fail no other subrequests.
type suspect struct {
	crashes []crashedServer
	// isolatedTask is the task whose isolated run shows whether the fingerprint is safe, or
	// nil.
	isolatedTask *task
	expiresAt    time.Time
}

// crashedServer is one incarnation of a server that crashed.
type crashedServer struct {
	address     netip.AddrPort
	incarnation identifier.Incarnation
}

// isQuarantined reports whether requests of the fingerprint are refused.
func (p *suspect) isQuarantined() bool { return len(p.crashes) >= crashLimit }

// suspectOf returns the suspect of a task's fingerprint, or nil. It deletes an expired suspect.
func (s *service) suspectOf(t *task, now time.Time) *suspect {
	if len(s.suspects) == 0 {
		return nil
	}
	p := s.suspects[t.batch.fingerprint]
	if p != nil && p.isolatedTask == nil && !now.Before(p.expiresAt) {
		delete(s.suspects, t.batch.fingerprint)
		return nil
	}
	return p
}

// checkSuspect isolates the entry of a suspect unless another task of it runs isolated. It
// returns false and the time left if the fingerprint is quarantined.
func (s *service) checkSuspect(e *entry, now time.Time) (time.Duration, bool) {
	p := s.suspectOf(e.task, now)
	switch {
	case p == nil:
	case p.isQuarantined():
		return p.expiresAt.Sub(now), false
	case p.isolatedTask == nil:
		p.isolatedTask = e.task
		e.isIsolated = true
	}
	return 0, true
}

// isBlockedBySuspect reports whether an entry waits for the isolated run of its fingerprint.
func (s *service) isBlockedBySuspect(e *entry, now time.Time) bool {
	p := s.suspectOf(e.task, now)
	return p != nil && p.isolatedTask != e.task
}

// recordCrash records that a server's connection broke while it ran an attempt.
func (s *service) recordCrash(a *attempt, now time.Time) {
	fingerprint := a.task.batch.fingerprint
	p := s.suspects[fingerprint]
	if p == nil {
		p = &suspect{}
		s.suspects[fingerprint] = p
	}
	c := crashedServer{a.server.description.Address, a.server.description.Incarnation}
	if !slices.Contains(p.crashes, c) {
		p.crashes = append(p.crashes, c)
	}
	if p.isolatedTask == a.task {
		p.isolatedTask = nil
	}
	p.expiresAt = now.Add(s.policy.SuspectTime)
	if p.isQuarantined() {
		p.expiresAt = now.Add(s.policy.QuarantineTime)
	}
	if !a.task.isClosed {
		a.task.batch.crashes++
	}
	s.owner.metricSet.crashes.Inc(1)
	s.owner.settings.eventHook(ServerCrashed{
		Server:      a.server.description.Address,
		Shard:       a.task.shardID(),
		Request:     a.task.batch.request.Request,
		Fingerprint: fingerprint,
		Isolated:    a.entry.isIsolated,
		Crashes:     len(p.crashes),
	})
	if p.isQuarantined() {
		s.refuseQuarantined(fingerprint, p, now)
	}
}

// refuseQuarantined gives up the waiting entries of a quarantined fingerprint.
func (s *service) refuseQuarantined(fingerprint identifier.Fingerprint, p *suspect, now time.Time) {
	for _, e := range s.waitingEntries(fingerprint) {
		reason := encoder.MissingQuarantine
		if e.task.mayHaveRun {
			reason = encoder.MissingCrash
		}
		s.giveUp(e, reason, p.expiresAt.Sub(now))
	}
}

// waitingEntries returns the waiting entries of a fingerprint.
func (s *service) waitingEntries(fingerprint identifier.Fingerprint) []*entry {
	var found []*entry
	for _, h := range s.shards {
		for _, q := range []*queue{&h.urgent, &h.routine} {
			for e := q.head; e != nil; e = e.next {
				if e.task.batch.fingerprint == fingerprint {
					found = append(found, e)
				}
			}
		}
	}
	for _, e := range s.isolatedEntries {
		if e.task.batch.fingerprint == fingerprint {
			found = append(found, e)
		}
	}
	return found
}

// retryIsolated queues a task once more after the server that ran it crashed. The retry runs on
// another replica, isolated or after the isolated run of another task of its fingerprint. The
// task is closed instead if it is not idempotent, was retried before or is quarantined.
func (s *service) retryIsolated(t *task, f *Failure, now time.Time) {
	p := s.suspects[t.batch.fingerprint]
	if p == nil || !t.batch.request.Idempotent || t.hasIsolatedRetry || p.isQuarantined() {
		t.closeMissing(encoder.MissingCrash, 0)
		return
	}
	t.hasIsolatedRetry = true
	e := &entry{task: t, kind: kindRetry, enqueued: now, failure: f}
	if p.isolatedTask == nil {
		p.isolatedTask = t
		e.isIsolated = true
	}
	s.startOrQueue(e, now)
}

// clearSuspect deletes a suspect after its isolated task succeeded.
func (s *service) clearSuspect(a *attempt, now time.Time) {
	if len(s.suspects) == 0 {
		return
	}
	p := s.suspects[a.task.batch.fingerprint]
	if p == nil || p.isQuarantined() || p.isolatedTask != a.task {
		return
	}
	delete(s.suspects, a.task.batch.fingerprint)
	s.fillAllServers(now)
}

// endIsolatedRun ends an isolated run that neither succeeded nor crashed the server. The next
// entry of the fingerprint runs isolated in its place.
func (s *service) endIsolatedRun(a *attempt, now time.Time) {
	if len(s.suspects) > 0 {
		s.isolateNext(a.task, now)
	}
}

// isolateNext isolates the next waiting entry of a task's fingerprint.
func (s *service) isolateNext(t *task, now time.Time) {
	p := s.suspects[t.batch.fingerprint]
	if p == nil || p.isolatedTask != t {
		return
	}
	p.isolatedTask = nil
	for _, e := range s.waitingEntries(t.batch.fingerprint) {
		if e.task == t || e.isIsolated {
			continue
		}
		e.unlink()
		e.isIsolated = true
		p.isolatedTask = e.task
		s.queueIsolated(e, now)
		return
	}
}

// queueIsolated keeps a server free for an entry and starts it there once nothing else runs.
func (s *service) queueIsolated(e *entry, now time.Time) {
	s.isolatedEntries = append(s.isolatedEntries, e)
	s.startIsolated(now)
}

// startIsolated reserves servers for the isolated entries and starts the entries whose server
// is idle.
func (s *service) startIsolated(now time.Time) {
	for _, e := range slices.Clone(s.isolatedEntries) {
		if sv := e.reservedServer; sv != nil && !s.isReservable(e, sv, now) {
			sv.isolatedEntry = nil
			e.reservedServer = nil
			s.schedule(now, resumeServerAction{sv})
		}
		if e.reservedServer == nil {
			s.reserveServer(e, now)
		}
		if sv := e.reservedServer; sv != nil && len(sv.running) == 0 {
			s.isolatedEntries = slices.DeleteFunc(s.isolatedEntries, func(other *entry) bool { return other == e })
			s.startAttempt(e, sv, now)
		}
	}
}

// reserveServer reserves the server with the fewest running subrequests for an entry.
func (s *service) reserveServer(e *entry, now time.Time) {
	for _, sv := range e.task.shard.holders[e.task.batch.version()] {
		if sv.isolatedEntry != nil || !s.isReservable(e, sv, now) {
			continue
		}
		if e.reservedServer == nil || len(sv.running) < len(e.reservedServer.running) {
			e.reservedServer = sv
		}
	}
	if e.reservedServer != nil {
		e.reservedServer.isolatedEntry = e
	}
}

// isReservable reports whether a server can run an entry once nothing else runs on it.
func (s *service) isReservable(e *entry, sv *server, now time.Time) bool {
	t := e.task
	version := t.batch.version()
	switch {
	case sv.slotLimit == 0 || !t.shard.holds(sv, version):
		return false
	case sv.isGone(version, t.number, now) || slices.Contains(t.triedServers, sv):
		return false
	}
	return sv.isUsable(now) || t.shard.lastResort(version, now) == sv
}

// removeIsolated releases the server that was reserved for an entry.
func (s *service) removeIsolated(e *entry) {
	s.isolatedEntries = slices.DeleteFunc(s.isolatedEntries, func(other *entry) bool { return other == e })
	if sv := e.reservedServer; sv != nil && sv.isolatedEntry == e {
		sv.isolatedEntry = nil
		s.schedule(s.owner.settings.clock.Now(), resumeServerAction{sv})
	}
	if len(s.suspects) > 0 && len(e.task.running) == 0 {
		s.isolateNext(e.task, s.owner.settings.clock.Now())
	}
}
