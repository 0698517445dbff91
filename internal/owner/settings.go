package owner

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/timekeeper"
)

// settings are the values that options set at creation.
type settings struct {
	clock          timekeeper.Clock
	registry       metrics.Registry
	logger         zerolog.Logger
	policy         Policy
	seed           uint64
	violationHook  func(detail string)
	eventHook      func(Event)
	handoverSender HandoverSender
}

// defaultSettings returns the settings of an Owner without options.
func defaultSettings() settings {
	return settings{
		clock:         timekeeper.System{},
		registry:      metrics.NewRegistry(),
		logger:        zerolog.Nop(),
		policy:        DefaultPolicy(),
		seed:          1,
		violationHook: func(string) {},
		eventHook:     func(Event) {},
	}
}

// Option sets a parameter of an Owner at creation.
type Option func(*settings)

// WithClock sets the clock.
func WithClock(clock timekeeper.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// WithRegistry sets the registry of the owner's metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(s *settings) { s.registry = registry }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(s *settings) { s.logger = logger }
}

// WithPolicy sets the parameters of the dispatch decisions.
func WithPolicy(policy Policy) Option {
	return func(s *settings) { s.policy = policy }
}

// WithSeed sets the seed of the random choices between replicas.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithViolationHook sets the function that is called when an invariant does not hold. It is
// called with locks held, so it must return quickly and must not call the owner.
func WithViolationHook(hook func(detail string)) Option {
	return func(s *settings) { s.violationHook = hook }
}

// WithEventHook sets the function that receives the owner's events. It is called with locks
// held, so it must return quickly and must not call the owner.
func WithEventHook(hook func(Event)) Option {
	return func(s *settings) { s.eventHook = hook }
}

// WithHandoverSender sets how handover requests are sent to former owners. Without a sender,
// every transition of a shard to this dock lasts for Policy.HandoverLimit.
func WithHandoverSender(sender HandoverSender) Option {
	return func(s *settings) { s.handoverSender = sender }
}
