package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"banyandock.example/banyandock/internal/recorder"
)

// timeFormat formats the time of day with milliseconds.
const timeFormat = "15:04:05.000"

// Write writes the explanation as text, one event per line in order of time.
func (e Explanation) Write(w io.Writer) {
	lines := slices.Concat(e.StateChanges, e.Outcomes)
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", line.Time.Format(timeFormat), line.Host, line.describe())
		for _, o := range line.Owners {
			o.write(w)
		}
		for _, j := range line.Jobs {
			j.write(w)
		}
	}
}

// describe renders an outcome or a state change.
func (l *Line) describe() string {
	if l.Event == recorder.EventRequest {
		return fmt.Sprintf("request %s %s", l.Request, l.describeOutcome())
	}
	if l.Event == recorder.EventBatch {
		return fmt.Sprintf("parts of request %s for another dock, %d of %d missing after %d ms", l.Request, l.Missing, l.Shards, l.ElapsedMs)
	}
	return l.describeStateChange()
}

// describeOutcome renders how a request ended and the data behind that decision.
func (l *Line) describeOutcome() string {
	text := l.Outcome
	if l.Reason != "" {
		text += " (" + l.Reason + ")"
	}
	text += fmt.Sprintf(" after %d of %d ms, route %s of configuration %d", l.ElapsedMs, l.TimeoutMs, l.Route, l.Configuration)
	if l.Admitted != nil {
		text += l.describeAdmission()
	}
	if l.Missing > 0 {
		text += fmt.Sprintf(", %d of %d shards missing", l.Missing, l.Shards)
	}
	if len(l.Relays) > 0 {
		text += ", handed over to " + strings.Join(l.Relays, ", ")
	}
	if l.Fingerprint != 0 {
		text += fmt.Sprintf(", fingerprint %d", l.Fingerprint)
	}
	if l.RetryAfterMs > 0 {
		text += fmt.Sprintf(", told to come back after %d ms", l.RetryAfterMs)
	}
	return text
}

// describeAdmission renders the data behind a refusal because of congestion. Admitted must be set.
func (l *Line) describeAdmission() string {
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

// write writes which part an owner of shards did not deliver, and why.
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

// write writes the attempts of a service's job.
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
			a.AtMs, a.Cause, a.Server, a.Score, a.describeLastSeen(), a.describeResult())
	}
}

// describeLastSeen renders how old the dock's latest observation of the server was.
func (a Attempt) describeLastSeen() string {
	if a.SeenMsAgo < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms before", a.SeenMsAgo)
}

// describeResult renders the result of an attempt.
func (a Attempt) describeResult() string {
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

// describeStateChange renders a state change and its fields that are set.
func (l *Line) describeStateChange() string {
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
	if l.Limit > 0 {
		add("requests a second", fmt.Sprintf("%g", l.Limit))
	}
	add("given up", fmt.Sprint(l.GivenUp))
	add("evidence", l.Evidence)
	add("request", l.Request)
	add("fingerprint", fmt.Sprint(l.Fingerprint))
	if l.IsRepeat {
		add("repeat", "true")
	}
	add("error", l.Error)
	return text
}

// WriteUnreadable writes the number of lines that could not be parsed for each file that has any.
func (l *Log) WriteUnreadable(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(l.unreadable)) {
		_, _ = fmt.Fprintf(w, "%s: %d lines could not be read\n", name, l.unreadable[name])
	}
}
