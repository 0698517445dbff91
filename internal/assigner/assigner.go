// Package assigner divides the shards of a scattered request into groups and names the dock
// that owns each: the one that sends the request to the group's servers. A dock that sends to
// every shard itself pays for each in processor time, holds a connection to each, and sees each
// too seldom to know it. The assignment is a pure function of the docks of one failure domain,
// so that docks that know the same ones agree.
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// leastShards is the number of shards from which on they are owned. With fewer, a message to
	// the owners and back takes longer than it saves.
	leastShards = 40
	// groupShards is the number of shards that an owner has of one request, if there are two docks
	// for each group. With fewer docks, groups are larger.
	groupShards = 10
	// leastGroups is the number of groups from which on the work is divided at all.
	leastGroups = 4
)

// Group is some shards and the docks to ask for them.
type Group struct {
	Services []identifier.ServiceName
	// Owner sends to the group's servers, Second does while the owner cannot be asked.
	Owner  encoder.Dock
	Second encoder.Dock
}

// Assign divides shards among docks. It returns nil if each dock is to send to all by itself:
// for few shards or few docks.
func Assign(shards []identifier.ServiceName, docks []encoder.Dock) []Group {
	count := min((len(shards)+groupShards-1)/groupShards, len(docks)/2)
	if len(shards) < leastShards || count < leastGroups {
		return nil
	}
	taken := map[identifier.HostName]bool{}
	groups := make([]Group, 0, count)
	for i := range count {
		services := shards[i*len(shards)/count : (i+1)*len(shards)/count]
		owner := prefer(services[0], docks, taken)
		taken[owner.Host] = true
		groups = append(groups, Group{Services: services, Owner: owner})
	}
	for i := range groups {
		second := prefer(groups[i].Services[0], docks, taken)
		taken[second.Host] = true
		groups[i].Second = second
	}
	return groups
}

// prefer returns the dock that a key's hash prefers among those that are not taken. When a dock
// leaves, few groups change their owner.
func prefer(key identifier.ServiceName, docks []encoder.Dock, taken map[identifier.HostName]bool) encoder.Dock {
	best, bestRank := encoder.Dock{}, uint64(0)
	for _, d := range docks {
		if taken[d.Host] {
			continue
		}
		if r := rank(key, d.Host); best.Host == "" || r > bestRank {
			best, bestRank = d, r
		}
	}
	return best
}

// rank is how much a key prefers a dock.
func rank(key identifier.ServiceName, host identifier.HostName) uint64 {
	d := xxhash.New()
	// xxhash's Write never returns an error.
	_, _ = d.WriteString(string(key))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
