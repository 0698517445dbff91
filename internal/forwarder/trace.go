package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
)

//go:generate ../../bin/enumer -type Cause -trimprefix Cause -transform snake -output cause_enumer.go
//go:generate ../../bin/enumer -type AttemptOutcome -trimprefix Attempt -transform snake -output attemptoutcome_enumer.go

// Cause is the reason for an attempt.
type Cause uint8

// Causes.
const (
	// CauseFirst is the first attempt of a job.
	CauseFirst Cause = iota
	// CauseHedge is an attempt at a further server because the request is slow.
	CauseHedge
	// CauseRetry is an attempt at another server because an earlier attempt or an owner failed.
	CauseRetry
)

// AttemptOutcome is the state or outcome of an attempt.
type AttemptOutcome uint8

// Outcomes of attempts.
const (
	// AttemptRunning means that there is no result yet.
	AttemptRunning AttemptOutcome = iota
	// AttemptAnswered means that the server answered with success.
	AttemptAnswered
	// AttemptFailed means that the server replied with a failure.
	AttemptFailed
	// AttemptNotRun means that the server replied that it did not run the request.
	AttemptNotRun
	// AttemptNotSent means that no byte was sent to the server.
	AttemptNotSent
	// AttemptDenied means that nothing was sent to the server, because it names a limit and there was
	// no token, or because the permit of the customer's quota had ended.
	AttemptDenied
	// AttemptLost means that the request was sent but no reply was received.
	AttemptLost
	// AttemptInvalid means that the server was reached, but its reply is neither its success nor its failure.
	AttemptInvalid
	// AttemptCancelled means that the query's context ended before the reply was received.
	AttemptCancelled
)

// attemptTrace is the record of one attempt for the log.
type attemptTrace struct {
	cause  Cause
	server encoder.ServerID
	// score is the selector's score of the server at the start of the attempt, and observationAge
	// the age of the latest observation of the server.
	score          float64
	observationAge time.Duration
	// startedAfter is the time from the request's arrival to the start of the attempt.
	startedAfter time.Duration
	elapsed      time.Duration
	outcome      AttemptOutcome
	status       int
	errorText    string
}

// trace records the attempts of one job for the log.
type trace struct {
	attempts []attemptTrace
	// denied is the last reason why a further attempt was not made.
	denied Reason
}

// begin records the start of an attempt and returns the attempt's index.
func (t *trace) begin(cause Cause, target selector.Target, sinceArrival time.Duration) int {
	t.attempts = append(t.attempts, attemptTrace{cause: cause, server: target.ID, score: target.Score, observationAge: target.Seen, startedAfter: sinceArrival})
	return len(t.attempts) - 1
}

// end records the result of an attempt.
func (t *trace) end(r attemptResult) {
	a := &t.attempts[r.attempt.index]
	a.elapsed, a.outcome = r.elapsed, r.outcome
	if r.reply != nil {
		a.status, a.errorText = r.reply.Status, r.reply.Flaw()
	}
	if r.err != nil {
		a.errorText = r.err.Error()
	}
}

// isAnsweredByFirst reports whether the job made a single attempt and it was answered.
func (t *trace) isAnsweredByFirst() bool {
	return len(t.attempts) == 1 && t.attempts[0].outcome == AttemptAnswered
}

// isAnswered reports whether any attempt was answered.
func (t *trace) isAnswered() bool {
	for _, a := range t.attempts {
		if a.outcome == AttemptAnswered {
			return true
		}
	}
	return false
}

// jobTrace writes a job's trace to a log line.
type jobTrace struct {
	service identifier.ServiceName
	trace   *trace
}

// MarshalZerologObject adds the service and its attempts to a log line.
func (j jobTrace) MarshalZerologObject(e *zerolog.Event) {
	e.Str(recorder.FieldService, string(j.service))
	if j.trace.denied != ReasonNone {
		e.Stringer(recorder.FieldDenied, j.trace.denied)
	}
	e.Array(recorder.FieldAttempts, j.trace)
}

// MarshalZerologArray adds the attempts to a log line in the order in which they started.
func (t *trace) MarshalZerologArray(a *zerolog.Array) {
	for _, entry := range t.attempts {
		a.Object(entry)
	}
}

// MarshalZerologObject adds one attempt to a log line.
func (t attemptTrace) MarshalZerologObject(e *zerolog.Event) {
	e.Stringer(recorder.FieldCause, t.cause).
		Str(recorder.FieldServer, string(t.server)).
		Float64(recorder.FieldScore, roundToHundredths(t.score)).
		Int64(recorder.FieldSeen, t.observationAge.Milliseconds()).
		Int64(recorder.FieldAt, t.startedAfter.Milliseconds()).
		Stringer(recorder.FieldOutcome, t.outcome)
	if t.outcome != AttemptRunning {
		e.Int64(recorder.FieldElapsed, t.elapsed.Milliseconds())
	}
	if t.status != 0 {
		e.Int(recorder.FieldStatus, t.status)
	}
	if t.errorText != "" {
		e.Str(recorder.FieldDetail, t.errorText)
	}
}

// roundToHundredths rounds a non-negative number to two decimals.
func roundToHundredths(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }

// jobTraces is a list of jobs for a log line.
type jobTraces []jobTrace

// MarshalZerologArray adds the jobs to a log line.
func (l jobTraces) MarshalZerologArray(a *zerolog.Array) {
	for _, j := range l {
		a.Object(j)
	}
}
