// Package keeperrunner assembles and runs a keeper: storage, replicated log, state machine,
// directory, links and the operator's checks and metrics.
package keeperrunner

import (
	"context"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/tracer"
)

var (
	// ErrStorage reports that the keeper's storage failed and the keeper stopped.
	ErrStorage = eris.New("storage failed")
	// errNoLeader is the readiness error of a keeper without a known leader.
	errNoLeader = eris.New("no leader is known")
	// errNoVote is the readiness error of a learner, which still catches up with the leader.
	errNoVote = eris.New("this keeper does not hold everything yet and has no vote")
	// errVotersChange is the readiness error of a voter while the voters before it are needed too.
	errVotersChange = eris.New("a change of the voters is not complete")
)

// Keeper is a running keeper.
type Keeper struct {
	process    *launcher.Process
	state      *registrar.Registrar
	transport  *Transport
	replicator *replicator.Replicator
	governor   *governor.Governor
	server     *linker.Server
}

// Run runs a keeper until the context ends or its storage fails.
func Run(ctx context.Context, p *launcher.Process, settings *settingsreader.Keeper) error {
	k, err := start(p, settings)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return k.Close()
	case <-k.replicator.Stopped():
		return eris.Wrapf(ErrStorage, "%v", k.Close())
	}
}

// start opens the keeper's components in the order of their dependencies, the link address last.
func start(p *launcher.Process, settings *settingsreader.Keeper) (*Keeper, error) {
	invariants := checker.Hook(func(name, detail string) { p.Invariants.Check(false, name, tracer.F("detail", detail)) })
	k := &Keeper{process: p, state: registrar.New(invariants)}
	storage, err := journaler.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	k.transport = NewTransport(p.Self(), p.Clock)
	group := members(settings)
	k.replicator, err = replicator.Open(group, stateMachine{k.state, p.Events}, storage, k.transport,
		replicator.WithClock(p.Clock),
		replicator.WithCommandNumber(registrar.SubmittedNumber),
		replicator.WithEvents(k.recordEvent),
		replicator.WithMetrics(p.Metrics.Metrics()),
		replicator.WithInvariantFailure(func(v replicator.Violation) { invariants(v.Invariant.String(), v.Error()) }))
	if err != nil {
		k.transport.Close()
		return nil, err
	}
	k.governor = governor.New(ReplicatedLog{k.replicator}, k.state, manifestreader.Number, p.Clock,
		governor.WithInvariants(invariants),
		governor.WithPublisher(publisher.New(publisher.WithInvariants(invariants))))
	k.server, err = linker.Listen(settings.LinkAddress, p.Self(), k.mux(), p.Clock)
	if err != nil {
		k.governor.Close()
		_ = k.replicator.Close()
		k.transport.Close()
		return nil, err
	}
	k.registerChecksAndMetrics()
	return k, nil
}

// members returns the replicator's settings with the group from the settings file.
func members(settings *settingsreader.Keeper) replicator.Settings {
	group := replicator.Settings{Self: replicator.Member{Name: settings.Host, Address: settings.LinkAddress}}
	for _, m := range settings.Keepers {
		group.Initial = append(group.Initial, replicator.Member{Name: m.Name, Address: m.Address})
	}
	return group
}

// mux registers all handlers.
func (k *Keeper) mux() *linker.Mux {
	mux := linker.NewMux()
	k.governor.Register(mux)
	k.process.Events.Register(mux)
	k.transport.Register(mux, k.replicator)
	return mux
}

// registerChecksAndMetrics adds the keeper's readiness checks and metrics to the operator's server.
func (k *Keeper) registerChecksAndMetrics() {
	k.process.Operator.AddCheck("leader", k.checkLeader)
	k.process.Operator.AddCheck("vote", k.checkVote)
	m := k.process.Metrics
	m.Computed("keeper.term", measurer.Count, "Term of the keepers' agreement.", func() int64 { return int64(k.replicator.Status().Term) })
	m.Computed("keeper.commit_index", measurer.Count, "Index of the last committed entry.", func() int64 { return int64(k.replicator.Status().CommitIndex) })
	m.Computed("keeper.is_leader", measurer.Count, "1 if this keeper leads.", func() int64 { return boolMetric(k.replicator.Status().IsLeader) })
	m.Computed("keeper.manifest_number", measurer.Count, "Number of the committed manifest.", func() int64 { return int64(k.state.Manifest().Number) })
	m.Computed("keeper.ledger_entries", measurer.Count, "Entries of the at-most-once ledger.", func() int64 { return int64(k.state.Claims()) })
}

// checkLeader returns an error unless a leader is known.
func (k *Keeper) checkLeader() error {
	if k.replicator.Status().Leader.Name == "" {
		return errNoLeader
	}
	return nil
}

// checkVote returns an error unless this keeper counts toward a majority, and that of former voters is no
// longer needed.
func (k *Keeper) checkVote() error { return checkVoters(k.replicator.Status()) }

// checkVoters is checkVote for a status of the replicator. While the voters change, the loss of a further
// host can leave the group without a majority.
func checkVoters(s replicator.Status) error {
	switch {
	case !s.IsVoter:
		return errNoVote
	case len(s.Outgoing) > 0:
		return errVotersChange
	default:
		return nil
	}
}

// Close stops the components in the reverse order of their dependencies and waits for them.
func (k *Keeper) Close() error {
	err := k.server.Close()
	k.governor.Close()
	if closeErr := k.replicator.Close(); closeErr != nil {
		err = closeErr
	}
	k.transport.Close()
	return err
}

// boolMetric returns 1 for true and 0 for false.
func boolMetric(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
