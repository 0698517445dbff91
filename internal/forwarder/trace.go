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

// Cause says why a server was asked.
type Cause uint8

// Causes.
const (
	// CauseFirst is the first server that a service's part of a request goes to.
	CauseFirst Cause = iota
	// CauseHedge is a second server, asked because the first is slow.
	CauseHedge
	// CauseRetry is another server, asked because an earlier one failed.
	CauseRetry
)

// Ending says what became of an attempt.
type AttemptOutcome uint8

// Endings.
const (
	// EndingRunning means that there was no reply yet.
	AttemptRunning AttemptOutcome = iota
	// EndingAnswered is a success.
	AttemptAnswered
	// EndingFailed is a reply that is a failure.
	AttemptFailed
	// EndingNotRun is a reply that says that the request did not run.
	AttemptNotRun
	// EndingNotSent means that no byte left for the server.
	AttemptNotSent
	// EndingLost means that the request left and no reply to it came.
	AttemptLost
	// EndingCancelled means that nobody waited any more.
	AttemptCancelled
)

// step is one attempt as it is told in the log.
type attemptTrace struct {
	cause          Cause
	server         encoder.ServerID
	score          float64
	observationAge time.Duration
	startedAfter   time.Duration
	elapsed        time.Duration
	outcome        AttemptOutcome
	status         int
	errorText      string
}

// trace records the attempts of one job.
type trace struct {
	attempts []attemptTrace
	// denied says why a further server was not asked.
	denied Reason
}

// begin records an attempt and returns its number.
func (t *trace) begin(cause Cause, target selector.Target, sinceArrival time.Duration) int {
	t.attempts = append(t.attempts, attemptTrace{cause: cause, server: target.ID, score: target.Score, observationAge: target.Seen, startedAfter: sinceArrival})
	return len(t.attempts) - 1
}

// end records what became of an attempt.
func (t *trace) end(r attemptResult) {
	a := &t.attempts[r.attempt.index]
	a.elapsed, a.outcome = r.elapsed, r.outcome
	if r.reply != nil {
		a.status = r.reply.Status
	}
	if r.err != nil {
		a.errorText = r.err.Error()
	}
}

// isPlain tells whether the first server that was asked answered.
func (t *trace) isAnsweredByFirst() bool {
	return len(t.attempts) == 1 && t.attempts[0].outcome == AttemptAnswered
}

// isAnswered tells whether some server answered.
func (t *trace) isAnswered() bool {
	for _, a := range t.attempts {
		if a.outcome == AttemptAnswered {
			return true
		}
	}
	return false
}

// jobTrace is a job's attempts in the form of the log.
type jobTrace struct {
	service identifier.ServiceName
	trace   *trace
}

// MarshalZerologObject writes the service and its attempts.
func (j jobTrace) MarshalZerologObject(e *zerolog.Event) {
	e.Str(recorder.FieldService, string(j.service))
	if j.trace.denied != ReasonNone {
		e.Stringer(recorder.FieldDenied, j.trace.denied)
	}
	e.Array(recorder.FieldAttempts, j.trace)
}

// MarshalZerologArray writes the attempts in the order of their starts.
func (t *trace) MarshalZerologArray(a *zerolog.Array) {
	for _, entry := range t.attempts {
		a.Object(entry)
	}
}

// MarshalZerologObject writes one attempt.
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

// roundTo keeps two decimals.
func roundToHundredths(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }

// jobTraces is the list of jobs that a line tells of.
type jobTraces []jobTrace

// MarshalZerologArray writes the jobs.
func (l jobTraces) MarshalZerologArray(a *zerolog.Array) {
	for _, j := range l {
		a.Object(j)
	}
}
