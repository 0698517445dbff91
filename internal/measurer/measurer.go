// Package measurer registers metrics together with their meaning, so that the page that
// serves them explains each one.
package measurer

import (
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Unit is what a metric counts in.
type Unit string

// Units.
const (
	// Count is a number of things or occurrences.
	Count Unit = "count"
	// Nanoseconds is a length of time.
	Nanoseconds Unit = "ns"
	// Bytes is a size.
	Bytes Unit = "bytes"
	// Seconds is a length of time.
	Seconds Unit = "s"
	// Ratio is a share from 0 to 1.
	Ratio Unit = "ratio"
)

// Description says what a metric means.
type Description struct {
	Unit Unit
	Text string
}

// Registry holds the metrics of a process and their descriptions. It is safe for
// concurrent use.
type Registry struct {
	metrics metrics.Registry

	// Guarded by mutex.
	mutex        sync.Mutex
	descriptions map[string]Description
	// latencies are kept here, since go-metrics accepts only its own types.
	latencies map[string]*Latency
}

// New returns a registry without metrics.
func New() *Registry {
	return &Registry{
		metrics:      metrics.NewRegistry(),
		descriptions: map[string]Description{},
		latencies:    map[string]*Latency{},
	}
}

// Metrics returns the registry for packages that register metrics by themselves.
func (r *Registry) Metrics() metrics.Registry { return r.metrics }

// Describe sets the meaning of a metric, which may be registered later.
func (r *Registry) Describe(name string, unit Unit, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.descriptions[name] = Description{Unit: unit, Text: text}
}

// Counter registers a counter with its meaning, or returns the one of that name.
func (r *Registry) Counter(name, text string) metrics.Counter {
	r.Describe(name, Count, text)
	return metrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge registers a gauge with its meaning, or returns the one of that name.
func (r *Registry) Gauge(name string, unit Unit, text string) metrics.Gauge {
	r.Describe(name, unit, text)
	return metrics.GetOrRegisterGauge(name, r.metrics)
}

// Computed registers a gauge whose value is computed when it is read.
func (r *Registry) Computed(name string, unit Unit, text string, value func() int64) {
	r.Describe(name, unit, text)
	r.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// Remove drops the metrics of things that are gone, whose names begin with one of the prefixes.
func (r *Registry) Remove(prefixes []string) {
	if len(prefixes) == 0 {
		return
	}
	gone := []string{}
	r.metrics.Each(func(name string, _ any) {
		isGone := func(prefix string) bool { return strings.HasPrefix(name, prefix) }
		if slices.ContainsFunc(prefixes, isGone) {
			gone = append(gone, name)
		}
	})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range gone {
		r.metrics.Unregister(name)
		delete(r.descriptions, name)
	}
}

// description returns the meaning of a metric.
func (r *Registry) description(name string) Description {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d, exists := r.descriptions[name]; exists {
		return d
	}
	return meanings[name]
}

// names returns the names of all metrics in order.
func (r *Registry) names() []string {
	var names []string
	r.metrics.Each(func(name string, _ any) { names = append(names, name) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name := range r.latencies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// get returns a metric.
func (r *Registry) get(name string) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if l := r.latencies[name]; l != nil {
		return l
	}
	return r.metrics.Get(name)
}
