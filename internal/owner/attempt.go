package owner

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

// attemptsPerBatch is the number of attempt numbers that one batch may use for a shard. The
// root numbers its batches, so attempts of two owners never have the same number.
const attemptsPerBatch = 256

// attempt is one subrequest to one server.
type attempt struct {
	// Set at creation.
	entry  *entry
	task   *task
	server *server
	number uint32
	// description is the server's description at the time of dispatch. A new view may change
	// that of the server.
	description   encoder.Server
	ctx           context.Context
	cancelContext context.CancelFunc
	started       time.Time

	// Guarded by the service's mutex.
	hasEnded    bool
	isCancelled bool
}

// newAttempt returns an attempt that has not been sent.
func newAttempt(e *entry, sv *server, now time.Time) *attempt {
	ctx, cancelContext := context.WithCancel(context.Background())
	return &attempt{
		entry:         e,
		task:          e.task,
		server:        sv,
		description:   sv.description,
		number:        e.task.batch.request.Attempt*attemptsPerBatch + e.task.attemptCount,
		ctx:           ctx,
		cancelContext: cancelContext,
		started:       now,
	}
}

// cancel cancels an attempt whose result is no longer needed.
func (a *attempt) cancel() {
	a.isCancelled = true
	a.cancelContext()
}

// run sends the subrequest and applies its outcome.
func (a *attempt) run() {
	s := a.task.batch.service
	defer s.owner.goroutines.Done()
	defer a.cancelContext()
	result, err := s.owner.backend.Run(a.ctx, a.description, a.subrequest())
	s.handleOutcome(a, result, err)
}

// subrequest returns the subrequest that is sent to the backend server.
func (a *attempt) subrequest() Subrequest {
	request := &a.task.batch.request
	return Subrequest{
		Request:        request.Request,
		Attempt:        a.number,
		Shard:          a.task.shardID(),
		Operation:      request.Operation,
		Urgency:        request.Urgency,
		IdempotencyKey: request.IdempotencyKey,
		Timeout:        a.task.batch.deadline.Sub(a.started),
		Body:           request.Body,
	}
}
