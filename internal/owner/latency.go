package owner

import (
	"math"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

const (
	// latencyBuckets is the number of buckets of a latency distribution.
	latencyBuckets = 256
	// latencyBase is the upper bound of the first bucket.
	latencyBase = 50 * time.Microsecond
	// latencyGrowth is the ratio of the bounds of two adjacent buckets.
	latencyGrowth = 1.05
	// latencyWindow is the number of samples at which the older half is dropped.
	latencyWindow = 1024
	// latencyMinSamples is the number of samples that a quantile estimate requires.
	latencyMinSamples = 20
	// quantileInterval is the number of samples between two updates of a quantile estimate.
	quantileInterval = 16
)

// operationKey identifies an operation and the urgency of its callers.
type operationKey struct {
	name    identifier.OperationName
	urgency manifestreader.Urgency
}

// operation holds the latencies of one operation on servers that are not slow.
type operation struct {
	latencies *distribution
	// medianLatency is the median latency. Zero means unknown.
	medianLatency time.Duration
}

// distribution is a distribution of recent latencies.
type distribution struct {
	current, previous [latencyBuckets]uint16
	currentCount      int
	previousCount     int

	quantile float64
	// estimate is the value at the quantile, computed when untilUpdate last reached zero. Zero
	// means unknown.
	estimate    time.Duration
	untilUpdate int
}

// newDistribution returns an empty distribution that tracks one quantile.
func newDistribution(quantile float64) *distribution {
	return &distribution{quantile: quantile, untilUpdate: latencyMinSamples}
}

// add records a latency. A cancelled subrequest is recorded with the time until it was
// cancelled, because the quantile would be too low without slow subrequests.
func (d *distribution) add(latency time.Duration) {
	d.current[latencyBucket(latency)]++
	d.currentCount++
	if d.currentCount >= latencyWindow/2 {
		d.previous, d.previousCount = d.current, d.currentCount
		d.current, d.currentCount = [latencyBuckets]uint16{}, 0
	}
	d.untilUpdate--
	if d.untilUpdate <= 0 {
		d.estimate = d.compute()
		d.untilUpdate = quantileInterval
	}
}

// quantileEstimate returns the quantile. It returns false while there are too few samples.
func (d *distribution) quantileEstimate() (time.Duration, bool) {
	return d.estimate, d.estimate > 0
}

// compute returns the upper bound of the bucket that contains the quantile.
func (d *distribution) compute() time.Duration {
	total := d.currentCount + d.previousCount
	rank := int(math.Ceil(d.quantile * float64(total)))
	seen := 0
	for i := range latencyBuckets {
		seen += int(d.current[i]) + int(d.previous[i])
		if seen >= rank {
			return bucketBound(i)
		}
	}
	return bucketBound(latencyBuckets - 1)
}

// latencyBucket returns the bucket of a latency.
func latencyBucket(latency time.Duration) int {
	if latency <= latencyBase {
		return 0
	}
	i := math.Ceil(math.Log(float64(latency)/float64(latencyBase)) / math.Log(latencyGrowth))
	return min(int(i), latencyBuckets-1)
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(i int) time.Duration {
	return time.Duration(float64(latencyBase) * math.Pow(latencyGrowth, float64(i)))
}
