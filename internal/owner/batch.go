package owner

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/merger"
)

// batch is a ShardBatch that is being handled.
type batch struct {
	// Set at creation.
	service  *service
	request  encoder.ShardBatch
	deadline time.Time
	tasks    []task
	// fingerprint is the request's fingerprint. It is computed here if the root sent none.
	fingerprint identifier.Fingerprint
	// done is closed when all tasks are closed.
	done chan struct{}

	// Guarded by the service's mutex until done is closed, then constant.
	openTasks   int
	subrequests uint32
	// crashes counts servers whose connection broke while they ran a subrequest of an open
	// task.
	crashes       uint32
	reportedDelay encoder.QueueDelay
}

// newBatch starts, queues or refuses each shard of a request.
func newBatch(s *service, request encoder.ShardBatch) *batch {
	now := s.owner.settings.clock.Now()
	request.Shards = distinct(request.Shards)
	b := &batch{
		service:     s,
		request:     request,
		deadline:    now.Add(request.Timeout),
		tasks:       make([]task, len(request.Shards)),
		fingerprint: request.Fingerprint,
		openTasks:   len(request.Shards),
		done:        make(chan struct{}),
	}
	if b.fingerprint == 0 {
		b.fingerprint = identifier.NewFingerprint(request.Service, request.Operation, request.Body)
	}
	if b.openTasks == 0 {
		close(b.done)
		return b
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, number := range request.Shards {
		t := &b.tasks[i]
		t.batch = b
		t.number = number
		s.admit(t, now)
	}
	return b
}

// version returns the index version that the batch reads.
func (b *batch) version() indexVersion {
	return indexVersion{b.request.Version, b.request.ShardCount}
}

// distinct returns the shard numbers without duplicates, in their order.
func distinct(numbers []identifier.ShardNumber) []identifier.ShardNumber {
	seen := make(map[identifier.ShardNumber]struct{}, len(numbers))
	kept := make([]identifier.ShardNumber, 0, len(numbers))
	for _, n := range numbers {
		if _, ok := seen[n]; !ok {
			seen[n] = struct{}{}
			kept = append(kept, n)
		}
	}
	return kept
}

// wait returns when all tasks are closed. It closes the open ones when the deadline passes or
// the context ends.
func (b *batch) wait(ctx context.Context) {
	timer := b.service.owner.settings.clock.NewTimer(b.request.Timeout)
	defer timer.Stop()
	select {
	case <-b.done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	b.service.closeOpenTasks(b)
	<-b.done
}

// reply merges the results of the tasks, all of which must be closed.
func (b *batch) reply() encoder.BatchReply {
	reply := encoder.BatchReply{
		Request:     b.request.Request,
		Attempt:     b.request.Attempt,
		Version:     b.request.Version,
		QueueDelay:  b.reportedDelay,
		Subrequests: b.subrequests,
		Crashes:     b.crashes,
	}
	parts := make([]merger.Part, 0, len(b.tasks))
	for i := range b.tasks {
		t := &b.tasks[i]
		if t.isCovered {
			reply.Covered = append(reply.Covered, t.number)
			reply.Totals = append(reply.Totals, t.result.Total)
			parts = append(parts, merger.Part{Rows: t.result.Rows, Total: t.result.Total})
			continue
		}
		reply.Missing = append(reply.Missing, t.missing)
	}
	merged := merger.Merge(b.request.Merge, b.request.RowLimit, parts...)
	reply.Rows = merged.Rows
	return reply
}

// refuseAll returns a reply to a batch in which all shards are missing for the same reason.
func refuseAll(request encoder.ShardBatch, reason encoder.MissingReason) encoder.BatchReply {
	reply := encoder.BatchReply{Request: request.Request, Attempt: request.Attempt, Version: request.Version}
	for _, number := range request.Shards {
		reply.Missing = append(reply.Missing, encoder.MissingShard{Shard: number, Reason: reason})
	}
	return reply
}
