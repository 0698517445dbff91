package responder

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/router"
)

// Headers of the callers' interface.
const (
	HeaderCaller     = "Banyandock-Caller"
	HeaderTimeout    = "Banyandock-Timeout-Ms"
	HeaderRoutingKey = "Banyandock-Routing-Key"
	HeaderKey        = "Idempotency-Key"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 128

// problem describes why a request is invalid. An invalid request is not run.
type problem struct {
	status int
	code   string
	detail string
}

// memoryProblem is the response to a request that no memory is left for.
var memoryProblem = problem{http.StatusServiceUnavailable, "overloaded", "no memory is left for the request"}

// memoryRetryAfter is when a request that no memory was left for may be sent again.
const memoryRetryAfter = time.Second

// handleQuery routes one query and responds with its outcome.
func (s *Responder) handleQuery(w http.ResponseWriter, r *http.Request) {
	s.lastRequest.Store(time.Now().UnixNano())
	if s.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, p := readQuery(w, r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	outcome := s.router.Route(r.Context(), q)
	reserveAnswer(r.Context(), outcome)
	writeOutcome(w, q.Request, outcome)
}

// reserveAnswer accounts for the rows of an answer and their encoded form. The rows are held already: the wait ends
// stalled transfers, and the rows count from then on.
func reserveAnswer(ctx context.Context, o router.Outcome) {
	var rows []encoder.Row
	switch o := o.(type) {
	case router.Complete:
		rows = o.Answer.Rows
	case router.Partial:
		rows = o.Answer.Rows
	}
	size := 0
	for _, row := range rows {
		size += 2 * len(row.Value)
	}
	// The answer is not lost if the caller leaves meanwhile: nobody waits for it then.
	_ = reserver.HoldOf(ctx).Reserve(ctx, int64(size), reserver.Answer)
}

// readQuery parses a query from path, headers and body.
func readQuery(w http.ResponseWriter, r *http.Request) (router.Query, *problem) {
	q := router.Query{
		Request:    identifier.NewRequestID(),
		Caller:     identifier.CallerName(r.Header.Get(HeaderCaller)),
		Service:    identifier.ServiceName(r.PathValue("service")),
		Operation:  identifier.OperationName(r.PathValue("operation")),
		Key:        r.Header.Get(HeaderKey),
		RoutingKey: r.Header.Get(HeaderRoutingKey),
	}
	if q.Caller == "" {
		return q, &problem{http.StatusBadRequest, "caller_missing", "the header " + HeaderCaller + " is missing"}
	}
	if len(q.Key) > maxKeyBytes {
		return q, &problem{http.StatusBadRequest, "malformed", "the idempotency key is longer than 128 bytes"}
	}
	timeout, p := readMilliseconds(r, HeaderTimeout)
	if p != nil {
		return q, p
	}
	q.Timeout = timeout
	q.Body, p = readBody(w, r)
	return q, p
}

// readMilliseconds parses a header with a positive number of milliseconds. It returns zero if the
// header is absent.
func readMilliseconds(r *http.Request, header string) (time.Duration, *problem) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > int64(1<<62/time.Millisecond) {
		return 0, &problem{http.StatusBadRequest, "malformed", "the header " + header + " is not a positive number of milliseconds"}
	}
	return time.Duration(n) * time.Millisecond, nil
}

// readBody reads a JSON body of at most MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	body, status := receiver.ReadBody(w, r, MaxBodyBytes)
	switch {
	case status == http.StatusServiceUnavailable:
		return nil, &memoryProblem
	case status == http.StatusRequestTimeout:
		return nil, &problem{status, "too_slow", "the body was sent too slowly"}
	case status == http.StatusRequestEntityTooLarge:
		return nil, &problem{status, "too_large", "the body is larger than 1 MiB"}
	case status != 0:
		return nil, &problem{http.StatusBadRequest, "malformed", "the body ended early"}
	case !json.Valid(body):
		return nil, &problem{http.StatusBadRequest, "malformed", "the body is not JSON"}
	}
	return body, nil
}

// handleUnknown responds to unknown paths and methods with 404.
func handleUnknown(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, problem{http.StatusNotFound, "unknown_path", "there is no such path or method"})
}
