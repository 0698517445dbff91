package submitter

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/seeder"
)

func init() { seeder.Fix() }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var addresses = []netip.AddrPort{
	netip.MustParseAddrPort("127.1.1.1:7400"),
	netip.MustParseAddrPort("127.1.2.1:7400"),
	netip.MustParseAddrPort("127.1.3.1:7400"),
}

var errUnreachable = errors.New("keeper is unreachable")

// answer is a fake keeper's answer to one submission.
type answer struct {
	reply  encoder.SubmitReply
	isSent bool
	err    error
}

// fakeKeepers answers from lists. The last answer of a list is repeated.
type fakeKeepers struct {
	submits     map[netip.AddrPort][]answer
	statuses    map[netip.AddrPort][]encoder.StatusReply
	submittedTo []netip.AddrPort
}

func (f *fakeKeepers) Submit(_ context.Context, keeper netip.AddrPort, _ encoder.SubmitRequest) (encoder.SubmitReply, bool, error) {
	f.submittedTo = append(f.submittedTo, keeper)
	list := f.submits[keeper]
	if len(list) == 0 {
		return encoder.SubmitReply{}, false, errUnreachable
	}
	if len(list) > 1 {
		f.submits[keeper] = list[1:]
	}
	return list[0].reply, list[0].isSent, list[0].err
}

func (f *fakeKeepers) Status(_ context.Context, keeper netip.AddrPort) (encoder.StatusReply, error) {
	list := f.statuses[keeper]
	if len(list) == 0 {
		return encoder.StatusReply{}, errUnreachable
	}
	if len(list) > 1 {
		f.statuses[keeper] = list[1:]
	}
	return list[0], nil
}

func outcome(o encoder.SubmitOutcome) answer {
	return answer{reply: encoder.SubmitReply{Outcome: o, StandingNumber: 9, StandingDigest: "ab"}}
}

func redirect(leader netip.AddrPort) answer {
	return answer{reply: encoder.SubmitReply{Outcome: encoder.SubmitNotLeader, Leader: leader}}
}

// expectSubmit submits to fake keepers for at most 5 s and checks the error.
func expectSubmit(t *testing.T, submits map[netip.AddrPort][]answer, want error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err := New(&fakeKeepers{submits: submits}, addresses).Submit(ctx, encoder.ManifestText{Number: 7, Digest: "cd"})
		if want == nil {
			assert.NilError(t, err)
			return
		}
		assert.ErrorIs(t, err, want)
	})
}

func TestSubmitReportsTheOutcome(t *testing.T) {
	a, b := addresses[0], addresses[1]
	lost := answer{isSent: true, err: errUnreachable}
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitAccepted)}}, nil)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitConflict)}}, ErrConflict)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitSuperseded)}}, ErrSuperseded)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitInvalid)}}, ErrInvalid)
	expectSubmit(t, map[netip.AddrPort][]answer{b: {outcome(encoder.SubmitAccepted)}}, nil)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {redirect(b)}, b: {outcome(encoder.SubmitAccepted)}}, nil)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {redirect(a), redirect(netip.AddrPort{}), outcome(encoder.SubmitAccepted)}}, nil)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {lost, outcome(encoder.SubmitUnknown), outcome(encoder.SubmitAccepted)}}, nil)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitUnknown), outcome(encoder.SubmitConflict)}}, ErrConflict)
	expectSubmit(t, map[netip.AddrPort][]answer{}, ErrNotAccepted)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {redirect(b)}}, ErrNotAccepted)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {lost}}, ErrUnknown)
	expectSubmit(t, map[netip.AddrPort][]answer{a: {outcome(encoder.SubmitUnknown), redirect(b)}}, ErrUnknown)
}

// TestNotAcceptedMeansNoKeeperAccepted runs the submitter against random answers: it may return
// ErrNotAccepted only if no keeper can have accepted the manifest.
func TestNotAcceptedMeansNoKeeperAccepted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mayBeAccepted := false
		submits := map[netip.AddrPort][]answer{}
		for _, a := range addresses {
			for range rapid.IntRange(0, 4).Draw(rt, "answers") {
				switch rapid.IntRange(0, 3).Draw(rt, "answer") {
				case 0:
					submits[a] = append(submits[a], answer{err: errUnreachable})
				case 1:
					submits[a] = append(submits[a], answer{err: errUnreachable, isSent: true})
				case 2:
					submits[a] = append(submits[a], outcome(encoder.SubmitUnknown))
				default:
					submits[a] = append(submits[a], redirect(addresses[rapid.IntRange(0, 2).Draw(rt, "leader")]))
				}
			}
		}
		f := &recordingKeepers{fakeKeepers: fakeKeepers{submits: submits}, mayBeAccepted: &mayBeAccepted}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := New(f, addresses).Submit(ctx, encoder.ManifestText{Number: 7})
			assert.Equal(t, errors.Is(err, ErrNotAccepted), !mayBeAccepted)
			assert.Equal(t, errors.Is(err, ErrUnknown), mayBeAccepted)
		})
	})
}

// recordingKeepers records whether a keeper may have accepted a manifest.
type recordingKeepers struct {
	fakeKeepers
	mayBeAccepted *bool
}

func (r *recordingKeepers) Submit(ctx context.Context, keeper netip.AddrPort, q encoder.SubmitRequest) (encoder.SubmitReply, bool, error) {
	reply, isSent, err := r.fakeKeepers.Submit(ctx, keeper, q)
	if isSent || err == nil && reply.Outcome == encoder.SubmitUnknown {
		*r.mayBeAccepted = true
	}
	return reply, isSent, err
}

// leaderWithDocks returns the status of a leader with one dock for each manifest number. A negative
// number means a silent dock.
func leaderWithDocks(manifests ...int) encoder.StatusReply {
	s := encoder.StatusReply{Poll: encoder.PollReply{LeaderReady: true}}
	for i, number := range manifests {
		d := encoder.DockStatus{Host: encoder.Host{Name: identifier.HostName(rune('a' + i))}, Manifest: uint64(max(number, 0))}
		if number < 0 {
			d.Heard = time.Minute
			d.Manifest = 99
		}
		s.Docks = append(s.Docks, d)
	}
	return s
}

// expectAwait waits for manifest 7 and checks the resulting text.
func expectAwait(t *testing.T, statuses map[netip.AddrPort][]encoder.StatusReply, isInForce bool, want string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		force, err := New(&fakeKeepers{statuses: statuses}, addresses).Await(ctx, 7)
		if isInForce {
			assert.NilError(t, err)
			assert.Equal(t, force.String(), want)
			return
		}
		assert.ErrorIs(t, err, ErrNotInForce)
		assert.ErrorContains(t, err, want)
	})
}

func TestAwaitNamesDocks(t *testing.T) {
	a, b := addresses[0], addresses[1]
	follower := encoder.StatusReply{Poll: encoder.PollReply{
		Leader: "plade-02",
		Voters: []encoder.KeeperMember{{Name: "plade-01", Address: a}, {Name: "plade-02", Address: b}},
	}}
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {leaderWithDocks(7, 8)}}, true, "in force on 2 of 2 docks")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {follower}, b: {leaderWithDocks(7)}}, true, "in force on 1 of 1 docks")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {leaderWithDocks(), leaderWithDocks(6, 7), leaderWithDocks(7, 7)}}, true, "in force on 2 of 2 docks")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {leaderWithDocks(7, 6, -1)}}, false,
		"in force on 1 of 3 docks; not yet on b; not heard from c")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {leaderWithDocks()}}, false, "no dock has reported")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {follower}}, false, "no leading keeper answered")
	expectAwait(t, map[netip.AddrPort][]encoder.StatusReply{a: {leaderWithDocks(7, 7, -1), leaderWithDocks(7, 7)}}, true,
		"in force on 2 of 2 docks; no longer known to the keepers: c")
}

func TestAwaitExpectsDocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f := &fakeKeepers{statuses: map[netip.AddrPort][]encoder.StatusReply{addresses[0]: {leaderWithDocks(7, 7)}}}
		_, err := New(f, addresses, WithDocks(2)).Await(ctx, 7)
		assert.NilError(t, err)
		_, err = New(f, addresses, WithDocks(3)).Await(ctx, 7)
		assert.ErrorIs(t, err, ErrNotInForce)
		assert.ErrorContains(t, err, "in force on 2 of 2 docks; 3 docks are expected")
	})
}
