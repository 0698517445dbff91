// Package tracer keeps the recent events of a process in memory, stamped by a hybrid logical clock,
// so that the events of all processes can be merged into one timeline.
package tracer

import (
	"context"
	"strings"
	"sync"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
)

const (
	// controlEvents is the number of events kept of kinds that do not occur for each request.
	controlEvents = 4096
	// trafficEvents is the number of events kept of kinds that occur for each request. They are
	// kept in a separate ring, so that traffic does not displace events such as an election.
	trafficEvents = 16384
	// maxReplyEvents limits the number of events in an EventsReply.
	maxReplyEvents = 4096
	// maxReplyBytes limits the size of the texts in an EventsReply to well below a frame's size.
	maxReplyBytes = 4 << 20
	// maxFields limits the number of fields of an event.
	maxFields = 16
	// maxEventTextBytes limits the size of each text of an event.
	maxEventTextBytes = 512
)

// EventsRequest requests the events of a process.
type EventsRequest struct {
	// Since excludes events with this reading and earlier ones.
	Since Timestamp
	// Limit is the maximum number of events to return, the oldest first. A reply holds at most
	// maxReplyEvents, also if Limit is 0.
	Limit int
	// Request selects the events of one request, unless it is zero.
	Request identifier.RequestID
}

// EventsReply holds events in order of their stamps.
type EventsReply struct {
	Events []Event
	// IsMore is true if there are selected events after the last one.
	IsMore bool
}

// Tracer records the events of one process in memory. It is safe for concurrent use.
type Tracer struct {
	// Set at creation.
	clock   *HybridClock
	program string
	host    identifier.HostName

	// Guarded by mutex.
	mutex   sync.Mutex
	control ring
	traffic ring
}

// New returns a tracer without events.
func New(program string, host identifier.HostName, clock *HybridClock) *Tracer {
	return &Tracer{
		clock:   clock,
		program: program,
		host:    host,
		control: ring{capacity: controlEvents},
		traffic: ring{capacity: trafficEvents},
	}
}

// Clock returns the tracer's clock.
func (t *Tracer) Clock() *HybridClock { return t.clock }

// Record stores an event. The request is zero if the event does not concern a single request. The
// caller must not change the fields afterwards, because Record keeps them. A nil tracer stores
// nothing.
func (t *Tracer) Record(kind Kind, request identifier.RequestID, text string, fields ...Field) {
	if t == nil {
		return
	}
	e := Event{Program: t.program, Host: t.host, Kind: kind, Request: request, Text: truncate(text)}
	e.Fields = truncateFields(fields)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// The stamp is taken while the mutex is held, so that the events of each ring are in order.
	e.Stamp = t.clock.Now()
	if kind.IsTraffic() {
		t.traffic.add(e)
	} else {
		t.control.add(e)
	}
}

// Events returns the stored events that a request selects, within the limits of a reply.
func (t *Tracer) Events(q EventsRequest) EventsReply {
	limit := maxReplyEvents
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	t.mutex.Lock()
	selected := Merge(t.control.selected(q, limit+1), t.traffic.selected(q, limit+1))
	t.mutex.Unlock()
	n := min(limit, countWithin(selected, maxReplyBytes))
	return EventsReply{Events: selected[:n], IsMore: n < len(selected)}
}

// countWithin returns how many of the first events have texts of at most maxBytes in total. It
// returns at least 1 unless there are no events.
func countWithin(events []Event, maxBytes int) int {
	total := 0
	for i, e := range events {
		total += e.textBytes()
		if i > 0 && total > maxBytes {
			return i
		}
	}
	return len(events)
}

// Recent returns the newest events, at most limit, in order of their stamps.
func (t *Tracer) Recent(limit int) []Event {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := Merge(t.control.newest(limit), t.traffic.newest(limit))
	return all[max(0, len(all)-limit):]
}

// Register registers a handler for EventsRequest messages on a mux.
func (t *Tracer) Register(mux *linker.Mux) {
	linker.Handle(mux, encoder.KindEvents, t.handleEvents)
}

// handleEvents handles an EventsRequest. Its error is always nil.
func (t *Tracer) handleEvents(_ context.Context, _ linker.Peer, q EventsRequest) (EventsReply, error) {
	return t.Events(q), nil
}

// truncate truncates a text to maxEventTextBytes. The result of truncation is valid UTF-8.
func truncate(s string) string {
	if len(s) <= maxEventTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxEventTextBytes], "")
}

// truncateFields truncates a list to maxFields and its texts to maxEventTextBytes. It copies the
// list only if a text is too long.
func truncateFields(fields []Field) []Field {
	fields = fields[:min(len(fields), maxFields)]
	for _, f := range fields {
		if len(f.Name) > maxEventTextBytes || len(f.Value) > maxEventTextBytes {
			return copyTruncated(fields)
		}
	}
	return fields
}

// copyTruncated returns a copy of a list with all texts truncated to maxEventTextBytes.
func copyTruncated(fields []Field) []Field {
	all := make([]Field, 0, len(fields))
	for _, f := range fields {
		all = append(all, Field{Name: truncate(f.Name), Value: truncate(f.Value)})
	}
	return all
}
