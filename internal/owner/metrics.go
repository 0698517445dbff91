package owner

import (
	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/manifestreader"
)

const (
	// sampleSize is the number of recent values that a latency histogram keeps.
	sampleSize = 1028
	// sampleDecay is the decay factor of a histogram's sample. A higher factor favours recent
	// values more.
	sampleDecay = 0.015
)

// metricSet holds the owner's metrics. Histograms are in nanoseconds.
type metricSet struct {
	subrequests         metrics.Counter
	hedges              metrics.Counter
	hedgeWins           metrics.Counter
	hedgesDenied        metrics.Counter
	cancels             metrics.Counter
	retries             metrics.Counter
	refused             metrics.Counter
	lateResults         metrics.Counter
	shedByServers       metrics.Counter
	crashes             metrics.Counter
	ejections           metrics.Counter
	servedAsSecond      metrics.Counter
	unansweredHandovers metrics.Counter
	violations          metrics.Counter

	urgentLatency, routineLatency           metrics.Histogram
	urgentQueueWait, routineQueueWait       metrics.Histogram
	urgentBatchLatency, routineBatchLatency metrics.Histogram
}

// newMetricSet registers the metrics.
func newMetricSet(registry metrics.Registry) metricSet {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("owner."+name, registry)
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("owner."+name, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return metricSet{
		subrequests:         counter("subrequests"),
		hedges:              counter("hedges"),
		hedgeWins:           counter("hedge_wins"),
		hedgesDenied:        counter("hedges_denied"),
		cancels:             counter("cancels"),
		retries:             counter("retries"),
		refused:             counter("refused"),
		lateResults:         counter("late_results"),
		shedByServers:       counter("shed_by_servers"),
		crashes:             counter("crashes"),
		ejections:           counter("ejections"),
		servedAsSecond:      counter("served_as_second"),
		unansweredHandovers: counter("handovers_unanswered"),
		violations:          counter("violations"),
		urgentLatency:       histogram("urgent.latency"),
		routineLatency:      histogram("routine.latency"),
		urgentQueueWait:     histogram("urgent.queue_wait"),
		routineQueueWait:    histogram("routine.queue_wait"),
		urgentBatchLatency:  histogram("urgent.batch_latency"),
		routineBatchLatency: histogram("routine.batch_latency"),
	}
}

// subrequestLatency returns the histogram of the time from queueing to the result.
func (m *metricSet) subrequestLatency(urgency manifestreader.Urgency) metrics.Histogram {
	return byUrgency(urgency, m.urgentLatency, m.routineLatency)
}

// queueWait returns the histogram of the time in the queue.
func (m *metricSet) queueWait(urgency manifestreader.Urgency) metrics.Histogram {
	return byUrgency(urgency, m.urgentQueueWait, m.routineQueueWait)
}

// batchLatency returns the histogram of the time that a batch takes.
func (m *metricSet) batchLatency(urgency manifestreader.Urgency) metrics.Histogram {
	return byUrgency(urgency, m.urgentBatchLatency, m.routineBatchLatency)
}

// byUrgency returns the histogram of an urgency.
func byUrgency(urgency manifestreader.Urgency, urgent, routine metrics.Histogram) metrics.Histogram {
	if urgency == manifestreader.Urgent {
		return urgent
	}
	return routine
}

// registerQueueGauges registers the lengths of a service's queues, summed over all its shards.
func (s *service) registerQueueGauges(registry metrics.Registry) {
	gauge := func(urgency manifestreader.Urgency) {
		name := "owner." + string(s.name) + "." + urgency.String() + ".queued"
		metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 { return s.queueLength(urgency) })
	}
	gauge(manifestreader.Urgent)
	gauge(manifestreader.Routine)
}

// queueLength returns the number of queued entries of an urgency.
func (s *service) queueLength(urgency manifestreader.Urgency) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, h := range s.shards {
		count += h.queue(urgency).length
	}
	return int64(count)
}
