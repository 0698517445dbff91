package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

func makeServer(state encoder.ServerState, version identifier.IndexVersion, count uint32, shards ...identifier.ShardNumber) encoder.Server {
	s := encoder.Server{Service: "plates", State: state}
	for _, n := range shards {
		s.Holdings = append(s.Holdings, encoder.Holding{Version: version, Shard: n, ShardCount: count})
	}
	return s
}

func expectChoice(t *testing.T, version identifier.IndexVersion, uncovered int, servers ...encoder.Server) {
	t.Helper()
	c, ok := NewPlans(&encoder.View{Servers: servers}).Choose("plates", nil)
	assert.Assert(t, ok)
	assert.Equal(t, c.Version, version)
	assert.Equal(t, len(c.Uncovered), uncovered)
}

func TestNewestCompleteVersionIsChosen(t *testing.T) {
	ready, cold, draining := encoder.ServerReady, encoder.ServerCold, encoder.ServerDraining
	expectChoice(t, 2, 0, makeServer(ready, 1, 2, 0, 1), makeServer(ready, 2, 2, 0, 1))
	expectChoice(t, 1, 0, makeServer(ready, 1, 2, 0, 1), makeServer(ready, 2, 2, 0))
	expectChoice(t, 1, 0, makeServer(ready, 1, 2, 0, 1), makeServer(cold, 2, 2, 0, 1))
	expectChoice(t, 1, 0, makeServer(ready, 1, 2, 0, 1), makeServer(draining, 2, 2, 0, 1))
	expectChoice(t, 2, 0, makeServer(ready, 1, 2, 0), makeServer(cold, 2, 2, 0, 1))
	// A repartition is another version with its own shard count.
	expectChoice(t, 2, 0, makeServer(ready, 1, 2, 0, 1), makeServer(ready, 2, 3, 0, 1, 2))
	// Without a complete version, the one that covers the most shards is chosen. It lists its
	// uncovered shards.
	expectChoice(t, 1, 1, makeServer(ready, 1, 4, 0, 1, 2), makeServer(ready, 2, 4, 0))
}

func TestExcludedVersionIsNotChosen(t *testing.T) {
	p := NewPlans(&encoder.View{Servers: []encoder.Server{makeServer(encoder.ServerReady, 1, 1, 0), makeServer(encoder.ServerReady, 2, 1, 0)}})
	c, ok := p.Choose("plates", []identifier.IndexVersion{2})
	assert.Assert(t, ok)
	assert.Equal(t, c.Version, identifier.IndexVersion(1))
	_, ok = p.Choose("plates", []identifier.IndexVersion{1, 2})
	assert.Assert(t, !ok)
	_, ok = p.Choose("deeds", nil)
	assert.Assert(t, !ok)
}
