package replicator

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type payloadKind -trimprefix payload -transform snake -output payloadkind_enumer.go

// payloadKind says which payload an envelope carries.
type payloadKind uint8

// Payload kinds. The numbers are part of the protocol: new kinds go to the end.
const (
	payloadProbe payloadKind = iota
	payloadPreVoteRequest
	payloadPreVoteReply
	payloadVoteRequest
	payloadVoteReply
	payloadAppendRequest
	payloadAppendReply
	payloadSnapshotChunk
	payloadSnapshotReply
)

// envelope is a message between members.
type envelope struct {
	From Member
	// To is the incarnation that the message is for. Zero means any.
	To identifier.Incarnation
	// Group is the sender's group. Members of another group drop the message.
	Group identifier.Incarnation
	// Term is the sender's term.
	Term uint64
	Kind payloadKind
	Body msgpack.RawMessage
}

// payload is the body of a message.
type payload interface {
	kind() payloadKind
}

// probe announces a member that is no voter: it has no group yet, or lost its disk.
type probe struct {
	// Names is the group as the sender's settings name it.
	Names []identifier.HostName
	// LastIndex is zero if the sender holds nothing.
	LastIndex uint64
	// GroupSeen means that somebody told the sender of a group that exists or existed.
	GroupSeen bool
	// Members are the voters that the sender knows, so that the receiver finds a group whose
	// hosts its settings do not name.
	Members []Member
	// IsReply marks the answer to a probe, which is not answered.
	IsReply bool
}

// preVoteRequest asks whether a candidacy would succeed, without starting a term.
type preVoteRequest struct {
	// Candidacy is the term that the sender would start.
	Candidacy uint64
	Last      Position
}

// preVoteReply answers a preVoteRequest.
type preVoteReply struct {
	Candidacy uint64
	Granted   bool
	// Removed means that the asker is replaced, for good.
	Removed bool
}

// voteRequest asks for the vote in the sender's term.
type voteRequest struct {
	Last Position
}

// voteReply answers a voteRequest.
type voteReply struct {
	Granted bool
}

// appendRequest carries entries, or none as a heartbeat.
type appendRequest struct {
	// Previous is the entry before the first of Entries.
	Previous Position
	Entries  []Entry
	Commit   uint64
	// Round numbers the leader's quorum checks for linearizable reads.
	Round uint64
	// Applied and Digest let a follower compare its hash chain with the leader's.
	Applied uint64
	Digest  uint64
}

// appendReply answers an appendRequest.
type appendReply struct {
	Round uint64
	// Rejected means that the follower lacks Previous.
	Rejected bool
	// Match is the last index known to equal the leader's log, or, after a rejection, the
	// last index worth trying.
	Match uint64
}

// snapshotChunk carries a piece of a snapshot.
type snapshotChunk struct {
	Header SnapshotHeader
	Offset int64
	Data   []byte
	Round  uint64
}

// snapshotReply answers a snapshotChunk.
type snapshotReply struct {
	Last Position
	// Received is the number of bytes held so far.
	Received int64
	Round    uint64
}

func (probe) kind() payloadKind          { return payloadProbe }
func (preVoteRequest) kind() payloadKind { return payloadPreVoteRequest }
func (preVoteReply) kind() payloadKind   { return payloadPreVoteReply }
func (voteRequest) kind() payloadKind    { return payloadVoteRequest }
func (voteReply) kind() payloadKind      { return payloadVoteReply }
func (appendRequest) kind() payloadKind  { return payloadAppendRequest }
func (appendReply) kind() payloadKind    { return payloadAppendReply }
func (snapshotChunk) kind() payloadKind  { return payloadSnapshotChunk }
func (snapshotReply) kind() payloadKind  { return payloadSnapshotReply }

// encodeMessage renders an envelope around a payload.
func encodeMessage(e envelope, p payload) ([]byte, error) {
	body, err := encoder.Encode(p)
	if err != nil {
		return nil, err
	}
	e.Kind = p.kind()
	e.Body = body
	return encoder.Encode(e)
}

// received is a decoded message.
type received struct {
	envelope
	payload payload
}

// decodeMessage reads an envelope and its payload.
func decodeMessage(b []byte) (received, error) {
	e, err := encoder.Decode[envelope](b)
	if err != nil {
		return received{}, err
	}
	if e.From.Incarnation == 0 {
		return received{}, eris.Wrap(encoder.ErrMalformed, "no sender")
	}
	p, err := decodePayload(e)
	if err != nil {
		return received{}, err
	}
	return received{envelope: e, payload: p}, nil
}

// decodePayload reads an envelope's payload by its kind.
func decodePayload(e envelope) (payload, error) {
	switch e.Kind {
	case payloadProbe:
		return decodeAs[probe](e.Body)
	case payloadPreVoteRequest:
		return decodeAs[preVoteRequest](e.Body)
	case payloadPreVoteReply:
		return decodeAs[preVoteReply](e.Body)
	case payloadVoteRequest:
		return decodeAs[voteRequest](e.Body)
	case payloadVoteReply:
		return decodeAs[voteReply](e.Body)
	case payloadAppendRequest:
		return decodeAppend(e.Body)
	case payloadAppendReply:
		return decodeAs[appendReply](e.Body)
	case payloadSnapshotChunk:
		return decodeAs[snapshotChunk](e.Body)
	case payloadSnapshotReply:
		return decodeAs[snapshotReply](e.Body)
	}
	return nil, eris.Wrapf(encoder.ErrMalformed, "payload kind %d", e.Kind)
}

// decodeAs reads a payload of a given type.
func decodeAs[P payload](body []byte) (payload, error) {
	return encoder.Decode[P](body)
}

// decodeAppend reads an appendRequest. It refuses entries that do not follow Previous and
// configurations that cannot be decoded.
func decodeAppend(body []byte) (payload, error) {
	r, err := encoder.Decode[appendRequest](body)
	if err != nil {
		return nil, err
	}
	last := r.Previous
	for _, e := range r.Entries {
		if e.Index != last.Index+1 || e.Term < last.Term {
			return nil, eris.Wrapf(encoder.ErrMalformed, "entry %d of term %d after %v", e.Index, e.Term, last)
		}
		last = Position{Index: e.Index, Term: e.Term}
		if e.Kind != EntryConfiguration {
			continue
		}
		if _, err := encoder.Decode[Configuration](e.Data); err != nil {
			return nil, err
		}
	}
	return r, nil
}
