package broadcaster

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Watch answers a dock's watch request as soon as there is an update for it, or without one when
// the requested wait is over. Changes of the directory alone are delayed by batchDelay, so that
// others can join them.
func (b *Broadcaster) Watch(ctx context.Context, dock identifier.HostName, request encoder.WatchRequest) encoder.WatchReply {
	b.beginWatch(dock, request)
	timer := b.clock.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	isDue, isBatching := false, false
	for {
		reply, kind, wakeups := b.prepareReply(request)
		if isDue || kind == updateUrgent {
			return reply
		}
		if kind == updateDirectory && !isBatching {
			isBatching = true
			timer.Reset(batchDelay)
		}
		changed := wakeups.changed
		if isBatching {
			changed = wakeups.urgent
		}
		select {
		case <-changed:
		case <-timer.C:
			isDue = true
		case <-ctx.Done():
			b.markDisconnected(dock)
			isDue = true
		case <-b.stop:
			isDue = true
		}
	}
}

// beginWatch records what a dock says of itself. A notice that arrives during the watch is newer.
func (b *Broadcaster) beginWatch(dock identifier.HostName, request encoder.WatchRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.docks.recordWatch(b.clock.Now(), dock, request.Dock, min(request.Wait, maxWait))
	b.setDetached(dock, request.DetachVersion, request.IsDetached)
}

// markDisconnected records that a dock's watch broke off. The dock is not listed until it watches
// again.
func (b *Broadcaster) markDisconnected(dock identifier.HostName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.docks.markDisconnected(dock)
}

// updateKind classifies what a reply to a watch contains.
type updateKind uint8

const (
	updateNone updateKind = iota
	// updateDirectory means that registrations have changed.
	updateDirectory
	// updateUrgent means that the reply must be sent at once.
	updateUrgent
)

// prepareReply returns the reply to a watch request, what kind of update the reply contains, and
// the channels to wait on for the next one.
func (b *Broadcaster) prepareReply(request encoder.WatchRequest) (encoder.WatchReply, updateKind, wakeChannels) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// The channels are read before the keeper's state, so that a change in between is noticed.
	wakeups := b.wakeups
	s := b.keeperState()
	now := b.clock.Now()
	reply := b.newReply(s, request, now)
	b.addDocks(&reply, request, now)
	b.addServers(&reply, request, now)
	addEvacuations(&reply, s, request)
	switch {
	case isUrgent(reply, request), hasUrgentEvacuations(reply, request), b.hasUrgentDocks(reply, request, now):
		return reply, updateUrgent, wakeups
	case len(reply.Servers) > 0:
		return reply, updateDirectory, wakeups
	default:
		return reply, updateNone, wakeups
	}
}

// newReply returns a reply with the keeper's state. It contains slow servers, quarantines and
// members only if the dock holds others. The caller holds the lock.
func (b *Broadcaster) newReply(s KeeperState, request encoder.WatchRequest, now time.Time) encoder.WatchReply {
	reply := encoder.WatchReply{
		Keeper:         b.instance,
		Seen:           b.base + uint64(len(b.changes)),
		Configuration:  s.Configuration,
		IsVoter:        s.IsVoter,
		IsLeader:       s.IsLeader,
		MembersDigest:  s.MembersDigest,
		VerdictsDigest: b.slowServersDigest,

		QuarantinesDigest: b.quarantinesDigest,

		Voters: s.Voters,
	}
	if reply.VerdictsDigest != request.VerdictsDigest {
		reply.Verdicts = b.slowServers
	}
	if reply.QuarantinesDigest != request.QuarantinesDigest {
		reply.Quarantines = b.crashTracker.Quarantines(now)
	}
	if s.IsLeader && request.LimitsDigest != 0 {
		reply.LimitsDigest = b.limitsDigest
	}
	if reply.LimitsDigest != 0 && reply.LimitsDigest != request.LimitsDigest {
		reply.Limits = b.issuer.Limits(now)
	}
	if reply.MembersDigest != request.MembersDigest {
		reply.Members = s.Members
	}
	return reply
}

// addDocks adds the number of docks and of their failure domains and the docks in the sender's failure
// domain, on the leader if the sender holds another list, on other keepers if it holds none. The caller
// holds the lock.
func (b *Broadcaster) addDocks(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	reply.Docks, reply.Domains = b.docks.count(now)
	domainDocks, digest := b.docks.domainDocks(request.Dock.Domain)
	reply.FellowsDigest = digest
	isWanted := reply.IsLeader && digest != request.FellowsDigest
	if isWanted || request.FellowsDigest == 0 {
		reply.Fellows = domainDocks
	}
}

// addServers adds the changes that a dock has not seen. It adds the whole directory if those
// changes are no longer kept or if the dock last watched another instance, whose changes have other
// numbers. The caller holds the lock.
func (b *Broadcaster) addServers(reply *encoder.WatchReply, request encoder.WatchRequest, now time.Time) {
	if request.Keeper == b.instance && request.Seen >= b.base && request.Seen <= reply.Seen {
		reply.Servers = b.changes[request.Seen-b.base:]
		return
	}
	reply.IsWhole = true
	reply.Servers = b.directory.All(now)
}

// hasUrgentDocks reports whether the dock's list of docks must be replaced at once, because some were
// cut off from the backend servers or no longer are. The caller holds the lock.
func (b *Broadcaster) hasUrgentDocks(reply encoder.WatchReply, request encoder.WatchRequest, now time.Time) bool {
	return reply.IsLeader && reply.FellowsDigest != request.FellowsDigest && now.Sub(b.detachedAt) < detachUrgency && !b.hasDetachChanged
}

// isUrgent reports whether a reply must be sent at once. Changed members, slow servers, limits and
// quarantines count only from the leader, so that not all keepers answer at once. The others include
// them in their next reply.
func isUrgent(reply encoder.WatchReply, request encoder.WatchRequest) bool {
	if reply.IsWhole || reply.Configuration > request.Configuration {
		return true
	}
	hasChanged := reply.MembersDigest != request.MembersDigest || reply.VerdictsDigest != request.VerdictsDigest ||
		reply.QuarantinesDigest != request.QuarantinesDigest ||
		(reply.LimitsDigest != 0 && reply.LimitsDigest != request.LimitsDigest)
	return reply.IsLeader && hasChanged
}
