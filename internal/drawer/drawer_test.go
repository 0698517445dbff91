package drawer

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/collector"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tracer"
)

var (
	start   = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	request = identifier.RequestID{1, 2, 3}
	sources = []collector.Source{
		{Program: "keeper", Host: "plade-01", Domain: "dk-central-1"},
		{Program: "keeper", Address: netip.MustParseAddrPort("127.1.2.1:7400"), Err: errors.New("cut off")},
		{Program: "dock", Host: "plade-01", Domain: "dk-central-1"},
	}
)

// eventAt returns an event of the dock at a number of milliseconds after the start.
func eventAt(milliseconds int, kind tracer.Kind, id identifier.RequestID, text string) tracer.Event {
	stamp := tracer.NewTimestamp(start.Add(time.Duration(milliseconds) * time.Millisecond))
	return tracer.Event{Stamp: stamp, Program: "dock", Host: "plade-01", Kind: kind, Request: id, Text: text}
}

func draw(t *testing.T, events ...tracer.Event) string {
	t.Helper()
	var b strings.Builder
	assert.NilError(t, Draw(&b, collector.Timeline{Sources: sources, Events: events}))
	return b.String()
}

// expectParts checks that all parts occur in the text of a page.
func expectParts(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "no %s", part)
	}
}

func TestPageShowsLanesAndEvents(t *testing.T) {
	other := eventAt(100, tracer.LeaderLost, identifier.RequestID{}, "no quorum")
	other.Program, other.Host = "keeper", "plade-09"
	text := draw(t, eventAt(0, tracer.RequestReceived, request, "admitted"), eventAt(50, tracer.RequestAnswered, request, ""), other)
	expectParts(t, text,
		"<h1>Time line of 4 processes</h1>",
		"<b>plade-01</b><span>keeper, dk-central-1</span>",
		"<b>127.1.2.1:7400</b>", "<b>plade-09</b><span>keeper</span>",
		"No events from: keeper  at 127.1.2.1:7400",
		`data-request="`+request.String()+`"`,
		`<td>22:00:00.000.0000</td><td class="process">dock plade-01</td><td class="kind requests">request_received</td>`,
		`class="mark failures"`, "3 events",
	)
	assert.Equal(t, strings.Count(text, `<circle class="mark`), 2)
	assert.Equal(t, strings.Count(text, `<rect class="mark`), 1)
}

func TestPageLoadsNoExternalResources(t *testing.T) {
	text := draw(t, eventAt(0, tracer.ProcessStarted, identifier.RequestID{}, ""))
	without := strings.ReplaceAll(text, "http://www.w3.org/2000/svg", "")
	for _, part := range []string{"http:", "https:", "<link", "src=", "@import", "url("} {
		assert.Assert(t, !strings.Contains(without, part), part)
	}
}

func TestPageEscapesTexts(t *testing.T) {
	e := eventAt(0, tracer.ProcessStarted, identifier.RequestID{}, "</td><script>alert(1)</script>")
	e.Host = `"><img onerror=alert(1)>`
	text := draw(t, e)
	assert.Equal(t, strings.Count(text, "<script>"), 1)
	assert.Assert(t, !strings.Contains(text, "<img"))
}

func TestMarksAreWithinTheChart(t *testing.T) {
	left := regexp.MustCompile(`(?:cx|" x)="([0-9.e+-]+)%"`)
	for _, span := range []int{0, 1, 1000, 86_400_000} {
		text := draw(t, eventAt(0, tracer.RequestReceived, request, ""), eventAt(span, tracer.ProcessStopped, identifier.RequestID{}, ""))
		found := left.FindAllStringSubmatch(text, -1)
		assert.Equal(t, len(found), 2)
		for _, f := range found {
			percent, err := strconv.ParseFloat(f[1], 64)
			assert.NilError(t, err)
			assert.Assert(t, percent > 0 && percent < 100, "%v", percent)
		}
	}
	expectParts(t, draw(t), "0 events")
}

func TestPageLimitsEvents(t *testing.T) {
	events := []tracer.Event{eventAt(0, tracer.LeaderElected, identifier.RequestID{}, "first")}
	for i := range maxEvents + 10 {
		events = append(events, eventAt(i, tracer.RequestReceived, request, fmt.Sprint("number", i, ".")))
	}
	text := draw(t, events...)
	assert.Equal(t, strings.Count(text, "<tr data-n"), maxEvents)
	expectParts(t, text, "leader_elected", "11 older events", fmt.Sprint("number", maxEvents+9, "."))
	assert.Assert(t, !strings.Contains(text, "number10."))
}
