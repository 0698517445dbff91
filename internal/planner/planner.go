// Package planner chooses the index version that a query reads. All shards of an answer
// come from one version.
package planner

import (
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// Candidate is an index version that a query may read.
type Candidate struct {
	Version    identifier.IndexVersion
	ShardCount uint32
	// Uncovered lists the shards of the version without a replica that accepts requests, sorted.
	// They count as missing in the coverage.
	Uncovered []identifier.ShardNumber
	// readyShards is the number of shards with a ready replica.
	readyShards int
}

// Covers reports whether the candidate has a replica of the shard that accepts requests.
func (c *Candidate) Covers(shard identifier.ShardNumber) bool {
	_, isUncovered := slices.BinarySearch(c.Uncovered, shard)
	return !isUncovered
}

// Plans holds the candidates of all services of one view. It is immutable.
type Plans struct {
	candidates map[identifier.ServiceName][]Candidate
}

// Candidates returns the service's versions in order of preference: first the versions with a
// ready replica of every shard, newest first, then the others by descending share of covered
// shards.
func (p *Plans) Candidates(service identifier.ServiceName) []Candidate {
	return p.candidates[service]
}

// Choose returns the first candidate in order of preference whose version is not excluded. It
// returns false if there is none.
func (p *Plans) Choose(service identifier.ServiceName, excluded []identifier.IndexVersion) (Candidate, bool) {
	for _, c := range p.candidates[service] {
		if !slices.Contains(excluded, c.Version) {
			return c, true
		}
	}
	return Candidate{}, false
}

// versionKey identifies the set of shards of a version. Servers that report different shard
// counts for the same version number do not hold the same version.
type versionKey struct {
	service identifier.ServiceName
	version identifier.IndexVersion
	count   uint32
}

// shardReadiness is the best state of a shard's replicas.
type shardReadiness uint8

const (
	shardAbsent shardReadiness = iota
	shardCold
	shardReady
)

// NewPlans computes the candidates of a view.
func NewPlans(view *encoder.View) *Plans {
	shards := map[versionKey][]shardReadiness{}
	for _, s := range view.Servers {
		addServer(shards, s)
	}
	p := &Plans{candidates: map[identifier.ServiceName][]Candidate{}}
	for key, states := range shards {
		p.candidates[key.service] = append(p.candidates[key.service], newCandidate(key, states))
	}
	for _, list := range p.candidates {
		slices.SortFunc(list, comparePreference)
	}
	return p
}

// addServer records the shards that a server holds. It ignores holdings whose shard number is not
// less than their shard count.
func addServer(shards map[versionKey][]shardReadiness, s encoder.Server) {
	readiness := readinessOf(s.State)
	for _, h := range s.Holdings {
		if uint32(h.Shard) >= h.ShardCount {
			continue
		}
		key := versionKey{s.Service, h.Version, h.ShardCount}
		states := shards[key]
		if states == nil {
			states = make([]shardReadiness, h.ShardCount)
			shards[key] = states
		}
		states[h.Shard] = max(states[h.Shard], readiness)
	}
}

// readinessOf converts a server's state. A draining server counts as absent because it must not
// receive new requests.
func readinessOf(s encoder.ServerState) shardReadiness {
	switch s {
	case encoder.ServerReady:
		return shardReady
	case encoder.ServerCold:
		return shardCold
	case encoder.ServerDraining:
		return shardAbsent
	default:
		return shardAbsent
	}
}

// newCandidate returns the candidate for a version from the readiness of its shards.
func newCandidate(key versionKey, states []shardReadiness) Candidate {
	c := Candidate{Version: key.version, ShardCount: key.count}
	for n, s := range states {
		switch s {
		case shardAbsent:
			c.Uncovered = append(c.Uncovered, identifier.ShardNumber(n))
		case shardReady:
			c.readyShards++
		case shardCold:
		}
	}
	return c
}

// comparePreference orders candidates by readiness, then coverage, then version, newest first.
// Candidates with a ready replica of every shard are compared by version number alone, because a
// newer snapshot is preferred as soon as it can answer.
func comparePreference(a, b Candidate) int {
	if isReady(a) != isReady(b) {
		if isReady(a) {
			return -1
		}
		return 1
	}
	if !isReady(a) && coverage(a) != coverage(b) {
		if coverage(a) > coverage(b) {
			return -1
		}
		return 1
	}
	if a.Version != b.Version {
		if a.Version > b.Version {
			return -1
		}
		return 1
	}
	// The same version number with two shard counts: the larger count first, as a deterministic
	// tie-break.
	return int(b.ShardCount) - int(a.ShardCount)
}

// isReady reports whether each shard has a ready replica.
func isReady(c Candidate) bool {
	return c.readyShards == int(c.ShardCount)
}

// coverage returns the share of shards with a replica that accepts requests, from 0 to 1.
func coverage(c Candidate) float64 {
	return 1 - float64(len(c.Uncovered))/float64(c.ShardCount)
}
