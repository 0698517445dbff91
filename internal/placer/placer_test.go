package placer

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/seeder"
)

func init() {
	seeder.Fix()
}

func makeView(hosts, shards int) *encoder.View {
	v := &encoder.View{Epoch: identifier.NewEpoch(1, 1)}
	for i := range hosts {
		v.Hosts = append(v.Hosts, encoder.Host{
			Name:   identifier.HostName(fmt.Sprintf("dock_%02d", i)),
			Domain: identifier.DomainName(fmt.Sprintf("domain_%d", i%3)),
			State:  encoder.HostReady,
		})
	}
	for n := range shards {
		for r := range 2 {
			v.Servers = append(v.Servers, encoder.Server{
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(r), byte(n)}), 7000),
				Service: "plates",
				Holdings: []encoder.Holding{
					{Version: 1, Shard: identifier.ShardNumber(n), ShardCount: uint32(shards)},
				},
			})
		}
	}
	return v
}

func TestEachShardHasOwnerAndSecondInOtherDomain(t *testing.T) {
	v := makeView(16, 20)
	p := Place(v)
	for n := range 20 {
		a, ok := p.Assignment("plates", identifier.ShardNumber(n))
		assert.Assert(t, ok)
		assert.Assert(t, a.Owner.Name != a.Second.Name)
		assert.Assert(t, a.Owner.Domain != a.Second.Domain)
	}
}

func TestLossOfHostMovesFewOtherShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(3, 30).Draw(t, "hosts")
		shards := rapid.IntRange(1, 60).Draw(t, "shards")
		v := makeView(hosts, shards)
		before := Place(v)
		lost := rapid.IntRange(0, hosts-1).Draw(t, "lost")
		gone := v.Hosts[lost].Name
		v.Hosts[lost].State = encoder.HostDraining
		after := Place(v)
		moved := 0
		for n := range shards {
			a, _ := before.Assignment("plates", identifier.ShardNumber(n))
			b, ok := after.Assignment("plates", identifier.ShardNumber(n))
			if !ok || b.Owner.Name == gone || b.Second.Name == gone {
				t.Fatalf("shard %d is assigned to a lost host", n)
			}
			if a.Owner.Name != gone && a.Owner.Name != b.Owner.Name {
				moved++
			}
		}
		// Because of the load limit a few shards of other hosts move as well.
		if moved > shards/2+1 {
			t.Fatalf("%d of %d shards moved although their owner remained", moved, shards)
		}
	})
}

func TestLoadIsBounded(t *testing.T) {
	v := makeView(171, 1200)
	p := Place(v)
	load := map[identifier.HostName]int{}
	for n := range 1200 {
		a, _ := p.Assignment("plates", identifier.ShardNumber(n))
		load[a.Owner.Name]++
	}
	for name, n := range load {
		assert.Assert(t, n <= 9, "%s owns %d shards", name, n)
	}
}
