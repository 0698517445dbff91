package tracer

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type Kind -transform snake -output kind_enumer.go

// Kind is the kind of an event. It is encoded as a number, so that a process can show events of a
// kind that only exists in a newer release.
type Kind uint8

// Kinds of events. The numbers are part of the protocol, so that new kinds must be appended.
const (
	// ProcessStarted and ProcessStopped mark the start and the end of a process.
	ProcessStarted Kind = iota
	ProcessStopped
	// RequestReceived and RequestAnswered mark the start and the end of a caller's request at its
	// root dock.
	RequestReceived
	RequestAnswered
	// AttemptStarted is a batch that a root dock sent to an owner.
	AttemptStarted
	// BatchReceived and BatchAnswered mark the start and the end of a batch at its owner.
	BatchReceived
	BatchAnswered
	// HedgeSent is a second subrequest for a shard whose first subrequest is slow.
	HedgeSent
	// RetrySent is a subrequest for a shard whose first subrequest failed.
	RetrySent
	// CanarySent is the first subrequest with a fingerprint that has not succeeded recently.
	CanarySent
	// FingerprintQuarantined is the quarantine of a request that crashed too many backend servers.
	FingerprintQuarantined
	// EpochApplied is the application of a new view of docks and backend servers.
	EpochApplied
	// TermStarted is the start of a new term of the keepers.
	TermStarted
	// LeaderElected is a keeper that became leader.
	LeaderElected
	// LeaderLost is a keeper that stepped down.
	LeaderLost
	// MembershipChanged is a keeper that joined, left or was repaired.
	MembershipChanged
	// ManifestAccepted is a manifest that the keepers committed.
	ManifestAccepted
	// ManifestApplied is a manifest that a dock put in force.
	ManifestApplied
	// ManifestStale is a dock that can no longer confirm its manifest.
	ManifestStale
	// ManifestFresh is a dock that can confirm its manifest again.
	ManifestFresh
	// ClaimDecided is a decision of the ledger about an idempotency key.
	ClaimDecided
	// ServerAnnounced is a backend server that is new or changed.
	ServerAnnounced
	// ServerGone is a backend server that left or stopped sending heartbeats.
	ServerGone
	// ServerCrashed is a backend server whose connection broke during a subrequest.
	ServerCrashed
	// DrainStarted and DrainFinished mark the start and the end of a graceful shutdown.
	DrainStarted
	DrainFinished
	// InvariantFailed is a broken invariant, which is a bug in banyandock itself.
	InvariantFailed
	// ServerEjected is a backend server that its owner stops using after failures.
	ServerEjected
	// ShardTaken and ShardReleased mark the start and the end of a dock's ownership of a shard.
	ShardTaken
	ShardReleased
)

// IsTraffic reports whether events of the kind occur for each request.
func (i Kind) IsTraffic() bool {
	switch i {
	case RequestReceived, RequestAnswered, AttemptStarted, BatchReceived, BatchAnswered,
		HedgeSent, RetrySent, CanarySent, ClaimDecided:
		return true
	default:
		return false
	}
}

// Field is a named detail of an event.
type Field struct {
	Name  string
	Value string
}

// F returns a field with the value rendered as text. The types with their own case occur in each
// request, and rendering them with fmt costs several times as much.
func F(name string, value any) Field {
	switch v := value.(type) {
	case string:
		return Field{Name: name, Value: v}
	case identifier.HostName:
		return Field{Name: name, Value: string(v)}
	case identifier.ServiceName:
		return Field{Name: name, Value: string(v)}
	case identifier.OperationName:
		return Field{Name: name, Value: string(v)}
	case int:
		return Field{Name: name, Value: strconv.Itoa(v)}
	case uint32:
		return Field{Name: name, Value: strconv.FormatUint(uint64(v), 10)}
	case uint64:
		return Field{Name: name, Value: strconv.FormatUint(v, 10)}
	case bool:
		return Field{Name: name, Value: strconv.FormatBool(v)}
	default:
		return Field{Name: name, Value: fmt.Sprint(value)}
	}
}

// Event is an event in a process.
type Event struct {
	Stamp   Timestamp
	Program string
	Host    identifier.HostName
	Kind    Kind
	// Request is zero if the event does not concern a single request.
	Request identifier.RequestID
	Text    string
	Fields  []Field
}

// textBytes returns the total size of the event's texts in bytes.
func (e Event) textBytes() int {
	total := len(e.Program) + len(e.Host) + len(e.Text)
	for _, f := range e.Fields {
		total += len(f.Name) + len(f.Value)
	}
	return total
}

// String renders the event as one line.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%04x %s@%s %s", e.Stamp.Time().Format("2006-01-02T15:04:05.000Z"), e.Stamp.Logical(), e.Program, e.Host, e.Kind)
	if e.Request != (identifier.RequestID{}) {
		fmt.Fprintf(&b, " request=%s", e.Request)
	}
	for _, f := range e.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, quoted(f.Value))
	}
	if e.Text != "" {
		b.WriteString(" " + strings.Map(printable, e.Text))
	}
	return b.String()
}

// quoted returns a value in quotes if it is empty or has spaces, quotes or characters that are not
// printable, because its end would be unclear otherwise.
func quoted(s string) string {
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r == ' ' || r == '"' || !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}

// printable replaces characters that could break a line or send control sequences to a terminal.
func printable(r rune) rune {
	if !unicode.IsPrint(r) {
		return unicode.ReplacementChar
	}
	return r
}
