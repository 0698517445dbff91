package owner

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/placer"
)

// update applies the service's servers of a new view. It returns the shards that this dock took
// over, by the former owner's name.
func (s *service) update(servers []encoder.Server, placement *placer.Placement) map[identifier.HostName][]identifier.Shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return nil
	}
	now := s.owner.settings.clock.Now()
	s.updateServers(servers, now)
	s.linkShards()
	former := s.placement
	s.placement = placement
	takenOver := map[identifier.HostName][]identifier.Shard{}
	for _, h := range s.shards {
		if name, ok := s.assignRole(h, former, now); ok {
			takenOver[name] = append(takenOver[name], identifier.Shard{Service: s.name, Number: h.number})
		}
	}
	s.updateSlotLimits()
	s.recheckWaiting(now)
	s.fillAllServers(now)
	return takenOver
}

// updateServers keeps the state of servers with an unchanged incarnation and creates new state
// for servers that are new or restarted.
func (s *service) updateServers(servers []encoder.Server, now time.Time) {
	present := make(map[netip.AddrPort]*server, len(servers))
	for _, d := range servers {
		sv := s.servers[d.Address]
		if sv == nil || sv.description.Incarnation != d.Incarnation {
			sv = &server{lastReply: now, lastStart: now}
		}
		sv.description = d
		present[d.Address] = sv
	}
	for address, sv := range s.servers {
		if present[address] != sv {
			sv.slotLimit = 0
		}
	}
	s.servers = present
}

// linkShards links shards and servers according to the servers' holdings.
func (s *service) linkShards() {
	for _, h := range s.shards {
		h.holders = nil
	}
	for _, sv := range s.servers {
		sv.shards = sv.shards[:0]
		for _, holding := range sv.description.Holdings {
			h := s.shard(holding.Shard)
			if h.holders == nil {
				h.holders = map[indexVersion][]*server{}
			}
			version := indexVersion{holding.Version, holding.ShardCount}
			h.holders[version] = append(h.holders[version], sv)
			sv.addShard(h)
		}
	}
}

// assignRole sets this dock's role for a shard from the current placement. It reports whether
// the shard was taken over and returns the former owner's name, which is empty if it is
// unknown.
func (s *service) assignRole(h *shard, former *placer.Placement, now time.Time) (identifier.HostName, bool) {
	if s.placement.Epoch < h.releasedEpoch {
		return "", false
	}
	before := h.role
	h.role = s.roleFor(h)
	eventHook := s.owner.settings.eventHook
	switch {
	case h.role == roleOwner && before != roleOwner:
	case h.role != roleOwner && before == roleOwner:
		h.transitionEpoch = 0
		eventHook(ShardReleased{Service: s.name, Number: h.number, Epoch: s.placement.Epoch})
		return "", false
	default:
		return "", false
	}
	var name identifier.HostName
	if former != nil {
		a, ok := former.Assignment(s.name, h.number)
		if !ok || a.Owner.Name == s.owner.self {
			// No other dock dispatched to the shard's servers before.
			return "", false
		}
		name = a.Owner.Name
	}
	h.transitionEpoch = s.placement.Epoch
	s.schedule(now.Add(s.policy.HandoverLimit), expireTransitionAction{h, h.transitionEpoch})
	eventHook(ShardTaken{Service: s.name, Number: h.number, Epoch: s.placement.Epoch, Former: name})
	return name, true
}

// roleFor returns this dock's role for a shard in the current placement.
func (s *service) roleFor(h *shard) role {
	a, ok := s.placement.Assignment(s.name, h.number)
	switch {
	case !ok:
		return roleNone
	case a.Owner.Name == s.owner.self:
		return roleOwner
	case a.Second.Name == s.owner.self:
		return roleSecond
	}
	return roleNone
}

// updateSlotLimits sets the slots and connections that this dock may use of each server.
func (s *service) updateSlotLimits() {
	for _, sv := range s.servers {
		s.updateSlotLimit(sv)
	}
}

// updateSlotLimit sets the slots of a server that this dock may use, and its connections if this
// dock owns one of its shards.
//
// During a transition of one of the server's shards, this is half of the dock's share, but at
// least 1. The former owner may still use its whole share, so a server with two slots runs at
// most three subrequests of both docks, for at most HandoverLimit. A limit of 0 would stop the
// shard for HandoverLimit whenever an owner fails. A second uses half as well: it receives
// batches only if the owner cannot be reached, but the root may be wrong about that.
func (s *service) updateSlotLimit(sv *server) {
	highestRole, isMoving := roleNone, false
	for _, h := range sv.shards {
		highestRole = max(highestRole, h.role)
		isMoving = isMoving || h.transitionEpoch != 0
	}
	if highestRole == roleNone {
		sv.slotLimit = 0
		return
	}
	divisor := s.placement.OwnerCount(sv.description.Address)
	if isMoving || highestRole == roleSecond {
		divisor *= 2
	}
	sv.slotLimit = max(1, sv.description.Slots/divisor)
	if p, ok := s.owner.backend.(Preparer); ok && highestRole == roleOwner {
		p.Prepare(sv.description, max(1, sv.description.Connections/divisor))
	}
}

// recheckWaiting gives up the waiting entries that neither this dock nor a server can serve any
// more.
func (s *service) recheckWaiting(now time.Time) {
	for _, h := range s.shards {
		s.recheckQueue(&h.urgent, now)
		s.recheckQueue(&h.routine, now)
	}
	for _, e := range append([]*entry(nil), s.isolatedEntries...) {
		s.recheckEntry(e, now)
	}
}

// recheckQueue rechecks the entries of one queue.
func (s *service) recheckQueue(q *queue, now time.Time) {
	for e := q.head; e != nil; {
		following := e.next
		s.recheckEntry(e, now)
		e = following
	}
}

// recheckEntry gives up an entry if this dock may not serve it or no replica is left.
func (s *service) recheckEntry(e *entry, now time.Time) {
	t := e.task
	if reason, ok := t.shard.canServe(t.batch.version()); !ok {
		s.giveUp(e, reason, 0)
		return
	}
	s.giveUpWithoutReplica(e, now)
}

// release makes this dock refuse a shard until its own view has reached the epoch. It returns
// the number of subrequests of the shard that still run.
func (s *service) release(number identifier.ShardNumber, epoch identifier.Epoch, successor encoder.Host) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.shards[number]
	if h == nil {
		return 0
	}
	isKnown := s.placement != nil && s.placement.Epoch >= epoch
	if epoch > h.releasedEpoch && !isKnown {
		h.releasedEpoch = epoch
		h.successor = successor
		h.role = roleNone
		h.transitionEpoch = 0
		s.updateSlotLimits()
		s.recheckWaiting(s.owner.settings.clock.Now())
		s.owner.settings.eventHook(ShardReleased{Service: s.name, Number: number, Epoch: epoch})
	}
	return s.inFlight(h)
}

// setOwners sets the owner of each shard that this dock refused because it does not own it: the
// dock that took over the shard, or else the owner in this dock's view.
func (s *service) setOwners(reply *encoder.BatchReply) {
	for i := range reply.Missing {
		if reply.Missing[i].Reason == encoder.MissingOwner {
			reply.Missing[i].Owner = s.ownerOf(reply.Missing[i].Shard)
		}
	}
}

// ownerOf returns the dock that owns a shard, or nil if no owner other than this dock is known.
func (s *service) ownerOf(number identifier.ShardNumber) *encoder.Host {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.shards[number]
	if s.placement == nil || h == nil {
		return nil
	}
	if h.releasedEpoch > s.placement.Epoch && h.successor.Address.IsValid() {
		successor := h.successor
		return &successor
	}
	a, ok := s.placement.Assignment(s.name, number)
	if !ok || a.Owner.Name == s.owner.self {
		return nil
	}
	return &a.Owner
}

// adopt makes this dock serve a shard without a role for it in two cases: a newer view than its
// own assigns the shard to it, since the root's view can be ahead by a poll interval, or the
// owner and the second cannot be reached. The dock uses a second's share until its next view.
func (s *service) adopt(h *shard, request *encoder.ShardBatch) {
	if h.role != roleNone || s.placement == nil || (!request.Adopt && request.Epoch <= s.placement.Epoch) {
		return
	}
	h.role = roleSecond
	s.updateSlotLimits()
}

// inFlight returns the number of running subrequests of a shard.
func (s *service) inFlight(h *shard) int {
	count := 0
	for _, sv := range s.servers {
		for _, a := range sv.running {
			if a.task.shard == h {
				count++
			}
		}
	}
	return count
}

// endAcknowledgedTransitions ends the transitions of shards whose former owner has no
// subrequests in flight.
func (s *service) endAcknowledgedTransitions(numbers []identifier.ShardNumber, epoch identifier.Epoch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.owner.settings.clock.Now()
	for _, n := range numbers {
		h := s.shards[n]
		if h == nil || h.transitionEpoch != epoch {
			continue
		}
		s.owner.settings.eventHook(TransitionEnded{Service: s.name, Number: n, Epoch: epoch, Acknowledged: true})
		s.endTransition(h, now)
	}
}

// expireTransition ends a transition whose former owner did not acknowledge in time.
func (s *service) expireTransition(h *shard, epoch identifier.Epoch, now time.Time) {
	if h.transitionEpoch != epoch {
		return
	}
	s.owner.metricSet.unansweredHandovers.Inc(1)
	s.owner.settings.eventHook(TransitionEnded{Service: s.name, Number: h.number, Epoch: epoch})
	s.endTransition(h, now)
}

// endTransition ends a transition. This dock then uses its whole share for the shard.
func (s *service) endTransition(h *shard, now time.Time) {
	h.transitionEpoch = 0
	s.updateSlotLimits()
	s.fillAllServers(now)
}
