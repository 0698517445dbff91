package watcher_test

import (
	"context"
	"testing"
	"time"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// listReply is a leader's reply that leaves out the lists that the dock had when it sent the request. The
// digest is that of all lists.
func listReply(q encoder.WatchRequest, digest uint64) encoder.WatchReply {
	reply := encoder.WatchReply{IsLeader: true, FellowsDigest: digest, VerdictsDigest: digest, LimitsDigest: digest}
	if q.FellowsDigest != digest {
		reply.Fellows = []encoder.Dock{namedDock(int(digest))}
	}
	if q.VerdictsDigest != digest {
		reply.Verdicts = []encoder.SlowServer{{Server: "a", Ratio: float64(digest)}}
	}
	if q.LimitsDigest != digest {
		reply.Limits = []encoder.ServerLimit{{Server: "a", Rate: float64(digest)}}
	}
	return reply
}

// awaitEither waits until a step of the test is done or the watch has ended.
func awaitEither(ctx context.Context, isDone chan struct{}) {
	select {
	case <-isDone:
	case <-ctx.Done():
	}
}

// TestNewLeaderConfirmsListsThatWereReplaced guards against empty lists: a watch of the next leader goes out,
// the former leader replaces the dock's lists, and the next leader then answers that the dock has its lists.
func TestNewLeaderConfirmsListsThatWereReplaced(t *testing.T) {
	isHeld, isReplaced := make(chan struct{}), make(chan struct{})
	hasReplaced, isFirst := false, true
	former := startKeeperWith(t, anyPort, 1, "", func(_ *broadcaster.Broadcaster, mux *linker.Mux) {
		linker.Handle(mux, encoder.KindWatch, func(ctx context.Context, _ linker.Peer, q encoder.WatchRequest) (encoder.WatchReply, error) {
			if q.FellowsDigest == 0 {
				return listReply(q, 1), nil
			}
			if !hasReplaced {
				awaitEither(ctx, isHeld)
				hasReplaced = true
				return listReply(q, 2), nil
			}
			<-ctx.Done()
			return encoder.WatchReply{}, nil
		})
	})
	defer former.close()
	next := startKeeperWith(t, anyPort, 2, "", func(_ *broadcaster.Broadcaster, mux *linker.Mux) {
		linker.Handle(mux, encoder.KindWatch, func(ctx context.Context, _ linker.Peer, q encoder.WatchRequest) (encoder.WatchReply, error) {
			if q.FellowsDigest == 0 {
				time.Sleep(time.Millisecond)
				return encoder.WatchReply{}, nil
			}
			if isFirst {
				isFirst = false
				close(isHeld)
				awaitEither(ctx, isReplaced)
			} else if q.FellowsDigest == 1 {
				<-ctx.Done()
			}
			return listReply(q, 1), nil
		})
	})
	defer next.close()
	d := startDock(t, former, next)
	defer d.close()
	hasLists := func(n int) func() bool {
		return func() bool {
			return len(d.domainDocks) == 1 && d.domainDocks[0] == namedDock(n).Host &&
				len(d.slowServers) == 1 && d.slowServers[0].Ratio == float64(n) &&
				len(d.limits) == 1 && d.limits[0].Rate == float64(n)
		}
	}
	d.wait("the lists of the former leader", hasLists(2))
	close(isReplaced)
	d.wait("the lists of the next leader", hasLists(1))
}
