package selector

import (
	"math"
	"time"
)

const (
	// initialShare and recoveryShare are the shares at which the slow starts of a server that has started
	// and of one that has recovered begin. A recovered server still has its caches.
	initialShare  = 1.0 / 16
	recoveryShare = 1.0 / 4
	// doublingTime and coldDoublingTime are the times in which a share doubles without any answer.
	// Beyond unprovenShare they are twice as long until this dock has got an answer in time, so that a
	// server that nobody sends to is at full pace within two seconds, and one that docks with
	// few requests send to is not overloaded before they notice.
	doublingTime     = 300 * time.Millisecond
	coldDoublingTime = 400 * time.Millisecond
	unprovenShare    = 1.0 / 4
	// goodAnswerFactor, slowAnswerFactor and failureShareFactor multiply the share at an answer in time, a
	// slow one and a failure.
	goodAnswerFactor   = 1.5
	slowAnswerFactor   = 0.5
	failureShareFactor = 0.5
	// growthPause is how long a share does not grow by time after a failure, a slow answer or a reported
	// queue. It is longer than most answers take, so that the next one shows whether that lasts.
	growthPause = 100 * time.Millisecond
	// goodAnswerRatio is the multiple of the usual latency up to which an answer counts as in time.
	goodAnswerRatio = 1.8
	// windowPerSlot is the number of requests in progress per slot that a full share allows.
	windowPerSlot = 2
	// maxPaceSlots bounds the slots that count for the window, because a server may report false ones.
	maxPaceSlots = 64
	// maxSlowStart bounds a slow start, because slow answers and queues count in the score anyway.
	maxSlowStart = 10 * time.Second
	// relapseTime is the time after a slow start within which the next one of the same server counts
	// as a relapse. Each of them doubles the doubling time, up to maxRelapses times, so that a server that
	// fails under load gets it back more slowly.
	relapseTime = 10 * time.Second
	maxRelapses = 2
	// loadTolerance is subtracted from the window before it is compared with the load, because the
	// load reported by others decays from the moment of the report.
	loadTolerance = 0.25
)

// pace bounds what this dock sends to one server in slow start. It is found from answers and time, so
// that docks that see few answers follow the same curve as the others. The zero pace is that of a server
// that is not in slow start. The pace that servers report of their work is workPace.
type pace struct {
	cause paceCause
	// share is the part of the requests that the server may get as of grownAt, from initialShare to 1.
	share   float64
	grownAt time.Time
	began   time.Time
	// isProven is set after an answer in time, until the next failure or slow answer.
	isProven bool
	// endedAt is when the last slow start ended, and relapses counts those that followed it closely.
	endedAt  time.Time
	relapses int
	// isLogged is set if the begin was reported, so that the end is.
	isLogged bool
}

// paceCause is the reason for a slow start.
type paceCause uint8

// Reasons for a slow start. A lower one has precedence, except paceNone, if a slow start begins while
// another one is active.
const (
	// paceNone means that the server is not in slow start.
	paceNone paceCause = iota
	// paceStarted means that the server has started.
	paceStarted
	// paceRecovered means that the server was down, silent or slow.
	paceRecovered
	// paceUnknown is the pending reason of a server that this dock has just learnt of. It has started
	// if its start is recent or it says that it is cold.
	paceUnknown
)

// isActive reports whether the server is in slow start.
func (p *pace) isActive() bool { return p.cause != paceNone }

// rank orders servers in slow start after the others.
func (p *pace) rank() int {
	if p.isActive() {
		return 1
	}
	return 0
}

// begin begins a slow start, also if one is active.
func (p *pace) begin(now time.Time, cause paceCause) {
	isRelapse := p.isActive() || !p.endedAt.IsZero() && now.Sub(p.endedAt) < relapseTime
	relapses := 0
	if isRelapse {
		relapses = min(maxRelapses, p.relapses+1)
	}
	share := initialShare
	if cause == paceRecovered {
		share = recoveryShare
	}
	if p.isActive() {
		share = min(share, p.share)
		cause = min(cause, p.cause)
	}
	*p = pace{cause: cause, share: share, grownAt: now, began: now, relapses: relapses, isLogged: p.isLogged}
}

// end ends the slow start.
func (p *pace) end(now time.Time) {
	p.cause, p.endedAt = paceNone, now
}

// stop ends the slow start if one is active.
func (p *pace) stop(now time.Time) {
	if p.isActive() {
		p.end(now)
	}
}

// grow increases the share by the time since the last call. It reports whether that ended the slow
// start.
func (p *pace) grow(now time.Time, isCold, isOverdue bool) (isOver bool) {
	if !p.isActive() {
		return false
	}
	since := now.Sub(p.grownAt)
	if since > 0 {
		p.grownAt = now
		if !isOverdue {
			p.share *= math.Exp2(float64(since) / float64(p.doublingTime(isCold)))
		}
	}
	if p.share < 1 && now.Sub(p.began) < maxSlowStart {
		return false
	}
	p.end(now)
	return true
}

// doublingTime returns the time in which the share doubles.
func (p *pace) doublingTime(isCold bool) time.Duration {
	d := doublingTime << p.relapses
	if isCold {
		d = coldDoublingTime << p.relapses
	}
	if !p.isProven && p.share > unprovenShare {
		d *= 2
	}
	return d
}

// answered adjusts the share to an answer. Ratio is its latency as a multiple of the usual one, and
// isQueued is set if the server reported that requests wait. A share that reaches 1 ends the slow start at
// the next call of grow.
func (p *pace) answered(now time.Time, ratio float64, isQueued bool) {
	switch {
	case !p.isActive():
	case ratio >= slowRatio:
		p.shrink(now, slowAnswerFactor)
	case isQueued:
		p.shrink(now, 1)
	case ratio <= goodAnswerRatio:
		p.share = min(1, p.share*goodAnswerFactor)
		p.isProven = true
	}
}

// failed adjusts the share to a refusal, a failure or a loss.
func (p *pace) failed(now time.Time) {
	if p.isActive() {
		p.shrink(now, failureShareFactor)
	}
}

// forget ends the slow start of a server that has recovered, for a dock that has found out that its own
// links were the cause.
func (p *pace) forget() {
	if p.cause == paceRecovered {
		p.cause, p.relapses = paceNone, 0
	}
}

// shrink multiplies the share by a factor and pauses its growth by time.
func (p *pace) shrink(now time.Time, factor float64) {
	p.share = max(initialShare, p.share*factor)
	p.isProven = p.isProven && factor == 1
	p.grownAt = now.Add(growthPause)
}

// window returns how many requests may be in progress at the server, those of all docks together.
func (p *pace) window(slots int) float64 {
	return max(1, p.share*windowPerSlot*float64(min(slots, maxPaceSlots)))
}
