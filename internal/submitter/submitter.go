// Package submitter submits a manifest to the keepers and waits until it is in force on every dock.
// Submitting is idempotent: the same manifest gets the same answer again.
package submitter

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// callTimeout bounds one call to a keeper.
	callTimeout = 2 * time.Second
	// retryInterval is the delay before all keepers are tried again, and between two checks of the
	// docks.
	retryInterval = 250 * time.Millisecond
	// maxReportAge is the age of a dock's last report above which the dock counts as silent.
	maxReportAge = 3 * time.Second
)

var (
	// ErrConflict is returned if another manifest was accepted under the same number.
	ErrConflict = eris.New("another manifest stands under this number")
	// ErrSuperseded is returned if a manifest with a higher number was accepted.
	ErrSuperseded = eris.New("a higher manifest number stands")
	// ErrInvalid is returned if the keepers rejected the text.
	ErrInvalid = eris.New("the keepers refused the manifest as invalid")
	// ErrUnknown is returned if the manifest may or may not have been accepted.
	ErrUnknown = eris.New("it is not known whether the manifest was accepted; submit it again")
	// ErrNotAccepted is returned if no keeper accepted the manifest in time, and none can have
	// accepted it without a reply.
	ErrNotAccepted = eris.New("the manifest was not accepted")
	// errNoAnswer replaces the last answer if there was none.
	errNoAnswer = eris.New("none in time")
	// ErrNotInForce is returned if the manifest was accepted but is not known to be in force on
	// every dock.
	ErrNotInForce = eris.New("the manifest was accepted but is not yet in force everywhere")
)

// Keepers sends the submitter's requests to keepers.
type Keepers interface {
	// Submit sends a manifest. If it returns an error, isSent is false only if certainly no byte of
	// the request was sent.
	Submit(ctx context.Context, keeper netip.AddrPort, q encoder.SubmitRequest) (reply encoder.SubmitReply, isSent bool, err error)
	// Status returns a keeper's state.
	Status(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error)
}

// Submitter submits manifests and waits until they are in force.
type Submitter struct {
	keepers   Keepers
	addresses []netip.AddrPort
	clock     timekeeper.Clock
	progress  func(line string)
	// docks is the least number of docks on which a manifest must be in force.
	docks int
}

// Option configures a Submitter.
type Option func(*Submitter)

// WithProgress sets a function that receives lines about the progress.
func WithProgress(f func(line string)) Option {
	return func(s *Submitter) { s.progress = f }
}

// WithDocks sets the number of docks on which a manifest must be in force. Without it, the docks
// that the leader lists are enough.
func WithDocks(n int) Option {
	return func(s *Submitter) { s.docks = n }
}

// WithClock sets the clock that times the retries.
func WithClock(clock timekeeper.Clock) Option {
	return func(s *Submitter) { s.clock = clock }
}

// New returns a submitter that contacts the keepers at the addresses.
func New(keepers Keepers, addresses []netip.AddrPort, options ...Option) *Submitter {
	s := &Submitter{keepers: keepers, addresses: addresses, clock: timekeeper.System{}, progress: func(string) {}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Submit sends the manifest until a keeper gives a final answer or the context ends. It returns nil
// if the manifest was accepted, or otherwise an error that wraps ErrConflict, ErrSuperseded,
// ErrInvalid, ErrUnknown or ErrNotAccepted.
func (s *Submitter) Submit(ctx context.Context, m encoder.ManifestText) error {
	isPossiblySent := false
	for {
		lastError := errNoAnswer
		for _, keeper := range s.addresses {
			isFinal, isSent, err := s.submitTo(ctx, keeper, m)
			isPossiblySent = isPossiblySent || isSent
			if isFinal {
				return err
			}
			if err != nil {
				s.progress(fmt.Sprintf("keeper %s: %v", keeper, err))
				lastError = err
			}
		}
		if s.waitToRetry(ctx) != nil {
			return notAccepted(isPossiblySent, lastError)
		}
	}
}

// notAccepted returns the error for a context that ended without a final answer.
func notAccepted(isPossiblySent bool, lastError error) error {
	if isPossiblySent {
		return withDetail(ErrUnknown, "last answer: %v", lastError)
	}
	return withDetail(ErrNotAccepted, "last answer: %v", lastError)
}

// submitTo sends the manifest to one keeper and, if that keeper names another one as the leader, to
// the leader. isSent reports whether the manifest may have been accepted although the answer is not
// final.
func (s *Submitter) submitTo(ctx context.Context, keeper netip.AddrPort, m encoder.ManifestText) (isFinal, isSent bool, err error) {
	reply, isSent, err := s.send(ctx, keeper, m)
	if err == nil && reply.Outcome == encoder.SubmitNotLeader && reply.Leader.IsValid() && reply.Leader != keeper {
		reply, isSent, err = s.send(ctx, reply.Leader, m)
	}
	if err != nil {
		return false, isSent, err
	}
	accepted := fmt.Sprintf("number %d with digest %s", reply.StandingNumber, reply.StandingDigest)
	switch reply.Outcome {
	case encoder.SubmitAccepted:
		return true, false, nil
	case encoder.SubmitConflict:
		return true, false, withDetail(ErrConflict, "standing is %s; submitted is digest %s", accepted, m.Digest)
	case encoder.SubmitSuperseded:
		return true, false, withDetail(ErrSuperseded, "standing is %s; submitted is number %d", accepted, m.Number)
	case encoder.SubmitInvalid:
		return true, false, withDetail(ErrInvalid, "%s", reply.Detail)
	case encoder.SubmitNotLeader:
		return false, false, eris.New("no leader is known")
	default:
		return false, true, eris.Errorf("outcome unknown: %s", reply.Detail)
	}
}

// send sends the manifest to one keeper.
func (s *Submitter) send(ctx context.Context, keeper netip.AddrPort, m encoder.ManifestText) (encoder.SubmitReply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.keepers.Submit(ctx, keeper, encoder.SubmitRequest{Manifest: m})
}

// waitToRetry waits for the retry interval. It returns an error if the context ends first.
func (s *Submitter) waitToRetry(ctx context.Context) error {
	timer := s.clock.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Await waits until every dock that the leader lists applies the manifest number or a higher one.
// It returns the last known state of the rollout. If the context ends first, the error wraps
// ErrNotInForce and names the docks that are missing.
func (s *Submitter) Await(ctx context.Context, number uint64) (RolloutStatus, error) {
	last := RolloutStatus{Number: number, Expected: s.docks}
	hasStatus := false
	for {
		if status, err := s.leaderStatus(ctx); err == nil {
			last, hasStatus = last.updated(status), true
			if last.IsComplete() {
				return last, nil
			}
			s.progress(last.String())
		}
		if s.waitToRetry(ctx) == nil {
			continue
		}
		if !hasStatus {
			return last, withDetail(ErrNotInForce, "no leading keeper answered")
		}
		return last, withDetail(ErrNotInForce, "%s", last)
	}
}

// leaderStatus queries the keepers until the leader replies with a settled view, and returns its
// reply.
func (s *Submitter) leaderStatus(ctx context.Context) (encoder.StatusReply, error) {
	queried := map[netip.AddrPort]bool{}
	queue := append([]netip.AddrPort(nil), s.addresses...)
	for len(queue) > 0 {
		keeper := queue[0]
		queue = queue[1:]
		if queried[keeper] {
			continue
		}
		queried[keeper] = true
		reply, err := s.keeperStatus(ctx, keeper)
		if err != nil {
			continue
		}
		if reply.Poll.LeaderReady {
			return reply, nil
		}
		for _, v := range reply.Poll.Voters {
			if v.Name == reply.Poll.Leader {
				queue = append([]netip.AddrPort{v.Address}, queue...)
			}
		}
	}
	return encoder.StatusReply{}, eris.New("no leading keeper answered")
}

// keeperStatus queries one keeper.
func (s *Submitter) keeperStatus(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.keepers.Status(ctx, keeper)
}
