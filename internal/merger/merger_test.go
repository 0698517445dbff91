package merger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/seeder"
)

func init() {
	seeder.Fix()
}

// part returns the part of one shard, with a row for each score.
func part(shard identifier.ShardNumber, scores ...float64) Part {
	p := Part{Total: float64(len(scores))}
	for i, s := range scores {
		p.Rows = append(p.Rows, encoder.Row{Score: s, Shard: shard, Value: []byte{byte(shard), byte(i)}})
	}
	return p
}

func expectMerged(t *testing.T, rule manifestreader.MergeRule, limit int, want string, parts ...Part) {
	t.Helper()
	merged := Merge(rule, limit, parts...)
	got := ""
	for _, r := range merged.Rows {
		got += string([]byte{'a' + r.Value[0], '0' + r.Value[1]})
	}
	assert.Equal(t, got, want)
}

func TestMerge(t *testing.T) {
	expectMerged(t, manifestreader.MergeTopK, 0, "")
	expectMerged(t, manifestreader.MergeTopK, 3, "b0a0b1", part(0, 5, 1), part(1, 7, 4))
	expectMerged(t, manifestreader.MergeTopK, 0, "a0a1b0", part(1, 5), part(0, 5, 5))
	expectMerged(t, manifestreader.MergeConcatenate, 1, "a0a1b0", part(1, 9), part(0, 1, 2))
	expectMerged(t, manifestreader.MergeSum, 0, "", part(0, 1))
	assert.Equal(t, Merge(manifestreader.MergeSum, 0, part(0, 1, 1), part(1, 1)).Total, 3.0)
}

// TestStepwiseMergeEqualsSingleMerge merges the parts of each owner first and then the results, as
// a root does with the owners' replies.
func TestStepwiseMergeEqualsSingleMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := manifestreader.MergeRule(rapid.IntRange(0, 2).Draw(t, "rule"))
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		var parts []Part
		owners := make([][]Part, 3)
		for n := range rapid.IntRange(0, 6).Draw(t, "shards") {
			scores := rapid.SliceOfN(rapid.Float64Range(0, 3), 0, 5).Draw(t, "scores")
			p := part(identifier.ShardNumber(n), scores...)
			parts = append(parts, p)
			o := rapid.IntRange(0, 2).Draw(t, "owner")
			owners[o] = append(owners[o], p)
		}
		var steps []Part
		for _, o := range owners {
			steps = append(steps, Merge(rule, limit, o...))
		}
		assert.DeepEqual(t, Merge(rule, limit, steps...), Merge(rule, limit, parts...))
	})
}
