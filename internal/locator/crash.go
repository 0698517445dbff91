package locator

import (
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// sequenceMargin is how long after the end of a server an equal request must have been sent to count
// as a later one. It covers the time that reports of different docks take.
const sequenceMargin = 500 * time.Millisecond

// Suspicion is the assessment of a fingerprint.
type Suspicion uint8

const (
	// SuspicionNone means that requests with the fingerprint may run.
	SuspicionNone Suspicion = iota
	// SuspicionIsolated means that they may run on one server at a time until one is answered.
	SuspicionIsolated
	// SuspicionQuarantined means that they must not run.
	SuspicionQuarantined
)

// Crash is the end of a server that had not answered a request.
type Crash struct {
	encoder.Crash
	// SentAt is when the request was sent, and EndedAt when the server had ended at the latest. They
	// are zero if the dock did not say.
	SentAt  time.Time
	EndedAt time.Time
}

// Received returns a crash that a dock reported, with the times by the clock of the receiver.
func Received(now time.Time, c encoder.Crash) Crash {
	received := Crash{Crash: c}
	if c.SentAgo > 0 {
		received.SentAt, received.EndedAt = now.Add(-c.SentAgo), now.Add(-c.EndedAgo)
	}
	received.SentAgo, received.EndedAgo = 0, 0
	return received
}

// Sent returns the crash for a report.
func (c Crash) Sent(now time.Time) encoder.Crash {
	sent := c.Crash
	if !c.SentAt.IsZero() {
		sent.SentAgo, sent.EndedAgo = now.Sub(c.SentAt), now.Sub(c.EndedAt)
	}
	return sent
}

// isAfter reports whether the request of a crash was sent after the server of another one, by a
// different request, had ended.
func (c Crash) isAfter(other Crash) bool {
	return c.Request != other.Request && !other.EndedAt.IsZero() && c.SentAt.After(other.EndedAt.Add(sequenceMargin))
}

// Assess returns the assessment of the crashes of one fingerprint. A fingerprint is quarantined if
// its requests crashed crashLimit servers, and one of them after an earlier crash: the dock knew of
// that, or the request was sent later than the other server ended. Without such a repeat the crashes
// may have one common cause: when many servers fail at once, each request that runs on several of them
// is lost at all of these.
func Assess(crashes []Crash) Suspicion {
	type crash struct {
		request string
		server  encoder.ServerID
	}
	distinct := map[crash]bool{}
	hasRepeat := false
	for _, c := range crashes {
		distinct[crash{c.Request, c.Server}] = true
		hasRepeat = hasRepeat || c.IsRepeat || slices.ContainsFunc(crashes, c.isAfter)
	}
	switch {
	case len(distinct) < crashLimit:
		return SuspicionNone
	case hasRepeat:
		return SuspicionQuarantined
	default:
		return SuspicionIsolated
	}
}

// AppendCrash appends a crash to the crashes of one fingerprint if Assess may need it. It keeps
// crashLimit crashes, and one more if it is the first repeat.
func AppendCrash(crashes []Crash, c Crash) []Crash {
	isRepeat := func(c Crash) bool { return c.IsRepeat || slices.ContainsFunc(crashes, c.isAfter) }
	if len(crashes) < crashLimit || (isRepeat(c) && !slices.ContainsFunc(crashes, isRepeat)) {
		return append(crashes, c)
	}
	return crashes
}

// SuspectedService returns the service at which requests with a fingerprint are tried first: the first
// one by name of those whose servers crashed. It is empty if the docks did not say.
func SuspectedService(crashes []Crash) identifier.ServiceName {
	first := identifier.ServiceName("")
	for _, c := range crashes {
		if c.Service != "" && (first == "" || c.Service < first) {
			first = c.Service
		}
	}
	return first
}
