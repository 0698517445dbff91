// Package merger combines results of several shards into one. Owners merge the results of
// their shards, and roots merge the owners' replies, by the same rules.
package merger

import (
	"cmp"
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
)

// Part is the result of one or several shards of one index version. The rows of a shard
// are in the order in which its backend server returned them.
type Part struct {
	Rows  []encoder.Row
	Total float64
}

// PartOf converts an owner's reply to a Part and adds up its totals.
func PartOf(reply encoder.BatchReply) Part {
	total := 0.0
	for _, t := range reply.Totals {
		total += t
	}
	return Part{Rows: reply.Rows, Total: total}
}

// Merge combines parts by a rule. limit is the maximum number of rows of MergeTopK; 0 or less
// keeps all rows. A shard must not occur in two parts. The result does not depend on the order of
// the parts or on whether some of them were merged before, except for the rounding of totals.
func Merge(rule manifestreader.MergeRule, limit int, parts ...Part) Part {
	switch rule {
	case manifestreader.MergeTopK:
		return Part{Rows: topRows(limit, parts), Total: sumTotals(parts)}
	case manifestreader.MergeConcatenate:
		return Part{Rows: concatenateRows(parts), Total: sumTotals(parts)}
	case manifestreader.MergeSum:
		return Part{Total: sumTotals(parts)}
	}
	return Part{}
}

// topRows returns the rows with the highest scores. Rows of equal score are ordered by
// shard, then by their position within the shard.
func topRows(limit int, parts []Part) []encoder.Row {
	rows := collectRows(parts)
	slices.SortStableFunc(rows, compareScores)
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit:limit]
	}
	return rows
}

// compareScores orders rows by descending score, then by shard. NaN scores come last.
func compareScores(a, b encoder.Row) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Shard, b.Shard)
}

// concatenateRows returns all rows sorted by shard number.
func concatenateRows(parts []Part) []encoder.Row {
	rows := collectRows(parts)
	slices.SortStableFunc(rows, func(a, b encoder.Row) int { return cmp.Compare(a.Shard, b.Shard) })
	return rows
}

// collectRows returns all parts' rows in a new slice, or nil if there are none.
func collectRows(parts []Part) []encoder.Row {
	count := 0
	for _, p := range parts {
		count += len(p.Rows)
	}
	if count == 0 {
		return nil
	}
	rows := make([]encoder.Row, 0, count)
	for _, p := range parts {
		rows = append(rows, p.Rows...)
	}
	return rows
}

// sumTotals adds up the parts' totals.
func sumTotals(parts []Part) float64 {
	total := 0.0
	for _, p := range parts {
		total += p.Total
	}
	return total
}
