package owner

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

// role is what this dock may do with a shard.
type role uint8

// Roles, in ascending order of precedence.
const (
	// roleNone means that this dock refuses the shard.
	roleNone role = iota
	// roleSecond means that this dock serves the shard if the owner cannot be reached.
	roleSecond
	// roleOwner means that this dock serves the shard as its owner.
	roleOwner
)

// indexVersion identifies a set of shards. Shards of one version number with two shard counts hold other parts of the
// index.
type indexVersion struct {
	number     identifier.IndexVersion
	shardCount uint32
}

// shard is the state of one shard number across all index versions.
type shard struct {
	number identifier.ShardNumber

	// Changed by a new view or a handover.
	role role
	// holders are the servers that hold each index version.
	holders map[indexVersion][]*server
	// releasedEpoch is the epoch under which another dock took over the shard.
	releasedEpoch identifier.Epoch
	// successor is the dock that took over the shard under that epoch.
	successor encoder.Host
	// transitionEpoch is the epoch under which this dock took over the shard. It is reset when
	// the former owner has stopped or HandoverLimit has passed. Zero means that no transition
	// is in progress.
	transitionEpoch identifier.Epoch

	// Changed by dispatch.
	urgent       queue
	routine      queue
	lastUrgentAt time.Time
	// overdueCredit is the number of dispatches, at most 1, that overdue routine entries may
	// use ahead of urgent ones.
	overdueCredit float64
}

// queue returns the queue of an urgency.
func (h *shard) queue(urgency manifestreader.Urgency) *queue {
	if urgency == manifestreader.Urgent {
		return &h.urgent
	}
	return &h.routine
}

// canServe reports whether this dock may dispatch an index version of the shard. If not, it
// returns the reason.
func (h *shard) canServe(version indexVersion) (encoder.MissingReason, bool) {
	switch {
	case h.role == roleNone:
		return encoder.MissingOwner, false
	case len(h.holders) == 0:
		return encoder.MissingNoReplica, false
	case len(h.holders[version]) == 0:
		return encoder.MissingVersion, false
	}
	return 0, true
}

// holds reports whether a server holds an index version of the shard.
func (h *shard) holds(sv *server, version indexVersion) bool {
	return slices.Contains(h.holders[version], sv)
}

// freeSlots returns the number of free slots of all usable replicas of an index version.
func (h *shard) freeSlots(version indexVersion, policy *Policy, now time.Time) int {
	free := 0
	for _, sv := range h.holders[version] {
		if sv.isUsable(now) {
			free += sv.free(policy)
		}
	}
	return free
}

// isOverdue reports whether the first routine entry takes precedence over urgent ones.
func (h *shard) isOverdue(policy *Policy, now time.Time) bool {
	first := h.routine.head
	return first != nil && h.overdueCredit >= 1 && now.Sub(first.enqueued) > policy.OverdueWait
}

// updateOverdueCredit records a dispatch of the given urgency. While routine entries wait, an
// urgent dispatch adds OverdueShare to the credit. A routine dispatch uses a credit of 1.
func (h *shard) updateOverdueCredit(urgency manifestreader.Urgency, policy *Policy) {
	switch {
	case urgency == manifestreader.Routine:
		h.overdueCredit = max(0, h.overdueCredit-1)
	case h.routine.length == 0:
		h.overdueCredit = 0
	default:
		h.overdueCredit = min(1, h.overdueCredit+policy.OverdueShare)
	}
}

// lastResort returns the ejected replica that returns first if no replica of an index version
// is usable, or nil. It is used although it is ejected, because otherwise the shard is
// certainly missing. Draining replicas and those that shed load are not used.
func (h *shard) lastResort(version indexVersion, now time.Time) *server {
	var first *server
	for _, sv := range h.holders[version] {
		if sv.isUsable(now) {
			return nil
		}
		if sv.isDraining(now) || now.Before(sv.shedUntil) {
			continue
		}
		if first == nil || sv.ejectedUntil.Before(first.ejectedUntil) {
			first = sv
		}
	}
	return first
}
