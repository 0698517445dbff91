package claimer

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/timekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	leaderAddress   = netip.MustParseAddrPort("127.0.0.1:1")
	followerAddress = netip.MustParseAddrPort("127.0.0.1:2")
	errLost         = errors.New("lost")
)

const testKey = "018bcfe5-6800-7000-8000-000000000000"

// fakeKeeper is a leader that applies commands immediately. While isDown is set it fails before it
// applies a command, while isReplyLost is set it fails afterwards.
type fakeKeeper struct {
	mutex       sync.Mutex
	state       *registrar.Registrar
	isDown      bool
	isReplyLost bool
	attempts    int
	// lostClaims is how many of the next claims are lost, areSettlesLost loses all settlements.
	lostClaims     int
	areSettlesLost bool
}

func apply[A any](k *fakeKeeper, c registrar.Command) (A, error) {
	b, _ := registrar.EncodeCommand(c)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.attempts++
	var none A
	if k.isDown || k.loses(c) {
		return none, errLost
	}
	a, err := encoder.Decode[A](k.state.Apply(1, b))
	if k.isReplyLost {
		return none, errLost
	}
	return a, err
}

func (k *fakeKeeper) Claim(_ context.Context, address netip.AddrPort, q encoder.ClaimRequest) (encoder.ClaimReply, error) {
	if address == followerAddress {
		return encoder.ClaimReply{Outcome: encoder.ClaimNoQuorum, Leader: leaderAddress}, nil
	}
	return apply[encoder.ClaimReply](k, registrar.NewClaimCommand(q, time.UnixMilli(1_700_000_001_000), registrar.DefaultLimits()))
}

func (k *fakeKeeper) Settle(_ context.Context, _ netip.AddrPort, q encoder.SettleRequest) (encoder.SettleReply, error) {
	return apply[encoder.SettleReply](k, registrar.SettleCommand{Settle: q})
}

func (k *fakeKeeper) set(isDown, isReplyLost bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.isDown, k.isReplyLost = isDown, isReplyLost
}

// lose loses the next claims, and all settlements if areSettlesLost is set.
func (k *fakeKeeper) lose(claims int, areSettlesLost bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lostClaims, k.areSettlesLost = claims, areSettlesLost
}

// loses reports whether a command is lost. The caller must hold the mutex.
func (k *fakeKeeper) loses(c registrar.Command) bool {
	if _, ok := c.(registrar.SettleCommand); ok {
		return k.areSettlesLost
	}
	if k.lostClaims == 0 {
		return false
	}
	k.lostClaims--
	return true
}

// withClaimer runs a test with a claimer whose presumed leader is at the given address.
func withClaimer(t *testing.T, leader netip.AddrPort, test func(t *testing.T, c *Claimer, k *fakeKeeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := &fakeKeeper{state: registrar.New(nil)}
		c := New(k, func() netip.AddrPort { return leader }, timekeeper.System{})
		defer c.Close()
		test(t, c, k)
	})
}

func claimOf(request byte) encoder.ClaimRequest {
	return encoder.ClaimRequest{Caller: "c", Key: testKey, Holder: 1, Request: identifier.RequestID{request}}
}

func expectClaim(t *testing.T, c *Claimer, q encoder.ClaimRequest, want encoder.ClaimOutcome) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a, err := c.Claim(ctx, q)
	assert.Equal(t, a.Outcome, want)
	assert.Equal(t, err != nil, want == encoder.ClaimNoQuorum)
}

func TestClaimFollowsTheHintToTheLeader(t *testing.T) {
	withClaimer(t, followerAddress, func(t *testing.T, c *Claimer, _ *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
		expectClaim(t, c, claimOf(2), encoder.ClaimHeld)
	})
}

func TestClaimWithoutLeaderGivesUp(t *testing.T) {
	withClaimer(t, netip.AddrPort{}, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimNoQuorum)
		assert.Equal(t, k.attempts, 0)
	})
}

func TestUndatedKeyIsNotSentToKeepers(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		q := claimOf(1)
		q.Key = "order"
		expectClaim(t, c, q, encoder.ClaimUndated)
		assert.Equal(t, k.attempts, 0)
	})
}

// TestUnansweredClaimIsReleased loses the replies to a claim that was granted. The request was not
// dispatched, so another request must be granted the key when the keepers answer again.
func TestUnansweredClaimIsReleased(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		k.set(false, true)
		expectClaim(t, c, claimOf(1), encoder.ClaimNoQuorum)
		k.set(false, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.Backlog(), 0)
		expectClaim(t, c, claimOf(1), encoder.ClaimReleased)
		expectClaim(t, c, claimOf(2), encoder.ClaimGranted)
	})
}

// TestLateCopyOfARefusedClaimDoesNotKeepTheKey delays the first attempt of a claim until the second
// one has been refused because another request holds the key. The claimant does not run its request
// any more, so the late attempt must not take the key from the requests that follow, whether it
// arrives before or after the release of the claim.
func TestLateCopyOfARefusedClaimDoesNotKeepTheKey(t *testing.T) {
	for name, isReleaseFirst := range map[string]bool{"before the release": false, "after the release": true} {
		t.Run(name, func(t *testing.T) {
			withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
				expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
				k.lose(1, !isReleaseFirst)
				expectClaim(t, c, claimOf(2), encoder.ClaimHeld)
				time.Sleep(retryInterval / 2)
				k.lose(0, false)
				assert.NilError(t, c.Settle(t.Context(), encoder.SettleRequest{Caller: "c", Key: testKey, Holder: 1, Request: identifier.RequestID{1}, Released: true}))
				late, err := k.Claim(t.Context(), leaderAddress, claimOf(2))
				assert.NilError(t, err)
				assert.Equal(t, late.Outcome == encoder.ClaimReleased, isReleaseFirst)
				time.Sleep(2 * time.Second)
				assert.Equal(t, c.Backlog(), 0)
				expectClaim(t, c, claimOf(3), encoder.ClaimGranted)
			})
		})
	}
}

// TestRefusedClaimIsReleasedOnlyAfterLostAttempts checks that a claim whose only attempt was
// refused costs the keepers no second command.
func TestRefusedClaimIsReleasedOnlyAfterLostAttempts(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
		expectClaim(t, c, claimOf(2), encoder.ClaimHeld)
		time.Sleep(2 * time.Second)
		assert.Equal(t, k.attempts, 2)
	})
}

func TestOutcomeIsSettledInTheBackground(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
		k.set(true, false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		q := encoder.SettleRequest{Caller: "c", Key: testKey, Holder: 1, Request: identifier.RequestID{1}, Result: make([]byte, registrar.ResultBytes+1)}
		assert.ErrorIs(t, c.Settle(ctx, q), ErrPending)
		time.Sleep(10 * time.Second)
		assert.Assert(t, c.Backlog() > 0)
		k.set(false, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.Backlog(), 0)
		expectClaim(t, c, claimOf(2), encoder.ClaimSettled)
	})
}

// TestStopWaitsForOutcomes guards against a key that becomes in doubt by a planned stop: the outcome of its
// request was not recorded yet, because no keeper answered for a second.
func TestStopWaitsForOutcomes(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
		k.set(true, false)
		c.settleInBackground(encoder.SettleRequest{Caller: "c", Key: testKey, Holder: 1, Request: identifier.RequestID{1}, Released: true})
		time.AfterFunc(time.Second, func() { k.set(false, false) })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		c.AwaitSettled(ctx)
		assert.Equal(t, c.Backlog(), 0)
		assert.Assert(t, time.Since(began) < 3*time.Second)
		expectClaim(t, c, claimOf(2), encoder.ClaimGranted)
	})
}

// TestStopDoesNotWaitForGood lets no keeper answer any more.
func TestStopDoesNotWaitForGood(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, k *fakeKeeper) {
		k.set(true, false)
		c.settleInBackground(encoder.SettleRequest{Caller: "c", Key: testKey, Holder: 1, Request: identifier.RequestID{1}, Released: true})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		c.AwaitSettled(ctx)
		assert.Equal(t, time.Since(began), 10*time.Second)
		assert.Assert(t, c.Backlog() > 0)
	})
}

func TestOutcomeOfAnotherRequestIsRefused(t *testing.T) {
	withClaimer(t, leaderAddress, func(t *testing.T, c *Claimer, _ *fakeKeeper) {
		expectClaim(t, c, claimOf(1), encoder.ClaimGranted)
		q := encoder.SettleRequest{Caller: "c", Key: testKey, Holder: 2, Request: identifier.RequestID{2}}
		assert.ErrorIs(t, c.Settle(t.Context(), q), ErrRefused)
	})
}

func TestBacklogIsBounded(t *testing.T) {
	withClaimer(t, netip.AddrPort{}, func(t *testing.T, c *Claimer, _ *fakeKeeper) {
		for range backlogEntries + 10 {
			c.settleInBackground(encoder.SettleRequest{})
		}
		assert.Assert(t, c.Backlog() <= backlogEntries+1)
	})
}
