package replicator

import "banyandock.example/banyandock/internal/identifier"

// Engine lets randomized tests step a member without goroutines.
type Engine struct {
	engine *engine
	// pendingSnapshot is a snapshot that was started but is not yet written. It may be nil.
	pendingSnapshot *snapshotJob
}

// Outcome is the result of a proposal or barrier.
type Outcome struct {
	Value []byte
	Err   error
}

// OpenEngine loads a member's state and returns its engine.
func OpenEngine(settings Settings, machine StateMachine, storage Storage, transport Transport, changes ...Option) (*Engine, error) {
	g, err := newEngine(settings, newOptions(changes), machine, storage, transport, func(Status) {})
	if err != nil {
		return nil, err
	}
	e := &Engine{engine: g}
	g.launch = func(j *snapshotJob) { e.pendingSnapshot = j }
	return e, g.flush()
}

// Tick advances the time by one tick, after it has written a snapshot that was started before.
func (e *Engine) Tick() error {
	e.writeSnapshot()
	e.engine.core.tick()
	return e.engine.flush()
}

func (e *Engine) writeSnapshot() {
	if e.pendingSnapshot != nil {
		e.pendingSnapshot.run()
		e.pendingSnapshot = nil
	}
}

// Step handles a message. A snapshot of this member that is being written is finished before a
// snapshot from the leader is handled.
func (e *Engine) Step(message []byte) error {
	m, err := decodeMessage(message)
	if err != nil {
		return nil
	}
	if _, ok := m.payload.(snapshotChunk); ok {
		e.writeSnapshot()
	}
	e.engine.core.step(m)
	return e.engine.flush()
}

func (e *Engine) Propose(command []byte) (func() (Outcome, bool), error) {
	answers := make(chan result, 1)
	e.engine.propose(command, answers)
	return poll(answers), e.engine.flush()
}

func (e *Engine) Barrier() (func() (Outcome, bool), error) {
	answers := make(chan result, 1)
	e.engine.barrier([]chan<- result{answers})
	return poll(answers), e.engine.flush()
}

func poll(answers <-chan result) func() (Outcome, bool) {
	return func() (Outcome, bool) {
		select {
		case r := <-answers:
			return Outcome{Value: r.value, Err: r.err}, true
		default:
			return Outcome{}, false
		}
	}
}

func (e *Engine) Status() Status { return e.engine.core.status() }

// StartSnapshot performs the part of a snapshot that blocks the control goroutine.
func (e *Engine) StartSnapshot() error { return e.engine.startSnapshot() }

// CommittedConfiguration returns the newest committed configuration and the index of its entry.
func (e *Engine) CommittedConfiguration() (Configuration, uint64) {
	entry := e.engine.core.configurationEntry(e.engine.core.commit)
	return entry.configuration, entry.index
}

// ReportGroup forbids a member with an empty log to form a group.
func (e *Engine) ReportGroup() error {
	e.engine.core.recordGroupSeen()
	return e.engine.flush()
}

// Incarnation returns the member's incarnation.
func (e *Engine) Incarnation() identifier.Incarnation { return e.engine.core.self.Incarnation }

// DecodeMessage decodes a message and returns only the error.
func DecodeMessage(b []byte) error {
	_, err := decodeMessage(b)
	return err
}

// VoteRequest encodes a vote request of a candidate whose log is more up to date than any
// other.
func VoteRequest(from Member, to, group identifier.Incarnation, term uint64) ([]byte, error) {
	e := envelope{From: from, To: to, Group: group, Term: term}
	return encodeMessage(e, voteRequest{Last: Position{Index: 1 << 40, Term: term}})
}

// IsGrant reports whether a message grants a vote.
func IsGrant(message []byte) bool {
	m, err := decodeMessage(message)
	p, ok := m.payload.(voteReply)
	return err == nil && ok && p.Granted
}

// IsProbe reports whether a message is a probe, and IsPreVoteRequest whether it requests a pre-vote.
func IsProbe(message []byte) bool { return hasKind(message, payloadProbe) }

func IsPreVoteRequest(message []byte) bool { return hasKind(message, payloadPreVoteRequest) }

func hasKind(message []byte, kind payloadKind) bool {
	m, err := decodeMessage(message)
	return err == nil && m.Kind == kind
}

// EnterTerm makes the member enter a later term without voting in it.
func (e *Engine) EnterTerm(term uint64) error {
	if term > e.engine.core.state.Term {
		e.engine.core.becomeFollower(term)
	}
	return e.engine.flush()
}

// Group returns the incarnation of the member that formed the group, or zero.
func (e *Engine) Group() identifier.Incarnation { return e.engine.core.state.Group }
