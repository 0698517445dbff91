package watcher_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// TestLimitKeepsDocksOfAnOlderReleaseBusy checks that a dock that does not know of limits is not
// answered at once again and again while a server names one.
func TestLimitKeepsDocksOfAnOlderReleaseBusy(t *testing.T) {
	k := startKeeper(t, anyPort, 1, "")
	defer k.close()
	_, ok := k.broadcaster.IssueTokens(encoder.TokenRequest{Limits: []encoder.ServerLimit{{Server: "a", Born: 1, IsNamed: true, Rate: 1}}})
	assert.Assert(t, ok)
	time.Sleep(500 * time.Millisecond)
	known := k.broadcaster.Watch(context.Background(), "dock", encoder.WatchRequest{MembersDigest: 1})
	watch := func(limitsDigest uint64) (encoder.WatchReply, time.Duration) {
		began := time.Now()
		request := encoder.WatchRequest{Keeper: known.Keeper, MembersDigest: 1, Wait: 300 * time.Millisecond, LimitsDigest: limitsDigest}
		return k.broadcaster.Watch(context.Background(), "dock", request), time.Since(began)
	}
	reply, elapsed := watch(0)
	assert.Equal(t, len(reply.Limits), 0)
	assert.Assert(t, elapsed >= 300*time.Millisecond, "answered after %s", elapsed)
	reply, elapsed = watch(encoder.NoLimits)
	assert.Equal(t, len(reply.Limits), 1)
	assert.Assert(t, elapsed < 200*time.Millisecond, "answered after %s", elapsed)
	_, elapsed = watch(reply.LimitsDigest)
	assert.Assert(t, elapsed >= 300*time.Millisecond, "answered after %s", elapsed)
}
