// Package measurer registers metrics together with their descriptions, so that the metrics page
// explains each of them.
package measurer

import (
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Unit is the unit of a metric's value.
type Unit string

// Units.
const (
	// Count is a number of items or occurrences.
	Count Unit = "count"
	// Nanoseconds is a duration in nanoseconds.
	Nanoseconds Unit = "ns"
	// Bytes is a size in bytes.
	Bytes Unit = "bytes"
	// Seconds is a duration in seconds.
	Seconds Unit = "s"
	// Ratio is a fraction from 0 to 1.
	Ratio Unit = "ratio"
)

// Description is the unit and the meaning of a metric.
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
	// latencies are not in metrics, because go-metrics accepts only its own types.
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

// Metrics returns the go-metrics registry for packages that register metrics with it directly.
func (r *Registry) Metrics() metrics.Registry { return r.metrics }

// Describe sets the description of a metric, which may be registered later.
func (r *Registry) Describe(name string, unit Unit, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.descriptions[name] = Description{Unit: unit, Text: text}
}

// Counter returns the counter with a name. It registers the counter if there is none, and sets its
// description.
func (r *Registry) Counter(name, text string) metrics.Counter {
	r.Describe(name, Count, text)
	return metrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge returns the gauge with a name. It registers the gauge if there is none, and sets its
// description.
func (r *Registry) Gauge(name string, unit Unit, text string) metrics.Gauge {
	r.Describe(name, unit, text)
	return metrics.GetOrRegisterGauge(name, r.metrics)
}

// Computed registers a gauge that calls value on each read. A gauge that is already registered
// under the name stays.
func (r *Registry) Computed(name string, unit Unit, text string, value func() int64) {
	r.Describe(name, unit, text)
	r.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// Remove unregisters the metrics whose names begin with one of the prefixes, because
// what they measure no longer exists. It does not remove latencies.
func (r *Registry) Remove(prefixes []string) {
	if len(prefixes) == 0 {
		return
	}
	removed := []string{}
	r.metrics.Each(func(name string, _ any) {
		isPrefix := func(prefix string) bool { return strings.HasPrefix(name, prefix) }
		if slices.ContainsFunc(prefixes, isPrefix) {
			removed = append(removed, name)
		}
	})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range removed {
		r.metrics.Unregister(name)
		delete(r.descriptions, name)
	}
}

// description returns the description of a metric, which is empty if there is none. One that was
// set by Describe has precedence over that in defaultDescriptions.
func (r *Registry) description(name string) Description {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d, exists := r.descriptions[name]; exists {
		return d
	}
	return defaultDescriptions[name]
}

// names returns the sorted names of all metrics.
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

// get returns the metric with a name, or nil.
func (r *Registry) get(name string) any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if l := r.latencies[name]; l != nil {
		return l
	}
	return r.metrics.Get(name)
}
