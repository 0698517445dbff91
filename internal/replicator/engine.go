package replicator

import (
	"github.com/rotisserie/eris"
)

// result is the outcome of a proposal or a barrier.
type result struct {
	value []byte
	err   error
}

// waiter is a pending call of Propose whose entry is in the log, or a pending call of Barrier.
type waiter struct {
	// answers is buffered for the one result, so that sending to it never blocks.
	answers chan<- result
	// position is the position of a proposal's entry. For a barrier it holds only the term.
	position Position
	// round must be confirmed and index must be applied before a barrier returns.
	round uint64
	index uint64
}

// engine performs the output of the core: it persists state before it sends messages, and sends
// messages before it applies entries. It is not safe for concurrent use.
type engine struct {
	// Set at creation.
	core      *core
	storage   Storage
	machine   StateMachine
	transport Transport
	publish   func(Status)

	// launch runs a snapshot job, either before it returns or in a separate goroutine.
	launch func(*snapshotJob)

	// job is the snapshot that is being written, or nil.
	job *snapshotJob
	// proposals are ordered by index.
	proposals []waiter
	barriers  []waiter
}

// newEngine loads the stored state and restores the state machine from the stored snapshot.
func newEngine(settings Settings, o *options, machine StateMachine, storage Storage, transport Transport, publish func(Status)) (*engine, error) {
	settings = settings.withDefaults()
	if err := settings.validate(); err != nil {
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

// restoreStored restores the state machine from the stored snapshot, if there is one.
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

// propose appends a command if this member is the leader, and fails the call otherwise.
func (g *engine) propose(command []byte, answers chan<- result) {
	if g.core.role != leader {
		answers <- result{err: &NotLeaderError{Leader: g.core.leader}}
		return
	}
	g.proposals = append(g.proposals, waiter{answers: answers, position: g.core.propose(command)})
}

// barrier starts a linearizable read for a batch of callers if this member is the leader, and
// fails the calls otherwise.
func (g *engine) barrier(callers []chan<- result) {
	if g.core.role != leader {
		for _, answers := range callers {
			answers <- result{err: &NotLeaderError{Leader: g.core.leader}}
		}
		return
	}
	round, index := g.core.startRead()
	for _, answers := range callers {
		g.barriers = append(g.barriers, waiter{answers: answers, position: Position{Term: g.core.state.Term}, round: round, index: index})
	}
}

// flush performs the core's output until there is none. After an error the engine must not be
// used, because the contents of the storage are then unknown.
func (g *engine) flush() error {
	if err := g.finishSnapshot(); err != nil {
		return err
	}
	for {
		out := g.core.takeOutput()
		if out.isEmpty() && g.core.commit == g.core.history.applied {
			break
		}
		if err := g.execute(out); err != nil {
			return err
		}
	}
	g.publish(g.core.status())
	g.answerBarriers()
	g.failStaleWaiters()
	return nil
}

// execute performs one output in the order of its fields.
func (g *engine) execute(out output) error {
	if out.state != nil {
		if err := g.storage.SaveState(*out.state); err != nil {
			return eris.Wrap(err, "save state")
		}
	}
	g.send(out.immediate)
	if out.snapshot != nil {
		if err := g.installSnapshot(*out.snapshot); err != nil {
			return err
		}
	} else if len(out.entries) > 0 {
		if err := g.storage.Append(out.entries); err != nil {
			return eris.Wrap(err, "append to log")
		}
	}
	g.core.markPersisted()
	// The status is published before any acknowledgment is sent, so that a caller that reads
	// the status of a majority after a commit finds the entry.
	g.publish(g.core.status())
	g.send(out.afterSync)
	return g.apply()
}

// send passes messages to the transport.
func (g *engine) send(messages []outgoingMessage) {
	for _, m := range messages {
		g.transport.Send(m.to, m.message)
	}
}

// apply applies the entries that are committed and synced, and starts a snapshot if the log is
// too long.
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

// applyEntry applies one entry and returns the result to its proposer.
func (g *engine) applyEntry(e Entry) {
	c := g.core
	c.ensure(e.Index == c.history.applied+1, InvariantAppliedInOrder, "index %d after %d", e.Index, c.history.applied)
	c.ensure(e.Index <= c.log.stable, InvariantSyncedFirst, "index %d, synced up to %d", e.Index, c.log.stable)
	c.history.add(e)
	var value []byte
	if e.Kind == EntryCommand {
		value = g.machine.Apply(e.Index, e.Data)
	}
	for len(g.proposals) > 0 && g.proposals[0].position.Index <= e.Index {
		w := g.proposals[0]
		g.proposals = g.proposals[1:]
		if w.position == (Position{Index: e.Index, Term: e.Term}) {
			w.answers <- result{value: value}
		} else {
			w.answers <- result{err: ErrUnknown}
		}
	}
}

// answerBarriers completes the barriers whose round is confirmed and whose index is applied.
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

// isConfirmed reports whether a barrier's leadership is confirmed and its index is applied.
func (g *engine) isConfirmed(w waiter) bool {
	c := g.core
	if c.role != leader || w.position.Term != c.state.Term {
		return false
	}
	return w.round <= c.confirmedRound && w.index <= c.history.applied
}

// failStaleWaiters fails the calls that wait for a leadership that has ended. A later leader
// may still commit their entries.
func (g *engine) failStaleWaiters() {
	c := g.core
	g.proposals = g.failStale(g.proposals, ErrUnknown)
	g.barriers = g.failStale(g.barriers, &NotLeaderError{Leader: c.leader})
}

// failStale fails the waiters of any leadership but the current one and returns the others.
func (g *engine) failStale(waiters []waiter, err error) []waiter {
	c := g.core
	waiting := waiters[:0]
	for _, w := range waiters {
		if c.role == leader && w.position.Term == c.state.Term {
			waiting = append(waiting, w)
			continue
		}
		w.answers <- result{err: err}
	}
	return waiting
}

// stop fails all pending calls.
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
