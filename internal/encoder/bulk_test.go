package encoder_test

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// expectDecodes checks that the parts of a message are decoded as the whole one, as a release before does.
func expectDecodes[M any](t *rapid.T, message M) {
	whole, err := encoder.Encode(message)
	assert.NilError(t, err)
	want, err := encoder.Decode[M](whole)
	assert.NilError(t, err)
	head, bulk, err := encoder.EncodeParts(message)
	assert.NilError(t, err)
	got, err := encoder.Decode[M](slices.Concat(head, bulk))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, want))
}

// TestPartsAreTheMessage guards against messages in two parts that docks of the release before read otherwise.
func TestPartsAreTheMessage(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 4095, 4096, 65535, 65536, 1 << 20}).Draw(r, "size")
		body := bytes.Repeat([]byte("x"), size)
		text := rapid.String()
		expectDecodes(r, encoder.RelayRequest{
			Request: text.Draw(r, "id"), Body: body, Attempts: rapid.IntRange(0, 2).Draw(r, "attempts"), Customer: text.Draw(r, "customer"),
			HasPermit: rapid.Bool().Draw(r, "permit"), Remaining: 5,
		})
		expectDecodes(r, encoder.RelayReply{Status: 200, Body: body, Stamp: text.Draw(r, "stamp")})
		request := encoder.GatherRequest{Body: body, Services: []identifier.ServiceName{"a"}, Head: []byte("head"), Rows: 3, Method: "POST"}
		if rapid.Bool().Draw(r, "all") {
			request.Tokens, request.PathFingerprint, request.Target, request.Priority, request.IsReplacement = []encoder.ServerID{"s"}, 7, 8, 9, true
		}
		expectDecodes(r, request)
		expectDecodes(r, encoder.ShardBatch{Service: "plates", Body: body, RowLimit: 4})
		expectDecodes(r, encoder.MoreRequest{Query: 7})
	})
}
