package encoder

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
)

// expectMalformed expects that decoding bytes as a View fails with ErrMalformed and the text.
func expectMalformed(t *testing.T, b []byte, text string) {
	t.Helper()
	_, err := Decode[View](b)
	assert.ErrorIs(t, err, ErrMalformed)
	assert.ErrorContains(t, err, text)
}

func TestDecodeRejectsExcessiveDeclaredLengths(t *testing.T) {
	hosts := []byte{0x81, 0xa5, 'H', 'o', 's', 't', 's'}
	expectMalformed(t, append(bytes.Clone(hosts), 0xdd, 0xff, 0xff, 0xff, 0xff), "too many array elements")
	expectMalformed(t, append(bytes.Clone(hosts), 0xdc, 0xff, 0xff), "more values than there are bytes")
	expectMalformed(t, append(bytes.Clone(hosts), 0xdf, 0xff, 0xff, 0xff, 0xff), "more values than there are bytes")
	expectMalformed(t, append(bytes.Clone(hosts), 0xc6, 0xff, 0xff, 0xff, 0xff), "ends early")
	many := append(bytes.Clone(hosts), 0xdd, 0x00, 0x10, 0x00, 0x01)
	expectMalformed(t, append(many, bytes.Repeat([]byte{0xc0}, maxElements+1)...), "too many array elements")
	unknown := []byte{0x81, 0xa1, 'x'}
	expectMalformed(t, append(unknown, bytes.Repeat([]byte{0x91}, 1<<20)...), "nested too deep")
	expectMalformed(t, []byte{0xc1}, "is not msgpack")
	expectMalformed(t, nil, "ends early")
}

func TestDecodeAcceptsEveryLengthEncoding(t *testing.T) {
	for _, n := range []int{0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536} {
		want := PollRequest{
			Host:          &Host{Name: identifier.HostName(bytes.Repeat([]byte("a"), n))},
			KnownManifest: uint64(n) << 20,
			Heard:         make([]AnnouncementAge, n),
		}
		b, err := Encode(want)
		assert.NilError(t, err)
		got, err := Decode[PollRequest](b)
		assert.NilError(t, err)
		assert.Equal(t, got.Host.Name, want.Host.Name)
		assert.Equal(t, got.KnownManifest, want.KnownManifest)
		assert.Equal(t, len(got.Heard), n)
	}
	b, err := Encode(BatchReply{Rows: []Row{{Score: -1.5, Value: make([]byte, 300)}}})
	assert.NilError(t, err)
	got, err := Decode[BatchReply](b)
	assert.NilError(t, err)
	assert.Equal(t, got.Rows[0].Score, -1.5)
}

// FuzzDecode decodes arbitrary bytes as the largest message types.
func FuzzDecode(f *testing.F) {
	for _, m := range []any{
		PollReply{Voters: []KeeperMember{{Name: "a"}}, Manifest: &ManifestText{Number: 1}, View: &ViewDelta{Epoch: 1}},
		ShardBatch{Shards: []identifier.ShardNumber{1}, Body: []byte("{}")},
		BatchReply{Missing: []MissingShard{{Reason: MissingCrash}}},
	} {
		b, err := Encode(m)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Add([]byte{0x81, 0xa5, 'H', 'o', 's', 't', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode[PollReply](data)
		_, _ = Decode[ShardBatch](data)
		_, _ = Decode[BatchReply](data)
		_, _ = Decode[View](data)
	})
}
