package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Reading is the current value of a metric with its description.
type Reading struct {
	Name    string `json:"name"`
	Unit    Unit   `json:"unit"`
	Meaning string `json:"meaning"`
	// Value is set for counters and gauges, and for meters, where it is the count.
	Value *float64 `json:"value,omitempty"`
	// PerSecond is set for meters. It is the one-minute moving average of the rate per second.
	PerSecond *float64 `json:"per_second,omitempty"`
	// Quantiles is set for latencies, histograms and timers.
	Quantiles *Quantiles `json:"quantiles,omitempty"`
}

// Readings returns the current values of all metrics in order of name.
func (r *Registry) Readings() []Reading {
	readings := []Reading{}
	for _, name := range r.names() {
		d := r.description(name)
		reading := Reading{Name: name, Unit: d.Unit, Meaning: d.Text}
		if reading.Unit == "" {
			reading.Unit = Count
		}
		reading.read(r.get(name))
		readings = append(readings, reading)
	}
	return readings
}

// read sets the values from a metric. It leaves them unset for an unsupported type.
func (r *Reading) read(metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		r.setValue(float64(m.Count()))
	case metrics.Gauge:
		r.setValue(float64(m.Value()))
	case metrics.GaugeFloat64:
		r.setValue(m.Value())
	case metrics.Meter:
		rate := m.Rate1()
		r.PerSecond = &rate
		r.setValue(float64(m.Count()))
	case *Latency:
		q := m.summary()
		r.Quantiles = &q
	case metrics.Histogram:
		q := sampleSummary(m.Snapshot())
		r.Quantiles = &q
	case metrics.Timer:
		q := sampleSummary(m.Snapshot())
		r.Quantiles = &q
	}
}

// setValue sets Value.
func (r *Reading) setValue(v float64) { r.Value = &v }

// writeText writes the reading as text after a line with its unit and meaning.
func (r Reading) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "# %s (%s): %s\n", r.Name, r.Unit, r.Meaning)
	if r.Value != nil {
		fmt.Fprintf(w, "%s %g\n", r.Name, *r.Value)
	}
	if r.PerSecond != nil {
		fmt.Fprintf(w, "%s.per_second %g\n", r.Name, *r.PerSecond)
	}
	if q := r.Quantiles; q != nil {
		fmt.Fprintf(w, "%s.count %d\n%s.p50 %g\n%s.p90 %g\n%s.p99 %g\n%s.p999 %g\n%s.max %g\n",
			r.Name, q.Count, r.Name, q.P50, r.Name, q.P90, r.Name, q.P99, r.Name, q.P999, r.Name, q.Max)
	}
}

// ServeHTTP writes all metrics as text, or as JSON if the request has the query format=json or an
// Accept header with application/json.
func (r *Registry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Query().Get("format") == "json" || strings.Contains(q.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader is gone.
		_ = json.NewEncoder(w).Encode(r.Readings())
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var page strings.Builder
	for _, reading := range r.Readings() {
		reading.writeText(&page)
	}
	// A failed write means that the reader is gone.
	_, _ = io.WriteString(w, page.String())
}
