package owner

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// task is one shard of a batch. All fields except batch and number are guarded by the service's
// mutex. isCovered, result and missing are constant once the batch is done.
type task struct {
	batch  *batch
	number identifier.ShardNumber

	shard *shard
	// waitingEntry is the entry that waits for a slot, or nil.
	waitingEntry *entry
	// running holds the attempts that have not ended.
	running []*attempt
	// triedServers holds the servers that an attempt was sent to.
	triedServers []*server
	// attemptCount is the number of attempts that were sent.
	attemptCount uint32
	// mayHaveRun is set once an attempt that has ended may have run on a server.
	mayHaveRun bool
	// hasIsolatedRetry is set once the task was queued again after a server crash.
	hasIsolatedRetry bool

	isClosed  bool
	isCovered bool
	result    Result
	missing   encoder.MissingShard
}

// closeCovered closes the task with a result.
func (t *task) closeCovered(result Result) {
	t.isCovered = true
	t.result = result
	t.close()
}

// closeMissing closes the task without a result.
func (t *task) closeMissing(reason encoder.MissingReason, retryAfter time.Duration) {
	t.missing = encoder.MissingShard{
		Shard:      t.number,
		Reason:     reason,
		Started:    t.mayHaveRun || len(t.running) > 0,
		RetryAfter: retryAfter,
	}
	t.close()
}

// close ends the task. It removes the waiting entry and cancels the running attempts. The batch
// is done when its last task is closed.
func (t *task) close() {
	b := t.batch
	s := b.service
	if t.isClosed {
		s.reportViolation("request %s: shard %d was answered twice", b.request.Request, t.number)
		return
	}
	t.isClosed = true
	if t.waitingEntry != nil {
		s.removeEntry(t.waitingEntry)
	}
	for _, a := range t.running {
		a.cancel()
	}
	b.openTasks--
	if b.openTasks == 0 {
		b.reportedDelay = s.queueDelay(b)
		close(b.done)
	}
}

// shardID returns the identifier of the task's shard.
func (t *task) shardID() identifier.Shard {
	request := &t.batch.request
	return identifier.Shard{Service: request.Service, Version: request.Version, Number: t.number}
}
