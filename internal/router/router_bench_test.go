package router

import (
	"context"
	"fmt"
	"testing"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/quarantiner"
	"banyandock.example/banyandock/internal/timekeeper"
)

// instantOwners answers every batch at once with ten rows.
type instantOwners struct{}

func (instantOwners) Query(_ context.Context, _ encoder.Host, b encoder.ShardBatch) (encoder.BatchReply, error) {
	reply := encoder.BatchReply{Request: b.Request, Attempt: b.Attempt, Version: b.Version, Covered: b.Shards, Totals: make([]float64, len(b.Shards))}
	reply.Rows = make([]encoder.Row, 10)
	for i := range reply.Rows {
		reply.Rows[i] = encoder.Row{Shard: b.Shards[i%len(b.Shards)], Score: float64(i)}
	}
	return reply, nil
}

func (o instantOwners) Canary(ctx context.Context, h encoder.Host, r encoder.CanaryRequest) (encoder.CanaryReply, error) {
	reply, err := o.Query(ctx, h, r.Batch)
	return encoder.CanaryReply{Reply: reply}, err
}

func (instantOwners) Probe(context.Context, encoder.Host) error { return nil }

// BenchmarkRoute measures the root's processor time for one query by number of shards, without
// links and owners.
func BenchmarkRoute(b *testing.B) {
	for _, size := range []struct{ docks, shards int }{{20, 20}, {20, 40}, {40, 80}, {80, 160}, {160, 600}, {200, 1200}} {
		b.Run(fmt.Sprintf("shards=%d", size.shards), func(b *testing.B) {
			control := makeControl(size.docks, size.shards, 1)
			r := New("dock_0", 1, control, instantOwners{}, nil, quarantiner.New(timekeeper.System{}))
			q := query("lookup")
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Route(b.Context(), q).(Complete); !ok {
					b.Fatal("query is not complete")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size.shards), "ns/shard")
		})
	}
}
