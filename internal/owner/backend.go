package owner

import (
	"context"
	"fmt"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

//go:generate ../../bin/enumer -type FailureCause -trimprefix Cause -transform snake -output failurecause_enumer.go

// Backend runs subrequests on backend servers.
type Backend interface {
	// Run sends one subrequest and waits for its result. Cancelling the context cancels the
	// subrequest on the server and keeps the connection open. An error is a *Failure.
	Run(ctx context.Context, server encoder.Server, subrequest Subrequest) (Result, error)
}

// Subrequest is a request to one backend server for the result of one shard.
type Subrequest struct {
	Request identifier.RequestID
	// Attempt numbers the subrequests of a request and shard, hedges and retries included.
	Attempt        uint32
	Shard          identifier.Shard
	Operation      identifier.OperationName
	Urgency        manifestreader.Urgency
	IdempotencyKey string
	Timeout        time.Duration
	Body           []byte
}

// Result is the answer of a backend server for one shard.
type Result struct {
	Rows  []encoder.Row
	Total float64
}

// FailureCause is the reason why a subrequest has no result.
type FailureCause uint8

// Causes of failure.
const (
	// CauseNotSent means that no byte of the subrequest was sent.
	CauseNotSent FailureCause = iota
	// CauseShed means that the server reported that it is overloaded. The subrequest did not
	// run unless Failure.Started is set.
	CauseShed
	// CauseDraining means that the server reported that it is draining. The subrequest did not
	// run unless Failure.Started is set.
	CauseDraining
	// CauseVersionGone means that the server no longer holds the index version.
	CauseVersionGone
	// CauseCancelled means that the subrequest was cancelled or its deadline passed first.
	CauseCancelled
	// CauseConnectionLost means that the connection broke while the subrequest ran.
	CauseConnectionLost
	// CauseServerError means that the server returned an error.
	CauseServerError
	// CauseBadReply means that the reply was truncated, malformed or belonged to another
	// request.
	CauseBadReply
)

// Failure is the error of a subrequest.
type Failure struct {
	Cause FailureCause
	// Started reports whether the server may have run the subrequest.
	Started bool
	// RetryAfter is the time after which the server accepts a retry. Zero means no hint.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the cause, whether the subrequest may have run, and the detail.
func (f *Failure) Error() string {
	return fmt.Sprintf("subrequest failed: %s (started: %t): %s", f.Cause, f.Started, f.Detail)
}
