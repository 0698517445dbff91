package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/sender"
)

// abandonTime is how long an owner keeps a query whose dock does not ask for more.
const abandonTime = time.Second

var (
	// errStopping reports that this dock takes no more requests of other docks.
	errStopping = eris.New("the dock is stopping")
	// errUnknownQuery reports a question for more of a query that is over.
	errUnknownQuery = eris.New("the query is not known")
)

// batchKey names a query of another dock.
type batchKey struct {
	dock  identifier.Incarnation
	query uint64
}

// batch gets the parts of some shards for another dock. The query's goroutine adds them, and the
// handlers of the other dock's messages take them.
type batch struct {
	// Set at creation.
	query *query
	index map[identifier.ServiceName]int
	// checkAt is when the other dock hears at the latest that this one is at work.
	checkAt time.Time
	// changed wakes a waiting handler.
	changed chan struct{}
	// delivered is closed when the last parts have been fetched.
	delivered chan struct{}

	// Guarded by mutex.
	mutex   sync.Mutex
	ranking ranking
	parts   []encoder.GatherPart
	told    int
	// isDue says that the other dock must hear at once what there is.
	isDue       bool
	isDone      bool
	isDelivered bool
	waiting     int
	// toldAt is when the other dock heard last.
	toldAt time.Time
}

// Gather answers another dock's request for parts. It replies as soon as all shards are done,
// a shard needs the permission to run once more, or the time to say something has come.
func (f *Forwarder) Gather(ctx context.Context, dock identifier.Incarnation, r encoder.GatherRequest) (encoder.GatherReply, error) {
	b := f.newBatch(r)
	key := batchKey{dock: dock, query: r.Query}
	if !f.addBatch(key, b) {
		b.query.cancel()
		return encoder.GatherReply{}, errStopping
	}
	go b.run(key)
	return b.wait(ctx), nil
}

// More answers another dock's question for the rest, and lets the query's jobs run more than once.
func (f *Forwarder) More(ctx context.Context, dock identifier.Incarnation, r encoder.MoreRequest) (encoder.GatherReply, error) {
	f.mutex.Lock()
	b := f.batches[batchKey{dock: dock, query: r.Query}]
	f.mutex.Unlock()
	if b == nil {
		return encoder.GatherReply{}, errUnknownQuery
	}
	select {
	case b.query.permit <- struct{}{}:
	default:
	}
	return b.wait(ctx), nil
}

// addBatch notes a batch unless the dock is stopping.
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

// StopGathering takes no more requests of other docks and waits for those that are at work.
func (f *Forwarder) StopGathering(ctx context.Context) {
	f.mutex.Lock()
	f.isStopping = true
	f.mutex.Unlock()
	ticker := f.clock.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		f.mutex.Lock()
		left := len(f.batches)
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

// newBatch makes a query of another dock's request.
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
		forwarder: f,
		route:     route,
		number:    r.Configuration,
		request:   &Request{Request: sender.Request{ID: r.Request}, Arrived: now, Timeout: r.Remaining},
		prepared:  &sender.PreparedRequest{ID: r.Request, Method: r.Method, Head: r.Head, Body: r.Body},
		deadline:  now.Add(r.Remaining),
		finished:  make(chan struct{}),
		isHeld:    true,
		permit:    make(chan struct{}, 1),
		detach:    func() bool { return true },

		fingerprint: r.Fingerprint,
	}
	q.ctx, q.cancel = context.WithDeadline(f.ctx, q.deadline)
	b := &batch{
		query:   q,
		index:   map[identifier.ServiceName]int{},
		ranking: ranking{limit: r.Rows},
		changed: make(chan struct{}, 1),

		delivered: make(chan struct{}),
	}
	if r.Target > 0 {
		q.target = now.Add(r.Target)
		b.checkAt = now.Add(r.Target / checkParts)
	}
	for i, s := range r.Services {
		b.index[s] = i
	}
	return b
}

// run gets the parts.
func (b *batch) run(key batchKey) {
	q := b.query
	f := q.forwarder
	defer f.tasks.Done()
	q.run(b, q.services()...)
	q.finish()
	f.reporter.reportBatch(q, f.clock.Now())
	b.end()
	b.awaitDelivery()
	f.mutex.Lock()
	delete(f.batches, key)
	f.mutex.Unlock()
}

// awaitDelivery waits until the other dock has fetched the last parts, or does not ask for them.
func (b *batch) awaitDelivery() {
	f := b.query.forwarder
	timer := f.clock.NewTimer(abandonTime)
	defer timer.Stop()
	select {
	case <-b.delivered:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// end says that no more parts come.
func (b *batch) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.isDone = true
	b.wake()
}

// ended takes in a shard's result.
func (b *batch) ended(r result) Outcome {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part := encoder.GatherPart{Index: b.index[r.service], HasRun: r.hasRun}
	if r.isSuccess() {
		part.Stamp = r.reply.Metadata.Stamp
		b.ranking.add(r.reply.Body)
	}
	b.parts = append(b.parts, part)
	if b.told+len(b.parts) == len(b.index) {
		return Gathered{}
	}
	if q := b.query; !q.target.IsZero() && !q.forwarder.clock.Now().Before(q.target) {
		b.tell()
	}
	return nil
}

// due lets the other dock hear what there is when a job waits for permission, and at set times.
func (b *batch) due(now time.Time) (Outcome, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	q := b.query
	if !now.Before(q.deadline) || b.isAbandoned(now) {
		return Failed{Reason: ReasonTimeout}, now
	}
	if q.needsPermit() {
		b.tell()
	}
	next := q.deadline
	for _, at := range []time.Time{b.checkAt, q.target, b.abandonAt(now)} {
		switch {
		case at.IsZero():
		case now.Before(at):
			next = earlier(next, at)
		case b.toldAt.Before(at):
			b.tell()
		}
	}
	return nil, next
}

// isCritical is true: whether the other dock can do without a shard is not known here.
func (b *batch) isCritical() bool { return true }

// abandonAt is when the query ends if the other dock does not ask for more.
func (b *batch) abandonAt(now time.Time) time.Time {
	if b.toldAt.IsZero() || b.waiting > 0 {
		return now.Add(abandonTime)
	}
	return b.toldAt.Add(abandonTime)
}

// isAbandoned tells whether the other dock has not asked for more in a while.
func (b *batch) isAbandoned(now time.Time) bool { return !now.Before(b.abandonAt(now)) }

// tell has the other dock hear at once. The caller holds the lock.
func (b *batch) tell() {
	b.isDue = true
	b.wake()
}

// wake wakes a waiting handler.
func (b *batch) wake() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// wait returns the next reply. If the other dock does not wait any more, the query is cancelled.
func (b *batch) wait(ctx context.Context) encoder.GatherReply {
	b.mutex.Lock()
	b.waiting++
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.waiting--
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

// reply returns what is new if it is to be told now.
func (b *batch) reply() (encoder.GatherReply, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.isDue && !b.isDone {
		return encoder.GatherReply{}, false
	}
	if b.isDone && !b.isDelivered {
		b.isDelivered = true
		close(b.delivered)
	}
	reply := encoder.GatherReply{Parts: b.parts, Rows: b.ranking.body(), IsDone: b.isDone}
	b.told += len(b.parts)
	b.parts, b.ranking.records, b.isDue = nil, nil, false
	b.toldAt = b.query.forwarder.clock.Now()
	return reply, true
}
