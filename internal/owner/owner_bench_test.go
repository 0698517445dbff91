package owner

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/placer"
)

// answerImmediately runs a subrequest without any work.
func answerImmediately(_ context.Context, _ encoder.Server, s Subrequest) (Result, error) {
	return Result{Rows: []encoder.Row{{Score: 1, Shard: s.Shard.Number}}, Total: 1}, nil
}

// BenchmarkHandle measures the owner's processor time of a batch for each shard, with backend
// servers that answer immediately.
func BenchmarkHandle(b *testing.B) {
	for _, shards := range []int{1, 3, 7, 20} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			o := New(backendFunc(answerImmediately), "dock_1")
			view := makeView(shards, 2, 64)
			o.Update(view, placer.Place(view))
			defer func() { assert.NilError(b, o.Close()) }()
			batch := makeBatch(manifestreader.Urgent, shards)
			covered := 0
			b.ReportAllocs()
			start := measurer.ProcessorTime()
			for b.Loop() {
				covered += len(o.Handle(b.Context(), batch).Covered)
			}
			used := float64((measurer.ProcessorTime() - start).Nanoseconds()) / float64(b.N)
			assert.Assert(b, covered > 0)
			b.ReportMetric(used/float64(shards), "cpu-ns/shard")
		})
	}
}
