// Package explainer reads the log lines of all processes of a deployment and tells the story
// of one request: what was decided, on what, and what the processes came to believe of the
// servers and configurations concerned shortly before.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/recorder"
)

const (
	// maxLineBytes bounds one line. A longer one counts as unreadable.
	maxLineBytes = 1 << 20
	// lookBack is how long before a request's outcome changed beliefs are of interest.
	lookBack = 10 * time.Second
	// lookAhead is how long after it they are.
	lookAhead = time.Second
	// keeperProgram is the program whose beliefs all docks share.
	keeperProgram = "routekeeper"
)

// ErrUnknownRequest reports a request that no line tells of.
var ErrUnknownRequest = eris.New("no line tells of the request")

// Line is one line of some process's log.
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
	// Admitted is nil where the line is not of a refusal for congestion.
	Admitted *int  `json:"admitted_percent"`
	Shards   int   `json:"shards"`
	Missing  int   `json:"missing"`
	Jobs     []Job `json:"jobs"`
	Count    int   `json:"count"`
	// Owners are the docks that did not deliver all parts.
	Owners   []Owner `json:"owners"`
	Slowness float64 `json:"slowness"`
	Keeper   string  `json:"keeper"`
	Error    string  `json:"error"`
	// Text is the line as it was read.
	Text string `json:"-"`
}

// Owner is a dock that did not deliver all parts of a request.
type Owner struct {
	Host    string `json:"owner"`
	Missing int    `json:"missing"`
	Trouble string `json:"trouble"`
	AtMs    *int64 `json:"at_ms"`
}

// Job is a service's part of a request.
type Job struct {
	Service  string    `json:"service"`
	Denied   string    `json:"denied"`
	Attempts []Attempt `json:"attempts"`
}

// Attempt is one request to one server.
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
	// unreadable counts the lines that are no log lines, or cut, by file.
	unreadable map[string]int
}

// NewLog returns a Log without lines.
func NewLog() *Log { return &Log{unreadable: map[string]int{}} }

// Add reads the lines of a file. Lines that cannot be read are counted. What stands before a
// line's first brace is skipped, since collectors put their own marks there.
func (l *Log) Add(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		l.add(name, scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	return nil
}

// add reads one line.
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

// Unreadable returns how many lines of each file could not be read.
func (l *Log) Unreadable() map[string]int { return l.unreadable }

// Story is what the lines tell of a request.
type Story struct {
	// Outcomes are the lines of the request, one for each dock that answered it, or that got parts
	// of it for another dock and not all in time.
	Outcomes []Line
	// Beliefs are the changed beliefs that bear on it, in the order of their times.
	Beliefs []Line
}

// Explain finds what the lines tell of a request.
func (l *Log) Explain(request string) (Story, error) {
	s := Story{}
	for _, line := range l.lines {
		if line.isOutcome() && line.Request == request {
			s.Outcomes = append(s.Outcomes, line)
		}
	}
	if len(s.Outcomes) == 0 {
		return s, eris.Wrapf(ErrUnknownRequest, "%s", request)
	}
	slices.SortStableFunc(s.Outcomes, byTime)
	for _, line := range l.lines {
		if line.isBelief() && s.concerns(line) {
			s.Beliefs = append(s.Beliefs, line)
		}
	}
	slices.SortStableFunc(s.Beliefs, byTime)
	s.foldOthers()
	return s, nil
}

// isOutcome tells whether a line is what became of a request at one dock.
func (l *Line) isOutcome() bool {
	return l.Event == recorder.EventRequest || l.Event == recorder.EventBatch
}

// isBelief tells whether a line is neither of a request nor a count of requests.
func (l *Line) isBelief() bool { return !l.isOutcome() && l.Event != recorder.EventRequests }

// finding is what a line of a dock tells of a server.
type finding struct{ event, server string }

// foldOthers leaves out what other docks came to believe as well. All docks learn of a slow server
// at once, so that the story of one request was drowned in the lines of a hundred docks. What only
// others believed stays, once: that the answering dock did not know it may be the cause.
func (s *Story) foldOthers() {
	told := map[finding]bool{}
	for _, line := range s.Beliefs {
		if s.answeredAt(line.Host) {
			told[line.finding()] = true
		}
	}
	s.Beliefs = slices.DeleteFunc(s.Beliefs, func(line Line) bool {
		if s.answeredAt(line.Host) || line.Program == keeperProgram {
			return false
		}
		known := told[line.finding()]
		told[line.finding()] = true
		return known
	})
}

// answeredAt tells whether a host answered the request.
func (s *Story) answeredAt(host string) bool {
	return slices.ContainsFunc(s.Outcomes, func(o Line) bool { return o.Host == host })
}

// finding returns what a line tells of a server.
func (l *Line) finding() finding { return finding{event: l.Event, server: l.Server} }

// concerns tells whether a line bears on one of the outcomes.
func (s *Story) concerns(line Line) bool {
	for _, o := range s.Outcomes {
		if line.Time.Before(o.Time.Add(-lookBack)) || line.Time.After(o.Time.Add(lookAhead)) {
			continue
		}
		if o.names(line.Server, line.Service) || line.Host == o.Host && line.Server == "" {
			return true
		}
	}
	return false
}

// names tells whether an outcome's attempts name a server, or its services a service.
func (l *Line) names(server, service string) bool {
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

// byTime orders lines.
func byTime(a, b Line) int { return a.Time.Compare(b.Time) }
