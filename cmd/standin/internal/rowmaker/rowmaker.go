// Package rowmaker computes the results of stand-in backend servers. A result is a function of the
// index version, the shard and the request's body only, so that a checker that has the body can
// verify that a row belongs to the right request, version and shard.
package rowmaker

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/identifier"
)

const (
	// scoreBits is the number of bits that a float64 between 0 and 1 holds exactly.
	scoreBits = 53
	// totalRange is the exclusive upper bound of totals. Totals are whole numbers, so that their
	// sums are exact in float64.
	totalRange = 1000
)

// Row is one row of a shard's result.
type Row struct {
	Score float64         `json:"score"`
	Value json.RawMessage `json:"value"`
}

// Value is the JSON content of a row.
type Value struct {
	Version identifier.IndexVersion `json:"version"`
	Shard   identifier.ShardNumber  `json:"shard"`
	Digest  string                  `json:"digest"`
}

// Result is the result of one shard.
type Result struct {
	Rows  []Row
	Total float64
}

// Make computes the result of one shard with the given number of rows. Insignificant white space in
// the JSON body does not affect the result.
func Make(version identifier.IndexVersion, shard identifier.ShardNumber, body []byte, rows int) Result {
	compact := compactJSON(body)
	r := Result{Rows: make([]Row, rows)}
	for i := range rows {
		h := hash(version, shard, uint32(i), compact)
		r.Rows[i] = Row{Score: score(h), Value: value(version, shard, h)}
	}
	r.Total = float64(hash(version, shard, uint32(rows), compact) % totalRange)
	return r
}

func compactJSON(body []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, body); err != nil {
		return body
	}
	return b.Bytes()
}

func hash(version identifier.IndexVersion, shard identifier.ShardNumber, row uint32, body []byte) uint64 {
	prefix := binary.BigEndian.AppendUint64(nil, uint64(version))
	prefix = binary.BigEndian.AppendUint32(prefix, uint32(shard))
	prefix = binary.BigEndian.AppendUint32(prefix, row)
	d := xxhash.New()
	// xxhash's Write never returns an error.
	_, _ = d.Write(prefix)
	_, _ = d.Write(body)
	return d.Sum64()
}

func score(h uint64) float64 {
	return float64(h>>(64-scoreBits)) / (1 << scoreBits)
}

func value(version identifier.IndexVersion, shard identifier.ShardNumber, h uint64) json.RawMessage {
	return fmt.Appendf(nil, `{"version":%d,"shard":%d,"digest":"%016x"}`, version, shard, h)
}
