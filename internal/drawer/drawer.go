// Package drawer renders a timeline as a self-contained HTML page. The page has a lane for each
// process, a mark for each event, and a table of the events below.
package drawer

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/collector"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// maxEvents limits the number of events on a page, so that browsers remain responsive.
	maxEvents = 6000
	// lanePixels is the height of a lane in pixels.
	lanePixels = 28
	// jitterPixels is the vertical offset in pixels that separates marks of a lane that are close in
	// time.
	jitterPixels = 5
	// marginShare is the margin without marks on each side, as a fraction of the time span.
	marginShare = 0.01
	// minSpan is the shortest time span of a page.
	minSpan = 10 * time.Millisecond
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page holds the data of the template.
type page struct {
	From, To time.Time
	// StartMilliseconds, since the Unix epoch, and SpanMilliseconds are the time range of the chart
	// including its margins, for the page's script.
	StartMilliseconds int64
	SpanMilliseconds  int64
	Height            int
	Lanes             []lane
	Marks             []mark
	Categories        []categoryCount
	Omitted           int
	Missing           []string
}

// lane is the row of one process in the chart.
type lane struct {
	Program string
	Host    string
	Domain  string
	Top     int
	Middle  int
	IsEven  bool
}

// mark is one event in the chart and the table.
type mark struct {
	Number int
	// Left is the horizontal position in percent of the chart's width.
	Left     string
	Middle   int
	IsCircle bool
	Category Category
	Stamp    string
	Process  string
	Kind     string
	Request  string
	Detail   string
}

// Draw writes a timeline as an HTML page.
func Draw(w io.Writer, timeline collector.Timeline) error {
	events, omitted := limitEvents(timeline.Events)
	p := page{Omitted: omitted}
	p.setSpan(events)
	index := p.setLanes(timeline.Sources, events)
	p.setMarks(events, index)
	for _, s := range timeline.Sources {
		if s.Err != nil {
			p.Missing = append(p.Missing, fmt.Sprintf("%s %s at %s", s.Program, s.Host, s.Address))
		}
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return eris.Wrap(err, "draw time line")
	}
	return nil
}

// limitEvents returns at most maxEvents events and the number of omitted ones. It first omits the
// oldest traffic events, and then the oldest of all events.
func limitEvents(events []tracer.Event) (kept []tracer.Event, omitted int) {
	excess := len(events) - maxEvents
	if excess <= 0 {
		return events, 0
	}
	remaining := excess
	kept = slices.DeleteFunc(slices.Clone(events), func(e tracer.Event) bool {
		if remaining > 0 && e.Kind.IsTraffic() {
			remaining--
			return true
		}
		return false
	})
	return kept[max(0, len(kept)-maxEvents):], excess
}

// setSpan sets the time range of the page.
func (p *page) setSpan(events []tracer.Event) {
	p.From = time.Unix(0, 0).UTC()
	if len(events) > 0 {
		p.From = events[0].Stamp.Time()
		p.To = events[len(events)-1].Stamp.Time()
	}
	if p.To.Sub(p.From) < minSpan {
		p.To = p.From.Add(minSpan)
	}
	span := p.To.Sub(p.From)
	margin := max(time.Millisecond, time.Duration(marginShare*float64(span)))
	p.StartMilliseconds = p.From.Add(-margin).UnixMilli()
	p.SpanMilliseconds = (span + 2*margin).Milliseconds()
}

// process identifies a process by its program and host.
type process struct {
	program string
	host    identifier.HostName
}

// setLanes adds a lane for each source and for each process that occurs only in events. It returns
// the index of each process's lane.
func (p *page) setLanes(sources []collector.Source, events []tracer.Event) map[process]int {
	index := map[process]int{}
	for _, s := range sources {
		p.addLane(index, process{s.Program, s.Host}, string(s.Domain), s.Address.String())
	}
	for _, e := range events {
		p.addLane(index, process{e.Program, e.Host}, "", "")
	}
	p.Height = len(p.Lanes) * lanePixels
	return index
}

// addLane adds a lane unless the process already has one. It uses the address in place of the host
// name if the process was unreachable, because its host name is unknown then.
func (p *page) addLane(index map[process]int, key process, domain, address string) {
	if key.host == "" {
		key.host = identifier.HostName(address)
	}
	if _, exists := index[key]; exists {
		return
	}
	n := len(p.Lanes)
	index[key] = n
	p.Lanes = append(p.Lanes, lane{
		Program: key.program,
		Host:    string(key.host),
		Domain:  domain,
		Top:     n * lanePixels,
		Middle:  n*lanePixels + lanePixels/2,
		IsEven:  n%2 == 0,
	})
}

// setMarks adds a mark for each event and the number of events of each category.
func (p *page) setMarks(events []tracer.Event, index map[process]int) {
	counts := map[Category]int{}
	for i, e := range events {
		c := categoryOf(e.Kind)
		counts[c]++
		at := e.Stamp.Time().UnixMilli() - p.StartMilliseconds
		m := mark{
			Number:   i,
			Left:     fmt.Sprintf("%.5f%%", 100*float64(at)/float64(p.SpanMilliseconds)),
			Middle:   p.Lanes[index[process{e.Program, e.Host}]].Middle,
			IsCircle: e.Kind.IsTraffic(),
			Category: c,
			Stamp:    fmt.Sprintf("%s.%04x", e.Stamp.Time().Format("15:04:05.000"), e.Stamp.Logical()),
			Process:  e.Program + " " + string(e.Host),
			Kind:     e.Kind.String(),
			Detail:   detail(e),
		}
		if m.IsCircle {
			m.Middle += (i%3 - 1) * jitterPixels
		}
		if e.Request != (identifier.RequestID{}) {
			m.Request = e.Request.String()
		}
		p.Marks = append(p.Marks, m)
	}
	for _, c := range CategoryValues() {
		p.Categories = append(p.Categories, categoryCount{Category: c, Count: counts[c]})
	}
}

// detail renders the text and fields of an event.
func detail(e tracer.Event) string {
	text := e.Text
	for _, f := range e.Fields {
		if text != "" {
			text += " "
		}
		text += f.Name + "=" + f.Value
	}
	return text
}
