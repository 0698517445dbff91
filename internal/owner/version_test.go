package owner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
)

// otherSizeView returns a view of a version cut into some shards, and of the same version cut into twice as many on
// other servers.
func otherSizeView(shards int) *encoder.View {
	view, other := makeView(shards, 1, 1), makeView(2*shards, 1, 1)
	for _, s := range other.Servers {
		s.Address = netip.AddrPortFrom(s.Address.Addr(), 7001)
		view.Servers = append(view.Servers, s)
	}
	return view
}

// TestSubrequestsGoToShardsOfTheSameCount guards against a query that is counted against the shards of a version and
// sent to those of the same version cut into another number of shards: at once, after a wait, or as a hedge.
func TestSubrequestsGoToShardsOfTheSameCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := backendFunc(func(ctx context.Context, server encoder.Server, s Subrequest) (Result, error) {
			assert.Check(t, server.Holdings[0].ShardCount == 4, "shard %d was asked of %d", s.Shard.Number, server.Holdings[0].ShardCount)
			return answerAfter(200*time.Millisecond)(ctx, server, s)
		})
		o := newOwner(t, backend, otherSizeView(4))
		replies := make(chan encoder.BatchReply)
		const batches = 4
		for range batches {
			go func() { replies <- o.Handle(t.Context(), makeBatch(manifestreader.Urgent, 4)) }()
		}
		for range batches {
			reply := <-replies
			assert.Check(t, len(reply.Covered)+len(reply.Missing) == 4)
		}
	})
}

// TestWaitingSubrequestOfAVersionThatIsCutAnew guards against a subrequest that waits for a slot, and then runs on a
// server that meanwhile holds another part of the same version.
func TestWaitingSubrequestOfAVersionThatIsCutAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		backend := backendFunc(func(ctx context.Context, server encoder.Server, s Subrequest) (Result, error) {
			runs++
			return answerAfter(200*time.Millisecond)(ctx, server, s)
		})
		o := newOwner(t, backend, makeView(1, 1, 1))
		first, second := make(chan encoder.BatchReply, 1), make(chan encoder.BatchReply, 1)
		go func() { first <- o.Handle(t.Context(), makeBatch(manifestreader.Urgent, 1)) }()
		synctest.Wait()
		go func() { second <- o.Handle(t.Context(), makeBatch(manifestreader.Urgent, 1)) }()
		synctest.Wait()
		next := makeView(1, 1, 1)
		next.Epoch = identifier.NewEpoch(1, 2)
		next.Servers[0].Holdings[0].ShardCount = 2
		o.Update(next, placer.Place(next))
		reply := <-second
		assert.Equal(t, len(reply.Missing), 1)
		assert.Equal(t, reply.Missing[0].Reason, encoder.MissingVersion)
		assert.Assert(t, !reply.Missing[0].Started)
		<-first
		assert.Equal(t, runs, 1)
	})
}
