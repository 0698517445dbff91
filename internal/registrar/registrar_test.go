package registrar

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/seeder"
)

func init() { seeder.Fix() }

// apply applies a command and decodes the result.
func apply[A any](t assert.TestingT, r *Registrar, c Command) A {
	b, err := EncodeCommand(c)
	assert.NilError(t, err)
	a, err := encoder.Decode[A](r.Apply(1, b))
	assert.NilError(t, err)
	return a
}

func expectSubmit(t *testing.T, r *Registrar, number uint64, digest string, want encoder.SubmitOutcome, current string) {
	t.Helper()
	a := apply[encoder.SubmitReply](t, r, SubmitCommand{encoder.ManifestText{Number: number, Digest: digest}})
	assert.Equal(t, a.Outcome, want)
	assert.Equal(t, fmt.Sprint(a.StandingNumber, a.StandingDigest), current)
}

func TestRegister(t *testing.T) {
	r := New(nil)
	expectSubmit(t, r, 0, "z", encoder.SubmitInvalid, "0")
	expectSubmit(t, r, 3, "a", encoder.SubmitAccepted, "3a")
	expectSubmit(t, r, 3, "a", encoder.SubmitAccepted, "3a")
	expectSubmit(t, r, 3, "b", encoder.SubmitConflict, "3a")
	expectSubmit(t, r, 2, "c", encoder.SubmitSuperseded, "3a")
	expectSubmit(t, r, 5, "d", encoder.SubmitAccepted, "5d")
	expectSubmit(t, r, 3, "a", encoder.SubmitAccepted, "5d")
	expectSubmit(t, r, 3, "b", encoder.SubmitSuperseded, "5d")
	assert.Equal(t, r.Manifest().Digest, "d")
}

func TestRetryOfForgottenManifestIsSuperseded(t *testing.T) {
	r := New(nil)
	for n := uint64(1); n <= historyLength+1; n++ {
		expectSubmit(t, r, n, "a", encoder.SubmitAccepted, fmt.Sprintf("%da", n))
	}
	expectSubmit(t, r, 1, "a", encoder.SubmitSuperseded, "1001a")
	expectSubmit(t, r, 2, "a", encoder.SubmitAccepted, "1001a")
}

func TestSubmittedNumberOfCommands(t *testing.T) {
	b, err := EncodeCommand(SubmitCommand{encoder.ManifestText{Number: 7}})
	assert.NilError(t, err)
	assert.Equal(t, SubmittedNumber(b), uint64(7))
	b, err = EncodeCommand(SettleCommand{})
	assert.NilError(t, err)
	assert.Equal(t, SubmittedNumber(b), uint64(0))
	assert.Equal(t, SubmittedNumber(nil), uint64(0))
}

func TestUnknownCommandBreaksInvariant(t *testing.T) {
	var broken []string
	r := New(func(name, _ string) { broken = append(broken, name) })
	assert.Assert(t, r.Apply(1, []byte{commandVersion, 9}) == nil)
	assert.DeepEqual(t, broken, []string{"command_known"})
}

// makeKey returns a version 7 UUID with a creation time in Unix milliseconds.
func makeKey(millis int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, n)
}

func expectKeyTime(t *testing.T, key string, millis int64, ok bool) {
	t.Helper()
	got, gotOK := KeyTime(key)
	assert.Equal(t, gotOK, ok, key)
	if ok {
		assert.Equal(t, got.UnixMilli(), millis)
	}
}

func TestKeyTime(t *testing.T) {
	expectKeyTime(t, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000, true)
	expectKeyTime(t, makeKey(1645557742001, 5), 1645557742001, true)
	expectKeyTime(t, "f47ac10b-58cc-4372-a567-0e02b2c3d479", 0, false)
	expectKeyTime(t, "{017f22e2-79b0-7cc3-98c4-dc0c0c07398f}", 0, false)
	expectKeyTime(t, "017f22e279b07cc398c4dc0c0c07398f", 0, false)
	expectKeyTime(t, "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", 0, false)
	expectKeyTime(t, "", 0, false)
}

// testLimits are small enough for tests to reach them.
var testLimits = Limits{Window: time.Hour, Ahead: time.Minute, Entries: 3}

// testNow is the leader's clock in tests.
var testNow = time.UnixMilli(1_700_000_000_000)

// testKey returns a key whose creation time is age before testNow.
func testKey(age time.Duration) string {
	return makeKey(testNow.Add(-age).UnixMilli(), 0)
}

func claim(key string, body, holder int) encoder.ClaimRequest {
	return encoder.ClaimRequest{Caller: "c", Key: key, Body: identifier.Fingerprint(body), Holder: identifier.Incarnation(holder), Request: identifier.RequestID{byte(holder)}}
}

func settle(key string, holder int) encoder.SettleRequest {
	return encoder.SettleRequest{Caller: "c", Key: key, Holder: identifier.Incarnation(holder), Request: identifier.RequestID{byte(holder)}}
}

func expectClaim(t *testing.T, r *Registrar, q encoder.ClaimRequest, want encoder.ClaimOutcome) encoder.ClaimReply {
	t.Helper()
	a := apply[encoder.ClaimReply](t, r, NewClaimCommand(q, testNow, testLimits))
	assert.Equal(t, a.Outcome, want)
	return a
}

func expectSettle(t *testing.T, r *Registrar, q encoder.SettleRequest, want encoder.SettleOutcome) {
	t.Helper()
	assert.Equal(t, apply[encoder.SettleReply](t, r, SettleCommand{q}).Outcome, want)
}

func TestClaimIsGrantedOnce(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	held := expectClaim(t, r, claim(key, 1, 2), encoder.ClaimHeld)
	assert.Equal(t, held.Holder, identifier.Incarnation(1))
	expectClaim(t, r, claim(key, 9, 2), encoder.ClaimMismatch)
	q := settle(key, 1)
	q.Result = []byte("sold")
	expectSettle(t, r, settle(key, 2), encoder.SettleRefused)
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectSettle(t, r, q, encoder.SettleAccepted)
	assert.Equal(t, string(expectClaim(t, r, claim(key, 1, 2), encoder.ClaimSettled).Result), "sold")
	assert.Equal(t, string(expectClaim(t, r, claim(key, 1, 1), encoder.ClaimSettled).Result), "sold")
	expectClaim(t, r, claim(key, 9, 2), encoder.ClaimMismatch)
}

func TestClaimInDoubtIsNeverGrantedAgain(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	q := settle(key, 1)
	q.InDoubt = true
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimInDoubt)
	q.InDoubt = false
	q.Result = []byte("late")
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimSettled)
	q.InDoubt = true
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimSettled)
}

func TestReleasedKeyIsGrantedToAnotherRequest(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	q := settle(key, 1)
	q.Released = true
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimReleased)
	expectClaim(t, r, claim(key, 2, 2), encoder.ClaimGranted)
	expectSettle(t, r, settle(key, 1), encoder.SettleRefused)
}

func TestClaimAfterItsReleaseIsNotGranted(t *testing.T) {
	r, key := New(nil), testKey(0)
	q := settle(key, 1)
	q.Released = true
	expectSettle(t, r, q, encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimReleased)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimGranted)
}

func TestSettledClaimIsNotReleased(t *testing.T) {
	var broken []string
	r, key := New(func(name, _ string) { broken = append(broken, name) }), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	expectSettle(t, r, settle(key, 1), encoder.SettleAccepted)
	q := settle(key, 1)
	q.Released = true
	expectSettle(t, r, q, encoder.SettleRefused)
	assert.DeepEqual(t, broken, []string{"settled_is_not_released"})
}

func TestClaimOfGoneHolderBecomesInDoubt(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	c := NewClaimCommand(claim(key, 1, 2), testNow, testLimits)
	c.Gone = &Claimant{Holder: 9, Request: identifier.RequestID{9}}
	assert.Equal(t, apply[encoder.ClaimReply](t, r, c).Outcome, encoder.ClaimHeld)
	c.Gone = &Claimant{Holder: 1, Request: identifier.RequestID{1}}
	assert.Equal(t, apply[encoder.ClaimReply](t, r, c).Outcome, encoder.ClaimInDoubt)
	q := settle(key, 1)
	q.Released = true
	expectSettle(t, r, q, encoder.SettleRefused)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimInDoubt)
	expectSettle(t, r, settle(key, 1), encoder.SettleAccepted)
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimSettled)
}

func TestClaimsAreBoundedInTimeAndNumber(t *testing.T) {
	r := New(nil)
	expectClaim(t, r, claim("undated", 1, 1), encoder.ClaimUndated)
	expectClaim(t, r, claim(testKey(time.Hour), 1, 1), encoder.ClaimTooOld)
	expectClaim(t, r, claim(testKey(-time.Minute-time.Millisecond), 1, 1), encoder.ClaimAhead)
	expectClaim(t, r, claim(testKey(time.Hour-time.Millisecond), 1, 1), encoder.ClaimGranted)
	expectClaim(t, r, claim(testKey(1), 1, 1), encoder.ClaimGranted)
	expectClaim(t, r, claim(testKey(-time.Minute), 1, 1), encoder.ClaimGranted)
	expectClaim(t, r, claim(testKey(-time.Second), 1, 1), encoder.ClaimFull)
}

func TestForgottenKeysAreRefused(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	later := NewClaimCommand(claim(key, 1, 2), testNow.Add(2*time.Hour), testLimits)
	assert.Equal(t, apply[encoder.ClaimReply](t, r, later).Outcome, encoder.ClaimTooOld)
	assert.Equal(t, r.Claims(), 0)
	// A leader whose clock is behind must not grant a key whose entry has expired.
	expectClaim(t, r, claim(key, 1, 2), encoder.ClaimTooOld)
	expectSettle(t, r, settle(key, 1), encoder.SettleRefused)
}

// TestReleasesBeyondThoseOfAnEntryAreRemembered releases more claims of a key than its entry stores. A
// late copy of the first one must still be known as released, because the ledger would grant it.
func TestReleasesBeyondThoseOfAnEntryAreRemembered(t *testing.T) {
	r, key := New(nil), testKey(0)
	for holder := range releasedPerEntry + 1 {
		q := settle(key, holder+1)
		q.Released = true
		expectSettle(t, r, q, encoder.SettleAccepted)
	}
	for holder := range releasedPerEntry + 1 {
		assert.Assert(t, r.HasReleased(claim(key, 1, holder+1)))
	}
	assert.Assert(t, !r.HasReleased(claim(key, 1, releasedPerEntry+2)))
	assert.Assert(t, !r.HasReleased(claim(testKey(time.Minute), 1, 1)))
}

// TestRestartedKeeperRemembersReleases guards against a late claim that is granted by a keeper which was started again
// after more releases of the key than its entry stores. Snapshots of the release before have none, and that release
// reads the snapshots of this one.
func TestRestartedKeeperRemembersReleases(t *testing.T) {
	for _, releases := range []int{0, 1, releasedPerEntry + 1, maxReleases + 7} {
		r, key := New(nil), testKey(0)
		for holder := range releases {
			q := settle(key, holder+1)
			q.Released = true
			expectSettle(t, r, q, encoder.SettleAccepted)
		}
		snapshot, err := r.Snapshot()
		assert.NilError(t, err)
		restarted := New(nil)
		assert.NilError(t, restarted.Restore(snapshot))
		for holder := range releases {
			q := claim(key, 1, holder+1)
			assert.Equal(t, restarted.HasReleased(q), r.HasReleased(q), "%d of %d", holder, releases)
		}
		again, err := restarted.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, again, snapshot)

		known := r.releases
		r.releases = newReleases()
		former, err := r.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.HasPrefix(snapshot, former), "the release before reads this far")
		assert.NilError(t, restarted.Restore(former))
		assert.Equal(t, len(restarted.releases.known), len(known.known), "what is known is kept")
	}
}

// TestRefusedReleasesAreNotRemembered releases a claim that has been settled, which the ledger refuses.
func TestRefusedReleasesAreNotRemembered(t *testing.T) {
	r, key := New(func(string, string) {}), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	expectSettle(t, r, settle(key, 1), encoder.SettleAccepted)
	q := settle(key, 1)
	q.Released = true
	expectSettle(t, r, q, encoder.SettleRefused)
	assert.Assert(t, !r.HasReleased(claim(key, 1, 1)))
}

func TestRememberedReleasesAreBounded(t *testing.T) {
	releases := newReleases()
	for i := range 2*maxReleases + 1 {
		c := releasedClaim{claimant: Claimant{Holder: identifier.Incarnation(i)}}
		releases.add(c)
		releases.add(c)
	}
	assert.Equal(t, len(releases.known), maxReleases)
	assert.Equal(t, len(releases.order), maxReleases)
	assert.Assert(t, !releases.known[releasedClaim{claimant: Claimant{Holder: maxReleases}}])
	assert.Assert(t, releases.known[releasedClaim{claimant: Claimant{Holder: maxReleases + 1}}])
}

func TestLargeResultsAreOmitted(t *testing.T) {
	r, key := New(nil), testKey(0)
	expectClaim(t, r, claim(key, 1, 1), encoder.ClaimGranted)
	q := settle(key, 1)
	q.Result = make([]byte, ResultBytes+1)
	expectSettle(t, r, q, encoder.SettleAccepted)
	a := expectClaim(t, r, claim(key, 1, 2), encoder.ClaimSettled)
	assert.Assert(t, a.ResultOmitted && len(a.Result) == 0)
}

func TestRestoreRefusesMalformedSnapshots(t *testing.T) {
	r := New(nil)
	expectSubmit(t, r, 1, "a", encoder.SubmitAccepted, "1a")
	expectClaim(t, r, claim(testKey(0), 1, 1), encoder.ClaimGranted)
	b, err := r.Snapshot()
	assert.NilError(t, err)
	for n := range b {
		assert.ErrorIs(t, New(nil).Restore(b[:n]), ErrMalformedSnapshot)
	}
	assert.ErrorIs(t, r.Restore([]byte{snapshotVersion + 1}), ErrMalformedSnapshot)
	assert.Equal(t, r.Manifest().Number, uint64(1))
}

// drawCommand draws a random command. Few keys, holders and times make conflicts likely.
func drawCommand(t *rapid.T, now time.Time) Command {
	key := makeKey(testNow.UnixMilli()+rapid.Int64Range(0, 3).Draw(t, "created")*600_000, rapid.IntRange(0, 1).Draw(t, "key"))
	holder := rapid.IntRange(1, 3).Draw(t, "holder")
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		m := encoder.ManifestText{Number: rapid.Uint64Range(0, 5).Draw(t, "number"), Digest: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest")}
		return SubmitCommand{m}
	case 1:
		q := settle(key, holder)
		q.Released = true
		return SettleCommand{q}
	case 2:
		q := settle(key, holder)
		q.InDoubt = rapid.Bool().Draw(t, "doubt")
		q.Result = []byte{byte(holder)}
		return SettleCommand{q}
	default:
		c := NewClaimCommand(claim(key, rapid.IntRange(1, 2).Draw(t, "body"), holder), now, Limits{Window: time.Hour, Ahead: time.Hour, Entries: 6})
		if rapid.Bool().Draw(t, "gone") {
			c.Gone = &Claimant{Holder: identifier.Incarnation(holder%3 + 1), Request: identifier.RequestID{byte(holder%3 + 1)}}
		}
		return c
	}
}

// TestRandomCommands checks with random logs that a key is granted to a second request only after
// the first one has released it, that the manifest number never falls, and that a state restored
// from a snapshot behaves like the original.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The hooks ignore broken invariants, because the commands include contradictory messages
		// of holders.
		r, replica := New(func(string, string) {}), New(func(string, string) {})
		granted := map[string]Claimant{}
		number := uint64(0)
		now := testNow
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			// The time may go back, because leaders' clocks differ.
			now = now.Add(time.Duration(rapid.IntRange(-10, 20).Draw(t, "minutes")) * time.Minute)
			c := drawCommand(t, now)
			b, err := EncodeCommand(c)
			assert.NilError(t, err)
			answer := r.Apply(1, b)
			assert.Assert(t, slices.Equal(answer, replica.Apply(1, b)))
			checkGrants(t, c, answer, granted)
			assert.Assert(t, r.Manifest().Number >= number)
			number = r.Manifest().Number
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				snapshot, err := r.Snapshot()
				assert.NilError(t, err)
				replica = New(func(string, string) {})
				assert.NilError(t, replica.Restore(snapshot))
				replicaSnapshot, err := replica.Snapshot()
				assert.NilError(t, err)
				assert.Assert(t, slices.Equal(snapshot, replicaSnapshot))
			}
		}
	})
}

// checkGrants updates the claimant to which each key is granted and fails if a key is granted to
// another claimant before it is released.
func checkGrants(t *rapid.T, c Command, answer []byte, granted map[string]Claimant) {
	switch c := c.(type) {
	case ClaimCommand:
		a, err := encoder.Decode[encoder.ClaimReply](answer)
		assert.NilError(t, err)
		if a.Outcome != encoder.ClaimGranted {
			return
		}
		claimant := Claimant{c.Claim.Holder, c.Claim.Request}
		if before, ok := granted[c.Claim.Key]; ok && before != claimant {
			t.Fatalf("%s granted to %v and to %v", c.Claim.Key, before, claimant)
		}
		granted[c.Claim.Key] = claimant
	case SettleCommand:
		a, err := encoder.Decode[encoder.SettleReply](answer)
		assert.NilError(t, err)
		claimant := Claimant{c.Settle.Holder, c.Settle.Request}
		if a.Outcome == encoder.SettleAccepted && c.Settle.Released && granted[c.Settle.Key] == claimant {
			delete(granted, c.Settle.Key)
		}
	case SubmitCommand:
	}
}
