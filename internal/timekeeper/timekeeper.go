// Package timekeeper defines the clock of the packages that depend on time, so that tests can
// replace it.
package timekeeper

import "time"

// Clock returns the current time and creates timers and tickers.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// NewTimer returns a timer that fires once after the duration.
	NewTimer(d time.Duration) *time.Timer
	// NewTicker returns a ticker that fires at each interval.
	NewTicker(d time.Duration) *time.Ticker
}

// System is the operating system's clock. In a testing/synctest bubble it uses the bubble's fake
// time.
type System struct{}

var _ Clock = System{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns time.NewTimer.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

// NewTicker returns time.NewTicker.
func (System) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
