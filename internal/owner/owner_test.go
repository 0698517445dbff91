package owner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/seeder"
)

func init() {
	seeder.Fix()
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// backendFunc is a Backend that calls a function.
type backendFunc func(ctx context.Context, server encoder.Server, subrequest Subrequest) (Result, error)

// Run calls the function.
func (f backendFunc) Run(ctx context.Context, server encoder.Server, subrequest Subrequest) (Result, error) {
	return f(ctx, server, subrequest)
}

// answerAfter returns a Backend that answers after a delay.
func answerAfter(d time.Duration) backendFunc {
	return func(ctx context.Context, _ encoder.Server, s Subrequest) (Result, error) {
		select {
		case <-time.After(d):
			return Result{Rows: []encoder.Row{{Score: 1, Shard: s.Shard.Number}}, Total: 1}, nil
		case <-ctx.Done():
			return Result{}, &Failure{Cause: CauseCancelled, Started: true}
		}
	}
}

// makeView returns a view of one dock and the given number of replicas of each shard.
func makeView(shards, replicas, slots int) *encoder.View {
	v := &encoder.View{
		Epoch: identifier.NewEpoch(1, 1),
		Hosts: []encoder.Host{{Name: "dock_1", State: encoder.HostReady}},
	}
	for n := range shards {
		for r := range replicas {
			v.Servers = append(v.Servers, encoder.Server{
				Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(r), byte(n)}), 7000),
				Service:     "plates",
				Incarnation: 1,
				State:       encoder.ServerReady,
				Slots:       slots,
				Connections: 55,
				Holdings:    []encoder.Holding{{Version: 1, Shard: identifier.ShardNumber(n), ShardCount: uint32(shards)}},
			})
		}
	}
	return v
}

// newOwner returns an owner of all shards of a view. It fails the test if an invariant is
// violated.
func newOwner(t *testing.T, backend Backend, view *encoder.View, options ...Option) *Owner {
	t.Helper()
	options = append(options, WithViolationHook(func(detail string) { t.Errorf("invariant: %s", detail) }))
	o := New(backend, "dock_1", options...)
	t.Cleanup(func() { assert.NilError(t, o.Close()) })
	o.Update(view, placer.Place(view))
	return o
}

// makeBatch returns a batch for all shards of makeView's index version.
func makeBatch(urgency manifestreader.Urgency, shards int) encoder.ShardBatch {
	b := encoder.ShardBatch{
		Request:    identifier.NewRequestID(),
		Attempt:    1,
		Epoch:      identifier.NewEpoch(1, 1),
		Service:    "plates",
		Operation:  "lookup",
		Version:    1,
		ShardCount: uint32(shards),
		Urgency:    urgency,
		Idempotent: true,
		Timeout:    time.Second,
		RowLimit:   100,
	}
	for n := range shards {
		b.Shards = append(b.Shards, identifier.ShardNumber(n))
	}
	return b
}

func TestBatchCoversAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, answerAfter(8*time.Millisecond), makeView(4, 2, 2))
		reply := o.Handle(t.Context(), makeBatch(manifestreader.Urgent, 4))
		assert.Equal(t, len(reply.Covered), 4)
		assert.Equal(t, len(reply.Missing), 0)
		assert.Equal(t, len(reply.Rows), 4)
		assert.DeepEqual(t, reply.Totals, []float64{1, 1, 1, 1})
		assert.Equal(t, reply.Subrequests, uint32(4))
	})
}
