// Package checker verifies that an answer keeps the guarantees that hold for every answer: it
// belongs to its own request, reflects one index version, states its coverage correctly and is
// merged correctly. For this it recomputes the result that each shard must have returned.
package checker

import (
	"slices"

	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

//go:generate ../../../../bin/enumer -type Violation -trimprefix Violation -transform snake -text -output violation_enumer.go

// Violation is a guarantee that an answer violates.
type Violation uint8

// Violations. ViolationNone means that no violation was found.
const (
	ViolationNone Violation = iota
	// ViolationCoverage means that the shard counts of the coverage contradict each other.
	ViolationCoverage
	// ViolationShardCount means that the answer names a shard count that its index version does not
	// have.
	ViolationShardCount
	// ViolationForeignRow means that the answer contains a row of another request, version or
	// shard.
	ViolationForeignRow
	// ViolationMerge means that rows are missing, or are in the wrong order or number.
	ViolationMerge
	// ViolationTotal means that the sum of the shards' totals is wrong.
	ViolationTotal
	// ViolationOutcome means that the outcome contradicts the other fields of the answer.
	ViolationOutcome
	// ViolationWasRun means that the answer reports the request as not run although it was run.
	ViolationWasRun
)

// Query describes a sent query and what is needed to check its answer.
type Query struct {
	Body []byte
	// Scope selects all shards, or the one shard that the routing key or idempotency key selects.
	Scope    manifestreader.Scope
	Merge    manifestreader.MergeRule
	RowLimit int
	// Rows is the number of rows in each shard's result.
	Rows int
	// ShardCounts maps index versions to their shard counts. The shard count of an answer is not
	// checked if its version is not in the map.
	ShardCounts map[identifier.IndexVersion]uint32
}

// Check returns the first violation found in an answer, or ViolationNone.
func Check(q Query, a merger.Answer) Violation {
	switch a.Outcome {
	case merger.OutcomeComplete, merger.OutcomePartial:
		return checkResult(q, a)
	case merger.OutcomeNotRun:
		if a.WasRun || len(a.Rows) > 0 {
			return ViolationOutcome
		}
	case merger.OutcomeFailed, merger.OutcomeInDoubt, merger.OutcomeNoAnswer:
	}
	return ViolationNone
}

func checkResult(q Query, a merger.Answer) Violation {
	covered, violation := claimedShards(q, a)
	if violation != ViolationNone {
		return violation
	}
	if (a.Outcome == merger.OutcomeComplete) != (len(a.Coverage.Missing) == 0) {
		return ViolationOutcome
	}
	parts := make([]merger.ShardResult, 0, len(covered))
	for _, s := range covered {
		parts = append(parts, merger.ShardResult{Shard: s, Result: rowmaker.Make(a.IndexVersion, s, q.Body, q.Rows)})
	}
	if hasForeignRow(a.Rows, parts) {
		return ViolationForeignRow
	}
	rows, total := merger.Merge(q.Merge, q.RowLimit, parts)
	if !slices.EqualFunc(rows, a.Rows, equalRows) {
		return ViolationMerge
	}
	if q.Merge == manifestreader.MergeSum && total != a.Total {
		return ViolationTotal
	}
	return ViolationNone
}

// claimedShards lists the shards whose results the answer claims to contain.
func claimedShards(q Query, a merger.Answer) ([]identifier.ShardNumber, Violation) {
	covered, ok := coveredShards(a.Coverage)
	if !ok {
		return nil, ViolationCoverage
	}
	count, known := q.ShardCounts[a.IndexVersion]
	if q.Scope == manifestreader.ScopeAll {
		if known && count != a.Coverage.Shards {
			return nil, ViolationShardCount
		}
		return covered, ViolationNone
	}
	// The key selects one shard, whose number appears in the rows only.
	covered = firstRowShard(a.Rows)
	if a.Coverage.Shards != 1 || known && len(covered) > 0 && uint32(covered[0]) >= count {
		return nil, ViolationShardCount
	}
	return covered, ViolationNone
}

// coveredShards lists the shards that are not missing, and reports whether the numbers of the
// coverage are consistent.
func coveredShards(c merger.Coverage) ([]identifier.ShardNumber, bool) {
	missing := make(map[identifier.ShardNumber]bool)
	for _, m := range c.Missing {
		if uint32(m.Shard) >= c.Shards || missing[m.Shard] {
			return nil, false
		}
		missing[m.Shard] = true
	}
	var covered []identifier.ShardNumber
	for n := range c.Shards {
		if !missing[identifier.ShardNumber(n)] {
			covered = append(covered, identifier.ShardNumber(n))
		}
	}
	return covered, c.Shards > 0 && uint32(len(covered)) == c.Covered
}

// firstRowShard returns the shard of the first row, which is the only shard that the answer to a
// single-shard query may contain. It returns nil if there are no rows.
func firstRowShard(rows []merger.Row) []identifier.ShardNumber {
	if len(rows) == 0 {
		return nil
	}
	return []identifier.ShardNumber{rows[0].Shard}
}

// hasForeignRow reports whether any row is not among the rows that the covered shards return.
func hasForeignRow(rows []merger.Row, parts []merger.ShardResult) bool {
	expected := make(map[string]bool)
	for _, p := range parts {
		for _, r := range p.Result.Rows {
			expected[string(r.Value)] = true
		}
	}
	return slices.ContainsFunc(rows, func(r merger.Row) bool { return !expected[string(r.Value)] })
}

func equalRows(a, b merger.Row) bool {
	return a.Shard == b.Shard && a.Score == b.Score && string(a.Value) == string(b.Value)
}
