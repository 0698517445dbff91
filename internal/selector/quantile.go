package selector

import (
	"sync"
	"time"
)

const (
	// quantileStep is the relative step by which one observation changes an estimate.
	quantileStep = 0.04
	// initialStepScale divided by the number of observations is the relative step of the first
	// observations, if it is larger than quantileStep.
	initialStepScale = 2.0
	// minEstimate keeps estimates positive.
	minEstimate = 100 * time.Microsecond
)

// Latencies estimates the median and a higher quantile of the latency of one kind of request by
// small steps towards each observation. It is safe for concurrent use.
type Latencies struct {
	// Guarded by mutex.
	mutex  sync.Mutex
	count  int
	median time.Duration
	high   time.Duration
	// quantile is the quantile that high estimates, between 0.5 and 1.
	quantile float64
}

// NewLatencies returns an estimator of the median and of the given higher quantile.
func NewLatencies(quantile float64) *Latencies {
	return &Latencies{quantile: quantile}
}

// Observe updates the estimates with one latency.
func (l *Latencies) Observe(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count++
	if l.count == 1 {
		l.median, l.high = d, 2*d
		return
	}
	// The first observations have larger steps, so that a single unusual first observation does not
	// dominate the estimates of a host that has just started.
	step := max(quantileStep, min(1, initialStepScale/float64(l.count)))
	l.median = stepEstimate(l.median, d, 0.5, step)
	l.high = max(l.median, stepEstimate(l.high, d, l.quantile, step))
}

// Median returns the estimated median, or zero before the first observation.
func (l *Latencies) Median() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.median
}

// High returns the estimate of the higher quantile, or zero before the first observation.
func (l *Latencies) High() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.high
}

// stepEstimate moves the estimate of a quantile towards an observation. Steps up are proportional
// to the share of observations that should lie below the estimate, and steps down to the rest, so
// that the steps cancel out when the estimate is at the quantile.
func stepEstimate(estimate, observation time.Duration, quantile, relativeStep float64) time.Duration {
	step := relativeStep * float64(estimate)
	if observation > estimate {
		estimate += time.Duration(step * quantile)
	} else {
		estimate -= time.Duration(step * (1 - quantile))
	}
	return max(minEstimate, estimate)
}
