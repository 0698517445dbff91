package allotter_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// view is what some docks of one failure domain know: the docks of that domain, and how many docks there
// are in all domains.
type view struct {
	domainDocks []encoder.Dock
	fleet       allotter.Fleet
}

// hosts returns docks of a failure domain with consecutive numbers.
func hosts(domain, first, count int) []encoder.Dock {
	list := []encoder.Dock{}
	for i := range count {
		list = append(list, encoder.Dock{Host: identifier.HostName(fmt.Sprintf("dock-%d-%d", domain, first+i))})
	}
	return list
}

// shardNames returns the names of the shards of an index.
func shardNames(n int) []identifier.ServiceName {
	list := []identifier.ServiceName{}
	for i := range n {
		list = append(list, identifier.ServiceName(fmt.Sprintf("shard-%d", i)))
	}
	return list
}

// ranks returns the rank of a dock for each shard by its view.
func (v view) ranks(dock encoder.Dock, shards []identifier.ServiceName) map[identifier.ServiceName]int {
	ranks := map[identifier.ServiceName]int{}
	groups := assigner.Assign(shards, v.domainDocks)
	if groups == nil {
		groups = assigner.AssignAll(shards, v.domainDocks)
	}
	for _, g := range groups {
		rank := slices.IndexFunc(g.Senders, func(d encoder.Dock) bool { return d.Host == dock.Host })
		for _, s := range g.Services {
			ranks[s] = rank
		}
	}
	return ranks
}

// mostConnections returns the most connections that docks together hold to a server of any shard, if
// each dock holds as many as its view allows.
func mostConnections(views map[identifier.HostName]view, shards []identifier.ServiceName, accepted int) int {
	sums := map[identifier.ServiceName]int{}
	for host, v := range views {
		for s, rank := range v.ranks(encoder.Dock{Host: host}, shards) {
			sums[s] += allotter.OfSender(accepted, v.fleet, rank)
		}
	}
	most := 0
	for _, n := range sums {
		most = max(most, n)
	}
	return most
}

// TestDocksAddedWhileTheKeepersAreCut replays the seconds in which servers reset 63,821 connections: 129
// shards whose servers accept 120 connections, 195 docks in five failure domains, and 37 more that the
// former ones do not learn of, because the keepers are cut from each other.
func TestDocksAddedWhileTheKeepersAreCut(t *testing.T) {
	before, added := []int{43, 38, 35, 40, 39}, []int{8, 7, 7, 8, 7}
	views := map[identifier.HostName]view{}
	for d := range before {
		former := view{domainDocks: hosts(d, 0, before[d]), fleet: allotter.Fleet{Docks: 195, Domains: 5}}
		latter := view{domainDocks: hosts(d, 0, before[d]+added[d]), fleet: allotter.Fleet{Docks: 232, Domains: 5}}
		for i, dock := range latter.domainDocks {
			views[dock.Host] = former
			if i >= before[d] {
				views[dock.Host] = latter
			}
		}
	}
	most := mostConnections(views, shardNames(129), 120)
	assert.Assert(t, most <= 102, "%d connections to one server", most)
}

// TestAnyTwoViewsStayWithinTheCap draws deployments in which docks are added to or removed from a list
// and each dock knows one of the two lists.
func TestAnyTwoViewsStayWithinTheCap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		domains := rapid.IntRange(1, 8).Draw(r, "domains")
		accepted := rapid.IntRange(3*domains, 1200).Draw(r, "accepted")
		shards := shardNames(rapid.IntRange(1, 60).Draw(r, "shards"))
		former, latter := make([][]encoder.Dock, domains), make([][]encoder.Dock, domains)
		all := [2]int{}
		for d := range domains {
			kept := rapid.IntRange(max(1, 6/domains), 125).Draw(r, "kept")
			removed, added := rapid.IntRange(0, kept/7).Draw(r, "removed"), rapid.IntRange(0, kept/7).Draw(r, "added")
			former[d] = append(hosts(d, 0, kept), hosts(d, 1000, removed)...)
			latter[d] = append(hosts(d, 0, kept), hosts(d, 2000, added)...)
			all[0] += kept + removed
			all[1] += kept + added
		}
		views := map[identifier.HostName]view{}
		for d := range domains {
			lists := [2]view{
				{domainDocks: former[d], fleet: allotter.Fleet{Docks: all[0], Domains: domains}},
				{domainDocks: latter[d], fleet: allotter.Fleet{Docks: all[1], Domains: domains}},
			}
			// Docks that were removed know the former list only, and added ones the latter.
			for _, dock := range former[d] {
				views[dock.Host] = lists[0]
			}
			isKnown := rapid.SliceOfN(rapid.Bool(), len(latter[d]), len(latter[d])).Draw(r, "latter")
			for i, dock := range latter[d] {
				if _, isKept := views[dock.Host]; !isKept || isKnown[i] {
					views[dock.Host] = lists[1]
				}
			}
		}
		if most := mostConnections(views, shards, accepted); most > accepted {
			r.Fatalf("%d of %d connections to one server", most, accepted)
		}
	})
}
