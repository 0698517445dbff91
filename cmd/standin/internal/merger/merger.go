// Package merger defines the answer to a caller's query, as described in docs/CALLERS.md, and
// merges the results of shards into one answer.
package merger

import (
	"cmp"
	"encoding/json"
	"slices"

	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

//go:generate ../../../../bin/enumer -type Outcome -trimprefix Outcome -transform snake -text -output outcome_enumer.go

// Outcome is the final status of a query.
type Outcome uint8

// Outcomes of a query.
const (
	OutcomeComplete Outcome = iota
	OutcomePartial
	OutcomeNotRun
	OutcomeFailed
	OutcomeInDoubt
	// OutcomeNoAnswer means that no readable answer arrived in time.
	OutcomeNoAnswer
)

// Answer is the body of the response to a query.
type Answer struct {
	Request      string                  `json:"request"`
	Outcome      Outcome                 `json:"outcome"`
	Code         string                  `json:"code,omitempty"`
	IndexVersion identifier.IndexVersion `json:"index_version"`
	Manifest     uint64                  `json:"manifest"`
	Coverage     Coverage                `json:"coverage"`
	Rows         []Row                   `json:"rows"`
	Total        float64                 `json:"total"`
	WasRun       bool                    `json:"was_run"`
	// Repeated marks the stored answer of an earlier request with the same idempotency key.
	Repeated     bool  `json:"repeated,omitempty"`
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Coverage lists which shards' results an answer contains.
type Coverage struct {
	Shards  uint32         `json:"shards"`
	Covered uint32         `json:"covered"`
	Missing []MissingShard `json:"missing"`
}

// MissingShard is a shard whose result is missing from an answer.
type MissingShard struct {
	Shard   identifier.ShardNumber `json:"shard"`
	Reason  encoder.MissingReason  `json:"reason"`
	Started bool                   `json:"started"`
}

// Row is one row of an answer.
type Row struct {
	Shard identifier.ShardNumber `json:"shard"`
	Score float64                `json:"score"`
	Value json.RawMessage        `json:"value"`
}

// ShardResult is the result of one shard with the shard's number.
type ShardResult struct {
	Shard  identifier.ShardNumber
	Result rowmaker.Result
}

// Merge combines the results of shards according to the rule. It returns the rows in the order that
// the rule requires, and the sum of the totals. It sorts the given results by shard.
func Merge(rule manifestreader.MergeRule, rowLimit int, parts []ShardResult) ([]Row, float64) {
	slices.SortFunc(parts, func(a, b ShardResult) int { return cmp.Compare(a.Shard, b.Shard) })
	var rows []Row
	var total float64
	for _, p := range parts {
		total += p.Result.Total
		for _, r := range p.Result.Rows {
			rows = append(rows, Row{Shard: p.Shard, Score: r.Score, Value: r.Value})
		}
	}
	switch rule {
	case manifestreader.MergeTopK:
		slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Score, a.Score) })
		return rows[:min(rowLimit, len(rows))], total
	case manifestreader.MergeConcatenate:
		return rows, total
	case manifestreader.MergeSum:
		return nil, total
	}
	return rows, total
}
