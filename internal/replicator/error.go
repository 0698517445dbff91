package replicator

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrNotLeader means that this member is not the leader and that nothing was done. The
	// returned error is a NotLeaderError.
	ErrNotLeader = eris.New("not the leader")
	// ErrUnknown means that the outcome of a proposal is unknown: it may be committed, now or
	// later.
	ErrUnknown = eris.New("outcome unknown")
	// ErrTooLarge means that a command exceeds MaxCommandBytes and that nothing was done.
	ErrTooLarge = eris.New("command too large")
	// ErrSettings means that the settings are invalid.
	ErrSettings = eris.New("unusable settings")
	// ErrClosed means that the replicator was closed or its storage failed.
	ErrClosed = eris.New("replicator closed")
)

// NotLeaderError holds the last known leader. It matches ErrNotLeader.
type NotLeaderError struct {
	// Leader is zero if no leader is known.
	Leader Member
}

// Error returns a message with the leader's name.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader, which is %q", e.Leader.Name)
}

// Is reports whether target is ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// unknownError matches ErrUnknown and wraps the cause.
type unknownError struct {
	cause error
}

// Error returns a message with the cause.
func (e *unknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.cause)
}

// Is reports whether target is ErrUnknown.
func (e *unknownError) Is(target error) bool { return target == ErrUnknown }

// Unwrap returns the cause.
func (e *unknownError) Unwrap() error { return e.cause }
