package replicator

import (
	"math/rand/v2"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/timekeeper"
)

// Names of the metrics in the registry of WithMetrics.
const (
	MetricMalformed  = "replicator.messages.malformed"
	MetricOverflow   = "replicator.messages.overflow"
	MetricMisrouted  = "replicator.messages.misrouted"
	MetricViolations = "replicator.invariant.violations"
)

// Option configures a Replicator.
type Option func(*options)

// options holds the dependencies that have defaults.
type options struct {
	clock         timekeeper.Clock
	random        *rand.Rand
	commandNumber func([]byte) uint64
	onEvent       func(Event)
	onViolation   func(Violation)
	registry      metrics.Registry

	malformed  metrics.Counter
	overflow   metrics.Counter
	misrouted  metrics.Counter
	violations metrics.Counter
}

// WithClock replaces the system clock.
func WithClock(c timekeeper.Clock) Option {
	return func(o *options) { o.clock = c }
}

// WithSeed sets the seed of the random election timeouts.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithCommandNumber sets the function that returns a command's number, or zero if the command has
// none. Status.Pending reports the largest number of the uncommitted commands.
func WithCommandNumber(commandNumber func(command []byte) uint64) Option {
	return func(o *options) { o.commandNumber = commandNumber }
}

// WithEvents sets a function that is called for each event. It must not block.
func WithEvents(onEvent func(Event)) Option {
	return func(o *options) { o.onEvent = onEvent }
}

// WithInvariantFailure sets a function that is called for each violated invariant. Without it,
// violations are only counted.
func WithInvariantFailure(onViolation func(Violation)) Option {
	return func(o *options) { o.onViolation = onViolation }
}

// WithMetrics sets the registry of the counters. Without it, they are in a private registry.
func WithMetrics(r metrics.Registry) Option {
	return func(o *options) { o.registry = r }
}

// newOptions returns the defaults, changed by opts.
func newOptions(opts []Option) *options {
	o := &options{
		clock:       timekeeper.System{},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		onEvent:     func(Event) {},
		onViolation: func(Violation) {},
		registry:    metrics.NewRegistry(),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.malformed = metrics.GetOrRegisterCounter(MetricMalformed, o.registry)
	o.overflow = metrics.GetOrRegisterCounter(MetricOverflow, o.registry)
	o.misrouted = metrics.GetOrRegisterCounter(MetricMisrouted, o.registry)
	o.violations = metrics.GetOrRegisterCounter(MetricViolations, o.registry)
	return o
}

// reportViolation counts and reports a violation.
func (o *options) reportViolation(v Violation) {
	o.violations.Inc(1)
	o.onViolation(v)
}
