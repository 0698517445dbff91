// Package governor serves a keeper's clients: docks that poll, claim and settle, and
// operators that submit manifests and ask for the state. It passes changes to the
// agreement of the keepers and says that one is accepted only once it is committed.
package governor

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// advanceInterval is how often the directory is checked for silent members and
	// published. Draining servers wait for it at most once.
	advanceInterval = 100 * time.Millisecond
	// proposalTimeout bounds how long a proposal may wait for the quorum.
	proposalTimeout = 5 * time.Second
	// barrierTimeout bounds how long a report waits for the quorum.
	barrierTimeout = time.Second
)

var (
	// ErrNotLeader reports that the command was not proposed, since this keeper does not lead.
	ErrNotLeader = eris.New("not the leader")
	// ErrUnknown reports that the command may or may not be committed.
	ErrUnknown = eris.New("outcome unknown")
	// ErrClosed reports that the governor is closed.
	ErrClosed = eris.New("governor closed")
)

// ReplicatedLog is the replicated log.
type ReplicatedLog interface {
	// Propose commits a command and returns what the state machine answered. Its errors
	// wrap ErrNotLeader if the command will never be applied, and ErrUnknown if it may be.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this keeper, as leader, has applied all that was committed
	// before the call.
	Barrier(ctx context.Context) error
	// ReportGroup tells a keeper that holds nothing that its group exists, so that it does
	// not form another one.
	ReportGroup()
	// GroupStatus reports the present state. What CommitIndex covers is already applied to
	// the state machine.
	GroupStatus() GroupStatus
}

// GroupStatus is what a keeper knows of the group.
type GroupStatus struct {
	Self     encoder.KeeperMember
	Leader   encoder.KeeperMember
	IsLeader bool
	// IsVoter says whether this keeper, in its present incarnation, counts toward a majority.
	IsVoter      bool
	Term         uint64
	LastLogTerm  uint64
	LastLogIndex uint64
	CommitIndex  uint64
	// Voters are those of the newest membership in the log, committed or not.
	Voters []encoder.KeeperMember
	// Outgoing are the former voters while a change of the voters is not complete.
	Outgoing []encoder.KeeperMember
	// Pending is the largest manifest number in the log beyond CommitIndex.
	Pending uint64
}

// Parse returns the number of a configuration's text, or an error if the text is not valid.
type Parse func(text []byte) (number uint64, err error)

// Governor serves one keeper's clients.
type Governor struct {
	// Set at creation.
	clock      timekeeper.Clock
	agreement  ReplicatedLog
	registrar  *registrar.Registrar
	parse      Parse
	limits     registrar.Limits
	invariants checker.Hook
	work       chan func()
	closing    chan struct{}
	tasks      sync.WaitGroup
	closeOnce  sync.Once

	// Owned by the loop.
	publisher *publisher.Publisher
}

// Option configures a Governor.
type Option func(*Governor)

// WithLimits sets the bounds of the ledger.
func WithLimits(limits registrar.Limits) Option {
	return func(g *Governor) { g.limits = limits }
}

// WithInvariants sets the hook that is told of broken invariants.
func WithInvariants(hook checker.Hook) Option {
	return func(g *Governor) { g.invariants = hook }
}

// WithPublisher replaces the directory.
func WithPublisher(p *publisher.Publisher) Option {
	return func(g *Governor) { g.publisher = p }
}

// New starts a governor over the agreement and the state machine that it applies to.
func New(agreement ReplicatedLog, state *registrar.Registrar, parse Parse, clock timekeeper.Clock, options ...Option) *Governor {
	g := &Governor{
		clock:     clock,
		agreement: agreement,
		registrar: state,
		parse:     parse,
		limits:    registrar.DefaultLimits(),
		work:      make(chan func()),
		closing:   make(chan struct{}),
		publisher: publisher.New(),
	}
	for _, o := range options {
		o(g)
	}
	g.tasks.Add(1)
	go g.loop()
	return g
}

// Register adds the governor's handlers to a mux.
func (g *Governor) Register(mux *linker.Mux) {
	linker.Handle(mux, encoder.KindPoll, func(ctx context.Context, peer linker.Peer, q encoder.PollRequest) (encoder.PollReply, error) {
		return g.Poll(ctx, publisher.Dock{Name: peer.Host, Incarnation: peer.Incarnation}, q)
	})
	linker.Handle(mux, encoder.KindClaim, func(ctx context.Context, _ linker.Peer, q encoder.ClaimRequest) (encoder.ClaimReply, error) {
		return g.Claim(ctx, q)
	})
	linker.Handle(mux, encoder.KindSettle, func(ctx context.Context, _ linker.Peer, q encoder.SettleRequest) (encoder.SettleReply, error) {
		return g.Settle(ctx, q)
	})
	linker.Handle(mux, encoder.KindSubmit, func(ctx context.Context, _ linker.Peer, q encoder.SubmitRequest) (encoder.SubmitReply, error) {
		return g.Submit(ctx, q)
	})
	linker.Handle(mux, encoder.KindStatus, func(ctx context.Context, _ linker.Peer, _ encoder.StatusRequest) (encoder.StatusReply, error) {
		return g.Status(ctx)
	})
	linker.Handle(mux, encoder.KindQuarantine, func(ctx context.Context, peer linker.Peer, q encoder.QuarantineNotice) (encoder.QuarantineReply, error) {
		return g.ReportCrash(ctx, peer.Host, q)
	})
}

// Close ends the loop and waits for it.
func (g *Governor) Close() {
	g.closeOnce.Do(func() { close(g.closing) })
	g.tasks.Wait()
}

// loop owns the directory.
func (g *Governor) loop() {
	defer g.tasks.Done()
	ticker := g.clock.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.closing:
			return
		case f := <-g.work:
			f()
		case <-ticker.C:
			g.follow(g.agreement.GroupStatus())
			g.publisher.Advance(g.clock.Now())
		}
	}
}

// follow lets the directory begin or end with the leadership.
func (g *Governor) follow(s GroupStatus) {
	switch {
	case s.IsLeader && !g.publisher.IsLeading(s.Term):
		g.publisher.Lead(g.clock.Now(), s.Term)
	case !s.IsLeader:
		g.publisher.Resign()
	}
}

// inLoop runs a function in the loop and waits for its end.
func (g *Governor) inLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := func() {
		defer close(done)
		f()
	}
	select {
	case g.work <- run:
	case <-g.closing:
		return ErrClosed
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "waiting for the directory")
	}
	<-done
	return nil
}

// leaderHint returns where to ask instead of this keeper.
func (g *Governor) leaderHint() netip.AddrPort {
	s := g.agreement.GroupStatus()
	if s.IsLeader {
		return netip.AddrPort{}
	}
	return s.Leader.Address
}
