package replicator

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// payloads holds at least one message of each kind.
var payloads = []payload{
	probe{},
	preVoteRequest{Candidacy: 3},
	preVoteReply{Granted: true},
	voteRequest{Last: Position{Index: 4, Term: 2}},
	voteReply{Granted: true},
	appendRequest{Previous: Position{Index: 1, Term: 1}, Entries: []Entry{{Index: 2, Term: 1, Data: []byte("x")}}},
	appendRequest{Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(Configuration{})}}},
	appendReply{Match: 2},
	snapshotChunk{Header: SnapshotHeader{Size: 3}, Data: []byte("abc")},
	snapshotReply{Received: 3},
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, p := range payloads {
		b, err := encodeMessage(envelope{From: Member{Name: "a", Incarnation: 1}, Term: 7}, p)
		assert.NilError(t, err)
		m, err := decodeMessage(b)
		assert.NilError(t, err)
		assert.Equal(t, m.Kind, p.kind())
		assert.DeepEqual(t, m.payload, p)
	}
}

func TestMalformedEntriesAreRefused(t *testing.T) {
	expectMalformed(t, Entry{Index: 3, Term: 1})
	expectMalformed(t, Entry{Index: 2, Term: 0})
	expectMalformed(t, Entry{Index: 2, Term: 1, Kind: EntryConfiguration, Data: []byte{0xc1}})
}

// expectMalformed requires that the entry is rejected after index 1 of term 1.
func expectMalformed(t *testing.T, e Entry) {
	t.Helper()
	p := appendRequest{Previous: Position{Index: 1, Term: 1}, Entries: []Entry{e}}
	b, err := encodeMessage(envelope{From: Member{Incarnation: 1}}, p)
	assert.NilError(t, err)
	_, err = decodeMessage(b)
	assert.ErrorIs(t, err, encoder.ErrMalformed)
}

func FuzzDecodeMessage(f *testing.F) {
	for _, p := range payloads {
		b, err := encodeMessage(envelope{From: Member{Name: "a", Incarnation: 1}, Term: 7}, p)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			return
		}
		// No decodable message may make a member panic.
		c := newCore(Settings{Initial: []Member{{Name: "a"}, {Name: "b"}}}.withDefaults(), newOptions(nil),
			Stored{State: HardState{Self: 9, Group: m.Group}}, nil)
		m.To = 9
		c.step(m)
		c.takeOutput()
	})
}
