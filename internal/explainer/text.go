package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"banyandock.example/banyandock/internal/recorder"
)

// timeFormat shows the time of day.
const timeFormat = "15:04:05.000"

// Write tells the story in plain lines, in the order of their times.
func (s Story) Write(w io.Writer) {
	lines := slices.Concat(s.Beliefs, s.Outcomes)
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", line.Time.Format(timeFormat), line.Host, line.telling())
		for _, o := range line.Owners {
			o.write(w)
		}
		for _, j := range line.Jobs {
			j.write(w)
		}
	}
}

// telling tells of an outcome or of a changed belief.
func (l *Line) telling() string {
	if l.Event == recorder.EventRequest {
		return fmt.Sprintf("request %s %s", l.Request, l.outcome())
	}
	if l.Event == recorder.EventBatch {
		return fmt.Sprintf("parts of request %s for another dock, %d of %d missing after %d ms", l.Request, l.Missing, l.Shards, l.ElapsedMs)
	}
	return l.belief()
}

// outcome tells how a request ended and what that rested on.
func (l *Line) outcome() string {
	text := l.Outcome
	if l.Reason != "" {
		text += " (" + l.Reason + ")"
	}
	text += fmt.Sprintf(" after %d of %d ms, route %s of configuration %d", l.ElapsedMs, l.TimeoutMs, l.Route, l.Configuration)
	if l.Admitted != nil {
		text += l.admission()
	}
	if l.Missing > 0 {
		text += fmt.Sprintf(", %d of %d shards missing", l.Missing, l.Shards)
	}
	if l.RetryAfterMs > 0 {
		text += fmt.Sprintf(", told to come back after %d ms", l.RetryAfterMs)
	}
	return text
}

// admission tells what a refusal for congestion rested on.
func (l *Line) admission() string {
	text := ", servers congested"
	if !l.IsCongested {
		text = ", servers no longer congested"
	}
	text += fmt.Sprintf(", %d%% of the route admitted", *l.Admitted)
	if l.IsReturn {
		text += ", turned away before"
	}
	return text
}

// write tells what was wrong with an owner of shards.
func (o Owner) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "  %s, which owns shards, left out %d", o.Host, o.Missing)
	if o.AtMs != nil {
		_, _ = fmt.Fprintf(w, ", replied last at %d ms", *o.AtMs)
	}
	if o.Trouble != "" {
		_, _ = fmt.Fprintf(w, " (%s)", o.Trouble)
	}
	_, _ = fmt.Fprintln(w)
}

// write tells of a service's attempts.
func (j Job) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "  %s:", j.Service)
	if len(j.Attempts) == 0 {
		_, _ = fmt.Fprint(w, " nobody was asked")
	}
	if j.Denied != "" {
		_, _ = fmt.Fprintf(w, " no further server was asked (%s)", j.Denied)
	}
	_, _ = fmt.Fprintln(w)
	for _, a := range j.Attempts {
		_, _ = fmt.Fprintf(w, "    at %d ms %s to %s (expected %.1f times the usual latency, last seen %s): %s\n",
			a.AtMs, a.Cause, a.Server, a.Score, a.seen(), a.ending())
	}
}

// seen tells how old the dock's observation of the server was.
func (a Attempt) seen() string {
	if a.SeenMsAgo < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms before", a.SeenMsAgo)
}

// ending tells what became of an attempt.
func (a Attempt) ending() string {
	text := a.Outcome
	if a.Outcome == "running" {
		return text + " when the request ended"
	}
	text += fmt.Sprintf(" after %d ms", a.ElapsedMs)
	if a.Status != 0 {
		text += fmt.Sprintf(", status %d", a.Status)
	}
	if a.Detail != "" {
		text += ", " + a.Detail
	}
	return text
}

// belief tells of a changed belief.
func (l *Line) belief() string {
	text := l.Event
	add := func(name, value string) {
		if value != "" && value != "0" {
			text += fmt.Sprintf(", %s %s", name, value)
		}
	}
	add("server", l.Server)
	add("service", l.Service)
	add("keeper", l.Keeper)
	add("configuration", fmt.Sprint(l.Configuration))
	add("before", fmt.Sprint(l.Before))
	add("count", fmt.Sprint(l.Count))
	if l.Slowness > 0 {
		add("times the usual latency", fmt.Sprintf("%.0f", l.Slowness))
	}
	add("error", l.Error)
	return text
}

// WriteUnreadable tells of lines that could not be read.
func (l *Log) WriteUnreadable(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(l.unreadable)) {
		_, _ = fmt.Fprintf(w, "%s: %d lines could not be read\n", name, l.unreadable[name])
	}
}
