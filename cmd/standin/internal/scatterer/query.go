package scatterer

import (
	"context"
	"sync"
	"time"

	"banyandock.example/banyandock/cmd/standin/internal/announcer"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// defaultRowLimit is the row limit of operations that the settings do not list.
const defaultRowLimit = 10

// query is one caller's query that is sent to all shards.
type query struct {
	host           *host
	id             identifier.RequestID
	service        identifier.ServiceName
	operation      identifier.OperationName
	idempotencyKey string
	deadline       time.Time
	body           []byte
}

// shardCall fetches the result of one shard.
type shardCall struct {
	query    *query
	version  identifier.IndexVersion
	shard    identifier.ShardNumber
	replicas []announcer.Announcement
	pending  *sync.WaitGroup

	// The fields below are written by run and read after pending.Wait.
	result  rowmaker.Result
	missing *merger.MissingShard
}

// execute sends the query to all shards and merges their results.
func (q *query) execute(ctx context.Context) merger.Answer {
	p := q.host.scatterer.directory.find(q.service)
	if p == nil {
		return merger.Answer{Request: q.id.String(), Outcome: merger.OutcomeNotRun, Code: "no_servers"}
	}
	var pending sync.WaitGroup
	shards := make([]*shardCall, len(p.replicas))
	for i, replicas := range p.replicas {
		shards[i] = &shardCall{
			query:    q,
			version:  p.version,
			shard:    identifier.ShardNumber(i),
			replicas: q.host.shuffle(replicas),
			pending:  &pending,
		}
		pending.Add(1)
		go shards[i].run(ctx)
	}
	pending.Wait()
	return q.merge(p.version, shards)
}

func (q *query) merge(version identifier.IndexVersion, shards []*shardCall) merger.Answer {
	a := merger.Answer{
		Request:      q.id.String(),
		Outcome:      merger.OutcomeComplete,
		IndexVersion: version,
		WasRun:       true,
	}
	var parts []merger.ShardResult
	for _, s := range shards {
		if s.missing != nil {
			a.Coverage.Missing = append(a.Coverage.Missing, *s.missing)
			continue
		}
		parts = append(parts, merger.ShardResult{Shard: s.shard, Result: s.result})
	}
	a.Coverage.Shards = uint32(len(shards))
	a.Coverage.Covered = uint32(len(parts))
	switch {
	case len(parts) == 0:
		a.Outcome = merger.OutcomeFailed
	case len(parts) < len(shards):
		a.Outcome = merger.OutcomePartial
	}
	o := q.host.operation(q.operation)
	a.Rows, a.Total = merger.Merge(o.Merge, o.RowLimit, parts)
	return a
}

// run tries replicas in turn until one returns a result, the retries are used up or the context
// ends. It does not retry a keyed subrequest that a server may have started.
func (s *shardCall) run(ctx context.Context) {
	defer s.pending.Done()
	s.missing = &merger.MissingShard{Shard: s.shard, Reason: encoder.MissingNoReplica}
	attempts := min(1+s.query.host.scatterer.settings.Retries, len(s.replicas))
	for i := range attempts {
		result, started, err := s.call(ctx, s.replicas[i], i+1)
		if err == nil {
			s.result = result
			s.missing = nil
			return
		}
		s.missing.Reason = encoder.MissingServerError
		s.missing.Started = s.missing.Started || started
		if ctx.Err() != nil {
			s.missing.Reason = encoder.MissingDeadline
			return
		}
		if started && s.query.idempotencyKey != "" {
			return
		}
	}
}
