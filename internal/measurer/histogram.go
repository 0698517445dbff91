package measurer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest value of a histogram. Larger latencies are recorded as this value.
	maxLatency = 10 * time.Minute
	// significantFigures is the precision of a histogram in significant decimal digits.
	significantFigures = 2
)

// Latency is a histogram of all latencies since the process started. It is safe for concurrent use.
type Latency struct {
	// Guarded by mutex.
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Latency returns the histogram with a name. It registers the histogram if there is none, and sets
// its description.
func (r *Registry) Latency(name, text string) *Latency {
	r.Describe(name, Nanoseconds, text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l := r.latencies[name]
	if l == nil {
		l = &Latency{histogram: hdrhistogram.New(1, int64(maxLatency), significantFigures)}
		r.latencies[name] = l
	}
	return l
}

// Record adds a latency, limited to the range from 1 ns to maxLatency.
func (l *Latency) Record(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// RecordValue returns no error for a value within the histogram's range.
	_ = l.histogram.RecordValue(int64(min(max(d, 1), maxLatency)))
}

// Quantile returns the quantile of the recorded latencies for a share from 0 to 1, for example the
// median for 0.5.
func (l *Latency) Quantile(share float64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(100 * share))
}

// Count returns the number of recorded latencies.
func (l *Latency) Count() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.histogram.TotalCount()
}

// Quantiles is a summary of a distribution.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// summary returns the quantiles of the latencies in nanoseconds.
func (l *Latency) summary() Quantiles {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.histogram
	return Quantiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)),
		P90:   float64(h.ValueAtQuantile(90)),
		P99:   float64(h.ValueAtQuantile(99)),
		P999:  float64(h.ValueAtQuantile(99.9)),
		Max:   float64(h.Max()),
	}
}

// sampleSummary returns the quantiles of a snapshot of a go-metrics histogram or timer.
func sampleSummary(h interface {
	Count() int64
	Percentiles(shares []float64) []float64
	Max() int64
},
) Quantiles {
	p := h.Percentiles([]float64{0.5, 0.9, 0.99, 0.999})
	return Quantiles{Count: h.Count(), P50: p[0], P90: p[1], P99: p[2], P999: p[3], Max: float64(h.Max())}
}
