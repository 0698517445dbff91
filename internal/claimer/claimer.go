// Package claimer is a dock's side of the at-most-once ledger: it claims the key of a
// request before anything is dispatched and records what became of it.
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
	// attemptTimeout bounds one question to a keeper. A repeated question gets the same
	// answer, so a lost one costs no more than this.
	attemptTimeout = time.Second
	// retryInterval is the time between questions while no leader is known or has a quorum.
	retryInterval = 50 * time.Millisecond
	// settleInterval is the time between rounds of what could not be settled at once.
	settleInterval = 500 * time.Millisecond
	// backlogEntries bounds what waits to be settled.
	backlogEntries = 10_000
)

var (
	// ErrNoQuorum reports that the keepers did not answer in time. Nothing may be dispatched.
	ErrNoQuorum = eris.New("no answer from the keepers")
	// ErrPending reports that an outcome is not recorded yet. It is tried again in the
	// background; until then a resend is told that the key is held.
	ErrPending = eris.New("outcome not recorded yet")
	// ErrRefused reports that the ledger does not take the outcome, since the request does
	// not hold the key.
	ErrRefused = eris.New("outcome refused by the ledger")
)

// KeeperClient carries questions to the keeper at an address.
type KeeperClient interface {
	Claim(ctx context.Context, address netip.AddrPort, request encoder.ClaimRequest) (encoder.ClaimReply, error)
	Settle(ctx context.Context, address netip.AddrPort, request encoder.SettleRequest) (encoder.SettleReply, error)
}

// LinkClient asks keepers over links.
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

	// Guarded by mutex. backlog holds what is still to be settled, oldest first.
	mutex   sync.Mutex
	backlog []encoder.SettleRequest
	// settling is 1 while an outcome taken from the backlog is being settled.
	settling int
}

// New returns a claimer that asks the keeper which leader names.
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

// Close ends the background work. What is not settled yet stays held, and so in doubt.
func (c *Claimer) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Claim asks for the sole right to dispatch a request. Only ClaimGranted permits it, and
// only once. The error is ErrNoQuorum if the context ends before the keepers answered; a
// grant that may have been made is then released in the background.
func (c *Claimer) Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error) {
	if _, ok := registrar.KeyTime(request.Key); !ok {
		return encoder.ClaimReply{Outcome: encoder.ClaimUndated}, nil
	}
	var reply encoder.ClaimReply
	isAnswered := c.ask(ctx, func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool) {
		var err error
		reply, err = c.keepers.Claim(ctx, address, request)
		return reply.Leader, err == nil && reply.Outcome != encoder.ClaimNoQuorum
	})
	if isAnswered {
		return reply, nil
	}
	c.settleLater(encoder.SettleRequest{
		Caller:   request.Caller,
		Key:      request.Key,
		Holder:   request.Holder,
		Request:  request.Request,
		Released: true,
	})
	return encoder.ClaimReply{Outcome: encoder.ClaimNoQuorum}, ErrNoQuorum
}

// Settle records an outcome. If the context ends first the error is ErrPending, and the
// outcome is recorded in the background.
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
		c.settleLater(request)
		return ErrPending
	}
}

// trySettle asks until an answer or the end of the context.
func (c *Claimer) trySettle(ctx context.Context, q encoder.SettleRequest) encoder.SettleOutcome {
	var reply encoder.SettleReply
	isAnswered := c.ask(ctx, func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool) {
		var err error
		reply, err = c.keepers.Settle(ctx, address, q)
		return reply.Leader, err == nil && reply.Outcome != encoder.SettleUnknown
	})
	if !isAnswered {
		return encoder.SettleUnknown
	}
	return reply.Outcome
}

// question asks the keeper at an address. It returns where to ask instead, if anywhere,
// and whether the answer is final.
type question func(ctx context.Context, address netip.AddrPort) (netip.AddrPort, bool)

// ask repeats a question until the answer is final. It returns false if the context ends
// first.
func (c *Claimer) ask(ctx context.Context, q question) bool {
	var hint netip.AddrPort
	for ctx.Err() == nil {
		address := hint
		if !address.IsValid() {
			address = c.leader()
		}
		hint = netip.AddrPort{}
		if address.IsValid() {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			next, isFinal := q(attempt, address)
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

// wait returns after the duration or at the context's end.
func (c *Claimer) wait(ctx context.Context, d time.Duration) {
	timer := c.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
