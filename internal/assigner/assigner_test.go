package assigner_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

func shards(n int) []identifier.ServiceName {
	list := []identifier.ServiceName{}
	for i := range n {
		list = append(list, identifier.ServiceName(fmt.Sprintf("shard-%d", i)))
	}
	return list
}

func docks(n int) []encoder.Dock {
	list := []encoder.Dock{}
	for i := range n {
		list = append(list, encoder.Dock{Host: identifier.HostName(fmt.Sprintf("dock-%d", i))})
	}
	return list
}

func TestFewShardsHaveNoOwners(t *testing.T) {
	assert.Assert(t, assigner.Assign(shards(20), docks(15)) == nil)
	assert.Assert(t, assigner.Assign(shards(90), docks(7)) == nil, "each group needs two docks")
}

// TestFewerDocksOwnLargerGroups divides 135 shards, as after a repartition, among 25 docks.
func TestFewerDocksOwnLargerGroups(t *testing.T) {
	groups := assigner.Assign(shards(135), docks(25))
	assert.Equal(t, len(groups), 12)
	for _, g := range groups {
		assert.Assert(t, len(g.Services) == 11 || len(g.Services) == 12)
	}
}

// TestEveryShardHasOneOwner checks random numbers of shards and docks.
func TestEveryShardHasOneOwner(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, m := rapid.IntRange(1, 300).Draw(r, "shards"), rapid.IntRange(0, 80).Draw(r, "docks")
		groups := assigner.Assign(shards(n), docks(m))
		if groups == nil {
			return
		}
		all, used := []identifier.ServiceName{}, map[identifier.HostName]bool{}
		for _, g := range groups {
			all = append(all, g.Services...)
			if len(g.Senders) < 2 {
				r.Fatalf("the group has only the senders %v", g.Senders)
			}
			for _, d := range g.Senders {
				if d.Host == "" || used[d.Host] {
					r.Fatalf("%q is not a dock or has two groups", d.Host)
				}
				used[d.Host] = true
			}
		}
		if !slices.Equal(all, shards(n)) {
			r.Fatalf("%d of %d shards are owned", len(all), n)
		}
	})
}

// TestLostDockMovesFewGroups removes each of 34 docks in turn and counts the groups of 90 shards
// that change their owner.
func TestLostDockMovesFewGroups(t *testing.T) {
	before := assigner.Assign(shards(90), docks(34))
	moved := 0
	for lost := range 34 {
		after := assigner.Assign(shards(90), slices.Delete(docks(34), lost, lost+1))
		for i := range before {
			if before[i].Senders[0].Host != after[i].Senders[0].Host {
				moved++
			}
		}
	}
	// Nine of the docks are owners. A dock that replaces one may have owned another group, which
	// then changes its owner as well.
	assert.Assert(t, moved >= 9 && moved <= 18, "%d groups moved", moved)
}

// TestServersWithFewConnectionsAlwaysHaveSenders divides any number of shards among any number of docks.
func TestServersWithFewConnectionsAlwaysHaveSenders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, m := rapid.IntRange(1, 300).Draw(r, "shards"), rapid.IntRange(1, 130).Draw(r, "docks")
		count := 0
		used := map[identifier.HostName]bool{}
		for _, g := range assigner.AssignAll(shards(n), docks(m)) {
			count += len(g.Services)
			if len(g.Senders) == 0 {
				r.Fatalf("a group of %d shards has no sender", len(g.Services))
			}
			for _, d := range g.Senders {
				if used[d.Host] {
					r.Fatalf("%q has two groups", d.Host)
				}
				used[d.Host] = true
			}
		}
		if count != n {
			r.Fatalf("%d of %d shards have senders", count, n)
		}
	})
	assert.Assert(t, assigner.AssignAll(shards(3), nil) == nil)
}
