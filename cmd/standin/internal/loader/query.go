package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"banyandock.example/banyandock/cmd/standin/internal/checker"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
)

// query is one query, from its scheduled start to its checked answer.
type query struct {
	loader      *Loader
	class       int
	dock        netip.AddrPort
	scheduledAt time.Time
	isMeasured  bool
	body        []byte
	key         string
}

// run sends the query, checks the answer and records the result.
func (q *query) run() {
	defer q.loader.queries.Done()
	lag := q.loader.clock.Now().Sub(q.scheduledAt)
	answer, err := q.send()
	latency := q.loader.clock.Now().Sub(q.scheduledAt)
	if err != nil {
		q.loader.log.Debug().Err(err).Msg("no answer")
	}
	violation := q.check(answer)
	if violation != checker.ViolationNone {
		q.loader.log.Error().Stringer("violation", violation).Str("request", answer.Request).
			Stringer("dock", q.dock).Interface("coverage", answer.Coverage).Msg("an answer breaks a promise")
	}
	q.loader.result.record(q, answer, violation, latency, lag)
}

func (q *query) check(a merger.Answer) checker.Violation {
	c := q.loader.settings.Classes[q.class]
	return checker.Check(checker.Query{
		Body:        q.body,
		Scope:       c.Scope,
		Merge:       c.Merge,
		RowLimit:    c.RowLimit,
		Rows:        q.loader.settings.Rows,
		ShardCounts: q.loader.shardCounts,
	}, a)
}

func (q *query) send() (merger.Answer, error) {
	none := merger.Answer{Outcome: merger.OutcomeNoAnswer}
	c := q.loader.settings.Classes[q.class]
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+answerGrace)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/query/%s/%s", q.dock, q.loader.settings.Service, c.Operation)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.body))
	if err != nil {
		return none, err
	}
	q.setHeaders(r)
	response, err := q.loader.client.Do(r)
	if err != nil {
		return none, err
	}
	// The error is ignored because the body has been read completely or the connection cannot be
	// reused anyway.
	defer func() { _ = response.Body.Close() }()
	answer := merger.Answer{}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return none, err
	}
	return answer, nil
}

func (q *query) setHeaders(r *http.Request) {
	c := q.loader.settings.Classes[q.class]
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Banyandock-Caller", string(c.Caller))
	r.Header.Set("Banyandock-Timeout-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
}
