package connector

import "github.com/rcrowley/go-metrics"

// metricSet holds the connector's metrics.
type metricSet struct {
	opened     metrics.Counter
	openFailed metrics.Counter
	cancels    metrics.Counter
	badReplies metrics.Counter
	lost       metrics.Counter
}

// newMetricSet registers the metrics.
func newMetricSet(registry metrics.Registry) metricSet {
	return metricSet{
		opened:     metrics.GetOrRegisterCounter("connector.connections_opened", registry),
		openFailed: metrics.GetOrRegisterCounter("connector.connections_failed", registry),
		cancels:    metrics.GetOrRegisterCounter("connector.cancels", registry),
		badReplies: metrics.GetOrRegisterCounter("connector.bad_replies", registry),
		lost:       metrics.GetOrRegisterCounter("connector.connections_lost", registry),
	}
}
