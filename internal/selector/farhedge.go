package selector

import "time"

// FarHedge is a hedge over a long link to another failure domain. It answers the pattern of near servers
// that pause briefly: most of them answer before a far server could, and the bytes of the hedge would be
// wasted.
type FarHedge struct {
	// Elapsed is the time since the last attempt was sent, and Usual its usual latency including the
	// round trip to its server. Usual is zero if unknown.
	Elapsed time.Duration
	Usual   time.Duration
	// Median is the median latency at a server, and RoundTrip that of the link to the hedge's server.
	Median    time.Duration
	RoundTrip time.Duration
	// UntilTarget is the time until the latency target. It is zero if there is no target, and negative
	// after it. UntilEnd is the time until the request is given up.
	UntilTarget time.Duration
	UntilEnd    time.Duration
}

// Delay returns the time after which the hedge may be sent: once the last attempt is overdue, or at the
// last moment at which the answer can be in time. If it cannot be in time any more, the hedge is sent to an
// overdue attempt all the same, as a late answer is better than none. Delay returns false if even that would
// come after the end.
func (h FarHedge) Delay() (delay time.Duration, isUseful bool) {
	overdue := max(0, time.Duration(stallFactor*float64(h.Usual))-h.Elapsed)
	answer := h.RoundTrip + h.Median
	if h.UntilTarget >= answer {
		return min(overdue, h.LatestDelay()), true
	}
	return overdue, overdue+answer <= h.UntilEnd
}

// LatestDelay returns the time until the last moment at which the answer to the hedge can be in time.
func (h FarHedge) LatestDelay() time.Duration {
	return max(0, h.UntilTarget-h.RoundTrip-answerMedians*h.Median)
}
