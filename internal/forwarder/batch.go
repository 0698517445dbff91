package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// abandonTimeout is how long an owner keeps a query after a reply if the delegating dock does not
	// request more parts.
	abandonTimeout = time.Second
	// deliveryDivisor is the part of a query's time that an owner leaves for its last reply, at least
	// linkRoundTrip and at most timeoutMargin.
	deliveryDivisor = 10
)

var (
	// errStopping is returned when this dock no longer accepts requests of other docks.
	errStopping = eris.New("the dock is stopping")
	// errUnknownQuery is returned when more parts are requested of a query that has ended.
	errUnknownQuery = eris.New("the query is not known")
)

// batchKey identifies a query of another dock. A query's number is unique only per dock process.
type batchKey struct {
	dock  identifier.Incarnation
	query uint64
}

// batch gathers the parts of some shards for another dock, the delegating dock. The query's
// goroutine adds parts, and the handlers of the delegating dock's messages return them.
type batch struct {
	// Set at creation.
	query *query
	// hold accounts for the memory of the parts, and message for that of the message with the request.
	hold    *reserver.Hold
	message *reserver.Hold
	index   map[identifier.ServiceName]int
	// progressAt is when a reply is due even without new parts, so that the delegating dock can
	// see that this one is working. It is zero without a latency target.
	progressAt time.Time
	// giveUpAt is when the last reply is sent, so that it arrives before the delegating dock gives its query up.
	giveUpAt time.Time
	// changed wakes a waiting handler.
	changed chan struct{}
	// delivered is closed when a handler takes the last parts.
	delivered chan struct{}

	// Guarded by mutex.
	mutex      sync.Mutex
	topRecords topRecords
	// parts are the parts since the last reply, and sentCount is the number of those before.
	parts     []encoder.GatherPart
	sentCount int
	// isReplyDue is set if the parts so far must be returned at once.
	isReplyDue      bool
	isDone          bool
	isDelivered     bool
	waitingHandlers int
	// lastReplyAt is the time of the last reply, or zero before the first.
	lastReplyAt time.Time
}

// Gather handles another dock's request for parts. It returns as soon as all shards are done, a
// shard needs the permission to run once more, or a reply is due at a set time. It returns
// errStopping if this dock no longer accepts requests of other docks.
func (f *Forwarder) Gather(ctx context.Context, dock identifier.Incarnation, r encoder.GatherRequest) (encoder.GatherReply, error) {
	if f.IsDetached() {
		return encoder.GatherReply{}, errDetached
	}
	b := f.newBatch(r)
	key := batchKey{dock: dock, query: r.Query}
	if !f.addBatch(key, b) {
		b.query.cancel()
		b.hold.Close()
		return encoder.GatherReply{}, errStopping
	}
	// The request is held until the batch ends, also if the delegating dock no longer waits for a reply.
	b.message = reserver.HoldOf(ctx).Move()
	b.query.body.source = b.message
	go b.run(key)
	return b.awaitReply(ctx), nil
}

// More handles another dock's request for more parts of a query, and permits the query's jobs to
// run more than once. It returns errUnknownQuery if the query has ended.
func (f *Forwarder) More(ctx context.Context, dock identifier.Incarnation, r encoder.MoreRequest) (encoder.GatherReply, error) {
	f.mutex.Lock()
	b := f.batches[batchKey{dock: dock, query: r.Query}]
	f.mutex.Unlock()
	if b == nil {
		return encoder.GatherReply{}, errUnknownQuery
	}
	select {
	case b.query.repeatPermit <- struct{}{}:
	default:
	}
	return b.awaitReply(ctx), nil
}

// addBatch registers a batch. It returns false if the dock is stopping.
func (f *Forwarder) addBatch(key batchKey, b *batch) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isStopping {
		return false
	}
	f.batches[key] = b
	f.tasks.Add(1)
	return true
}

// StopGathering refuses further requests of other docks and waits until those in progress have
// ended or the context is cancelled.
func (f *Forwarder) StopGathering(ctx context.Context) {
	f.mutex.Lock()
	f.isStopping = true
	f.mutex.Unlock()
	ticker := f.clock.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		f.mutex.Lock()
		left := len(f.batches) + f.relayedCount
		f.mutex.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// newBatch returns a batch, with its query, for another dock's request.
func (f *Forwarder) newBatch(r encoder.GatherRequest) *batch {
	now := f.clock.Now()
	route := &matcher.Route{
		Name:        matcher.RouteName(r.Route),
		Destination: matcher.Scatter{Services: r.Services, RowLimit: r.Rows},
		Idempotent:  true,
		Timeout:     r.Remaining,
		Attempts:    r.Attempts,
		Priority:    r.Priority,
	}
	q := &query{
		forwarder:           f,
		selector:            f.selector,
		route:               route,
		configurationNumber: r.Configuration,
		request:             &Request{Request: sender.Request{ID: r.Request}, Arrived: now, Timeout: r.Remaining},
		prepared:            &sender.PreparedRequest{ID: r.Request, Method: r.Method, Head: r.Head, Body: r.Body},
		deadline:            f.ending.limit(now.Add(r.Remaining)),
		finished:            make(chan struct{}),
		isReplacement:       r.IsReplacement,
		wasAnswered:         &atomic.Bool{},
		isLimitedToOneRun:   true,
		repeatPermit:        make(chan struct{}, 1),
		detach:              func() bool { return true },

		fingerprints: fingerprints{whole: r.Fingerprint, path: r.PathFingerprint},
		tokens:       map[identifier.ServiceName]encoder.ServerID{},
	}
	hold := f.account.Open(netip.AddrPort{}, func() {})
	q.ctx, q.cancel = context.WithDeadline(reserver.WithHold(f.ctx, hold), q.deadline)
	q.sending, q.endSending = context.WithCancel(q.ctx)
	b := &batch{
		query:      q,
		hold:       hold,
		index:      map[identifier.ServiceName]int{},
		topRecords: topRecords{limit: r.Rows},
		changed:    make(chan struct{}, 1),
		giveUpAt:   q.deadline.Add(-min(timeoutMargin, max(linkRoundTrip, r.Remaining/deliveryDivisor))),

		delivered: make(chan struct{}),
	}
	if r.Target > 0 {
		q.target = now.Add(r.Target)
		b.progressAt = now.Add(r.Target / progressDivisor)
	}
	for i, s := range r.Services {
		b.index[s] = i
		if i < len(r.Tokens) && r.Tokens[i] != "" {
			q.tokens[s] = r.Tokens[i]
		}
	}
	return b
}

// run runs the query and keeps the batch until its last parts have been taken.
func (b *batch) run(key batchKey) {
	q := b.query
	f := q.forwarder
	defer f.tasks.Done()
	q.run(b, q.services()...)
	q.finish()
	f.reporter.reportBatch(q, f.clock.Now())
	b.finish()
	b.awaitDelivery()
	b.hold.Close()
	b.message.Close()
	f.mutex.Lock()
	delete(f.batches, key)
	f.mutex.Unlock()
}

// awaitDelivery waits until the last parts have been taken. It gives up after abandonTimeout or
// when the forwarder is closed.
func (b *batch) awaitDelivery() {
	f := b.query.forwarder
	timer := f.clock.NewTimer(abandonTimeout)
	defer timer.Stop()
	select {
	case <-b.delivered:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// finish marks the batch as done and wakes a waiting handler.
func (b *batch) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.isDone = true
	b.wake()
}

// addResult adds a shard's result. Once the latency target has passed, it makes a reply due. It
// returns an outcome when all shards are done.
func (b *batch) addResult(r result) Outcome {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part := encoder.GatherPart{Index: b.index[r.service], HasRun: r.hasRun}
	part.IsUnknown = r.reason == ReasonNoServer && !r.hasRun && !b.query.forwarder.selector.Knows(r.service)
	if r.isSuccess() && b.query.stamps.add(r.reply.Metadata.Stamp) {
		part.Stamp = r.reply.Metadata.Stamp
		b.topRecords.add(r.reply.Body)
	}
	b.parts = append(b.parts, part)
	if b.sentCount+len(b.parts) == len(b.index) {
		return Gathered{}
	}
	if q := b.query; !q.target.IsZero() && !q.forwarder.clock.Now().Before(q.target) {
		b.markReplyDue()
	}
	return nil
}

// checkTime makes a reply due when a job waits for the permission to run once more, at progressAt
// and at the latency target. It fails the query at giveUpAt or if it is abandoned.
func (b *batch) checkTime(now time.Time) (Outcome, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	q := b.query
	if !now.Before(b.giveUpAt) || b.isAbandoned(now) {
		return b.end(), now
	}
	if q.hasJobAwaitingPermit() {
		b.markReplyDue()
	}
	next := b.giveUpAt
	for _, at := range []time.Time{b.progressAt, q.target, b.abandonAt(now)} {
		switch {
		case at.IsZero():
		case now.Before(at):
			next = earlier(next, at)
		case b.lastReplyAt.Before(at):
			b.markReplyDue()
		}
	}
	return nil, next
}

// end returns a failure: the delegating dock gets the parts received so far.
func (b *batch) end() Outcome { return Failed{Reason: ReasonTimeout} }

// isCritical returns true, because only the delegating dock can determine whether the answer
// needs a shard.
func (b *batch) isCritical() bool { return true }

// abandonAt returns when the query ends if the delegating dock does not request more parts.
func (b *batch) abandonAt(now time.Time) time.Time {
	if b.lastReplyAt.IsZero() || b.waitingHandlers > 0 {
		return now.Add(abandonTimeout)
	}
	return b.lastReplyAt.Add(abandonTimeout)
}

// isAbandoned reports whether the delegating dock has requested nothing for abandonTimeout.
func (b *batch) isAbandoned(now time.Time) bool { return !now.Before(b.abandonAt(now)) }

// markReplyDue makes a reply due at once. The caller holds the lock.
func (b *batch) markReplyDue() {
	b.isReplyDue = true
	b.wake()
}

// wake wakes a waiting handler without blocking.
func (b *batch) wake() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// awaitReply waits for the next reply and returns it. If the context is cancelled, because the
// delegating dock no longer waits, it cancels the query.
func (b *batch) awaitReply(ctx context.Context) encoder.GatherReply {
	b.mutex.Lock()
	b.waitingHandlers++
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.waitingHandlers--
		b.mutex.Unlock()
	}()
	for {
		if reply, ok := b.reply(); ok {
			return reply
		}
		select {
		case <-b.changed:
		case <-ctx.Done():
			b.query.cancel()
			return encoder.GatherReply{IsDone: true}
		}
	}
}

// reply returns the parts since the last reply. It returns false if no reply is due.
func (b *batch) reply() (encoder.GatherReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.isReplyDue && !b.isDone {
		return encoder.GatherReply{}, false
	}
	if b.isDone && !b.isDelivered {
		b.isDelivered = true
		close(b.delivered)
	}
	reply := encoder.GatherReply{Parts: b.parts, Rows: b.topRecords.body(), IsDone: b.isDone}
	b.sentCount += len(b.parts)
	b.parts, b.topRecords.records, b.isReplyDue = nil, nil, false
	b.lastReplyAt = b.query.forwarder.clock.Now()
	return reply, true
}
