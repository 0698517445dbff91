package scatterer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/cmd/standin/internal/announcer"
	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/identifier"
)

// errSubrequest is returned for a subrequest without a usable result.
var errSubrequest = eris.New("subrequest failed")

// subrequestBody is the body of POST /v1/subrequest.
type subrequestBody struct {
	Service   identifier.ServiceName   `json:"service"`
	Operation identifier.OperationName `json:"operation"`
	Version   identifier.IndexVersion  `json:"version"`
	Shard     identifier.ShardNumber   `json:"shard"`
	Request   json.RawMessage          `json:"request"`
}

// subrequestReply has the fields of both a result and a refusal.
type subrequestReply struct {
	Request string                  `json:"request"`
	Version identifier.IndexVersion `json:"version"`
	Shard   identifier.ShardNumber  `json:"shard"`
	Rows    []rowmaker.Row          `json:"rows"`
	Total   float64                 `json:"total"`
	Code    string                  `json:"code"`
	Started bool                    `json:"started"`
}

// call sends one subrequest. If it returns an error, the boolean reports whether the server may
// have started the subrequest.
func (s *shardCall) call(ctx context.Context, server announcer.Announcement, attempt int) (rowmaker.Result, bool, error) {
	var none rowmaker.Result
	r, err := s.newRequest(ctx, server, attempt)
	if err != nil {
		return none, false, err
	}
	response, err := s.query.host.client(server.Protocol).Do(r)
	if err != nil {
		return none, true, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply subrequestReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return none, true, err
	}
	if response.StatusCode != http.StatusOK {
		return none, reply.Started, eris.Wrapf(errSubrequest, "%s: %s", response.Status, reply.Code)
	}
	if reply.Request != s.query.id.String() || reply.Version != s.version || reply.Shard != s.shard {
		return none, true, eris.Wrap(errSubrequest, "reply belongs to another subrequest")
	}
	return rowmaker.Result{Rows: reply.Rows, Total: reply.Total}, true, nil
}

func (s *shardCall) newRequest(ctx context.Context, server announcer.Announcement, attempt int) (*http.Request, error) {
	body, err := json.Marshal(subrequestBody{
		Service:   s.query.service,
		Operation: s.query.operation,
		Version:   s.version,
		Shard:     s.shard,
		Request:   s.query.body,
	})
	if err != nil {
		return nil, err
	}
	url := "http://" + server.Address.String() + "/v1/subrequest"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	left := max(time.Until(s.query.deadline).Milliseconds(), 1)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Banyandock-Request", s.query.id.String())
	r.Header.Set("Banyandock-Attempt", strconv.Itoa(attempt))
	r.Header.Set("Banyandock-Timeout-Ms", strconv.FormatInt(left, 10))
	r.Header.Set("Banyandock-Urgency", "routine")
	if s.query.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", s.query.idempotencyKey)
	}
	return r, nil
}
