// Package placer assigns shards to owner docks. The assignment is a pure function of a
// view, so that every dock with the same view computes the same owners.
package placer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// shardsPerOwner is the target number of shards of one service per dock. Several shards per
	// dock reduce the number of messages of a query over many shards.
	shardsPerOwner = 7
	// minimumOwners is the minimum number of docks that a service is spread over, if there are
	// that many docks and shards.
	minimumOwners = 8
	// maxLoadFactor is the maximum ratio of a dock's number of shards of a service to the mean
	// of all docks that share the service.
	maxLoadFactor = 1.25
)

// Assignment names the docks responsible for one shard.
type Assignment struct {
	// Owner dispatches the shard's subrequests.
	Owner encoder.Host
	// Second takes over if the owner fails or stalls. It equals Owner if there is only one
	// ready dock.
	Second encoder.Host
}

// shardKey identifies a shard number of a service in all index versions, so that a switch to a
// version with the same shard count moves no shard.
type shardKey struct {
	service identifier.ServiceName
	number  identifier.ShardNumber
}

// Placement is the assignment of all shards of a view. It is immutable.
type Placement struct {
	// Epoch is the view's epoch.
	Epoch       identifier.Epoch
	assignments map[shardKey]Assignment
	ownerCounts map[netip.AddrPort]int
}

// Place computes the assignment for a view.
func Place(view *encoder.View) *Placement {
	p := &Placement{
		Epoch:       view.Epoch,
		assignments: map[shardKey]Assignment{},
		ownerCounts: map[netip.AddrPort]int{},
	}
	hosts := readyHosts(view.Hosts)
	if len(hosts) == 0 {
		return p
	}
	for service, numbers := range shardNumbers(view.Servers) {
		p.placeService(service, numbers, hosts)
	}
	p.countOwners(view.Servers)
	return p
}

// Assignment returns the docks for a shard. It returns false if the view holds no ready
// dock or no server of the shard.
func (p *Placement) Assignment(service identifier.ServiceName, number identifier.ShardNumber) (Assignment, bool) {
	a, ok := p.assignments[shardKey{service, number}]
	return a, ok
}

// OwnerCount returns the number of docks that own shards which the server holds, at least 1. These
// docks divide the server's slots and connections among themselves.
func (p *Placement) OwnerCount(server netip.AddrPort) int {
	return max(1, p.ownerCounts[server])
}

// candidate is a dock that may own shards of a service, with the hash of its name for the
// rendezvous weights and the number of shards that it was assigned so far.
type candidate struct {
	host encoder.Host
	hash uint64
	load int
}

// placeService assigns the shards of one service to a subset of the docks. It scans the
// subset for each shard instead of sorting it, because with 3,550 shards on 508 docks sorting
// would take most of a second at each change of the view.
func (p *Placement) placeService(service identifier.ServiceName, numbers []identifier.ShardNumber, hosts []encoder.Host) {
	subset := serviceHosts(service, len(numbers), hosts)
	limit := int(math.Ceil(maxLoadFactor * float64(len(numbers)) / float64(len(subset))))
	scores := make([]uint64, len(subset))
	serviceHash := xxhash.Sum64String(string(service))
	for _, n := range numbers {
		shardHash := mixBits(serviceHash + uint64(n))
		for i, c := range subset {
			scores[i] = mixBits(shardHash ^ c.hash)
		}
		p.assignments[shardKey{service, n}] = assign(subset, scores, limit)
	}
}

// assign chooses as owner the dock with the highest score among those below the load limit. The
// second is the dock with the highest score in another failure domain, or in the same one if
// there is no other.
func assign(subset []candidate, scores []uint64, limit int) Assignment {
	owner := highestScore(subset, scores, func(c *candidate) bool { return c.load < limit })
	subset[owner].load++
	domain := subset[owner].host.Domain
	second := highestScore(subset, scores, func(c *candidate) bool { return c.host.Domain != domain })
	if second < 0 {
		second = highestScore(subset, scores, func(c *candidate) bool { return c != &subset[owner] })
	}
	if second < 0 {
		second = owner
	}
	return Assignment{Owner: subset[owner].host, Second: subset[second].host}
}

// highestScore returns the index of the accepted candidate with the highest score, or -1 if none
// is accepted. Candidates are sorted by name, so that all docks choose the same one of equal
// scores.
func highestScore(subset []candidate, scores []uint64, isAccepted func(*candidate) bool) int {
	best := -1
	for i := range subset {
		if (best < 0 || scores[i] > scores[best]) && isAccepted(&subset[i]) {
			best = i
		}
	}
	return best
}

// serviceHosts chooses the docks that share a service by rendezvous hashing and returns them
// sorted by name.
func serviceHosts(service identifier.ServiceName, shards int, hosts []encoder.Host) []candidate {
	count := max((shards+shardsPerOwner-1)/shardsPerOwner, min(shards, minimumOwners))
	// At least two docks, so that a service of one shard has a second dock as well.
	count = min(len(hosts), max(count, 2))
	type scored struct {
		host  encoder.Host
		score uint64
	}
	all := make([]scored, len(hosts))
	for i, h := range hosts {
		all[i] = scored{h, xxhash.Sum64String(string(service) + "\x00" + string(h.Name))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(string(a.host.Name), string(b.host.Name))
	})
	subset := make([]candidate, count)
	for i, s := range all[:count] {
		subset[i] = candidate{host: s.host, hash: xxhash.Sum64String(string(s.host.Name))}
	}
	slices.SortFunc(subset, func(a, b candidate) int { return strings.Compare(string(a.host.Name), string(b.host.Name)) })
	return subset
}

// mixBits applies the finalizer of splitmix64 to a hash, so that the rendezvous weights of
// adjacent shard numbers are independent.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// readyHosts returns the docks that may own shards.
func readyHosts(hosts []encoder.Host) []encoder.Host {
	ready := make([]encoder.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.State == encoder.HostReady {
			ready = append(ready, h)
		}
	}
	return ready
}

// shardNumbers returns each service's shard numbers over all versions, sorted.
func shardNumbers(servers []encoder.Server) map[identifier.ServiceName][]identifier.ShardNumber {
	largest := map[identifier.ServiceName]uint32{}
	for _, s := range servers {
		for _, h := range s.Holdings {
			largest[s.Service] = max(largest[s.Service], h.ShardCount, uint32(h.Shard)+1)
		}
	}
	numbers := make(map[identifier.ServiceName][]identifier.ShardNumber, len(largest))
	for service, count := range largest {
		for n := range count {
			numbers[service] = append(numbers[service], identifier.ShardNumber(n))
		}
	}
	return numbers
}

// countOwners counts the distinct owners of each server's shards.
func (p *Placement) countOwners(servers []encoder.Server) {
	for _, s := range servers {
		owners := map[identifier.HostName]bool{}
		for _, h := range s.Holdings {
			if a, ok := p.Assignment(s.Service, h.Shard); ok {
				owners[a.Owner.Name] = true
			}
		}
		p.ownerCounts[s.Address] = len(owners)
	}
}
