package router

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

var (
	// errBadReply is the result of a batch whose reply does not match it.
	errBadReply = eris.New("reply does not match its batch")
	// errStalled is the result of a canary whose dock did not echo a probe in time.
	errStalled = eris.New("dock did not echo a probe in time")
)

// batchResult is the reply to a batch, or the error that ended it.
type batchResult struct {
	call  *batchCall
	reply encoder.BatchReply
	err   error
}

// isNotSent reports whether no byte of the batch left this process.
func (r batchResult) isNotSent() bool {
	return errors.Is(r.err, linker.ErrNotSent)
}

// batchCall is one batch in flight to an owner.
type batchCall struct {
	// Set at creation.
	router  *Router
	host    encoder.Host
	batch   encoder.ShardBatch
	sent    time.Time
	results chan<- batchResult

	// Changed by the query's goroutine.
	isProbed bool
}

// run sends the batch and reports its result. The channel has capacity for every batch of the
// query, so that run never blocks after the query has ended.
func (c *batchCall) run(ctx context.Context) {
	defer c.router.tasks.Done()
	reply, err := c.router.owners.Query(ctx, c.host, c.batch)
	c.results <- batchResult{call: c, reply: reply, err: err}
}
