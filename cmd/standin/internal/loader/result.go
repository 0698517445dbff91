package loader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"banyandock.example/banyandock/cmd/standin/internal/checker"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
)

const (
	// histogramLimit is the largest latency that histograms record. Longer latencies count as this
	// one.
	histogramLimit = 60 * time.Second
	// histogramDigits is the number of significant decimal digits of the recorded values.
	histogramDigits = 3
	// maximumRefused is the maximum number of refused requests whose identifiers are kept.
	maximumRefused = 100_000
)

// Result holds the measurements of a run.
type Result struct {
	Classes []*ClassResult
	Seconds float64
	// ServerCounts is the sum of the counters of the service's servers at the end of the run.
	ServerCounts responder.Counts
	// Subrequests is the number of subrequests that backend servers received during the run,
	// including the warm-up. StartedSubrequests is the number of them that were started.
	Subrequests        uint64
	StartedSubrequests uint64
	// Busy is the total time that the servers' slots were occupied during the run.
	Busy time.Duration
	// UsefulSubrequests is the number of shards covered by all answers, including the warm-up.
	UsefulSubrequests uint64
	// Repeated is the number of subrequests that were started again under the same idempotency key.
	Repeated int
	// Violations is the number of violated guarantees of each kind, including the warm-up.
	Violations map[checker.Violation]int
	// Lag is the delay with which queries were sent, in microseconds.
	Lag *hdrhistogram.Histogram

	mutex   sync.Mutex
	refused []string
}

// ClassResult holds the measurements of one class. Latencies are in microseconds.
type ClassResult struct {
	Name     string
	Sent     int
	Outcomes map[merger.Outcome]int
	Codes    map[string]int
	// Answered holds the latencies of all queries that were not refused. A query without an answer
	// counts with the time after which the loader gave it up.
	Answered *hdrhistogram.Histogram
	// Refused holds the latencies of refusals.
	Refused *hdrhistogram.Histogram
	// CompleteInTime is the number of complete answers that arrived within their deadlines.
	CompleteInTime int
	Shards         uint64
	Covered        uint64
}

func newResult(s *settingsreader.Load) *Result {
	r := &Result{
		Seconds:    s.Duration.Seconds(),
		Violations: make(map[checker.Violation]int),
		Lag:        newHistogram(),
	}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, &ClassResult{
			Name:     c.Name,
			Outcomes: make(map[merger.Outcome]int),
			Codes:    make(map[string]int),
			Answered: newHistogram(),
			Refused:  newHistogram(),
		})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramLimit.Microseconds(), histogramDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue cannot fail because the value is limited to the range of the histogram.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramLimit.Microseconds()))
}

func (r *Result) record(q *query, a merger.Answer, v checker.Violation, latency, lag time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.UsefulSubrequests += uint64(a.Coverage.Covered)
	if v != checker.ViolationNone {
		r.Violations[v]++
	}
	if a.Outcome == merger.OutcomeNotRun && len(r.refused) < maximumRefused {
		r.refused = append(r.refused, a.Request)
	}
	if !q.isMeasured {
		return
	}
	recordLatency(r.Lag, lag)
	r.Classes[q.class].record(a, latency, q.loader.settings.Classes[q.class].Timeout)
}

func (c *ClassResult) record(a merger.Answer, latency, timeout time.Duration) {
	c.Sent++
	c.Outcomes[a.Outcome]++
	if a.Code != "" {
		c.Codes[a.Code]++
	}
	if a.Outcome == merger.OutcomeNotRun {
		recordLatency(c.Refused, latency)
		return
	}
	recordLatency(c.Answered, latency)
	if a.Outcome == merger.OutcomeComplete && latency <= timeout {
		c.CompleteInTime++
	}
	c.Shards += uint64(a.Coverage.Shards)
	c.Covered += uint64(a.Coverage.Covered)
}

// Goodput returns the number of complete answers in time per second.
func (r *Result) Goodput(c *ClassResult) float64 {
	return float64(c.CompleteInTime) / r.Seconds
}

// Coverage returns the mean share of covered shards in the answers of a class.
func (c *ClassResult) Coverage() float64 {
	if c.Shards == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Shards)
}

// MeanSlotTime returns the mean time that a started subrequest occupied a slot.
func (r *Result) MeanSlotTime() time.Duration {
	return r.Busy / time.Duration(max(r.StartedSubrequests, 1))
}

// Overhead returns the number of subrequests per subrequest whose result reached a caller. It
// returns 0 if no result reached a caller.
func (r *Result) Overhead() float64 {
	if r.UsefulSubrequests == 0 {
		return 0
	}
	return float64(r.Subrequests) / float64(r.UsefulSubrequests)
}
