package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/router"
)

// answerBody is the JSON form of an outcome.
type answerBody struct {
	Request string `json:"request,omitempty"`
	// Outcome is complete, partial, not_run, failed or in_doubt.
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// WasRun is false only if no part of this request was run or will be run.
	WasRun       bool          `json:"was_run"`
	IndexVersion uint64        `json:"index_version,omitempty"`
	Manifest     uint64        `json:"manifest,omitempty"`
	Coverage     *coverageBody `json:"coverage,omitempty"`
	Rows         []rowBody     `json:"rows,omitempty"`
	Total        float64       `json:"total,omitempty"`
	Repeated     bool          `json:"repeated,omitempty"`
	RetryAfter   int64         `json:"retry_after_ms,omitempty"`
}

// coverageBody is the JSON form of a coverage.
type coverageBody struct {
	Shards  uint32        `json:"shards"`
	Covered uint32        `json:"covered"`
	Missing []missingBody `json:"missing,omitempty"`
}

// missingBody is the JSON form of a missing shard.
type missingBody struct {
	Shard   uint32 `json:"shard"`
	Reason  string `json:"reason"`
	Started bool   `json:"started"`
}

// rowBody is the JSON form of a row.
type rowBody struct {
	Shard uint32          `json:"shard"`
	Score float64         `json:"score"`
	Value json.RawMessage `json:"value"`
}

// writeOutcome responds to a request with its outcome.
func writeOutcome(w http.ResponseWriter, request identifier.RequestID, o router.Outcome) {
	body := answerBody{Request: request.String(), WasRun: true}
	status := http.StatusOK
	switch o := o.(type) {
	case router.Complete:
		body.Outcome = "complete"
		body.setAnswer(o.Answer)
	case router.Partial:
		body.Outcome = "partial"
		body.setAnswer(o.Answer)
	case router.NotRun:
		body.Outcome = "not_run"
		body.WasRun = false
		body.setFailure(o.Code, o.Detail, o.RetryAfter, o.Coverage)
		status = statusOfRefusal(o.Code)
	case router.Failed:
		body.Outcome = "failed"
		body.setFailure(o.Code, o.Detail, o.RetryAfter, o.Coverage)
		status = statusOfFailure(o.Code)
	case router.InDoubt:
		body.Outcome = "in_doubt"
		body.setFailure(o.Code, o.Detail, 0, router.Coverage{})
		status = http.StatusConflict
	}
	writeJSON(w, status, body)
}

// setAnswer sets the fields of a complete or partial result.
func (b *answerBody) setAnswer(a router.Answer) {
	b.IndexVersion = uint64(a.Coverage.Version)
	b.Manifest = a.Manifest
	b.Coverage = newCoverageBody(a.Coverage)
	b.Total = a.Total
	b.Repeated = a.IsRepeated
	b.Rows = make([]rowBody, 0, len(a.Rows))
	for _, row := range a.Rows {
		b.Rows = append(b.Rows, rowBody{Shard: uint32(row.Shard), Score: row.Score, Value: row.Value})
	}
}

// setFailure sets the fields of an outcome without a result.
func (b *answerBody) setFailure(code router.Code, detail string, retryAfter time.Duration, c router.Coverage) {
	b.Code = code.String()
	b.Detail = detail
	b.RetryAfter = int64(math.Ceil(float64(retryAfter) / float64(time.Millisecond)))
	if c.Shards > 0 {
		b.IndexVersion = uint64(c.Version)
		b.Coverage = newCoverageBody(c)
	}
}

// newCoverageBody converts a coverage to its JSON form.
func newCoverageBody(c router.Coverage) *coverageBody {
	b := &coverageBody{Shards: c.Shards, Covered: c.Covered}
	for _, m := range c.Missing {
		b.Missing = append(b.Missing, newMissingBody(m))
	}
	return b
}

// newMissingBody converts a missing shard to its JSON form.
func newMissingBody(m encoder.MissingShard) missingBody {
	return missingBody{Shard: uint32(m.Shard), Reason: m.Reason.String(), Started: m.Started}
}

// statusOfRefusal maps the code of a request that was not run to an HTTP status.
func statusOfRefusal(c router.Code) int {
	switch c {
	case router.CodeUndeclared:
		return http.StatusForbidden
	case router.CodeRateLimited, router.CodeConcurrencyLimited:
		return http.StatusTooManyRequests
	case router.CodeKeyMissing, router.CodeKeyMalformed:
		return http.StatusBadRequest
	case router.CodeKeyReused, router.CodeKeyTooOld:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// statusOfFailure maps the code of a failed request to an HTTP status.
func statusOfFailure(c router.Code) int {
	switch c {
	case router.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeProblem responds to an invalid request.
func writeProblem(w http.ResponseWriter, p problem) {
	body := answerBody{Outcome: "not_run", Code: p.code, Detail: p.detail}
	if p == memoryProblem {
		body.RetryAfter = memoryRetryAfter.Milliseconds()
	}
	writeJSON(w, p.status, body)
}

// writeJSON responds with a JSON body, and with a Retry-After header if the body has a retry time.
func writeJSON(w http.ResponseWriter, status int, body answerBody) {
	w.Header().Set("Content-Type", "application/json")
	if body.RetryAfter > 0 {
		// The header is in whole seconds, rounded up, and the body in milliseconds.
		w.Header().Set("Retry-After", strconv.FormatInt((body.RetryAfter+999)/1000, 10))
	}
	w.WriteHeader(status)
	// A failed write means that the caller closed its connection.
	_ = json.NewEncoder(w).Encode(body)
}
