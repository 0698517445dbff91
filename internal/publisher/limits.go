package publisher

import (
	"time"

	"banyandock.example/banyandock/internal/checker"
)

// Limits holds the publisher's timeouts and durations.
type Limits struct {
	// DockSilence is how long a dock may go without polling before it is removed. A dock polls the
	// leader at least every 833 ms, so three polls in a row must fail.
	DockSilence time.Duration
	// DockDomainSilence is how long all docks of a failure domain must have been silent for them to
	// be removed together when the first of them expires.
	DockDomainSilence time.Duration
	// ServerSilence is how long a server may go without announcing itself before it is removed.
	ServerSilence time.Duration
	// ServerDomainSilence is how long all servers of a failure domain may be silent, while other
	// servers announce themselves, before they are removed together. Servers announce themselves
	// every 2 s.
	ServerDomainSilence time.Duration
	// Gathering is how long a new leader collects polls before it requests a view from a dock.
	Gathering time.Duration
	// SeedTimeout is how long a new leader waits for a dock to send its view.
	SeedTimeout time.Duration
	// Settling is how long after the start of its term a new leader publishes even without a dock's
	// view.
	Settling time.Duration
	// Quarantine is how long a fingerprint stays quarantined.
	Quarantine time.Duration
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithLimits replaces all limits.
func WithLimits(limits Limits) Option {
	return func(p *Publisher) { p.limits = limits }
}

// WithInvariants sets the hook that is called when an invariant is violated.
func WithInvariants(hook checker.Hook) Option {
	return func(p *Publisher) { p.invariants = hook }
}

// defaultLimits returns the limits that apply unless WithLimits replaces them.
func defaultLimits() Limits {
	return Limits{
		DockSilence:         2500 * time.Millisecond,
		DockDomainSilence:   1700 * time.Millisecond,
		ServerSilence:       10 * time.Second,
		ServerDomainSilence: 5 * time.Second,
		Gathering:           1700 * time.Millisecond,
		SeedTimeout:         1700 * time.Millisecond,
		Settling:            10 * time.Second,
		Quarantine:          10 * time.Minute,
	}
}
