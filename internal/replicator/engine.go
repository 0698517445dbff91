package replicator

import (
	"github.com/rotisserie/eris"
)

// result is the outcome of a proposal or a barrier.
type result struct {
	value []byte
	err   error
}

// waiter is a proposal whose entry is in the log, or a barrier.
type waiter struct {
	// answers has room for the one result.
	answers chan<- result
	// at is the entry of a proposal. Of a barrier it holds only the term.
	at Position
	// round and index are what a barrier waits for.
	round uint64
	index uint64
}

// engine carries out what the core decides: it persists before it sends, and sends before
// it applies. It is not safe for concurrent use.
type engine struct {
	// Set at creation.
	core      *core
	storage   Storage
	machine   StateMachine
	transport Transport
	publish   func(Status)

	// launch runs a job, at once or in a goroutine of its own.
	launch func(*snapshotJob)

	// job is the snapshot that is being written, if any.
	job *snapshotJob
	// proposals are in the order of their indexes.
	proposals []waiter
	barriers  []waiter
}

// newEngine loads what storage holds and restores the state machine's snapshot.
func newEngine(settings Settings, o *options, machine StateMachine, storage Storage, transport Transport, publish func(Status)) (*engine, error) {
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, err
	}
	stored, err := storage.Load()
	if err != nil {
		return nil, eris.Wrap(err, "load data folder")
	}
	g := &engine{storage: storage, machine: machine, transport: transport, publish: publish}
	g.core = newCore(settings, o, stored, storage.ReadSnapshot)
	if err := g.restoreStored(stored.Snapshot); err != nil {
		return nil, err
	}
	g.publish(g.core.status())
	if stored.State.Removed {
		g.core.emit(EventRemoved, Member{})
	}
	return g, nil
}

// restoreStored restores the snapshot that storage held.
func (g *engine) restoreStored(h SnapshotHeader) error {
	if h.Last.Index == 0 {
		return nil
	}
	state, err := g.storage.ReadSnapshot(0, int(h.Size))
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	return g.restore(state)
}

// restore replaces the state machine's state.
func (g *engine) restore(state []byte) error {
	if err := g.machine.Restore(state); err != nil {
		return eris.Wrap(err, "restore snapshot")
	}
	return nil
}

// propose appends a command if this member leads.
func (g *engine) propose(command []byte, answers chan<- result) {
	if g.core.role != leader {
		answers <- result{err: &NotLeaderError{Leader: g.core.leader}}
		return
	}
	g.proposals = append(g.proposals, waiter{answers: answers, at: g.core.propose(command)})
}

// barrier starts a linearizable read for a batch of callers if this member leads.
func (g *engine) barrier(callers []chan<- result) {
	if g.core.role != leader {
		for _, answers := range callers {
			answers <- result{err: &NotLeaderError{Leader: g.core.leader}}
		}
		return
	}
	round, index := g.core.startRead()
	for _, answers := range callers {
		g.barriers = append(g.barriers, waiter{answers: answers, at: Position{Term: g.core.state.Term}, round: round, index: index})
	}
}

// flush carries out the core's output until there is none. An error is final: what storage
// holds is then unknown.
func (g *engine) flush() error {
	if err := g.finishSnapshot(); err != nil {
		return err
	}
	for {
		out := g.core.takeOutput()
		if out.isEmpty() && g.core.commit == g.core.history.applied {
			break
		}
		if err := g.carryOut(out); err != nil {
			return err
		}
	}
	g.publish(g.core.status())
	g.answerBarriers()
	g.failLost()
	return nil
}

// carryOut does one output in its order.
func (g *engine) carryOut(out output) error {
	if out.state != nil {
		if err := g.storage.SaveState(*out.state); err != nil {
			return eris.Wrap(err, "save state")
		}
	}
	g.send(out.prompt)
	if out.snapshot != nil {
		if err := g.installSnapshot(*out.snapshot); err != nil {
			return err
		}
	} else if len(out.entries) > 0 {
		if err := g.storage.Append(out.entries); err != nil {
			return eris.Wrap(err, "append to log")
		}
	}
	g.core.persisted()
	// The status is published before any acknowledgement leaves: who reads the status of a
	// majority after a commit must find the entry.
	g.publish(g.core.status())
	g.send(out.synced)
	return g.apply()
}

// send hands messages to the transport.
func (g *engine) send(messages []outgoing) {
	for _, m := range messages {
		g.transport.Send(m.to, m.message)
	}
}

// apply applies what is committed and synced, and takes a snapshot if the log is long.
func (g *engine) apply() error {
	c := g.core
	for c.history.applied < min(c.commit, c.log.stable) {
		g.applyEntry(c.log.entry(c.history.applied + 1))
	}
	if g.job != nil || !c.needsSnapshot() {
		return nil
	}
	return g.startSnapshot()
}

// applyEntry applies one entry and answers its proposer.
func (g *engine) applyEntry(e Entry) {
	c := g.core
	c.ensure(e.Index == c.history.applied+1, InvariantAppliedInOrder, "index %d after %d", e.Index, c.history.applied)
	c.ensure(e.Index <= c.log.stable, InvariantSyncedFirst, "index %d, synced up to %d", e.Index, c.log.stable)
	c.history.add(e)
	var value []byte
	if e.Kind == EntryCommand {
		value = g.machine.Apply(e.Index, e.Data)
	}
	for len(g.proposals) > 0 && g.proposals[0].at.Index <= e.Index {
		w := g.proposals[0]
		g.proposals = g.proposals[1:]
		if w.at == (Position{Index: e.Index, Term: e.Term}) {
			w.answers <- result{value: value}
		} else {
			w.answers <- result{err: ErrUnknown}
		}
	}
}

// answerBarriers answers the reads whose round is confirmed and whose index is applied.
func (g *engine) answerBarriers() {
	waiting := g.barriers[:0]
	for _, w := range g.barriers {
		if g.isConfirmed(w) {
			w.answers <- result{}
			continue
		}
		waiting = append(waiting, w)
	}
	g.barriers = waiting
}

// isConfirmed tells whether a barrier's leadership was confirmed and its index is applied.
func (g *engine) isConfirmed(w waiter) bool {
	c := g.core
	if c.role != leader || w.at.Term != c.state.Term {
		return false
	}
	return w.round <= c.confirmedRound && w.index <= c.history.applied
}

// failLost answers those who wait for a leadership that is over. Their entries may still
// be committed by a later leader.
func (g *engine) failLost() {
	c := g.core
	g.proposals = g.failOld(g.proposals, ErrUnknown)
	g.barriers = g.failOld(g.barriers, &NotLeaderError{Leader: c.leader})
}

// failOld answers those of another leadership than the present one and keeps the others.
func (g *engine) failOld(waiters []waiter, err error) []waiter {
	c := g.core
	waiting := waiters[:0]
	for _, w := range waiters {
		if c.role == leader && w.at.Term == c.state.Term {
			waiting = append(waiting, w)
			continue
		}
		w.answers <- result{err: err}
	}
	return waiting
}

// stop answers all who wait.
func (g *engine) stop() {
	for _, w := range g.proposals {
		w.answers <- result{err: &unknownError{cause: ErrClosed}}
	}
	for _, w := range g.barriers {
		w.answers <- result{err: ErrClosed}
	}
	g.proposals = nil
	g.barriers = nil
}
