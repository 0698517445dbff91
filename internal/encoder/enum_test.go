package encoder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownEnumValuesDoNotRejectTheMessage guards against an older release that rejects a whole
// message because a newer release added an enum value.
func TestUnknownEnumValuesDoNotRejectTheMessage(t *testing.T) {
	// newer is a BatchReply with a reason that only a newer release defines.
	type newerShard struct {
		Shard  uint32
		Reason uint16
	}
	type newer struct {
		Attempt uint32
		Missing []newerShard
	}
	b, err := Encode(newer{Attempt: 7, Missing: []newerShard{{Shard: 3, Reason: 200}, {Shard: 4, Reason: 1000}}})
	assert.NilError(t, err)
	got, err := Decode[BatchReply](b)
	assert.NilError(t, err)
	assert.Equal(t, got.Attempt, uint32(7))
	assert.Equal(t, got.Missing[0].Reason.String(), "MissingReason(200)")
	assert.Equal(t, got.Missing[1].Reason.String(), "MissingReason(255)")
}

func TestEnumsRoundTrip(t *testing.T) {
	for _, want := range MissingReasonValues() {
		b, err := Encode(MissingShard{Reason: want})
		assert.NilError(t, err)
		got, err := Decode[MissingShard](b)
		assert.NilError(t, err)
		assert.Equal(t, got.Reason, want)
	}
	want := Server{State: ServerDraining, Protocol: ProtocolHTTP1}
	b, err := Encode(want)
	assert.NilError(t, err)
	got, err := Decode[Server](b)
	assert.NilError(t, err)
	assert.Equal(t, got.State, want.State)
	assert.Equal(t, got.Protocol, want.Protocol)
}
