package owner

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// medianStep is the relative step by which estimates of medians are moved.
	medianStep = 0.1
	// unknownSlowness is the assumed slowness of an unmeasured server, and coldSlowness that of
	// an unmeasured server that announced itself as cold.
	unknownSlowness = 1.5
	coldSlowness    = 3
	// silenceFactor is the number of median latencies without any reply after which cancelled
	// attempts count as failures of a server.
	silenceFactor = 8
)

// server is the state of one incarnation of a backend server.
type server struct {
	// Changed by a new view.
	description encoder.Server
	shards      []*shard
	// slotLimit is the number of slots that this dock may use.
	slotLimit int

	// Changed by dispatch.
	running []*attempt
	// isolatedEntry is the entry that this server is kept free for or that runs on it isolated,
	// or nil.
	isolatedEntry *entry
	// lastStart is the time when a subrequest was last sent to the server, or when it was
	// added.
	lastStart time.Time

	// Changed by replies.
	//
	// slowness is the median ratio of the server's latencies to the median latency of their
	// operation. Zero means unmeasured.
	slowness     float64
	lastMeasured time.Time
	lastReply    time.Time
	// slowStartReplies counts results since the server was added or ejected, for the slow
	// start.
	slowStartReplies    int
	consecutiveFailures int
	// consecutiveEjections counts ejections since the last result.
	consecutiveEjections int
	ejectedUntil         time.Time
	shedUntil            time.Time
	drainUntil           time.Time
	// goneHoldings are the holdings that the server reported as gone, and until when that
	// counts.
	goneHoldings map[goneHolding]time.Time
}

// goneHolding is a holding that a server announced and later reported as gone.
type goneHolding struct {
	version indexVersion
	number  identifier.ShardNumber
}

// addShard records that the server holds a shard.
func (sv *server) addShard(h *shard) {
	if !slices.Contains(sv.shards, h) {
		sv.shards = append(sv.shards, h)
	}
}

// isDraining reports whether the server is draining, by its own reply or by the view.
func (sv *server) isDraining(now time.Time) bool {
	return sv.description.State == encoder.ServerDraining || now.Before(sv.drainUntil)
}

// isEjected reports whether the server gets no work because of failures.
func (sv *server) isEjected(now time.Time) bool { return now.Before(sv.ejectedUntil) }

// isUsable reports whether the server accepts new work.
func (sv *server) isUsable(now time.Time) bool {
	return !sv.isDraining(now) && !sv.isEjected(now) && !now.Before(sv.shedUntil)
}

// slots returns the number of slots that may be used now: at most one during the slow start,
// then slotLimit.
func (sv *server) slots(policy *Policy) int {
	if sv.slowStartReplies < policy.SlowStartReplies {
		return min(1, sv.slotLimit)
	}
	return sv.slotLimit
}

// free returns the number of free slots, whether or not the server is usable.
func (sv *server) free(policy *Policy) int {
	if sv.isolatedEntry != nil {
		return 0
	}
	return max(0, sv.slots(policy)-len(sv.running))
}

// recordSlowness records the ratio of a latency to the median of its operation. An incomplete
// latency counts only if it already exceeds the server's median. The first complete latency
// after RemeasureInterval replaces the median.
func (sv *server) recordSlowness(ratio float64, isComplete bool, policy *Policy, now time.Time) {
	switch {
	case isComplete && now.Sub(sv.lastMeasured) > policy.RemeasureInterval:
		sv.slowness = ratio
	case isComplete || ratio > sv.slowness:
		sv.slowness = trackMedian(sv.slowness, ratio)
	default:
		return
	}
	sv.lastMeasured = now
}

// trackMedian moves an estimate of a median one step towards a sample. Unlike a mean, the
// estimate is not moved far by the few samples that take many times as long.
func trackMedian[N time.Duration | float64](median, sample N) N {
	step := N(medianStep * float64(median))
	switch {
	case median == 0:
		return sample
	case sample > median:
		return median + step
	case sample < median:
		return median - step
	}
	return median
}

// expectedSlowness returns the slowness to expect of the server. A server that was sent nothing
// for RemeasureInterval is assumed to be as fast as the others, so that it is tried and
// measured again.
func (sv *server) expectedSlowness(policy *Policy, now time.Time) float64 {
	slowness := sv.slowness
	switch {
	case slowness > 0:
	case sv.description.State == encoder.ServerCold:
		slowness = coldSlowness
	default:
		slowness = unknownSlowness
	}
	if now.Sub(sv.lastStart) > policy.RemeasureInterval {
		return min(slowness, 1)
	}
	return slowness
}

// recordSuccess records a result and resets the failure counters.
func (sv *server) recordSuccess(now time.Time) {
	sv.slowStartReplies++
	sv.consecutiveFailures = 0
	sv.consecutiveEjections = 0
	sv.lastReply = now
}

// recordFailure records a failure and reports whether the server must be ejected.
func (sv *server) recordFailure(policy *Policy) bool {
	sv.consecutiveFailures++
	return sv.consecutiveFailures >= policy.ConsecutiveFailureLimit
}

// isSilent reports whether the server has sent no reply for many median latencies.
func (sv *server) isSilent(median time.Duration, now time.Time) bool {
	return now.Sub(sv.lastReply) > time.Duration(silenceFactor*max(sv.slowness, 1)*float64(median))
}

// eject ejects the server and returns when the ejection ends. The length doubles with each
// consecutive ejection, up to EjectionLimit.
func (sv *server) eject(policy *Policy, now time.Time) time.Time {
	length := policy.EjectionLimit
	if sv.consecutiveEjections < 16 {
		length = min(length, policy.EjectionBase<<sv.consecutiveEjections)
	}
	sv.consecutiveEjections++
	sv.consecutiveFailures = 0
	sv.slowStartReplies = 0
	sv.ejectedUntil = now.Add(length)
	return sv.ejectedUntil
}

// markGone records that the server no longer has a holding.
func (sv *server) markGone(version indexVersion, number identifier.ShardNumber, until time.Time) {
	if sv.goneHoldings == nil {
		sv.goneHoldings = map[goneHolding]time.Time{}
	}
	sv.goneHoldings[goneHolding{version, number}] = until
}

// isGone reports whether the server reported a holding as gone.
func (sv *server) isGone(version indexVersion, number identifier.ShardNumber, now time.Time) bool {
	return len(sv.goneHoldings) > 0 && now.Before(sv.goneHoldings[goneHolding{version, number}])
}

// removeAttempt removes an ended attempt from the server.
func (sv *server) removeAttempt(a *attempt) {
	if i := slices.Index(sv.running, a); i >= 0 {
		sv.running = slices.Delete(sv.running, i, i+1)
	}
}
