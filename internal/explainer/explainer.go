// Package explainer reads the log lines of all processes of a deployment and explains the outcome
// of one request: the decisions that were made, the data behind them, and the state changes of the
// servers and configurations involved that the processes logged around that time.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/recorder"
)

const (
	// maxLineBytes limits the length of a line. A longer line counts as one that cannot be parsed.
	maxLineBytes = 1 << 20
	// lookBack is how long before a request's outcome a state change is still relevant.
	lookBack = 10 * time.Second
	// lookAhead is how long after a request's outcome a state change is still relevant.
	lookAhead = time.Second
	// keeperProgram is the program whose state changes apply to all docks.
	keeperProgram = "routekeeper"
)

// ErrUnknownRequest is the error for a request of which no log line reports an outcome.
var ErrUnknownRequest = eris.New("no line tells of the request")

// Line is one line of a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Program string    `json:"program"`
	Host    string    `json:"host"`
	Event   string    `json:"message"`
	Request string    `json:"request"`
	Route   string    `json:"route"`
	Server  string    `json:"server"`
	Service string    `json:"service"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`

	Configuration uint64 `json:"configuration"`
	Before        uint64 `json:"before"`
	ElapsedMs     int64  `json:"elapsed_ms"`
	TimeoutMs     int64  `json:"timeout_ms"`
	RetryAfterMs  int64  `json:"retry_after_ms"`
	IsCongested   bool   `json:"congested"`
	IsReturn      bool   `json:"returned"`
	// Admitted is nil if the line does not report a refusal because of congestion.
	Admitted *int  `json:"admitted_percent"`
	Shards   int   `json:"shards"`
	Missing  int   `json:"missing"`
	Jobs     []Job `json:"jobs"`
	Count    int   `json:"count"`
	// Relays are the docks that the request was handed over to.
	Relays []string `json:"relays"`
	// Owners are the docks that did not deliver the results of all their shards.
	Owners   []Owner `json:"owners"`
	Slowness float64 `json:"slowness"`
	// Limit is the requests per second that a server takes from all docks together.
	Limit    float64 `json:"limit"`
	Keeper   string  `json:"keeper"`
	IsRepeat bool    `json:"repeat"`
	// Fingerprint and PathFingerprint identify equal requests, with and without the query.
	Fingerprint     uint64 `json:"fingerprint"`
	PathFingerprint uint64 `json:"path_fingerprint"`
	Error           string `json:"error"`
	// Evidence tells how the end of a server became known, and GivenUp how many of the requests without
	// an answer the dock no longer waited for.
	Evidence string `json:"evidence"`
	GivenUp  int    `json:"given_up"`
	// Text is the line as it was read.
	Text string `json:"-"`
}

// Owner is a dock that did not deliver the results of all its shards of a request.
type Owner struct {
	Host    string `json:"owner"`
	Missing int    `json:"missing"`
	Trouble string `json:"trouble"`
	AtMs    *int64 `json:"at_ms"`
}

// Job is the part of a request that is sent to one service.
type Job struct {
	Service  string    `json:"service"`
	Denied   string    `json:"denied"`
	Attempts []Attempt `json:"attempts"`
}

// Attempt is one request to one backend server.
type Attempt struct {
	Cause     string  `json:"cause"`
	Server    string  `json:"server"`
	Score     float64 `json:"score"`
	SeenMsAgo int64   `json:"seen_ms_ago"`
	AtMs      int64   `json:"at_ms"`
	Outcome   string  `json:"outcome"`
	ElapsedMs int64   `json:"elapsed_ms"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
}

// Log holds the lines of several files.
type Log struct {
	lines []Line
	// unreadable is the number of lines per file that are truncated or not log lines.
	unreadable map[string]int
}

// NewLog returns a Log without lines.
func NewLog() *Log { return &Log{unreadable: map[string]int{}} }

// Add reads the lines of a file and counts those that cannot be parsed. It skips the text before a
// line's first brace, because log collectors insert their own prefixes there. It returns an error
// if reading fails.
func (l *Log) Add(name string, r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	isContinued := false
	for {
		text, isPartial, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "read %s", name)
		}
		switch {
		case isContinued:
		case isPartial:
			l.unreadable[name]++
		default:
			l.add(name, text)
		}
		isContinued = isPartial
	}
}

// add parses one line.
func (l *Log) add(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			l.unreadable[name]++
		}
		return
	}
	line := Line{Text: string(text[start:])}
	if json.Unmarshal(text[start:], &line) != nil || line.Event == "" {
		l.unreadable[name]++
		return
	}
	l.lines = append(l.lines, line)
}

// Unreadable returns the number of lines of each file that could not be parsed.
func (l *Log) Unreadable() map[string]int { return l.unreadable }

// Explanation holds the lines that explain the outcome of a request.
type Explanation struct {
	// Outcomes are the lines about the request itself: one for each dock that answered it, or that
	// gathered parts of it for another dock but did not get all of them in time.
	Outcomes []Line
	// StateChanges are the relevant changes of a process's view of servers, keepers and
	// configurations, in order of time.
	StateChanges []Line
}

// Explain returns the lines that explain the outcome of a request. Its error wraps
// ErrUnknownRequest if no line reports an outcome.
func (l *Log) Explain(request string) (Explanation, error) {
	e := Explanation{}
	for _, line := range l.lines {
		if line.isOutcome() && line.Request == request {
			e.Outcomes = append(e.Outcomes, line)
		}
	}
	if len(e.Outcomes) == 0 {
		return e, eris.Wrapf(ErrUnknownRequest, "%s", request)
	}
	slices.SortStableFunc(e.Outcomes, byTime)
	for _, line := range l.lines {
		if line.isStateChange() && e.isRelevant(line) {
			e.StateChanges = append(e.StateChanges, line)
		}
	}
	slices.SortStableFunc(e.StateChanges, byTime)
	e.removeDuplicates()
	return e, nil
}

// isOutcome reports whether the line is the outcome of a request at one dock.
func (l *Line) isOutcome() bool {
	return l.Event == recorder.EventRequest || l.Event == recorder.EventBatch
}

// isStateChange reports whether the line is neither about a request nor a count of requests.
func (l *Line) isStateChange() bool { return !l.isOutcome() && l.Event != recorder.EventRequests }

// observation is an event that a process logged about a server.
type observation struct{ event, server string }

// removeDuplicates removes observations of docks that did not answer the request, if an answering
// dock or an earlier line has the same one. All docks detect a slow server at the same time, and
// the lines of a hundred docks made the explanation of one request unreadable. An observation that
// only other docks made is kept once, because the answering dock's lack of it may be the cause.
func (e *Explanation) removeDuplicates() {
	seen := map[observation]bool{}
	for _, line := range e.StateChanges {
		if e.answeredAt(line.Host) {
			seen[line.observation()] = true
		}
	}
	e.StateChanges = slices.DeleteFunc(e.StateChanges, func(line Line) bool {
		if e.answeredAt(line.Host) || line.Program == keeperProgram {
			return false
		}
		isDuplicate := seen[line.observation()]
		seen[line.observation()] = true
		return isDuplicate
	})
}

// answeredAt reports whether the dock on a host logged an outcome of the request.
func (e *Explanation) answeredAt(host string) bool {
	return slices.ContainsFunc(e.Outcomes, func(o Line) bool { return o.Host == host })
}

// observation returns the line's event and server.
func (l *Line) observation() observation { return observation{event: l.Event, server: l.Server} }

// isRelevant reports whether the line is close in time to one of the outcomes and either is about a
// server or service of that outcome, or comes from the same host and names no server. A line about
// the fingerprint of a quarantined request is relevant at any time before.
func (e *Explanation) isRelevant(line Line) bool {
	for _, o := range e.Outcomes {
		if o.hasFingerprint(line.Fingerprint) && line.Time.Before(o.Time) {
			return true
		}
		if line.Time.Before(o.Time.Add(-lookBack)) || line.Time.After(o.Time.Add(lookAhead)) {
			continue
		}
		if o.mentions(line.Server, line.Service) || line.Host == o.Host && line.Server == "" {
			return true
		}
	}
	return false
}

// hasFingerprint reports whether the outcome has a fingerprint, which must not be zero.
func (l *Line) hasFingerprint(fingerprint uint64) bool {
	return fingerprint != 0 && (fingerprint == l.Fingerprint || fingerprint == l.PathFingerprint)
}

// mentions reports whether the outcome has an attempt to the server or a job for the service. An
// empty name matches nothing.
func (l *Line) mentions(server, service string) bool {
	for _, j := range l.Jobs {
		if service != "" && j.Service == service {
			return true
		}
		for _, a := range j.Attempts {
			if server != "" && a.Server == server {
				return true
			}
		}
	}
	return false
}

// byTime compares lines by time.
func byTime(a, b Line) int { return a.Time.Compare(b.Time) }
