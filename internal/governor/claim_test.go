package governor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
)

// TestLateClaimIsRefusedAfterManyReleases guards against a key that nobody can claim any more: five claims of
// it were released, of which an entry of the ledger stores four, and then a copy of the first claim arrives.
// Its dock does not wait for it, so that it must not be granted.
func TestLateClaimIsRefusedAfterManyReleases(t *testing.T) {
	const released = 5
	withCluster(t, 3, 1, func(cl *cluster) {
		d := cl.docks["d0"]
		millis := time.Now().UnixMilli()
		key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, 1)
		ctx, cancel := context.WithTimeout(cl.t.Context(), 10*time.Second)
		defer cancel()
		for request := range released {
			q := newClaimRequest(d, key, request)
			assert.NilError(cl.t, d.claimer.Settle(ctx, encoder.SettleRequest{Caller: q.Caller, Key: key, Holder: q.Holder, Request: q.Request, Released: true}))
		}
		cl.expectLateClaimRefused(ctx, d, key)
		next, err := d.claimer.Claim(ctx, newClaimRequest(d, key, released))
		assert.NilError(cl.t, err)
		assert.Equal(cl.t, next.Outcome, encoder.ClaimGranted)
	})
}

// TestLateClaimIsRefusedAfterARestart guards against the same after all keepers were started again from snapshots, which
// hold the entry with its last four releases.
func TestLateClaimIsRefusedAfterARestart(t *testing.T) {
	const released, others = 5, 80
	withCluster(t, 3, 1, func(cl *cluster) {
		d := cl.docks["d0"]
		millis := time.Now().UnixMilli()
		keyOf := func(n int) string {
			return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, n)
		}
		ctx, cancel := context.WithTimeout(cl.t.Context(), time.Minute)
		defer cancel()
		for request := range released {
			q := newClaimRequest(d, keyOf(0), request)
			assert.NilError(cl.t, d.claimer.Settle(ctx, encoder.SettleRequest{Caller: q.Caller, Key: q.Key, Holder: q.Holder, Request: q.Request, Released: true}))
		}
		for n := range others {
			_, err := d.claimer.Claim(ctx, newClaimRequest(d, keyOf(1+n), n))
			assert.NilError(cl.t, err)
		}
		for _, m := range cl.members {
			cl.stopKeeper(m.Name)
		}
		for _, m := range cl.members {
			cl.startKeeper(m.Name)
		}
		cl.expectLateClaimRefused(ctx, d, keyOf(0))
	})
}

// expectLateClaimRefused sends a copy of the first claim of a key, which was released.
func (cl *cluster) expectLateClaimRefused(ctx context.Context, d *dock, key string) {
	late, err := d.claimer.Claim(ctx, newClaimRequest(d, key, 0))
	assert.NilError(cl.t, err)
	assert.Equal(cl.t, late.Outcome, encoder.ClaimReleased)
}
