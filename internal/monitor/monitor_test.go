package monitor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

var start = time.Unix(1000, 0)

// at returns a moment after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// server returns the ID of a server.
func server(n int) encoder.ServerID { return encoder.ServerID(fmt.Sprintf("server-%d", n)) }

// TestDockWithoutLinksTakesServersForFailed replays requests to many servers of which none answers.
func TestDockWithoutLinksTakesServersForFailed(t *testing.T) {
	m := New()
	m.Answered(start)
	for n := range 20 {
		m.Sent(at(10*time.Millisecond), server(n))
	}
	assert.Assert(t, !m.IsSuspect(at(200*time.Millisecond)))
	assert.Assert(t, m.IsSuspect(at(210*time.Millisecond)))
	assert.Assert(t, m.Probed(at(450*time.Millisecond), 5, 0))
	assert.Assert(t, m.IsDetached())
	assert.Assert(t, !m.Probed(at(800*time.Millisecond), 5, 1), "one server is too few")
	assert.Assert(t, m.Probed(at(1200*time.Millisecond), 5, 4))
	assert.Assert(t, !m.IsDetached())
	assert.Assert(t, !m.IsSuspect(at(1200*time.Millisecond)))
}

// TestFailedServersDetachADock replays requests to servers of which many fail while others answer.
func TestFailedServersDetachADock(t *testing.T) {
	m := New()
	for now := time.Duration(0); now < 5*time.Second; now += 50 * time.Millisecond {
		for n := range 10 {
			m.Sent(at(now), server(n))
		}
		m.Answered(at(now + 10*time.Millisecond))
		assert.Assert(t, !m.IsSuspect(at(now+49*time.Millisecond)))
	}
	// Connections are refused by servers that have crashed. A probe of others tells.
	m.ConnectionFailed(at(6*time.Second), server(1))
	assert.Assert(t, !m.IsSuspect(at(6*time.Second)))
	m.ConnectionFailed(at(6*time.Second), server(2))
	assert.Assert(t, m.IsSuspect(at(6*time.Second)))
	assert.Assert(t, !m.Probed(at(6*time.Second), 5, 1))
	m.ConnectionFailed(at(6100*time.Millisecond), server(1))
	m.ConnectionFailed(at(6100*time.Millisecond), server(2))
	assert.Assert(t, !m.IsSuspect(at(6100*time.Millisecond)), "servers are not probed all the time")
	assert.Assert(t, m.IsSuspect(at(6600*time.Millisecond)))
	assert.Assert(t, !m.IsSuspect(at(9*time.Second)), "old failures do not count")
}

// TestOneSlowServerDetachesADock checks that one server alone never makes a dock suspect itself.
func TestOneSlowServerDetachesADock(t *testing.T) {
	m := New()
	m.Sent(start, server(1))
	m.ConnectionFailed(at(time.Second), server(1))
	assert.Assert(t, !m.IsSuspect(at(2*time.Second)))
	assert.Assert(t, !m.IsWaiting(at(2*time.Second)))
}

func TestFailureIsBelievedBeforeAnotherServerAnswers(t *testing.T) {
	m := New()
	m.Answered(at(time.Second))
	assert.Assert(t, !m.HasReachedSince(at(time.Second)))
	assert.Assert(t, !m.Probed(at(2*time.Second), 3, 1))
	assert.Assert(t, m.HasReachedSince(at(time.Second)))
}
