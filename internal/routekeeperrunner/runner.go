package routekeeperrunner

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/settingsreader"
)

// restartDelay is the delay before a keeper is started again.
const restartDelay = 500 * time.Millisecond

var (
	// errStorage reports that the keeper's storage failed. A restart may succeed later.
	errStorage = eris.New("storage failed")
	// errRemoved reports that another member has replaced this one in the group.
	errRemoved = eris.New("removed from the group")
	// errNotLeader rejects a request that only the leader may handle.
	errNotLeader = eris.New("this keeper does not lead")
	// errNoLeader is the readiness error of a keeper without a known leader.
	errNoLeader = eris.New("no leader is known")
)

// runner runs a keeper and restarts it after its storage has failed or it was removed from the
// group.
type runner struct {
	process  *launcher.Process
	settings settingsreader.RouteKeeper
	adapter  Adapter
	// known are the members that this keeper knew when it was removed from the group.
	known []replicator.Member
	// current is the running keeper, or nil between two runs.
	current atomic.Pointer[Keeper]
}

// Runner returns the function that runs a keeper with an adapter until its context ends.
func Runner(adapter Adapter) func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteKeeper) error {
	return func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteKeeper) error {
		r := &runner{process: p, settings: *settings, adapter: adapter}
		r.registerChecksAndMetrics()
		return r.run(ctx)
	}
}

// run runs the keeper and restarts it after recoverable errors. It returns the errors that a
// restart cannot fix.
func (r *runner) run(ctx context.Context) error {
	for {
		err := r.serve(ctx)
		if ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errRemoved) {
			// This member's state may be stale. It joins again as a learner and gets all state
			// from the leader.
			r.settings.MayForm = false
			err = journaler.Erase(memberFolder(&r.settings))
		}
		if err != nil && !errors.Is(err, errStorage) {
			return err
		}
		r.process.Log.Error().Err(err).Dur(recorder.FieldPause, restartDelay).Msg(recorder.EventKeeperRestarts)
		r.waitForRestart(ctx)
	}
}

// serve runs one keeper until the context ends, the keeper is removed or its storage fails.
func (r *runner) serve(ctx context.Context) error {
	k, err := start(r.process, &r.settings, r.known, r.adapter)
	if err != nil {
		return err
	}
	r.current.Store(k)
	defer r.current.Store(nil)
	select {
	case <-ctx.Done():
		return k.Close()
	case by := <-k.removed:
		r.known = knownMembers(by, k.replicator.Status())
		return errors.Join(errRemoved, k.Close())
	case <-k.replicator.Stopped():
		return errors.Join(errStorage, k.Close())
	}
}

// knownMembers returns the member that told a keeper of its removal, if there is one, and the voters
// that the keeper knows. Through them it finds the group again if its seeds have been replaced too.
func knownMembers(by replicator.Member, s replicator.Status) []replicator.Member {
	members := slices.Clone(s.Voters)
	if by.Address.IsValid() {
		members = append(members, by)
	}
	return members
}

// waitForRestart waits for restartDelay or until the context ends.
func (r *runner) waitForRestart(ctx context.Context) {
	timer := r.process.Clock.NewTimer(restartDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// registerChecksAndMetrics adds the keeper's readiness check and metrics to the operator's server.
func (r *runner) registerChecksAndMetrics() {
	r.process.Operator.AddCheck("leader", func() error {
		if r.status().Leader.Name == "" {
			return errNoLeader
		}
		return nil
	})
	m := r.process.Metrics
	m.Computed("keeper.term", measurer.Count, "Term of the keepers' agreement.", func() int64 { return int64(r.status().Term) })
	m.Computed("keeper.commit_index", measurer.Count, "Index of the last committed entry.", func() int64 { return int64(r.status().CommitIndex) })
	m.Computed("keeper.is_voter", measurer.Count, "1 if this keeper counts toward a majority.", func() int64 { return boolMetric(r.status().IsVoter) })
	m.Computed("keeper.is_leader", measurer.Count, "1 if this keeper leads.", func() int64 { return boolMetric(r.status().IsLeader) })
	m.Computed("keeper.voters", measurer.Count, "Voters of the group.", func() int64 { return int64(len(r.status().Voters)) })
	m.Computed("keeper.learners", measurer.Count, "Members that the leader teaches.", func() int64 { return int64(len(r.status().Learners)) })
	m.Computed("keeper.evacuated_domains", measurer.Count, "Evacuated failure domains.", r.evacuated)
	m.Computed("keeper.configuration", measurer.Count, "Number of the committed configuration.", r.number)
}

// status returns the replicator's status, or the zero value while no keeper runs.
func (r *runner) status() replicator.Status {
	if k := r.current.Load(); k != nil {
		return k.replicator.Status()
	}
	return replicator.Status{}
}

// evacuated returns the number of evacuated failure domains, or 0 if no keeper runs.
func (r *runner) evacuated() int64 {
	if k := r.current.Load(); k != nil {
		domains, _ := k.state.Evacuations()
		return int64(len(domains))
	}
	return 0
}

// number returns the number of the committed configuration, or 0 if there is none or no keeper
// runs.
func (r *runner) number() int64 {
	if k := r.current.Load(); k != nil {
		return int64(k.state.Manifest().Number)
	}
	return 0
}
