package registrar

import (
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// commandVersion is the first byte of each command.
const commandVersion = 1

// Second bytes of commands. The numbers are part of the log's format.
const (
	submitCommand byte = 1
	claimCommand  byte = 2
	settleCommand byte = 3
)

// Command is a change of the replicated state: SubmitCommand, ClaimCommand or
// SettleCommand.
type Command interface {
	isCommand()
}

// SubmitCommand submits a manifest.
type SubmitCommand struct {
	Manifest encoder.ManifestText
}

// ClaimCommand claims a key. The leader states the limits in the command, so that keepers
// of different releases agree on them.
type ClaimCommand struct {
	Claim encoder.ClaimRequest
	// OldestMillis and NewestMillis bound the creation time of keys, in milliseconds of
	// Unix time by the leader's clock.
	OldestMillis int64
	NewestMillis int64
	// EntryLimit is the largest number of entries that the ledger may hold.
	EntryLimit int
	// Gone is a holder that the leader has not heard of for some time. Its claim, if it
	// still holds the key, becomes in doubt before the key is claimed.
	Gone *Claimant
}

// Claimant is one request in one process of a dock.
type Claimant struct {
	Holder  identifier.Incarnation `msgpack:"h"`
	Request identifier.RequestID   `msgpack:"r"`
}

// SettleCommand ends a claim.
type SettleCommand struct {
	Settle encoder.SettleRequest
}

func (SubmitCommand) isCommand() {}
func (ClaimCommand) isCommand()  {}
func (SettleCommand) isCommand() {}

// NewClaimCommand stamps a claim with the limits that hold at the leader's present time.
func NewClaimCommand(claim encoder.ClaimRequest, now time.Time, limits Limits) ClaimCommand {
	return ClaimCommand{
		Claim:        claim,
		OldestMillis: now.Add(-limits.Window).UnixMilli(),
		NewestMillis: now.Add(limits.Ahead).UnixMilli(),
		EntryLimit:   limits.Entries,
	}
}

// EncodeCommand renders a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	var kind byte
	switch command.(type) {
	case SubmitCommand:
		kind = submitCommand
	case ClaimCommand:
		kind = claimCommand
	case SettleCommand:
		kind = settleCommand
	}
	body, err := encoder.Encode(command)
	if err != nil {
		return nil, err
	}
	return append([]byte{commandVersion, kind}, body...), nil
}

// DecodeCommand reads a command from the log. It returns ErrMalformedCommand for bytes of
// no known version or kind.
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
	default:
		return nil, eris.Wrapf(ErrMalformedCommand, "kind %d", b[1])
	}
}

// decodeBody reads the message part of a command.
func decodeBody[C Command](b []byte) (Command, error) {
	c, err := encoder.Decode[C](b)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedCommand, "%v", err)
	}
	return c, nil
}

// SubmittedNumber returns the manifest number that a command would bring in force, or zero. The
// replicator reports the largest marker beyond its commit index.
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
