package responder

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/identifier"
)

// TestHoldingsCoverEveryShard checks that every shard has at least the configured number of
// replicas for any shard count, so that a repartition loses no shard.
func TestHoldingsCoverEveryShard(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		replicas := rapid.IntRange(1, 3).Draw(r, "replicas")
		group := rapid.IntRange(1, 40).Draw(r, "group")
		shards := rapid.Uint32Range(1, 90).Draw(r, "shards")
		held := make(map[identifier.ShardNumber]int)
		for i := range group * replicas {
			p := Placement{Index: i, ServerCount: group * replicas, Replicas: replicas}
			for _, h := range p.Holdings(1, shards) {
				assert.Assert(t, uint32(h.Shard) < shards)
				held[h.Shard]++
			}
		}
		for s := range shards {
			assert.Assert(t, held[identifier.ShardNumber(s)] >= replicas, "shard %d", s)
		}
	})
}

func TestReplicasAreInDifferentDomains(t *testing.T) {
	domains := []identifier.DomainName{"a", "b", "c"}
	for position := range 20 {
		first := Placement{Index: position, ServerCount: 40, Replicas: 2}
		second := Placement{Index: position + 20, ServerCount: 40, Replicas: 2}
		assert.Assert(t, first.Domain(domains) != second.Domain(domains))
	}
}
