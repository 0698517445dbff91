package forwarder

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTopRecordsEqualSorting compares topRecords with sorting all records of the parts.
func TestTopRecordsEqualSorting(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(r, "limit")
		top := topRecords{limit: limit}
		all := [][]byte{}
		for range rapid.IntRange(0, 8).Draw(r, "parts") {
			// With few distinct bytes, equal records are likely.
			part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70).Draw(r, "part")
			if len(part) >= recordBytes && rapid.Bool().Draw(r, "equal") {
				copy(part, bytes.Repeat([]byte{1}, recordBytes))
			}
			top.add(part)
			for ; len(part) >= recordBytes; part = part[recordBytes:] {
				all = append(all, part[:recordBytes])
			}
		}
		slices.SortStableFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		assert.Assert(r, bytes.Equal(top.body(), want))
	})
}
