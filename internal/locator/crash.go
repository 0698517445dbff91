package locator

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// maxCrashes bounds the crashes of a fingerprint that are kept, beside one repeat.
const maxCrashes = 6

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

// isAfter reports whether the request of a crash was sent after the server of another one had ended.
func (c Crash) isAfter(other Crash) bool {
	return !other.EndedAt.IsZero() && c.SentAt.After(other.EndedAt.Add(sequenceMargin))
}

// Assess returns the assessment of the crashes of one fingerprint. A fingerprint is quarantined if its
// requests crashed crashLimit servers, and one of them after an earlier crash: the dock knew of that, or
// the request was sent later than the other server ended. Without such a repeat the crashes may have one
// common cause: when many servers fail at once, each request that runs on several of them is lost at all
// of these.
//
// Partial crashes, of requests that other services answer, count only if crashLimit servers of one service
// ended in turn: a request that comes often runs on every server that fails.
func Assess(crashes []Crash) Suspicion {
	type crash struct {
		request string
		server  encoder.ServerID
	}
	distinct := map[crash]bool{}
	hasRepeat := false
	whole := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return c.IsPartial })
	for _, c := range whole {
		distinct[crash{c.Request, c.Server}] = true
		hasRepeat = hasRepeat || c.IsRepeat || slices.ContainsFunc(whole, c.isAfter)
	}
	switch {
	case len(distinct) >= crashLimit && hasRepeat, haveServersEndedInTurn(crashes):
		return SuspicionQuarantined
	case len(distinct) >= crashLimit:
		return SuspicionIsolated
	default:
		return SuspicionNone
	}
}

// haveServersEndedInTurn reports whether crashLimit servers of one service ended, each by a request that
// was sent after the one before had ended.
func haveServersEndedInTurn(crashes []Crash) bool {
	inOrder := slices.SortedStableFunc(slices.Values(crashes), func(a, b Crash) int { return a.SentAt.Compare(b.SentAt) })
	last := map[identifier.ServiceName]Crash{}
	turns := map[identifier.ServiceName]int{}
	for _, c := range inOrder {
		if turns[c.Service] > 0 && !c.isAfter(last[c.Service]) {
			continue
		}
		last[c.Service] = c
		turns[c.Service]++
		if c.Service != "" && turns[c.Service] >= crashLimit {
			return true
		}
	}
	return false
}

// AppendCrash appends a crash to the crashes of one fingerprint. It keeps maxCrashes of them, those of the
// first services by name, so that all docks keep crashes of the same ones, and the first repeat if it is
// none of these.
func AppendCrash(crashes []Crash, c Crash) []Crash {
	all := append(slices.Clone(crashes), c)
	slices.SortStableFunc(all, func(a, b Crash) int { return cmp.Compare(a.Service, b.Service) })
	isRepeat := func(c Crash) bool { return c.IsRepeat && !c.IsPartial }
	first := slices.IndexFunc(all, isRepeat)
	if first < maxCrashes {
		return all[:min(len(all), maxCrashes)]
	}
	return append(all[:maxCrashes], all[first])
}

// SuspectedService returns the service at which requests with a fingerprint are tried first: the first
// one by name of those whose servers crashed. It is empty if the docks did not say.
func SuspectedService(crashes []Crash) identifier.ServiceName {
	first := identifier.ServiceName("")
	for _, c := range crashes {
		if !c.IsPartial && c.Service != "" && (first == "" || c.Service < first) {
			first = c.Service
		}
	}
	return first
}
