package linker

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/timekeeper"
)

// BenchmarkBatchCall measures the processor time of a batch and its reply over a link, summed
// over both ends, by the number of shards in the batch and with many calls in flight.
func BenchmarkBatchCall(b *testing.B) {
	for _, shards := range []int{1, 3, 7, 20, 40} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			mux := NewMux()
			Handle(mux, encoder.KindShardBatch, func(_ context.Context, _ Peer, q encoder.ShardBatch) (encoder.BatchReply, error) {
				reply := encoder.BatchReply{Request: q.Request, Attempt: q.Attempt, Version: q.Version, Covered: q.Shards, Totals: make([]float64, len(q.Shards))}
				for i := range 10 {
					reply.Rows = append(reply.Rows, encoder.Row{Shard: q.Shards[i%len(q.Shards)], Score: float64(i), Value: make([]byte, 60)})
				}
				return reply, nil
			})
			s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Self{Host: "server"}, mux, timekeeper.System{})
			assert.NilError(b, err)
			defer func() { _ = s.Close() }()
			l := NewLink(s.Address(), Self{Host: "client"}, timekeeper.System{})
			defer func() { _ = l.Close() }()
			batch := encoder.ShardBatch{Request: identifier.NewRequestID(), Service: "plates", Operation: "lookup", Body: make([]byte, 120)}
			for n := range shards {
				batch.Shards = append(batch.Shards, identifier.ShardNumber(n))
			}
			b.ReportAllocs()
			b.SetParallelism(8)
			start := measurer.ProcessorTime()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := Call[encoder.ShardBatch, encoder.BatchReply](b.Context(), l, encoder.KindShardBatch, batch); err != nil {
						b.Error(err)
						return
					}
				}
			})
			used := float64((measurer.ProcessorTime() - start).Nanoseconds()) / float64(b.N)
			b.ReportMetric(used, "cpu-ns/batch")
			b.ReportMetric(used/float64(shards), "cpu-ns/shard")
		})
	}
}
