package checker

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

const (
	testShards  = 4
	testVersion = 7
	testRows    = 2
	testLimit   = 3
)

var testBody = []byte(`{"plate":"K-1138"}`)

func testQuery() Query {
	return Query{
		Body:        testBody,
		Merge:       manifestreader.MergeTopK,
		RowLimit:    testLimit,
		Rows:        testRows,
		ShardCounts: map[identifier.IndexVersion]uint32{testVersion: testShards, testVersion + 1: 2 * testShards},
	}
}

// correctAnswer merges the results of all shards except the missing ones.
func correctAnswer(q Query, missing ...identifier.ShardNumber) merger.Answer {
	a := merger.Answer{Outcome: merger.OutcomeComplete, IndexVersion: testVersion, WasRun: true}
	isMissing := make(map[identifier.ShardNumber]bool)
	for _, s := range missing {
		isMissing[s] = true
		a.Coverage.Missing = append(a.Coverage.Missing, merger.MissingShard{Shard: s})
		a.Outcome = merger.OutcomePartial
	}
	var parts []merger.ShardResult
	for s := range identifier.ShardNumber(testShards) {
		if !isMissing[s] {
			parts = append(parts, merger.ShardResult{Shard: s, Result: rowmaker.Make(testVersion, s, q.Body, testRows)})
		}
	}
	a.Coverage.Shards = testShards
	a.Coverage.Covered = uint32(len(parts))
	a.Rows, a.Total = merger.Merge(q.Merge, q.RowLimit, parts)
	return a
}

func expectViolation(t *testing.T, q Query, a merger.Answer, want Violation) {
	t.Helper()
	assert.Equal(t, Check(q, a), want)
}

func TestCorrectAnswersHaveNoViolation(t *testing.T) {
	for _, rule := range manifestreader.MergeRuleValues() {
		q := testQuery()
		q.Merge = rule
		expectViolation(t, q, correctAnswer(q), ViolationNone)
		expectViolation(t, q, correctAnswer(q, 1, 3), ViolationNone)
	}
	expectViolation(t, testQuery(), merger.Answer{Outcome: merger.OutcomeNotRun}, ViolationNone)
	expectViolation(t, testQuery(), merger.Answer{Outcome: merger.OutcomeFailed, WasRun: true}, ViolationNone)
}

func TestIncorrectAnswersAreDetected(t *testing.T) {
	expectViolationAfter := func(change func(*merger.Answer), want Violation) {
		t.Helper()
		a := correctAnswer(testQuery(), 2)
		change(&a)
		expectViolation(t, testQuery(), a, want)
	}
	expectViolationAfter(func(a *merger.Answer) { a.Coverage.Covered++ }, ViolationCoverage)
	expectViolationAfter(func(a *merger.Answer) { a.Coverage.Missing[0].Shard = testShards }, ViolationCoverage)
	expectViolationAfter(func(a *merger.Answer) { a.Outcome = merger.OutcomeComplete }, ViolationOutcome)
	expectViolationAfter(func(a *merger.Answer) { a.IndexVersion++ }, ViolationShardCount)
	expectViolationAfter(func(a *merger.Answer) { a.Rows = a.Rows[1:] }, ViolationMerge)
	expectViolationAfter(func(a *merger.Answer) { a.Rows[0], a.Rows[1] = a.Rows[1], a.Rows[0] }, ViolationMerge)
	expectViolationAfter(func(a *merger.Answer) { a.Rows[0].Shard++ }, ViolationMerge)
	expectViolationAfter(func(a *merger.Answer) { a.Outcome = merger.OutcomeNotRun; a.WasRun = false }, ViolationOutcome)
	expectViolationAfter(func(a *merger.Answer) {
		a.Rows[0].Value = rowmaker.Make(testVersion, 0, []byte(`{"plate":"other"}`), 1).Rows[0].Value
	}, ViolationForeignRow)
	// A row of another version, and a row of a shard that the answer reports as missing.
	expectViolationAfter(func(a *merger.Answer) {
		a.Rows[0].Value = rowmaker.Make(testVersion+1, 0, testBody, 1).Rows[0].Value
	}, ViolationForeignRow)
	expectViolationAfter(func(a *merger.Answer) {
		a.Rows[0].Value = rowmaker.Make(testVersion, 2, testBody, 1).Rows[0].Value
	}, ViolationForeignRow)
}

func TestWrongTotalIsDetected(t *testing.T) {
	q := testQuery()
	q.Merge = manifestreader.MergeSum
	a := correctAnswer(q)
	a.Total++
	expectViolation(t, q, a, ViolationTotal)
}

func TestSingleShardAnswersAreChecked(t *testing.T) {
	q := testQuery()
	q.Scope = manifestreader.ScopeOne
	q.Merge = manifestreader.MergeConcatenate
	answer := func(s identifier.ShardNumber) merger.Answer {
		rows, _ := merger.Merge(q.Merge, 0, []merger.ShardResult{{Shard: s, Result: rowmaker.Make(testVersion, s, testBody, testRows)}})
		return merger.Answer{IndexVersion: testVersion, Coverage: merger.Coverage{Shards: 1, Covered: 1}, Rows: rows}
	}
	expectViolation(t, q, answer(3), ViolationNone)
	expectViolation(t, q, answer(testShards), ViolationShardCount)
	mixed := answer(1)
	mixed.Rows = append(mixed.Rows, answer(2).Rows...)
	expectViolation(t, q, mixed, ViolationForeignRow)
}
