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
//go:generate ../../bin/enumer -type Ending -trimprefix Ending -transform snake -output ending_enumer.go

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
type Ending uint8

// Endings.
const (
	// EndingRunning means that there was no reply yet.
	EndingRunning Ending = iota
	// EndingAnswered is a success.
	EndingAnswered
	// EndingFailed is a reply that is a failure.
	EndingFailed
	// EndingNotRun is a reply that says that the request did not run.
	EndingNotRun
	// EndingNotSent means that no byte left for the server.
	EndingNotSent
	// EndingLost means that the request left and no reply to it came.
	EndingLost
	// EndingCancelled means that nobody waited any more.
	EndingCancelled
)

// step is one attempt as it is told in the log.
type step struct {
	cause   Cause
	server  encoder.ServerID
	score   float64
	seen    time.Duration
	started time.Duration
	elapsed time.Duration
	ending  Ending
	status  int
	detail  string
}

// trace records the attempts of one job.
type trace struct {
	steps []step
	// denied says why a further server was not asked.
	denied Reason
}

// begin records an attempt and returns its number.
func (t *trace) begin(cause Cause, target selector.Target, at time.Duration) int {
	t.steps = append(t.steps, step{cause: cause, server: target.ID, score: target.Score, seen: target.Seen, started: at})
	return len(t.steps) - 1
}

// end records what became of an attempt.
func (t *trace) end(r attemptResult) {
	s := &t.steps[r.attempt.number]
	s.elapsed, s.ending = r.elapsed, r.ending
	if r.reply != nil {
		s.status = r.reply.Status
	}
	if r.err != nil {
		s.detail = r.err.Error()
	}
}

// isPlain tells whether the first server that was asked answered.
func (t *trace) isPlain() bool {
	return len(t.steps) == 1 && t.steps[0].ending == EndingAnswered
}

// isAnswered tells whether some server answered.
func (t *trace) isAnswered() bool {
	for _, s := range t.steps {
		if s.ending == EndingAnswered {
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
	for _, s := range t.steps {
		a.Object(s)
	}
}

// MarshalZerologObject writes one attempt.
func (s step) MarshalZerologObject(e *zerolog.Event) {
	e.Stringer(recorder.FieldCause, s.cause).
		Str(recorder.FieldServer, string(s.server)).
		Float64(recorder.FieldScore, roundTo(s.score)).
		Int64(recorder.FieldSeen, s.seen.Milliseconds()).
		Int64(recorder.FieldAt, s.started.Milliseconds()).
		Stringer(recorder.FieldOutcome, s.ending)
	if s.ending != EndingRunning {
		e.Int64(recorder.FieldElapsed, s.elapsed.Milliseconds())
	}
	if s.status != 0 {
		e.Int(recorder.FieldStatus, s.status)
	}
	if s.detail != "" {
		e.Str(recorder.FieldDetail, s.detail)
	}
}

// roundTo keeps two decimals.
func roundTo(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }

// jobTraces is the list of jobs that a line tells of.
type jobTraces []jobTrace

// MarshalZerologArray writes the jobs.
func (l jobTraces) MarshalZerologArray(a *zerolog.Array) {
	for _, j := range l {
		a.Object(j)
	}
}
