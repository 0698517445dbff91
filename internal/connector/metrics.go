package connector

import "github.com/rcrowley/go-metrics"

// meters are the connector's metrics.
type meters struct {
	opened     metrics.Counter
	openFailed metrics.Counter
	cancels    metrics.Counter
	badReplies metrics.Counter
	lost       metrics.Counter
}

// newMeters registers the metrics.
func newMeters(registry metrics.Registry) meters {
	return meters{
		opened:     metrics.GetOrRegisterCounter("connector.connections_opened", registry),
		openFailed: metrics.GetOrRegisterCounter("connector.connections_failed", registry),
		cancels:    metrics.GetOrRegisterCounter("connector.cancels", registry),
		badReplies: metrics.GetOrRegisterCounter("connector.bad_replies", registry),
		lost:       metrics.GetOrRegisterCounter("connector.connections_lost", registry),
	}
}
