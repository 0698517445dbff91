package owner

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/placer"
)

// update applies the service's servers of a new view. It returns the shards that this dock
// took over, by the former owner's name.
func (s *service) update(servers []encoder.Server, placement *placer.Placement) map[identifier.HostName][]identifier.Shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil
	}
	now := s.owner.settings.clock.Now()
	s.replaceServers(servers, now)
	s.link()
	former := s.placement
	s.placement = placement
	taken := map[identifier.HostName][]identifier.Shard{}
	for _, h := range s.shards {
		if name, ok := s.assign(h, former, now); ok {
			taken[name] = append(taken[name], identifier.Shard{Service: s.name, Number: h.number})
		}
	}
	s.grantAll()
	s.recheck(now)
	s.fillAll(now)
	return taken
}

// replaceServers keeps the state of servers that go on, and starts anew with those that
// restarted.
func (s *service) replaceServers(servers []encoder.Server, now time.Time) {
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
			sv.limit = 0
		}
	}
	s.servers = present
}

// link connects shards and servers by the servers' holdings.
func (s *service) link() {
	for _, h := range s.shards {
		h.holders = nil
	}
	for _, sv := range s.servers {
		sv.shards = sv.shards[:0]
		for _, holding := range sv.description.Holdings {
			h := s.shard(holding.Shard)
			if h.holders == nil {
				h.holders = map[identifier.IndexVersion][]*server{}
			}
			h.holders[holding.Version] = append(h.holders[holding.Version], sv)
			sv.addShard(h)
		}
	}
}

// assign sets this dock's role for a shard by the present placement. It returns the former
// owner's name, which is empty if none is known, and whether the shard was taken over.
func (s *service) assign(h *shard, former *placer.Placement, now time.Time) (identifier.HostName, bool) {
	if s.placement.Epoch < h.released {
		return "", false
	}
	before := h.role
	h.role = s.roleFor(h)
	event := s.owner.settings.event
	switch {
	case h.role == roleOwner && before != roleOwner:
	case h.role != roleOwner && before == roleOwner:
		h.transition = 0
		event(ShardReleased{Service: s.name, Number: h.number, Epoch: s.placement.Epoch})
		return "", false
	default:
		return "", false
	}
	var name identifier.HostName
	if former != nil {
		a, ok := former.Assignment(s.name, h.number)
		if !ok || a.Owner.Name == s.owner.self {
			// Nobody dispatched to the shard's servers before.
			return "", false
		}
		name = a.Owner.Name
	}
	h.transition = s.placement.Epoch
	s.schedule(now.Add(s.policy.HandoverLimit), transitionOver{h, h.transition})
	event(ShardTaken{Service: s.name, Number: h.number, Epoch: s.placement.Epoch, Former: name})
	return name, true
}

// roleFor returns this dock's role for a shard by the present placement.
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

// grantAll sets the slots and connections that this dock may use of each server.
func (s *service) grantAll() {
	for _, sv := range s.servers {
		s.grant(sv)
	}
}

// grant sets the slots and connections of a server that this dock may use.
//
// While ownership of one of its shards moves, it is half of the dock's share, at least 1:
// the former owner may still run as many as its share, so with two slots a server sees at
// most three subrequests from both, and that for no longer than HandoverLimit. Waiting
// with none at all would stop the shard for HandoverLimit whenever an owner dies. A second
// uses half as well: it is asked only when the owner is out of reach, but that may be the
// root's mistake.
func (s *service) grant(sv *server) {
	best, moving := roleNone, false
	for _, h := range sv.shards {
		best = max(best, h.role)
		moving = moving || h.transition != 0
	}
	if best == roleNone {
		sv.limit = 0
		return
	}
	part := s.placement.OwnerCount(sv.description.Address)
	if moving || best == roleSecond {
		part *= 2
	}
	sv.limit = max(1, sv.description.Slots/part)
	if p, ok := s.owner.backend.(Preparer); ok && best == roleOwner {
		p.Prepare(sv.description, max(1, sv.description.Connections/part))
	}
}

// recheck answers the waiting entries that no server or this dock can serve any more.
func (s *service) recheck(now time.Time) {
	for _, h := range s.shards {
		s.recheckQueue(&h.urgent, now)
		s.recheckQueue(&h.routine, now)
	}
	for _, e := range append([]*entry(nil), s.alone...) {
		s.recheckEntry(e, now)
	}
}

// recheckQueue checks the entries of one queue.
func (s *service) recheckQueue(q *queue, now time.Time) {
	for e := q.head; e != nil; {
		following := e.next
		s.recheckEntry(e, now)
		e = following
	}
}

// recheckEntry gives an entry up if neither this dock nor a server can serve it.
func (s *service) recheckEntry(e *entry, now time.Time) {
	t := e.task
	if reason, ok := t.shard.serves(t.batch.request.Version); !ok {
		s.giveUp(e, reason, 0)
		return
	}
	s.lacksReplica(e, now)
}

// release takes a shard away from this dock until its own view has reached the epoch. It
// returns the number of subrequests of the shard that still run.
func (s *service) release(number identifier.ShardNumber, epoch identifier.Epoch, successor encoder.Host) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.shards[number]
	if h == nil {
		return 0
	}
	known := s.placement != nil && s.placement.Epoch >= epoch
	if epoch > h.released && !known {
		h.released = epoch
		h.successor = successor
		h.role = roleNone
		h.transition = 0
		s.grantAll()
		s.recheck(s.owner.settings.clock.Now())
		s.owner.settings.event(ShardReleased{Service: s.name, Number: number, Epoch: epoch})
	}
	return s.inFlight(h)
}

// nameOwners tells who owns the shards that this dock refused for want of ownership: the
// dock that took a shard over, or the owner by this dock's view.
func (s *service) nameOwners(reply *encoder.BatchReply) {
	for i := range reply.Missing {
		if reply.Missing[i].Reason == encoder.MissingOwner {
			reply.Missing[i].Owner = s.ownerOf(reply.Missing[i].Shard)
		}
	}
}

// ownerOf returns the dock that owns a shard, or nil if none but this dock is known.
func (s *service) ownerOf(number identifier.ShardNumber) *encoder.Host {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.shards[number]
	if s.placement == nil || h == nil {
		return nil
	}
	if h.released > s.placement.Epoch && h.successor.Address.IsValid() {
		successor := h.successor
		return &successor
	}
	a, ok := s.placement.Assignment(s.name, number)
	if !ok || a.Owner.Name == s.owner.self {
		return nil
	}
	return &a.Owner
}

// adopt lets this dock serve a shard that a newer view than its own assigns to it, since the
// root's view can be ahead by a poll's interval, or whose owner and second are both out of
// reach. Until this dock's own view says more, it uses a second's share.
func (s *service) adopt(h *shard, request *encoder.ShardBatch) {
	if h.role != roleNone || s.placement == nil || (!request.Adopt && request.Epoch <= s.placement.Epoch) {
		return
	}
	h.role = roleSecond
	s.grantAll()
}

// inFlight counts a shard's running subrequests.
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

// acknowledged ends the transitions of shards whose former owner runs nothing any more.
func (s *service) acknowledged(numbers []identifier.ShardNumber, epoch identifier.Epoch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.owner.settings.clock.Now()
	for _, n := range numbers {
		h := s.shards[n]
		if h == nil || h.transition != epoch {
			continue
		}
		s.owner.settings.event(TransitionEnded{Service: s.name, Number: n, Epoch: epoch, Acknowledged: true})
		s.finishTransition(h, now)
	}
}

// endTransition ends a transition whose former owner did not acknowledge in time.
func (s *service) endTransition(h *shard, epoch identifier.Epoch, now time.Time) {
	if h.transition != epoch {
		return
	}
	s.owner.meters.silentHandovers.Inc(1)
	s.owner.settings.event(TransitionEnded{Service: s.name, Number: h.number, Epoch: epoch})
	s.finishTransition(h, now)
}

// finishTransition lets this dock use its whole share for a shard.
func (s *service) finishTransition(h *shard, now time.Time) {
	h.transition = 0
	s.grantAll()
	s.fillAll(now)
}
