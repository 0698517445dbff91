// Package granter decides which requests of a customer may be sent, so that all docks together keep the
// customer's quota. The leading keeper issues permits from an Issuer, and each keeper has a Reserve for the
// time in which no leader issues any. A dock uses a Permit soon or returns it. The package performs no I/O.
//
// The rule that it enforces: in any window, at most (rate x window + burst) x (1 + overage) + slack requests
// of a customer are sent.
package granter

import (
	"math"
	"time"
)

const (
	// permitLifetime is the time in which a dock may use a permit, counted from the moment at which it
	// asked. With the usual overage of 0.1 and window of 5 s, the overage covers it.
	permitLifetime = 500 * time.Millisecond
	// issuerSlackShare is the part of the slack that the leader's buckets hold in addition to the burst.
	// The reserves have the rest, because each voter's part is rounded down: with a slack of 20 and five
	// voters it is 3 permits.
	issuerSlackShare = 0.25
	// defaultWindow is the window of a deployment that sets none.
	defaultWindow = 5 * time.Second
)

// Settings state how closely quotas are kept.
type Settings struct {
	// Window is the interval in which requests are counted. Zero means defaultWindow.
	Window time.Duration
	// Overage is the part by which a customer may exceed its quota, and Slack the number of requests in
	// addition to that.
	Overage float64
	Slack   float64
}

// window returns the interval in which requests are counted.
func (s Settings) window() time.Duration {
	if s.Window <= 0 {
		return defaultWindow
	}
	return s.Window
}

// issueWindow returns the interval in which the permits are issued that can be used in one window.
func (s Settings) issueWindow() time.Duration { return s.window() + permitLifetime }

// reserveSlack returns the number of permits that all reserves together may issue within issueWindow.
func (s Settings) reserveSlack() float64 { return s.Slack * (1 - issuerSlackShare) }

// Limit is a customer's quota.
type Limit struct {
	// Rate is in requests per second. Burst is the number of requests in addition to the rate.
	Rate  float64
	Burst float64
}

// bucketLimit returns the size and the rate of the token bucket that keeps a quota. A bucket issues at
// most size + rate x issueWindow permits in an issueWindow, which are used in one window. With a small
// overage the rate is below the customer's, because the lifetime of permits is not covered otherwise.
func (s Settings) bucketLimit(l Limit) (size, rate float64) {
	slack := s.Slack * issuerSlackShare
	allowed := (l.Rate*s.window().Seconds()+l.Burst)*(1+s.Overage) + slack
	// A bucket that holds less than one token never issues a permit.
	size = min(allowed, max(1, l.Burst+slack))
	return size, min(l.Rate, (allowed-size)/s.issueWindow().Seconds())
}

// Instant is a moment by the two clocks of a process. A process that was paused or a host that was
// suspended sees it by at least one of them: the monotonic clock may stand still while a host is suspended,
// and the wall clock may be set.
type Instant struct {
	Monotonic time.Duration
	Wall      time.Duration
}

// Clock converts times to instants.
type Clock struct {
	// Base is any time of the process with a monotonic reading.
	Base time.Time
}

// At returns the instant of a time with a monotonic reading.
func (c Clock) At(now time.Time) Instant {
	return Instant{Monotonic: now.Sub(c.Base), Wall: time.Duration(now.UnixNano())}
}

// since returns the time since an earlier instant, by the clock that shows the longer one.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall-earlier.Wall)
}

// seconds converts a number of seconds to a duration, at most an hour.
func seconds(n float64) time.Duration {
	if math.IsNaN(n) {
		return time.Hour
	}
	return time.Duration(min(max(0, n), time.Hour.Seconds()) * float64(time.Second))
}
