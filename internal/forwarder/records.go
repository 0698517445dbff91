package forwarder

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a part. A remainder is no record.
const recordBytes = 16

// greatest returns the greatest records of all parts, greatest first. Equal records all
// count.
func greatest(parts [][]byte, limit int) []byte {
	records := [][]byte{}
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			records = append(records, p[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(limit, len(records))]
	return bytes.Join(records, nil)
}
