package selector

import "time"

const (
	// minHedgeDelay prevents hedges from being sent before an answer can have arrived.
	minHedgeDelay = 4 * time.Millisecond
	// defaultHedgeDelay is used while neither the route's latency nor a deadline is known.
	defaultHedgeDelay = 100 * time.Millisecond
	// maxEarlyMedians bounds the delay of an early hedge, as a multiple of the median latency.
	// While many servers are slow, the high quantile is the latency of the slow servers and would
	// delay hedges too long.
	maxEarlyMedians = 3
	// answerMedians is the time reserved for the answer to a hedge, as a multiple of the median
	// latency.
	answerMedians = 2
)

// HedgeTimes returns the delays, counted from the first request, after which a hedge is sent to a
// second server. Early is for times when the budget has repeats to spare: most answers have arrived
// by then. Latest is the last moment at which the answer to a hedge can still be in time. Requests
// that are outstanding at that moment are most likely stuck, so that few hedges are wasted.
//
// Median and high are quantiles of the route's latency, and zero if unknown. Remaining is the time
// until the answer is due, or zero if there is no deadline.
func HedgeTimes(median, high, remaining time.Duration) (early, latest time.Duration) {
	if median == 0 && remaining == 0 {
		return defaultHedgeDelay, defaultHedgeDelay
	}
	if median == 0 {
		early = max(minHedgeDelay, remaining/3)
		return early, early
	}
	early = max(minHedgeDelay, min(high, maxEarlyMedians*median))
	latest = max(early, remaining-answerMedians*median)
	return early, latest
}
