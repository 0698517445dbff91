package owner

import "time"

const (
	// intervalWeight is the weight of the newest sample in the EWMA of a queue's dispatch
	// interval.
	intervalWeight = 0.005
	// stallIntervals is the number of mean intervals without a dispatch after which a queue
	// counts as slower than its mean interval.
	stallIntervals = 8
)

// kind is the reason why a subrequest is sent.
type kind uint8

// Kinds of subrequests.
const (
	// kindFirst is the first subrequest of a shard.
	kindFirst kind = iota
	// kindRetry is a subrequest that is sent after a failure.
	kindRetry
	// kindHedge is a subrequest that is sent while another one takes long.
	kindHedge
)

// entry is one subrequest that waits for a slot.
type entry struct {
	task     *task
	kind     kind
	enqueued time.Time
	// failure is the reason for a retry. It becomes the task's outcome if no replica is left.
	failure *Failure
	// isIsolated reports whether no other subrequest may run on the server at the same time.
	isIsolated bool
	// reservedServer is the server that is kept free for an isolated entry, or nil.
	reservedServer *server
	// isDeferred is set once the entry waits for a faster server although a slot is free, and
	// isDeferralOver once it may start on a slower one.
	isDeferred, isDeferralOver bool

	// Changed by the queue that holds the entry. queue is nil while no queue holds it.
	queue      *queue
	prev, next *entry
}

// queue is a list of entries in order of precedence.
type queue struct {
	head, tail *entry
	length     int

	// meanInterval is the EWMA of the time between two dispatches while entries wait. Zero
	// means unknown.
	meanInterval time.Duration
	// lastDispatch is the time of the last dispatch or of the last push to the empty queue.
	lastDispatch time.Time
}

// push appends an entry.
func (q *queue) push(e *entry, now time.Time) {
	if q.length == 0 {
		q.lastDispatch = now
	}
	e.queue = q
	e.prev, e.next = q.tail, nil
	if q.tail == nil {
		q.head = e
	} else {
		q.tail.next = e
	}
	q.tail = e
	q.length++
}

// pushFront inserts an entry before all others.
func (q *queue) pushFront(e *entry, now time.Time) {
	if q.length == 0 {
		q.push(e, now)
		return
	}
	e.queue = q
	e.prev, e.next = nil, q.head
	q.head.prev = e
	q.head = e
	q.length++
}

// dequeue removes an entry that is dispatched and updates the mean interval.
func (q *queue) dequeue(e *entry, now time.Time) {
	interval := now.Sub(q.lastDispatch)
	if q.meanInterval == 0 {
		q.meanInterval = interval
	}
	q.meanInterval += time.Duration(intervalWeight * float64(interval-q.meanInterval))
	q.lastDispatch = now
	e.unlink()
}

// unlink removes the entry from the queue that holds it, if any.
func (e *entry) unlink() {
	q := e.queue
	if q == nil {
		return
	}
	if e.prev == nil {
		q.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.queue, e.prev, e.next = nil, nil, nil
	q.length--
}

// waitBehind returns the expected wait behind a number of entries. The interval of a stalled
// queue is raised only after several missed dispatches, because a single interval is a poor
// estimate and, multiplied by a long queue, would refuse most requests. fallbackInterval is
// used if the queue has no mean interval yet.
func (q *queue) waitBehind(ahead int, fallbackInterval time.Duration, now time.Time) time.Duration {
	meanInterval := q.meanInterval
	if meanInterval == 0 {
		meanInterval = fallbackInterval
	}
	if q.length > 0 {
		meanInterval = max(meanInterval, now.Sub(q.lastDispatch)/stallIntervals)
	}
	return time.Duration(ahead) * meanInterval
}
