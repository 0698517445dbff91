package selector

import "time"

const (
	// leastHedgeDelay keeps hedges from going out before an answer can be back.
	leastHedgeDelay = 4 * time.Millisecond
	// unknownHedgeDelay is used while nothing is known of a route's latency.
	unknownHedgeDelay = 100 * time.Millisecond
	// earlyMedians bounds the early hedge in usual latencies: while many servers are slow, the
	// high quantile is the slow servers' latency.
	earlyMedians = 3
	// answerMedians is how much time, in usual latencies, a hedge needs to be of use.
	answerMedians = 2
)

// HedgeTimes says when a second server is asked, counted from the first request. Early is
// for times with budget to spare: most answers are back by then. Latest is the last moment
// at which a second server's answer is still in time: what is outstanding then is most likely
// stuck, so that few hedges are wasted. Remaining is the time until the answer must leave,
// and zero if it has no such time.
func HedgeTimes(median, high, remaining time.Duration) (early, latest time.Duration) {
	if median == 0 && remaining == 0 {
		return unknownHedgeDelay, unknownHedgeDelay
	}
	if median == 0 {
		early = max(leastHedgeDelay, remaining/3)
		return early, early
	}
	early = max(leastHedgeDelay, min(high, earlyMedians*median))
	latest = max(early, remaining-answerMedians*median)
	return early, latest
}
