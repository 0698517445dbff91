// Package assigner divides the shards of a scattered request into groups and assigns senders to each
// group: the docks that send the request to the group's servers. A dock that sends to every shard
// itself spends processor time on each, keeps a connection to each, and observes each too rarely to
// estimate its performance. The assignment is a pure function of the shards and the docks of one
// failure domain, so that docks with the same lists compute the same senders.
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// minimumShards is the smallest number of shards that are divided among owners. With fewer,
	// the round trip to the owners costs more time than it saves.
	minimumShards = 40
	// shardsPerGroup is the maximum number of shards per group if there are two docks for each
	// group. With fewer docks, groups are larger.
	shardsPerGroup = 10
	// minimumGroups is the smallest number of groups into which the shards are divided.
	minimumGroups = 4
)

// Group is a part of the shards and the docks that send requests to them.
type Group struct {
	Services []identifier.ServiceName
	// Senders are the docks that may send requests to the group's servers, at most allotter.Senders
	// of them. The first one is the owner, which does so unless it is unavailable. The second replaces
	// it, and the third the second.
	Senders []encoder.Dock
}

// Assign divides shards among docks. It returns nil if there are too few shards or docks; each
// dock then sends to all shards itself.
func Assign(shards []identifier.ServiceName, docks []encoder.Dock) []Group {
	count := groupCount(shards, docks)
	if len(shards) < minimumShards || count < minimumGroups {
		return nil
	}
	return divide(shards, docks, count)
}

// AssignAll divides shards among docks, however few there are. It returns nil without docks. It is for
// servers that do not accept a connection from every dock.
func AssignAll(shards []identifier.ServiceName, docks []encoder.Dock) []Group {
	if len(docks) == 0 {
		return nil
	}
	return divide(shards, docks, max(1, groupCount(shards, docks)))
}

// groupCount returns into how many groups the shards are divided if each group has an owner and a
// second dock.
func groupCount(shards []identifier.ServiceName, docks []encoder.Dock) int {
	return min((len(shards)+shardsPerGroup-1)/shardsPerGroup, len(docks)/2)
}

// divide divides shards into groups. The owners of all groups are assigned first, then the docks that
// replace them.
func divide(shards []identifier.ServiceName, docks []encoder.Dock, count int) []Group {
	groups := make([]Group, 0, count)
	for i := range count {
		groups = append(groups, Group{Services: shards[i*len(shards)/count : (i+1)*len(shards)/count]})
	}
	assigned := map[identifier.HostName]bool{}
	for range allotter.Senders {
		for i := range groups {
			g := &groups[i]
			dock := highestRanked(g.Services[0], docks, assigned)
			if dock.Host == "" {
				return groups
			}
			assigned[dock.Host] = true
			g.Senders = append(g.Senders, dock)
		}
	}
	return groups
}

// highestRanked returns the dock with the highest rank for a key among those without an
// assignment, or the zero Dock if there is none. With this rendezvous hashing few groups change
// their owner when a dock leaves.
func highestRanked(key identifier.ServiceName, docks []encoder.Dock, assigned map[identifier.HostName]bool) encoder.Dock {
	best, bestRank := encoder.Dock{}, uint64(0)
	for _, d := range docks {
		if assigned[d.Host] {
			continue
		}
		if r := rank(key, d.Host); best.Host == "" || r > bestRank {
			best, bestRank = d, r
		}
	}
	return best
}

// rank returns the rendezvous weight of a dock for a key.
func rank(key identifier.ServiceName, host identifier.HostName) uint64 {
	d := xxhash.New()
	// xxhash's Write never returns an error.
	_, _ = d.WriteString(string(key))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
