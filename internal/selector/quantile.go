package selector

import (
	"sync"
	"time"
)

const (
	// quantileStep is the relative change of an estimate by one observation.
	quantileStep = 0.04
	// firstSteps divided by the number of observations is the step of the first ones.
	firstSteps = 2.0
	// smallestEstimate keeps estimates positive.
	smallestEstimate = 100 * time.Microsecond
)

// Latencies estimates the median and a high quantile of one kind of request's latency by
// small steps towards each observation. It is safe for concurrent use.
type Latencies struct {
	// Guarded by mutex.
	mutex  sync.Mutex
	count  int
	median time.Duration
	high   time.Duration
	// share is the quantile that high estimates.
	share float64
}

// NewLatencies returns an estimate of the median and of a higher quantile.
func NewLatencies(share float64) *Latencies {
	return &Latencies{share: share}
}

// Observe moves the estimates.
func (l *Latencies) Observe(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count++
	if l.count == 1 {
		l.median, l.high = d, 2*d
		return
	}
	// The first observations count for more: a host that has just started must not take its very
	// first one for the usual.
	step := max(quantileStep, min(1, firstSteps/float64(l.count)))
	l.median = moved(l.median, d, 0.5, step)
	l.high = max(l.median, moved(l.high, d, l.share, step))
}

// Median returns the median, or zero before the first observation.
func (l *Latencies) Median() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.median
}

// High returns the higher quantile, or zero before the first observation.
func (l *Latencies) High() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.high
}

// moved steps an estimate of a quantile towards an observation, up by the share of
// observations that should lie below and down by the rest, so that it rests at the quantile.
func moved(estimate, observation time.Duration, share, relativeStep float64) time.Duration {
	step := relativeStep * float64(estimate)
	if observation > estimate {
		estimate += time.Duration(step * share)
	} else {
		estimate -= time.Duration(step * (1 - share))
	}
	return max(smallestEstimate, estimate)
}
