package connector

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/owner"
)

// errTooLarge reports a reply whose body exceeds the maximum size.
var errTooLarge = eris.New("reply is too large")

// subrequestBody is the JSON body of a subrequest.
type subrequestBody struct {
	Service   identifier.ServiceName   `json:"service"`
	Operation identifier.OperationName `json:"operation"`
	Version   identifier.IndexVersion  `json:"version"`
	Shard     identifier.ShardNumber   `json:"shard"`
	Request   json.RawMessage          `json:"request"`
}

// cancelBody is the JSON body of a cancel request.
type cancelBody struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

// resultBody is the JSON body of a successful reply. A success needs each field.
type resultBody struct {
	Request field[string]                  `json:"request"`
	Attempt field[uint32]                  `json:"attempt"`
	Version field[identifier.IndexVersion] `json:"version"`
	Shard   field[identifier.ShardNumber]  `json:"shard"`
	Rows    field[[]rowBody]               `json:"rows"`
	Total   field[float64]                 `json:"total"`
}

// rowBody is one row of a successful reply. A row needs both fields.
type rowBody struct {
	Score *float64        `json:"score"`
	Value json.RawMessage `json:"value"`
}

// failureBody is the JSON body of a reply whose status is not 200.
type failureBody struct {
	Code    string      `json:"code"`
	Started field[bool] `json:"started"`
}

// Codes of failure replies.
const (
	codeVersionGone = "version_gone"
	codeOverloaded  = "overloaded"
	codeDraining    = "draining"
)

// encodeBody encodes the JSON body of a subrequest.
func encodeBody(s owner.Subrequest) ([]byte, error) {
	request := json.RawMessage(s.Body)
	if len(request) == 0 {
		request = json.RawMessage("null")
	}
	return json.Marshal(subrequestBody{
		Service:   s.Shard.Service,
		Operation: s.Operation,
		Version:   s.Shard.Version,
		Shard:     s.Shard.Number,
		Request:   request,
	})
}

// notSentFailure returns the failure of a subrequest of which no byte was sent.
func notSentFailure(err error) *owner.Failure {
	return &owner.Failure{Cause: owner.CauseNotSent, Detail: err.Error()}
}

// acquireFailure returns the failure of a subrequest for which no connection was acquired.
func acquireFailure(ctx context.Context, err error) *owner.Failure {
	if ctx.Err() != nil {
		return &owner.Failure{Cause: owner.CauseCancelled, Detail: err.Error()}
	}
	return notSentFailure(err)
}

// transportFailure converts a transport error into a failure. The subrequest counts as started
// once its first byte may have been sent.
func (x *exchange) transportFailure(ctx context.Context, err error) *owner.Failure {
	f := &owner.Failure{Started: x.hasWritten.Load(), Detail: err.Error()}
	switch {
	case ctx.Err() != nil:
		f.Cause = owner.CauseCancelled
	case errors.Is(err, errTooLarge):
		f.Cause = owner.CauseBadReply
		x.connector.metricSet.badReplies.Inc(1)
	case !f.Started:
		f.Cause = owner.CauseNotSent
	default:
		f.Cause = owner.CauseConnectionLost
		x.connector.metricSet.lost.Inc(1)
	}
	return f
}

// interpret converts a complete reply into a result or a failure.
func (x *exchange) interpret(response *http.Response, body []byte) (owner.Result, error) {
	if response.StatusCode != http.StatusOK {
		return owner.Result{}, x.interpretFailure(response, body)
	}
	var reply resultBody
	if err := json.Unmarshal(body, &reply); err != nil {
		return owner.Result{}, x.badReplyFailure("malformed: " + err.Error())
	}
	if !x.matches(reply) {
		return owner.Result{}, x.badReplyFailure("reply answers a different subrequest")
	}
	if !reply.isComplete() {
		return owner.Result{}, x.badReplyFailure("reply without its rows or its total")
	}
	result := owner.Result{Total: reply.Total.value}
	for _, r := range reply.Rows.value {
		result.Rows = append(result.Rows, encoder.Row{Score: *r.Score, Shard: x.subrequest.Shard.Number, Value: r.Value})
	}
	return result, nil
}

// matches reports whether a reply contains the request, attempt, version and shard of the
// subrequest. A reply that omits one of them does not match.
func (x *exchange) matches(reply resultBody) bool {
	s := &x.subrequest
	return reply.Request.is(s.Request.String()) && reply.Attempt.is(s.Attempt) &&
		reply.Version.is(s.Shard.Version) && reply.Shard.is(s.Shard.Number)
}

// isComplete reports whether a reply contains a total and rows with all of their fields. Rows that are null are none.
func (r *resultBody) isComplete() bool {
	isPartial := func(r rowBody) bool { return r.Score == nil || len(r.Value) == 0 }
	return r.Rows.isGiven && r.Total.hasValue && !slices.ContainsFunc(r.Rows.value, isPartial)
}

// badReplyFailure returns the failure for a reply that is malformed or answers another
// subrequest.
func (x *exchange) badReplyFailure(detail string) *owner.Failure {
	x.connector.metricSet.badReplies.Inc(1)
	return &owner.Failure{Cause: owner.CauseBadReply, Started: true, Detail: detail}
}

// interpretFailure converts a complete reply whose status is not 200 into a failure. Only an
// explicit "started": false counts as not started.
func (x *exchange) interpretFailure(response *http.Response, body []byte) *owner.Failure {
	var reply failureBody
	f := &owner.Failure{Cause: owner.CauseServerError, Started: true, RetryAfter: retryAfter(response.Header)}
	if err := json.Unmarshal(body, &reply); err != nil {
		f.Detail = response.Status + ", body is not valid JSON"
		return f
	}
	f.Detail = response.Status + " " + reply.Code
	f.Started = !reply.Started.is(false)
	if cause, ok := failureCause(response.StatusCode, reply.Code); ok {
		f.Cause = cause
	}
	return f
}

// failureCause returns the cause that a status and code represent. It returns false if they
// represent no specific cause.
func failureCause(status int, code string) (owner.FailureCause, bool) {
	switch {
	case status == statusCancelled, status == http.StatusGatewayTimeout:
		return owner.CauseCancelled, true
	case status == http.StatusConflict && code == codeVersionGone:
		return owner.CauseVersionGone, true
	case status == http.StatusServiceUnavailable && code == codeOverloaded:
		return owner.CauseShed, true
	case status == http.StatusServiceUnavailable && code == codeDraining:
		return owner.CauseDraining, true
	default:
		return owner.CauseServerError, false
	}
}

// statusCancelled is the HTTP status of a cancelled subrequest.
const statusCancelled = 499

// retryAfter parses a Retry-After header in seconds. It returns zero if the header is absent,
// malformed, negative or more than an hour.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	// The comparisons are false for a value that is not a number.
	if err != nil || !(seconds >= 0 && seconds <= time.Hour.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
