// Package governor handles the requests of a keeper's clients: docks poll, claim and settle, and
// operators submit manifests and read the status. It proposes changes to the keepers' replicated
// log and reports a change as accepted only after it is committed.
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
	// advanceInterval is how often the directory removes silent members and publishes a new view.
	// A draining server is published after at most one interval.
	advanceInterval = 100 * time.Millisecond
	// proposalTimeout is the longest time that a proposal waits for the quorum.
	proposalTimeout = 5 * time.Second
	// barrierTimeout is the longest time that a status request waits for the quorum.
	barrierTimeout = time.Second
)

var (
	// ErrNotLeader is returned when a command was not proposed because this keeper is not the
	// leader.
	ErrNotLeader = eris.New("not the leader")
	// ErrUnknown is returned when a command may or may not be committed.
	ErrUnknown = eris.New("outcome unknown")
	// ErrClosed is returned when the governor is closed.
	ErrClosed = eris.New("governor closed")
)

// ReplicatedLog is the log that the keepers replicate.
type ReplicatedLog interface {
	// Propose commits a command and returns the result of the state machine. Its error wraps
	// ErrNotLeader if the command will never be applied, and ErrUnknown if it may be applied.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns when this keeper, as leader, has applied every entry that was committed
	// before the call.
	Barrier(ctx context.Context) error
	// ReportGroup records that a group already exists. It is called while this keeper has no
	// voters, so that it does not form another group.
	ReportGroup()
	// GroupStatus returns the current state. All entries up to its CommitIndex are already
	// applied to the state machine.
	GroupStatus() GroupStatus
}

// GroupStatus is a keeper's view of the replication group.
type GroupStatus struct {
	Self     encoder.KeeperMember
	Leader   encoder.KeeperMember
	IsLeader bool
	// IsVoter reports whether this keeper, in its current incarnation, counts toward a majority.
	IsVoter      bool
	Term         uint64
	LastLogTerm  uint64
	LastLogIndex uint64
	CommitIndex  uint64
	// Voters are the voters of the newest membership in the log, which may be uncommitted.
	Voters []encoder.KeeperMember
	// Outgoing are the voters of the previous membership until a membership change is complete.
	Outgoing []encoder.KeeperMember
	// Pending is the largest manifest number in the log after CommitIndex. Zero means none.
	Pending uint64
}

// Parse returns the number in the text of a configuration, or an error if the text is invalid.
type Parse func(text []byte) (number uint64, err error)

// Governor handles the requests of one keeper's clients. It is safe for concurrent use.
type Governor struct {
	// Set at creation.
	clock         timekeeper.Clock
	replicatedLog ReplicatedLog
	registrar     *registrar.Registrar
	parse         Parse
	limits        registrar.Limits
	invariants    checker.Hook
	work          chan func()
	closing       chan struct{}
	tasks         sync.WaitGroup
	closeOnce     sync.Once

	// Used only by the loop. The publisher keeps the directory of docks and servers.
	publisher *publisher.Publisher
}

// Option configures a Governor.
type Option func(*Governor)

// WithLimits sets the limits of the ledger.
func WithLimits(limits registrar.Limits) Option {
	return func(g *Governor) { g.limits = limits }
}

// WithInvariants sets the hook that is called for each broken invariant. A nil hook panics.
func WithInvariants(hook checker.Hook) Option {
	return func(g *Governor) { g.invariants = hook }
}

// WithPublisher replaces the publisher, which keeps the directory of docks and servers.
func WithPublisher(p *publisher.Publisher) Option {
	return func(g *Governor) { g.publisher = p }
}

// New starts a governor. The replicated log must apply its commands to state. The caller must call
// Close.
func New(replicatedLog ReplicatedLog, state *registrar.Registrar, parse Parse, clock timekeeper.Clock, options ...Option) *Governor {
	g := &Governor{
		clock:         clock,
		replicatedLog: replicatedLog,
		registrar:     state,
		parse:         parse,
		limits:        registrar.DefaultLimits(),
		work:          make(chan func()),
		closing:       make(chan struct{}),
		publisher:     publisher.New(),
	}
	for _, o := range options {
		o(g)
	}
	g.tasks.Add(1)
	go g.loop()
	return g
}

// Register registers the governor's handlers with a mux.
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

// Close stops the loop and waits until it has ended.
func (g *Governor) Close() {
	g.closeOnce.Do(func() { close(g.closing) })
	g.tasks.Wait()
}

// loop runs all operations on the directory one at a time, until the governor is closed.
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
			g.updateLeadership(g.replicatedLog.GroupStatus())
			g.publisher.Advance(g.clock.Now())
		}
	}
}

// updateLeadership activates the directory when this keeper has become the leader of a new term and
// deactivates it when this keeper is not the leader.
func (g *Governor) updateLeadership(s GroupStatus) {
	switch {
	case s.IsLeader && !g.publisher.IsLeading(s.Term):
		g.publisher.Lead(g.clock.Now(), s.Term)
	case !s.IsLeader:
		g.publisher.Resign()
	}
}

// runInLoop runs a function in the loop and waits until it returns. It returns ErrClosed if the
// governor is closed and the context's error if the context ends before the function starts.
func (g *Governor) runInLoop(ctx context.Context, f func()) error {
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

// leaderHint returns the leader's address. It is invalid if this keeper is the leader or the leader
// is unknown.
func (g *Governor) leaderHint() netip.AddrPort {
	s := g.replicatedLog.GroupStatus()
	if s.IsLeader {
		return netip.AddrPort{}
	}
	return s.Leader.Address
}
