package replicator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// queueSize bounds each of the queues of messages, proposals and barriers to the control
	// goroutine.
	queueSize = 4096
	// maxBatch bounds the inputs that share one sync.
	maxBatch = 1024
	// MaxCommandBytes bounds the size of one command in bytes, so that it fits into one message
	// between members.
	MaxCommandBytes = 8 << 20
	// maxBatchBytes bounds the total size in bytes of the commands that share one sync.
	maxBatchBytes = 1 << 20
)

// proposal is a command that is queued for the control goroutine.
type proposal struct {
	command []byte
	answers chan<- result
}

// Replicator is a running member of the group. One goroutine, the control goroutine, owns all
// consensus state.
type Replicator struct {
	// Set at creation.
	options      *options
	settings     Settings
	storage      Storage
	messages     chan received
	proposals    chan proposal
	barriers     chan chan<- result
	groupReports chan struct{}
	stop         chan struct{}
	stopped      chan struct{}
	closeOnce    sync.Once

	// Written by the control goroutine.
	engine *engine
	err    error
	// tickedUntil is the time up to which elapsed time has been converted to ticks.
	tickedUntil time.Time

	// Written by the control goroutine, read by any goroutine.
	status atomic.Pointer[Status]
}

// Open loads a member's state from its storage and starts the member. The replicator then owns
// the storage and closes it, also if Open fails.
func Open(settings Settings, machine StateMachine, storage Storage, transport Transport, opts ...Option) (*Replicator, error) {
	r := &Replicator{
		options:      newOptions(opts),
		settings:     settings.withDefaults(),
		storage:      storage,
		messages:     make(chan received, queueSize),
		proposals:    make(chan proposal, queueSize),
		barriers:     make(chan chan<- result, queueSize),
		groupReports: make(chan struct{}, 1),
		stop:         make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	g, err := newEngine(r.settings, r.options, machine, storage, transport, r.publish)
	if err != nil {
		_ = storage.Close()
		return nil, err
	}
	g.launch = r.launch
	r.engine = g
	go r.run()
	return r, nil
}

// launch runs a job concurrently with the control goroutine, which waits for the job before it
// exits.
func (r *Replicator) launch(j *snapshotJob) { go j.run() }

// publish makes a status available to Status.
func (r *Replicator) publish(s Status) { r.status.Store(&s) }

// Status returns the member's state after its latest step.
func (r *Replicator) Status() Status { return *r.status.Load() }

// Deliver queues a message that the transport received. It drops and counts messages that
// cannot be decoded or that find the queue full.
func (r *Replicator) Deliver(message []byte) {
	m, err := decodeMessage(message)
	if err != nil {
		r.options.malformed.Inc(1)
		return
	}
	select {
	case r.messages <- m:
	default:
		r.options.overflow.Inc(1)
	}
}

// Propose appends a command to the replicated log, waits until it is applied and returns the
// state machine's result. It fails with ErrNotLeader or ErrTooLarge if nothing was done. All
// other errors, including those for a context that ends first, match ErrUnknown: the command
// may or may not be committed. The caller must not modify the command afterwards.
func (r *Replicator) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", len(command))
	}
	answers := make(chan result, 1)
	select {
	case r.proposals <- proposal{command: command, answers: answers}:
	case <-r.stopped:
		return nil, &NotLeaderError{}
	case <-ctx.Done():
		return nil, &unknownError{cause: ctx.Err()}
	}
	return r.awaitResult(ctx, answers)
}

// Barrier waits until this member has confirmed with a quorum that it still leads, and has
// applied all entries that were committed when Barrier was called. State that is read
// afterwards is at least as new as any acknowledged proposal.
func (r *Replicator) Barrier(ctx context.Context) error {
	answers := make(chan result, 1)
	select {
	case r.barriers <- answers:
	case <-r.stopped:
		return ErrClosed
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "barrier")
	}
	_, err := r.awaitResult(ctx, answers)
	return err
}

// awaitResult waits for a result.
func (r *Replicator) awaitResult(ctx context.Context, answers <-chan result) ([]byte, error) {
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		return nil, &unknownError{cause: ctx.Err()}
	case <-r.stopped:
	}
	select {
	case a := <-answers:
		return a.value, a.err
	default:
		return nil, &unknownError{cause: ErrClosed}
	}
}

// ReportGroup informs a member that a group exists or existed, according to the docks. A member
// with an empty log then never forms a new group and waits for a leader to replicate to it.
func (r *Replicator) ReportGroup() {
	select {
	case r.groupReports <- struct{}{}:
	default:
	}
}

// Stopped returns a channel that is closed when the replicator has stopped, because of Close or
// because storage failed.
func (r *Replicator) Stopped() <-chan struct{} { return r.stopped }

// Close stops the member, waits until it has stopped and closes the storage.
func (r *Replicator) Close() error {
	r.closeOnce.Do(func() { close(r.stop) })
	<-r.stopped
	return r.err
}

// run is the control goroutine. It runs until Close is called or storage fails.
func (r *Replicator) run() {
	defer close(r.stopped)
	ticker := r.options.clock.NewTicker(r.settings.Tick)
	defer ticker.Stop()
	r.tickedUntil = r.options.clock.Now()
	err := r.engine.flush()
	for err == nil {
		select {
		case <-r.stop:
			r.shutDown(nil)
			return
		case <-ticker.C:
			r.advanceTicks()
		case m := <-r.messages:
			r.engine.core.step(m)
		case p := <-r.proposals:
			r.engine.propose(p.command, p.answers)
			r.drainProposals(len(p.command))
		case b := <-r.barriers:
			r.drainBarriers(b)
		case <-r.groupReports:
			r.engine.core.recordGroupSeen()
		}
		r.drainMessages()
		err = r.engine.flush()
	}
	r.options.onEvent(Event{Kind: EventStorageFailed, Term: r.engine.core.state.Term, Detail: err.Error()})
	r.shutDown(err)
}

// advanceTicks performs the ticks that have elapsed since the last call. There are many of them
// after the process was paused or storage was slow: a leader must then step down, because
// another leader may have been elected. Queued messages are handled first, so that they count
// as received before these ticks.
func (r *Replicator) advanceTicks() {
	r.drainMessages()
	now := r.options.clock.Now()
	passed := int(now.Sub(r.tickedUntil) / r.settings.Tick)
	r.tickedUntil = r.tickedUntil.Add(time.Duration(passed) * r.settings.Tick)
	for range min(passed, r.settings.ElectionTicks+r.settings.HeartbeatTicks) {
		r.engine.core.tick()
	}
}

// drainProposals handles all queued proposals, so that they share one sync. size is the size in
// bytes of the commands already handled.
func (r *Replicator) drainProposals(size int) {
	for range maxBatch {
		if size > maxBatchBytes {
			return
		}
		select {
		case p := <-r.proposals:
			size += len(p.command)
			r.engine.propose(p.command, p.answers)
		default:
			return
		}
	}
}

// drainBarriers handles first and all queued barriers, so that they share one round.
func (r *Replicator) drainBarriers(first chan<- result) {
	callers := []chan<- result{first}
	for range maxBatch {
		select {
		case b := <-r.barriers:
			callers = append(callers, b)
			continue
		default:
		}
		break
	}
	r.engine.barrier(callers)
}

// drainMessages handles all queued messages, so that they share one sync.
func (r *Replicator) drainMessages() {
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.engine.core.step(m)
		default:
			return
		}
	}
}

// shutDown fails all pending calls and closes the storage.
func (r *Replicator) shutDown(err error) {
	r.engine.stop()
	r.engine.awaitSnapshot()
	closeErr := r.storage.Close()
	if err == nil && closeErr != nil {
		err = eris.Wrap(closeErr, "close storage")
	}
	r.err = err
	s := r.Status()
	s.IsLeader = false
	s.IsVoter = false
	r.publish(s)
}
