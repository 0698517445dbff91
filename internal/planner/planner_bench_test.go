package planner

import (
	"fmt"
	"testing"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// BenchmarkNewPlans measures the time of NewPlans for several numbers of backend servers.
func BenchmarkNewPlans(b *testing.B) {
	for _, servers := range []int{107, 1775, 3550, 7100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			v := &encoder.View{}
			for n := range servers {
				v.Servers = append(v.Servers, makeServer(encoder.ServerReady, 1, uint32(servers+1)/2, identifier.ShardNumber(n/2)))
			}
			b.ReportAllocs()
			for b.Loop() {
				NewPlans(v)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(servers), "ns/server")
		})
	}
}
