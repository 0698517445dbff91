package placer

import (
	"fmt"
	"testing"
)

// BenchmarkPlace measures the time and allocations of one placement for several numbers of hosts
// and shards, with two backend servers per shard.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ hosts, shards int }{{20, 20}, {125, 440}, {250, 890}, {500, 1775}, {1000, 3550}} {
		b.Run(fmt.Sprintf("hosts=%d/shards=%d", size.hosts, size.shards), func(b *testing.B) {
			v := makeView(size.hosts, size.shards)
			b.ReportAllocs()
			for b.Loop() {
				Place(v)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(size.shards), "us/shard")
		})
	}
}
