package broadcaster

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/recorder"
)

// detachUrgency is how long after a dock was cut off, or no longer is, the lists of docks are sent at
// once, so that its shards soon have another owner.
const detachUrgency = time.Second

// ReportDetached records whether a dock has lost its links to all backend servers. The leader replies
// with docks that can reach them.
func (b *Broadcaster) ReportDetached(dock identifier.HostName, n encoder.DetachNotice) encoder.DetachReply {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setDetached(dock, n.Version, n.IsDetached)
	reply := encoder.DetachReply{IsLeader: b.keeperState().IsLeader}
	if !reply.IsLeader || !n.IsDetached {
		return reply
	}
	relays, digest := b.docks.relays(dock)
	if reply.RelaysDigest = digest; digest != n.RelaysDigest {
		reply.Relays = relays
	}
	return reply
}

// setDetached records whether a dock can reach backend servers. The caller holds the lock.
func (b *Broadcaster) setDetached(dock identifier.HostName, version uint64, isDetached bool) {
	if !b.docks.setDetached(dock, version, isDetached) {
		return
	}
	b.detachedAt = b.clock.Now()
	b.hasDetachChanged = true
	event := recorder.EventAttached
	if isDetached {
		event = recorder.EventDetached
	}
	b.log.Info().Str(recorder.FieldMember, string(dock)).Msg(event)
}

// announceDetached wakes all watches if docks were cut off or no longer are since the last call, so
// that changes of many docks are sent together. The caller holds the lock.
func (b *Broadcaster) announceDetached() {
	if b.hasDetachChanged {
		b.hasDetachChanged = false
		b.wakeAllWatches()
	}
}
