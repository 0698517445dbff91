package poller_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/timekeeper"
)

var keeperAddress = netip.MustParseAddrPort("127.0.0.1:1")

// fakeKeeper is a group of one keeper. The test sets its replies.
type fakeKeeper struct {
	mutex    sync.Mutex
	delay    time.Duration
	isDown   bool
	reply    encoder.PollReply
	lastSent time.Time
	requests []encoder.PollRequest
}

func newFakeKeeper() *fakeKeeper {
	return &fakeKeeper{reply: encoder.PollReply{
		Keeper: "k", Leader: "k", Voter: true, Term: 1, LeaderReady: true, VotersDigest: 1,
		Voters: []encoder.KeeperMember{{Name: "k", Address: keeperAddress}},
	}}
}

func (k *fakeKeeper) Poll(_ context.Context, _ netip.AddrPort, q encoder.PollRequest) (encoder.PollReply, error) {
	k.mutex.Lock()
	sent, delay, isDown := time.Now(), k.delay, k.isDown
	k.requests = append(k.requests, q)
	k.mutex.Unlock()
	time.Sleep(delay)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if isDown {
		return encoder.PollReply{}, errors.New("refused")
	}
	k.lastSent = sent
	return k.reply, nil
}

// update changes the fake keeper's fields under its lock.
func (k *fakeKeeper) update(f func(k *fakeKeeper)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	f(k)
}

// lastRequest returns the newest request.
func (k *fakeKeeper) lastRequest() encoder.PollRequest {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.requests[len(k.requests)-1]
}

func withKeeper(t *testing.T, test func(t *testing.T, p *poller.Poller, k *fakeKeeper), options ...poller.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := newFakeKeeper()
		self := func() encoder.Host { return encoder.Host{Name: "d"} }
		p := poller.New(self, []netip.AddrPort{keeperAddress}, k, timekeeper.System{}, parse, options...)
		defer p.Close()
		test(t, p, k)
	})
}

// TestFreshnessCountsFromThePollRequest delays replies by nearly pollTimeout. The keeper's state
// may change just after it was read, so freshness must not count from the reply.
func TestFreshnessCountsFromThePollRequest(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		k.update(func(k *fakeKeeper) { k.delay = 900 * time.Millisecond })
		time.Sleep(5 * time.Second)
		assert.Assert(t, p.IsFresh())
		k.update(func(k *fakeKeeper) { k.isDown = true })
		for p.IsFresh() {
			time.Sleep(10 * time.Millisecond)
		}
		k.update(func(k *fakeKeeper) {
			assert.Assert(t, time.Since(k.lastSent) <= 3010*time.Millisecond, "%s", time.Since(k.lastSent))
		})
	})
}

func TestLowerManifestIsNeverApplied(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		newer, older := manifest(4, ""), manifest(3, "")
		k.update(func(k *fakeKeeper) { k.reply.Manifest, k.reply.ManifestNumber = &newer, 4 })
		time.Sleep(2 * time.Second)
		assert.Equal(t, p.State().Manifest.Number, uint64(4))
		k.update(func(k *fakeKeeper) { k.reply.Manifest, k.reply.ManifestNumber = &older, 3 })
		time.Sleep(2 * time.Second)
		assert.Equal(t, p.State().Manifest.Number, uint64(4))
	})
}

func TestDifferentTextUnderTheSameNumberViolatesAnInvariant(t *testing.T) {
	var mutex sync.Mutex
	violated := ""
	hook := poller.WithInvariants(func(name, _ string) {
		mutex.Lock()
		defer mutex.Unlock()
		violated = name
	})
	withKeeper(t, func(t *testing.T, _ *poller.Poller, k *fakeKeeper) {
		for _, remark := range []string{"a", "b"} {
			m := manifest(4, remark)
			k.update(func(k *fakeKeeper) { k.reply.Manifest, k.reply.ManifestNumber = &m, 4 })
			time.Sleep(2 * time.Second)
		}
		mutex.Lock()
		defer mutex.Unlock()
		assert.Equal(t, violated, "manifest_number_names_one_text")
	}, hook)
}

func TestUnreadableManifestLeavesTheDockNotFresh(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		m := encoder.ManifestText{Number: 5, Text: []byte("?")}
		time.Sleep(2 * time.Second)
		k.update(func(k *fakeKeeper) { k.reply.Manifest, k.reply.ManifestNumber = &m, 5 })
		time.Sleep(4 * time.Second)
		assert.Assert(t, !p.IsFresh() && p.State().Manifest == nil)
	})
}

func TestDeltaWithUnknownBaseIsNotApplied(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		k.update(func(k *fakeKeeper) { k.reply.View = &encoder.ViewDelta{Base: 7, Epoch: 8} })
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.State().View.Epoch == 0)
		k.update(func(k *fakeKeeper) { k.reply.View = &encoder.ViewDelta{Epoch: 8, Hosts: []encoder.Host{{Name: "d"}}} })
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(p.State().View.Hosts), 1)
		// A view of a former leader arrives late.
		k.update(func(k *fakeKeeper) { k.reply.View = &encoder.ViewDelta{Epoch: 7} })
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(p.State().View.Hosts), 1)
	})
}

func TestNewLeaderGetsAFullReport(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		p.Announce(encoder.Server{Address: keeperAddress})
		k.update(func(k *fakeKeeper) {
			k.reply.Quarantine = &encoder.QuarantineList{Version: 9, Quarantined: []encoder.Quarantine{{Fingerprint: 1, Remaining: time.Hour}}}
		})
		time.Sleep(3 * time.Second)
		request := k.lastRequest()
		assert.Assert(t, request.Host == nil && len(request.Announcements) == 0 && len(request.Heard) == 0 && len(request.Quarantined) == 0)
		p.Announce(encoder.Server{Address: keeperAddress})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(k.lastRequest().Heard), 1)
		time.Sleep(500 * time.Millisecond)
		k.mutex.Lock()
		k.reply.Term = 2
		count := len(k.requests)
		k.mutex.Unlock()
		time.Sleep(2 * time.Second)
		isFull := false
		k.mutex.Lock()
		for _, q := range k.requests[count:] {
			isFull = isFull || (q.Host != nil && len(q.Announcements) == 1 && len(q.Quarantined) == 1)
		}
		k.mutex.Unlock()
		assert.Assert(t, isFull)
		request = k.lastRequest()
		assert.Assert(t, request.Host == nil)
	})
}

func TestChangesAreSentToTheLeaderOutOfTurn(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		p.Announce(encoder.Server{Address: keeperAddress})
		time.Sleep(3*time.Second + 60*time.Millisecond)
		p.Announce(encoder.Server{Address: keeperAddress, State: encoder.ServerDraining})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, len(k.lastRequest().Announcements), 1)
	})
}

func TestSilentServerIsDropped(t *testing.T) {
	withKeeper(t, func(t *testing.T, p *poller.Poller, k *fakeKeeper) {
		p.Announce(encoder.Server{Address: keeperAddress})
		time.Sleep(11 * time.Second)
		k.update(func(k *fakeKeeper) { k.reply.Resend = true })
		time.Sleep(time.Second)
		assert.Assert(t, k.lastRequest().Host != nil && len(k.lastRequest().Announcements) == 0)
	})
}
