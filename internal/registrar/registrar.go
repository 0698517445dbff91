// Package registrar is the state machine that the keepers replicate: the register of the
// manifest and the at-most-once ledger. What it does depends only on its state and the
// commands, so all keepers hold the same state after the same log.
package registrar

import (
	"sync"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/replicator"
)

var (
	// ErrMalformedCommand reports bytes that are not a command of a known version.
	ErrMalformedCommand = eris.New("malformed command")
	// ErrMalformedSnapshot reports bytes that are not a snapshot of a known version.
	ErrMalformedSnapshot = eris.New("malformed snapshot")
)

// Registrar holds the replicated state. Apply and Restore are called by the replicator;
// the other methods are safe for concurrent use.
type Registrar struct {
	// Set at creation.
	invariants checker.Hook

	// Guarded by mutex.
	mutex    sync.RWMutex
	register register
	ledger   ledger
}

var _ replicator.StateMachine = (*Registrar)(nil)

// Option changes a Registrar at creation. All keepers of a group need the same options.
type Option func(*Registrar)

// WithHighestWins accepts each submission and lets the highest number stand. A lower or equal
// one changes nothing: its sender resends what was accepted before, or was overtaken.
func WithHighestWins() Option {
	return func(r *Registrar) { r.register.isHighest = true }
}

// New returns an empty state that tells the hook of broken invariants.
func New(invariants checker.Hook, options ...Option) *Registrar {
	r := &Registrar{
		invariants: invariants,
		register:   register{invariants: invariants},
		ledger:     newLedger(invariants),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Apply executes one committed command. The result is an encoded SubmitReply, ClaimReply
// or SettleReply.
func (r *Registrar) Apply(index uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	// A keeper that skipped a command of a later release would differ from the others.
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
		return r.encode(r.ledger.settle(c))
	}
	return nil
}

// Manifest returns the standing manifest. Its number is zero before the first one.
func (r *Registrar) Manifest() encoder.ManifestText {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.register.standing
}

// Claims returns the number of ledger entries.
func (r *Registrar) Claims() int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return len(r.ledger.entries)
}

// encode encodes a reply, which consists of plain fields only.
func (r *Registrar) encode(message any) []byte {
	b, err := encoder.Encode(message)
	r.invariants.Check(err == nil, "reply_encodes", "%v", err)
	return b
}
