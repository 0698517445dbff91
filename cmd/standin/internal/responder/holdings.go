package responder

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Placement is the position of a server among the servers of its service.
type Placement struct {
	// Index is the number of the server, starting at 0.
	Index       int
	ServerCount int
	Replicas    int
}

// GroupSize returns the number of servers that together hold each shard once.
func (p Placement) GroupSize() int {
	return p.ServerCount / p.Replicas
}

// Domain returns the server's failure domain, chosen so that the replicas of a shard are in
// different domains.
func (p Placement) Domain(domains []identifier.DomainName) identifier.DomainName {
	replica := p.Index / p.GroupSize()
	position := p.Index % p.GroupSize()
	return domains[(position+replica)%len(domains)]
}

// Holdings lists the shards of an index version that the server holds. If there are fewer shards
// than servers in a group, the remaining servers hold additional replicas.
func (p Placement) Holdings(version identifier.IndexVersion, shardCount uint32) []encoder.Holding {
	group := uint32(p.GroupSize())
	position := uint32(p.Index) % group
	if shardCount < group {
		return []encoder.Holding{{
			Version:    version,
			Shard:      identifier.ShardNumber(position % shardCount),
			ShardCount: shardCount,
		}}
	}
	var holdings []encoder.Holding
	for shard := position; shard < shardCount; shard += group {
		holdings = append(holdings, encoder.Holding{
			Version:    version,
			Shard:      identifier.ShardNumber(shard),
			ShardCount: shardCount,
		})
	}
	return holdings
}
