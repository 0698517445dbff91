package replicator

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type payloadKind -trimprefix payload -transform snake -output payloadkind_enumer.go

// payloadKind identifies the type of an envelope's payload.
type payloadKind uint8

// Payload kinds. The numbers are part of the protocol: new kinds must be added at the end.
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
	// To is the incarnation that the message is addressed to. Zero means any.
	To identifier.Incarnation
	// Group is the sender's group. Members of other groups drop the message.
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

// probe announces a member without a vote, which has no group yet or lost its disk.
type probe struct {
	// Names are the hosts of the group in the sender's settings.
	Names []identifier.HostName
	// LastIndex is zero if the sender's log is empty.
	LastIndex uint64
	// GroupSeen means that the sender received a report that a group exists or existed.
	GroupSeen bool
	// StartedLater means that the sender's disk is not known to date from the first start of all
	// hosts. A release that does not send it sets GroupSeen instead.
	StartedLater bool
	// Members are the voters known to the sender. They let the receiver find a group whose
	// hosts are not in its settings.
	Members []Member
	// IsReply marks a reply to a probe. The receiver does not reply to it.
	IsReply bool
}

// preVoteRequest requests a pre-vote: a check whether an election would succeed that does not
// start a term.
type preVoteRequest struct {
	// Candidacy is the term that the sender would start.
	Candidacy uint64
	Last      Position
}

// preVoteReply is the reply to a preVoteRequest.
type preVoteReply struct {
	Candidacy uint64
	Granted   bool
	// Removed means that the requester was permanently replaced.
	Removed bool
}

// voteRequest requests the receiver's vote in the sender's term.
type voteRequest struct {
	Last Position
}

// voteReply is the reply to a voteRequest.
type voteReply struct {
	Granted bool
}

// appendRequest carries entries. Without entries it is a heartbeat.
type appendRequest struct {
	// Previous is the entry before the first of Entries.
	Previous Position
	Entries  []Entry
	Commit   uint64
	// Round is the number of the leader's latest quorum check for linearizable reads.
	Round uint64
	// Applied is the leader's last applied index and Digest its hash chain there, which the
	// follower compares with its own.
	Applied uint64
	Digest  uint64
}

// appendReply is the reply to an appendRequest, and to a snapshotChunk once the follower has
// the whole snapshot.
type appendReply struct {
	Round uint64
	// Rejected means that the follower lacks Previous.
	Rejected bool
	// Match is the last index up to which the follower's log is known to equal the leader's.
	// After a rejection it is the last index at which the logs may match.
	Match uint64
}

// snapshotChunk carries a part of a snapshot.
type snapshotChunk struct {
	Header SnapshotHeader
	Offset int64
	Data   []byte
	Round  uint64
}

// snapshotReply is the reply to a snapshotChunk.
type snapshotReply struct {
	Last Position
	// Received is the number of bytes received so far.
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

// encodeMessage encodes an envelope with a payload.
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

// decodeMessage decodes an envelope and its payload. The error matches encoder.ErrMalformed.
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

// decodePayload decodes an envelope's payload according to its kind.
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

// decodeAs decodes a payload of type P.
func decodeAs[P payload](body []byte) (payload, error) {
	return encoder.Decode[P](body)
}

// decodeAppend decodes an appendRequest. It rejects entries that do not follow Previous and
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
