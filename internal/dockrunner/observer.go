package dockrunner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/router"
)

// observer counts the outcomes of requests and measures their latencies by urgency.
type observer struct {
	urgent   *measurer.Latency
	routine  *measurer.Latency
	complete metrics.Counter
	partial  metrics.Counter
	notRun   metrics.Counter
	failed   metrics.Counter
	inDoubt  metrics.Counter
}

func newObserver(r *measurer.Registry) *observer {
	return &observer{
		urgent:   r.Latency("request_latency_urgent", "time from admission to answer of urgent requests"),
		routine:  r.Latency("request_latency_routine", "time from admission to answer of routine requests"),
		complete: r.Counter("requests_complete", "admitted requests answered from every shard"),
		partial:  r.Counter("requests_partial", "admitted requests answered from fewer shards, as their contracts allow"),
		notRun:   r.Counter("requests_not_run", "admitted requests of which nothing was run"),
		failed:   r.Counter("requests_failed", "admitted requests without an answer that may have run"),
		inDoubt:  r.Counter("requests_in_doubt", "admitted requests that run at most once and may have run"),
	}
}

// observe records the outcome and latency of one admitted request.
func (o *observer) observe(c manifestreader.Contract, outcome router.Outcome, elapsed time.Duration) {
	if c.Urgency == manifestreader.Urgent {
		o.urgent.Record(elapsed)
	} else {
		o.routine.Record(elapsed)
	}
	switch outcome.(type) {
	case router.Complete:
		o.complete.Inc(1)
	case router.Partial:
		o.partial.Inc(1)
	case router.NotRun:
		o.notRun.Inc(1)
	case router.Failed:
		o.failed.Inc(1)
	case router.InDoubt:
		o.inDoubt.Inc(1)
	}
}
