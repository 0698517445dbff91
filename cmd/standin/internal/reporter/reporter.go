// Package reporter stores the results of load runs as CSV and prints them as tables.
package reporter

import (
	"fmt"

	"banyandock.example/banyandock/cmd/standin/internal/loader"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
)

const (
	// microsecondsPerMillisecond converts histogram values to the unit of the reports.
	microsecondsPerMillisecond = 1000
	millisecondsPerSecond      = 1000
)

// Line is the result of one class in one cell of an experiment, measured on one side.
type Line struct {
	Cell  string
	Side  string
	Class string

	Sent     int
	Complete int
	Partial  int
	NotRun   int
	Failed   int
	InDoubt  int
	NoAnswer int

	// Goodput is the number of complete answers in time per second.
	Goodput  float64
	Coverage float64
	// Latencies are in milliseconds and include all queries that were not refused.
	P50, P90, P99, P999, Maximum float64
	// RefusedP99 is the 99th percentile of the time to a refusal, in milliseconds.
	RefusedP99 float64

	// The fields below cover all classes of the cell and side together.

	// Overhead is the number of subrequests received by servers per useful subrequest.
	Overhead float64
	// Violations is the number of violated guarantees and of repeated executions under one
	// idempotency key.
	Violations int
	// LagP99 is the 99th percentile of the delay with which the load generator sent queries, in
	// milliseconds.
	LagP99 float64
}

// NewLines returns one line for each class of a run.
func NewLines(cell, side string, r *loader.Result) []Line {
	violations := Violations(r)
	var lines []Line
	for _, c := range r.Classes {
		quantile := func(q float64) float64 {
			return float64(c.Answered.ValueAtQuantile(q)) / microsecondsPerMillisecond
		}
		lines = append(lines, Line{
			Cell:       cell,
			Side:       side,
			Class:      c.Name,
			Sent:       c.Sent,
			Complete:   c.Outcomes[merger.OutcomeComplete],
			Partial:    c.Outcomes[merger.OutcomePartial],
			NotRun:     c.Outcomes[merger.OutcomeNotRun],
			Failed:     c.Outcomes[merger.OutcomeFailed],
			InDoubt:    c.Outcomes[merger.OutcomeInDoubt],
			NoAnswer:   c.Outcomes[merger.OutcomeNoAnswer],
			Goodput:    r.Goodput(c),
			Coverage:   c.Coverage(),
			P50:        quantile(50),
			P90:        quantile(90),
			P99:        quantile(99),
			P999:       quantile(99.9),
			Maximum:    float64(c.Answered.Max()) / microsecondsPerMillisecond,
			RefusedP99: float64(c.Refused.ValueAtQuantile(99)) / microsecondsPerMillisecond,
			Overhead:   r.Overhead(),
			Violations: violations,
			LagP99:     float64(r.Lag.ValueAtQuantile(99)) / microsecondsPerMillisecond,
		})
	}
	return lines
}

// Violations returns the number of violated guarantees in a run.
func Violations(r *loader.Result) int {
	violations := r.Repeated + int(r.ServerCounts.Violations)
	for _, n := range r.Violations {
		violations += n
	}
	return violations
}

// Summary formats the results that the lines do not contain.
func Summary(r *loader.Result) string {
	s := r.ServerCounts
	text := fmt.Sprintf("servers: %d subrequests, %d started, %d useful; at most %d running and %d connections at a server, %d connections refused, %d shed, %d late after drain, %d crashes\n",
		r.Subrequests, r.StartedSubrequests, r.UsefulSubrequests,
		s.MaximumRunning, s.MaximumConnections, s.RefusedConnections, s.Shed, s.LateAfterDrain, s.Crashes)
	if r.StartedSubrequests > 0 {
		text += fmt.Sprintf("a slot was held for %.2f ms on average\n", r.MeanSlotTime().Seconds()*millisecondsPerSecond)
	}
	for _, c := range r.Classes {
		for code, n := range c.Codes {
			text += fmt.Sprintf("%s: %d answers with code %s\n", c.Name, n, code)
		}
	}
	for v, n := range r.Violations {
		text += fmt.Sprintf("VIOLATION %s: %d answers\n", v, n)
	}
	if r.Repeated > 0 {
		text += fmt.Sprintf("VIOLATION %d executions repeated under one idempotency key\n", r.Repeated)
	}
	return text
}
