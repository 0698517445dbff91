// Package replicator keeps a log of commands identical on a group of keepers and applies it to
// a state machine. It elects a leader by majority, commits an entry once a majority has synced
// it, and bounds the log by snapshots.
package replicator

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
)

// StateMachine is the state that the log's commands change. The replicator calls all methods
// from its control goroutine, in log order.
type StateMachine interface {
	// Apply executes a committed command and returns its result for the proposer. It must be
	// deterministic: the result and the new state depend only on the old state and the
	// arguments.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages to other members. It may lose, delay, duplicate and reorder
// messages.
type Transport interface {
	// Send queues an encoded message for a member and returns at once.
	Send(to Member, message []byte)
}

// Member is one keeper of the group. A keeper that lost its disk returns with a new incarnation
// and counts as a different member.
type Member struct {
	Name        identifier.HostName
	Address     netip.AddrPort
	Incarnation identifier.Incarnation
}
