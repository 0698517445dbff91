package registrar

import (
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// commandVersion is the first byte of each command.
const commandVersion = 1

// The second byte of a command is its kind. The numbers are part of the log's format.
const (
	submitCommand byte = 1
	claimCommand  byte = 2
	settleCommand byte = 3
	// evacuateCommand must not be written to the log before all voters know it.
	evacuateCommand byte = 4
)

// NewestCommand is the highest kind of command that this release knows.
const NewestCommand = evacuateCommand

// Command is a change of the replicated state: a SubmitCommand, ClaimCommand, SettleCommand or
// EvacuateCommand.
type Command interface {
	isCommand()
}

// SubmitCommand submits a manifest.
type SubmitCommand struct {
	Manifest encoder.ManifestText
}

// ClaimCommand claims a key. It carries the leader's limits, so that keepers of different releases
// apply the same limits.
type ClaimCommand struct {
	Claim encoder.ClaimRequest
	// OldestMillis and NewestMillis bound the creation time of keys, in Unix milliseconds of the
	// leader's clock. A key created at OldestMillis is too old.
	OldestMillis int64
	NewestMillis int64
	// EntryLimit is the maximum number of entries in the ledger.
	EntryLimit int
	// Gone is a holder whose dock process is no longer in the leader's directory. If it still
	// holds the key, its claim becomes in doubt before this claim is applied. Nil means none.
	Gone *Claimant
}

// Claimant identifies one request in one dock process. Holder is the process's incarnation.
type Claimant struct {
	Holder  identifier.Incarnation `msgpack:"h"`
	Request identifier.RequestID   `msgpack:"r"`
}

// SettleCommand records the outcome of a claim.
type SettleCommand struct {
	Settle encoder.SettleRequest
}

func (SubmitCommand) isCommand() {}
func (ClaimCommand) isCommand()  {}
func (SettleCommand) isCommand() {}

func (EvacuateCommand) isCommand() {}

// NewClaimCommand returns a command for a claim, with the limits that apply at the leader's
// current time.
func NewClaimCommand(claim encoder.ClaimRequest, now time.Time, limits Limits) ClaimCommand {
	return ClaimCommand{
		Claim:        claim,
		OldestMillis: now.Add(-limits.Window).UnixMilli(),
		NewestMillis: now.Add(limits.Ahead).UnixMilli(),
		EntryLimit:   limits.Entries,
	}
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	var kind byte
	switch command.(type) {
	case SubmitCommand:
		kind = submitCommand
	case ClaimCommand:
		kind = claimCommand
	case SettleCommand:
		kind = settleCommand
	case EvacuateCommand:
		kind = evacuateCommand
	}
	body, err := encoder.Encode(command)
	if err != nil {
		return nil, err
	}
	return append([]byte{commandVersion, kind}, body...), nil
}

// DecodeCommand decodes a command from the log. It returns ErrMalformedCommand for an unknown
// version or kind and for a malformed body.
func DecodeCommand(b []byte) (Command, error) {
	if len(b) < 2 || b[0] != commandVersion {
		return nil, eris.Wrapf(ErrMalformedCommand, "%d bytes of unknown version", len(b))
	}
	switch b[1] {
	case submitCommand:
		return decodeBody[SubmitCommand](b[2:])
	case claimCommand:
		return decodeBody[ClaimCommand](b[2:])
	case settleCommand:
		return decodeBody[SettleCommand](b[2:])
	case evacuateCommand:
		return decodeBody[EvacuateCommand](b[2:])
	default:
		return nil, eris.Wrapf(ErrMalformedCommand, "kind %d", b[1])
	}
}

// decodeBody decodes the message in a command.
func decodeBody[C Command](b []byte) (Command, error) {
	c, err := encoder.Decode[C](b)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedCommand, "%v", err)
	}
	return c, nil
}

// SubmittedNumber returns the number of the manifest that an encoded command submits. It returns
// zero for other commands and malformed ones. The replicator calls it for each command and
// reports the largest number after its commit index as pending.
func SubmittedNumber(command []byte) uint64 {
	if len(command) < 2 || command[1] != submitCommand {
		return 0
	}
	c, err := DecodeCommand(command)
	if err != nil {
		return 0
	}
	s, ok := c.(SubmitCommand)
	if !ok {
		return 0
	}
	return s.Manifest.Number
}
