package router

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type Code -trimprefix Code -transform snake -text -output code_enumer.go

const (
	// controlRetryAfter is the RetryAfter of a request that was refused because the dock's manifest
	// was missing or unconfirmed, or the keepers did not decide its claim.
	controlRetryAfter = time.Second
	// coverageRetryAfter is the RetryAfter of a request with missing shards if no owner gave one.
	coverageRetryAfter = 500 * time.Millisecond
)

// Code is the stable name of a refusal or failure.
type Code uint8

// Codes of refusals and failures.
const (
	// CodeNone means that nothing went wrong.
	CodeNone Code = iota
	// CodeUndeclared means that no contract covers the request.
	CodeUndeclared
	// CodeNoManifest means that the dock has not received a manifest yet.
	CodeNoManifest
	// CodeManifestUnconfirmed means that the dock cannot reach the keepers to confirm its manifest.
	CodeManifestUnconfirmed
	// CodeRateLimited means that the contract's rate is exceeded.
	CodeRateLimited
	// CodeConcurrencyLimited means that the contract's concurrency is exceeded.
	CodeConcurrencyLimited
	// CodeOverloaded means that the queues are too long to meet the deadline.
	CodeOverloaded
	// CodeNoReplica means that no backend server holds enough of the index.
	CodeNoReplica
	// CodeQuarantined means that the request crashed too many backend servers.
	CodeQuarantined
	// CodeCrashed means that a backend server crashed while it ran the request.
	CodeCrashed
	// CodeDeadline means that the deadline passed.
	CodeDeadline
	// CodeCoverage means that fewer shards answered than the contract requires.
	CodeCoverage
	// CodeServerError means that a backend server answered with an error.
	CodeServerError
	// CodeKeyMissing means that the idempotency key is missing.
	CodeKeyMissing
	// CodeKeyReused means that the key belongs to another request.
	CodeKeyReused
	// CodeKeyMalformed means that the key is not a version 7 UUID with a plausible creation time.
	CodeKeyMalformed
	// CodeKeyTooOld means that the key is older than the ledger's window.
	CodeKeyTooOld
	// CodeKeyHeld means that an earlier request with this key has not ended.
	CodeKeyHeld
	// CodeLedgerUnavailable means that the keepers did not commit a claim.
	CodeLedgerUnavailable
	// CodeInDoubt means that the request may have run and will not run again.
	CodeInDoubt
	// CodeResultOmitted means that the request ran and that its answer was not stored.
	CodeResultOmitted
)

// Outcome is how a request ended: Complete, Partial, NotRun, Failed or InDoubt.
type Outcome interface {
	isOutcome()
}

// Coverage lists which shards of an index version an answer contains.
type Coverage struct {
	Version identifier.IndexVersion
	Shards  uint32
	Covered uint32
	Missing []encoder.MissingShard
}

// Answer is the merged result of one index version.
type Answer struct {
	Coverage Coverage
	Rows     []encoder.Row
	Total    float64
	// Manifest is the number of the manifest with the contract that applied to the request.
	Manifest uint64
	// IsRepeated reports whether the answer is that of an earlier request with the same key.
	IsRepeated bool
}

// Complete is an answer with the results of all shards.
type Complete struct {
	Answer Answer
}

// Partial is an answer with the results of as many shards as the contract requires, but not all.
type Partial struct {
	Answer Answer
}

// NotRun means that no backend server ran any part of the request or will run it.
type NotRun struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
	Coverage   Coverage
}

// Failed means that the request has no answer and that parts of it may have run.
type Failed struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
	Coverage   Coverage
}

// InDoubt means that a request which is not idempotent may have run, that its result is not
// available, and that it will not be run again with its key.
type InDoubt struct {
	Code   Code
	Detail string
}

func (Complete) isOutcome() {}
func (Partial) isOutcome()  {}
func (NotRun) isOutcome()   {}
func (Failed) isOutcome()   {}
func (InDoubt) isOutcome()  {}

// refuse returns the outcome of a request that is refused before any dispatch.
func refuse(code Code, detail string, retryAfter time.Duration) Outcome {
	return NotRun{Code: code, Detail: detail, RetryAfter: retryAfter}
}

// describe returns the text of an outcome for the request's events.
func describe(o Outcome) string {
	switch o := o.(type) {
	case Complete:
		return "complete"
	case Partial:
		return "partial"
	case NotRun:
		return "not run: " + o.Code.String()
	case Failed:
		return "failed: " + o.Code.String()
	case InDoubt:
		return "in doubt: " + o.Code.String()
	default:
		return "unknown"
	}
}
