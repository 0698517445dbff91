// Package claimer is a dock's client of the keepers' at-most-once ledger. It claims the key of a
// request before the request is dispatched and records its outcome.
package claimer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// attemptTimeout is the timeout of one call to a keeper. Calls are idempotent, so a lost
	// reply costs at most this time before the call is retried.
	attemptTimeout = time.Second
	// retryInterval is the time between attempts while there is no known leader with a quorum.
	retryInterval = 50 * time.Millisecond
	// settleInterval is the time between attempts to settle outcomes in the background.
	settleInterval = 500 * time.Millisecond
	// backlogEntries is the maximum number of outcomes in the backlog.
	backlogEntries = 10_000
)

var (
	// ErrNoQuorum is returned when the keepers did not answer in time. The request must not be
	// dispatched.
	ErrNoQuorum = eris.New("no answer from the keepers")
	// ErrPending is returned when an outcome is not recorded yet. It is retried in the
	// background. Until it is recorded, other claims of the key return ClaimHeld.
	ErrPending = eris.New("outcome not recorded yet")
	// ErrRefused is returned when the ledger refused the outcome, because the request does not
	// hold the key.
	ErrRefused = eris.New("outcome refused by the ledger")
)

// KeeperClient sends requests to the keeper at an address.
type KeeperClient interface {
	Claim(ctx context.Context, address netip.AddrPort, request encoder.ClaimRequest) (encoder.ClaimReply, error)
	Settle(ctx context.Context, address netip.AddrPort, request encoder.SettleRequest) (encoder.SettleReply, error)
}

// LinkClient is a KeeperClient that uses the links of a pool.
type LinkClient struct {
	Pool *linker.Pool
}

// Claim calls the keeper's claim handler.
func (k LinkClient) Claim(ctx context.Context, address netip.AddrPort, request encoder.ClaimRequest) (encoder.ClaimReply, error) {
	return linker.Call[encoder.ClaimRequest, encoder.ClaimReply](ctx, k.Pool.Link(address), encoder.KindClaim, request)
}

// Settle calls the keeper's settle handler.
func (k LinkClient) Settle(ctx context.Context, address netip.AddrPort, request encoder.SettleRequest) (encoder.SettleReply, error) {
	return linker.Call[encoder.SettleRequest, encoder.SettleReply](ctx, k.Pool.Link(address), encoder.KindSettle, request)
}

// Claimer claims and settles keys. It is safe for concurrent use.
type Claimer struct {
	// Set at creation.
	keepers KeeperClient
	leader  func() netip.AddrPort
	clock   timekeeper.Clock
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	wake    chan struct{}

	// Guarded by mutex. backlog contains the outcomes that are still to be settled, oldest first.
	mutex   sync.Mutex
	backlog []encoder.SettleRequest
	// settling is 1 while an outcome that was taken from the backlog is being settled, else 0.
	settling int
}

// New returns a claimer. leader returns the address of the presumed leader of the keepers, or an
// invalid address if it is unknown. The caller must call Close.
func New(keepers KeeperClient, leader func() netip.AddrPort, clock timekeeper.Clock) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		keepers: keepers,
		leader:  leader,
		clock:   clock,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
	}
	c.tasks.Add(1)
	go c.loop()
	return c
}

// Close stops the background work. Keys whose outcomes are not settled yet stay held. They become
// in doubt when they are claimed after the dock has left the keepers' directory.
func (c *Claimer) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Claim claims the key of a request. Only ClaimGranted permits the caller to dispatch the request,
// and only once. If the context ends before a keeper has answered, Claim returns ErrNoQuorum and
// releases the claim in the background, because it may have been granted. A claim that was refused
// is also released if an earlier attempt may still arrive and be granted.
func (c *Claimer) Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error) {
	if _, ok := registrar.KeyTime(request.Key); !ok {
		return encoder.ClaimReply{Outcome: encoder.ClaimUndated}, nil
	}
	var reply encoder.ClaimReply
	isAttemptOpen := false
	isAnswered := c.callLeader(ctx, func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool) {
		var err error
		reply, err = c.keepers.Claim(ctx, address, request)
		isFinal := err == nil && reply.Outcome != encoder.ClaimNoQuorum
		isAttemptOpen = isAttemptOpen || !isFinal
		return reply.Leader, isFinal
	})
	if !isAnswered {
		c.release(request)
		return encoder.ClaimReply{Outcome: encoder.ClaimNoQuorum}, ErrNoQuorum
	}
	if isAttemptOpen && mayBeGrantedLater(reply.Outcome) {
		c.release(request)
	}
	return reply, nil
}

// mayBeGrantedLater reports whether a copy of a claim that was refused may still be granted. All
// other outcomes of a key are final. A full ledger is left out: it grants nothing until its oldest
// entries expire, and storing a release would make it grow.
func mayBeGrantedLater(outcome encoder.ClaimOutcome) bool {
	switch outcome {
	case encoder.ClaimHeld, encoder.ClaimMismatch, encoder.ClaimAhead:
		return true
	default:
		return false
	}
}

// release releases a claim in the background.
func (c *Claimer) release(request encoder.ClaimRequest) {
	c.settleInBackground(encoder.SettleRequest{
		Caller:   request.Caller,
		Key:      request.Key,
		Holder:   request.Holder,
		Request:  request.Request,
		Released: true,
	})
}

// Settle records the outcome of a claim. It returns ErrRefused if the ledger refuses the outcome.
// If the context ends before a keeper has answered, it returns ErrPending and records the outcome
// in the background.
func (c *Claimer) Settle(ctx context.Context, request encoder.SettleRequest) error {
	if len(request.Result) > registrar.ResultBytes {
		request.Result = nil
		request.ResultOmitted = true
	}
	switch c.trySettle(ctx, request) {
	case encoder.SettleAccepted:
		return nil
	case encoder.SettleRefused:
		return ErrRefused
	default:
		c.settleInBackground(request)
		return ErrPending
	}
}

// trySettle calls the leader until it has answered or the context ends. It returns SettleUnknown if
// the context ends first.
func (c *Claimer) trySettle(ctx context.Context, q encoder.SettleRequest) encoder.SettleOutcome {
	var reply encoder.SettleReply
	isAnswered := c.callLeader(ctx, func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool) {
		var err error
		reply, err = c.keepers.Settle(ctx, address, q)
		return reply.Leader, err == nil && reply.Outcome != encoder.SettleUnknown
	})
	if !isAnswered {
		return encoder.SettleUnknown
	}
	return reply.Outcome
}

// attemptFunc calls the keeper at an address. It returns the keeper's hint to the leader, which may
// be invalid, and whether the reply is final.
type attemptFunc func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool)

// callLeader repeats an attempt at the presumed leader, or at the keeper that the last reply
// named, until a reply is final. It returns false if the context ends first.
func (c *Claimer) callLeader(ctx context.Context, try attemptFunc) bool {
	var hint netip.AddrPort
	for ctx.Err() == nil {
		address := hint
		if !address.IsValid() {
			address = c.leader()
		}
		hint = netip.AddrPort{}
		if address.IsValid() {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			next, isFinal := try(attempt, address)
			cancel()
			if isFinal {
				return true
			}
			if next != address {
				hint = next
			}
		}
		c.wait(ctx, retryInterval)
	}
	return false
}

// wait returns after a duration or when the context ends.
func (c *Claimer) wait(ctx context.Context, d time.Duration) {
	timer := c.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
