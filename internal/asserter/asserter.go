// Package asserter checks invariants in running programs. It counts and logs each broken invariant
// and records it as an event. In tests it panics instead.
package asserter

import (
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/tracer"
)

// Asserter reports broken invariants. It is safe for concurrent use.
type Asserter struct {
	log      zerolog.Logger
	events   *tracer.Tracer
	failures metrics.Counter
	isFatal  bool
}

// Option configures an Asserter.
type Option func(*Asserter)

// WithLog logs broken invariants as errors.
func WithLog(log zerolog.Logger) Option {
	return func(a *Asserter) { a.log = log }
}

// WithEvents records broken invariants as events.
func WithEvents(events *tracer.Tracer) Option {
	return func(a *Asserter) { a.events = events }
}

// WithMetrics counts broken invariants in invariants_failed.
func WithMetrics(r *measurer.Registry) Option {
	return func(a *Asserter) {
		a.failures = r.Counter("invariants_failed", "Broken invariants since the start. Not 0 means a fault of banyandock itself.")
	}
}

// Fatal makes Check panic on a broken invariant. It is for tests.
func Fatal() Option {
	return func(a *Asserter) { a.isFatal = true }
}

// New returns an asserter that only counts broken invariants, unless options add more.
func New(options ...Option) *Asserter {
	a := &Asserter{log: zerolog.Nop(), failures: metrics.NewCounter()}
	for _, o := range options {
		o(a)
	}
	return a
}

// Check reports the named invariant as broken if isHeld is false. The context fields are added to
// the log line and the event. It returns isHeld.
func (a *Asserter) Check(isHeld bool, name string, context ...tracer.Field) bool {
	if isHeld {
		return true
	}
	if a.isFatal {
		panic(fmt.Sprintf("invariant %s is broken: %v", name, context))
	}
	a.failures.Inc(1)
	line := a.log.Error().Str("invariant", name)
	for _, f := range context {
		line = line.Str(f.Name, f.Value)
	}
	line.Msg("invariant is broken")
	fields := append([]tracer.Field{tracer.F("invariant", name)}, context...)
	a.events.Record(tracer.InvariantFailed, identifier.RequestID{}, "invariant is broken", fields...)
	return false
}

// Failures returns how many times an invariant was broken.
func (a *Asserter) Failures() int64 { return a.failures.Count() }
