// Package registrar is the state machine that the keepers replicate. It consists of the manifest
// register, the at-most-once ledger and the evacuated failure domains. It is deterministic: its results depend only on its state
// and the commands, so all keepers have the same state after the same log.
package registrar

import (
	"sync"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/replicator"
)

var (
	// ErrMalformedCommand is returned for bytes that are not a command of a known version.
	ErrMalformedCommand = eris.New("malformed command")
	// ErrMalformedSnapshot is returned for bytes that are not a snapshot of a known version.
	ErrMalformedSnapshot = eris.New("malformed snapshot")
)

// Registrar holds the replicated state. The replicator calls Apply and Restore. The other methods
// are safe for concurrent use.
type Registrar struct {
	// Set at creation.
	invariants checker.Hook

	// Guarded by mutex.
	mutex    sync.RWMutex
	register register
	ledger   ledger
	releases releases
	// evacuations are the evacuated failure domains.
	evacuations evacuations
}

var _ replicator.StateMachine = (*Registrar)(nil)

// Option configures a Registrar. All keepers of a group must use the same options.
type Option func(*Registrar)

// WithHighestWins accepts every submission with a nonzero number and keeps the manifest with the
// highest number. A lower or equal number changes nothing: the submission is a retry, or a higher
// number was accepted first.
func WithHighestWins() Option {
	return func(r *Registrar) { r.register.isHighestWins = true }
}

// New returns an empty registrar that reports broken invariants to the hook. A nil hook panics.
func New(invariants checker.Hook, options ...Option) *Registrar {
	r := &Registrar{
		invariants: invariants,
		register:   register{invariants: invariants},
		ledger:     newLedger(invariants),
		releases:   newReleases(),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Apply applies one committed command. The result is an encoded SubmitReply, ClaimReply,
// SettleReply or EvacuateReply. It is nil if the command is malformed, which breaks an invariant.
func (r *Registrar) Apply(index uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	// The invariant is broken because a keeper that skips a command, such as one of a later
	// release, diverges from the other keepers.
	if !r.invariants.Check(err == nil, "command_known", "entry %d: %v", index, err) {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch c := c.(type) {
	case SubmitCommand:
		return r.encode(r.register.submit(c.Manifest))
	case ClaimCommand:
		return r.encode(r.ledger.claim(c))
	case SettleCommand:
		return r.encode(r.settle(c))
	case EvacuateCommand:
		return r.encode(r.evacuations.apply(index, c))
	}
	return nil
}

// Manifest returns the current manifest. Its number is zero before a manifest is accepted.
func (r *Registrar) Manifest() encoder.ManifestText {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.register.current
}

// Claims returns the number of ledger entries.
func (r *Registrar) Claims() int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return len(r.ledger.entries)
}

// encode encodes a reply. An error breaks an invariant, because replies have only plain fields.
func (r *Registrar) encode(message any) []byte {
	b, err := encoder.Encode(message)
	r.invariants.Check(err == nil, "reply_encodes", "%v", err)
	return b
}
