// Package limiter keeps the limits that backend servers in need name: how many requests a second a
// server takes from all docks together. Docks and the leading keeper hold a Statement for each such
// server. It performs no I/O.
package limiter

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// Statement is what a server last said of the requests that it takes from all docks together. The
// zero Statement means that the server never named a limit.
type Statement struct {
	// IsNamed is set while the server's replies name a limit, and Rate is that limit in requests per
	// second.
	IsNamed bool
	Rate    float64
	// At orders statements. A reply that names a limit counts from its arrival, and one without a
	// limit from the sending of its request, so that a reply that was under way when the limit was
	// named does not end it.
	At time.Time
}

// Merge returns the newer of two statements on one server.
func (s Statement) Merge(other Statement) Statement {
	if other.At.After(s.At) {
		return other
	}
	return s
}

// SaysSame reports whether two statements differ at most in their time.
func (s Statement) SaysSame(other Statement) bool {
	return s.IsNamed == other.IsNamed && s.Rate == other.Rate
}

// Message returns the statement on one start of a server as a message.
func (s Statement) Message(now time.Time, server encoder.ServerID, born int64) encoder.ServerLimit {
	return encoder.ServerLimit{Server: server, Born: born, IsNamed: s.IsNamed, Rate: s.Rate, Age: now.Sub(s.At)}
}
