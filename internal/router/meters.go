package router

import (
	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/measurer"
)

// meters counts the root's decisions.
type meters struct {
	batches      metrics.Counter
	resends      metrics.Counter
	stalls       metrics.Counter
	bypasses     metrics.Counter
	replans      metrics.Counter
	canaries     metrics.Counter
	strayReplies metrics.Counter
}

// newMeters registers the counters. If the registry is nil, the counters discard their counts.
func newMeters(r *measurer.Registry) meters {
	if r == nil {
		none := metrics.NilCounter{}
		return meters{none, none, none, none, none, none, none}
	}
	return meters{
		batches:      r.Counter("root_batches", "batches sent to owners, canaries left out"),
		resends:      r.Counter("root_resends", "shards sent to another dock because the first did not start them or its reply was lost"),
		stalls:       r.Counter("root_stalls", "docks that did not echo a probe in time or could not be reached"),
		bypasses:     r.Counter("root_bypasses", "shards sent to their second dock while the owner stalled"),
		replans:      r.Counter("root_replans", "queries planned anew because their index version vanished"),
		canaries:     r.Counter("root_canaries", "requests that ran on one shard first"),
		strayReplies: r.Counter("root_stray_replies", "replies that did not match their batch"),
	}
}
