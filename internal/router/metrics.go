package router

import (
	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/measurer"
)

// metricSet counts the root's decisions.
type metricSet struct {
	batches      metrics.Counter
	resends      metrics.Counter
	stalls       metrics.Counter
	bypasses     metrics.Counter
	replans      metrics.Counter
	canaries     metrics.Counter
	strayReplies metrics.Counter
}

// newMetricSet registers the counters. If the registry is nil, the counters discard their counts.
func newMetricSet(r *measurer.Registry) metricSet {
	if r == nil {
		none := metrics.NilCounter{}
		return metricSet{none, none, none, none, none, none, none}
	}
	return metricSet{
		batches:      r.Counter("root_batches", "batches sent to owners, canaries left out"),
		resends:      r.Counter("root_resends", "shards sent to another dock because the first did not start them or its reply was lost"),
		stalls:       r.Counter("root_stalls", "docks that did not echo a probe in time or could not be reached"),
		bypasses:     r.Counter("root_bypasses", "shards sent to their second dock while the owner stalled"),
		replans:      r.Counter("root_replans", "queries planned anew because their index version vanished"),
		canaries:     r.Counter("root_canaries", "requests that ran on one shard first"),
		strayReplies: r.Counter("root_stray_replies", "replies that did not match their batch"),
	}
}
