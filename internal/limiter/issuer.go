package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
)

const (
	// minimumRate is the rate, in requests per second, at which a server gets requests even if it
	// names a lower limit, so that it can say that its limit has ended.
	minimumRate = 0.25
	// burstTime is the time whose tokens may be used at once. It is a fraction of a second so that a
	// server never gets much more than its limit in any interval.
	burstTime = 500 * time.Millisecond
	// coldBurstTime is the time whose tokens a cold server may get at once. It is short because the
	// bound on its requests counts from outside, where tokens that are used late add to later ones.
	coldBurstTime = 250 * time.Millisecond
	// refusalDecayTime is the time constant with which refused requests are forgotten.
	refusalDecayTime = 2 * time.Second
	// maxBacklog bounds the time that refused callers are spread over.
	maxBacklog = 5 * time.Second
	// endedTime is how long the end of a limit is remembered, so that all docks learn of it.
	endedTime = 30 * time.Second
	// unusedTime is how long the limit of a server is kept that no dock has mentioned.
	unusedTime = 2 * time.Minute
)

// Issuer issues tokens for servers that name limits: to all docks together as many per second as a
// server takes. A new Issuer has no tokens, so that two of them that follow each other do not issue
// more. It is not safe for concurrent use.
type Issuer struct {
	servers map[encoder.ServerID]*bucket
}

// bucket is the token bucket of one start of a server.
type bucket struct {
	born      int64
	statement Statement
	tokens    float64
	refilled  time.Time
	// refused is the number of requests refused lately, which decays from refusedAt on.
	refused   float64
	refusedAt time.Time
	mentioned time.Time
	// coldRate is the rate of a server that is cold until coldUntil.
	coldRate  float64
	coldUntil time.Time
}

// NewIssuer returns an Issuer that knows of no limit.
func NewIssuer() *Issuer {
	return &Issuer{servers: map[encoder.ServerID]*bucket{}}
}

// Report merges the statements of a dock and returns those that changed what the Issuer knows.
func (i *Issuer) Report(now time.Time, limits []encoder.ServerLimit) []encoder.ServerLimit {
	changed := []encoder.ServerLimit{}
	for _, l := range limits {
		b := i.bucket(now, l)
		if b == nil {
			continue
		}
		b.mentioned = now
		b.refuse(now, float64(l.Refused))
		before := b.statement
		b.refill(now)
		b.mergeCold(now, l)
		b.statement = before.Merge(Statement{IsNamed: l.IsNamed, Rate: l.Rate, At: now.Add(-l.Age)})
		if !b.statement.SaysSame(before) {
			changed = append(changed, l)
		}
	}
	return changed
}

// bucket returns the bucket of the server that a statement is about, which it creates if necessary.
// It returns nil for a statement on an earlier start of the server, and for the end of a limit that is
// not known.
func (i *Issuer) bucket(now time.Time, l encoder.ServerLimit) *bucket {
	b := i.servers[l.Server]
	switch {
	case b != nil && b.born == l.Born:
		return b
	case b != nil && b.born > l.Born, !l.IsNamed && l.ColdRate <= 0:
		return nil
	}
	b = &bucket{born: l.Born, refilled: now}
	i.servers[l.Server] = b
	return b
}

// Issue grants the tokens of a request.
func (i *Issuer) Issue(now time.Time, r encoder.TokenRequest) encoder.TokenReply {
	reply := encoder.TokenReply{}
	missed := map[encoder.ServerID]bool{}
	for _, g := range r.Groups {
		reply.Grants = append(reply.Grants, i.grant(now, g, missed))
	}
	for id := range missed {
		reply.Waits = append(reply.Waits, i.servers[id].wait(now, id))
	}
	slices.SortFunc(reply.Waits, func(a, b encoder.TokenWait) int { return cmp.Compare(a.Server, b.Server) })
	for _, l := range r.Limits {
		if b := i.servers[l.Server]; b != nil && b.born == l.Born && b.statement.IsNamed != l.IsNamed {
			reply.Limits = append(reply.Limits, b.limit(now, l.Server))
		}
	}
	return reply
}

// grant takes the tokens of one group, or none if fewer than needed are available. It adds the servers
// without a token to missed.
func (i *Issuer) grant(now time.Time, g encoder.TokenGroup, missed map[encoder.ServerID]bool) encoder.TokenGrant {
	chosen := make([]encoder.ServerID, len(g.Choices))
	available := 0
	for c, choice := range g.Choices {
		chosen[c] = i.firstAvailable(now, choice)
		if chosen[c] != "" {
			available++
			continue
		}
		for _, id := range choice.Servers {
			missed[id] = true
		}
	}
	if available < g.Needed || available == 0 {
		i.refuseGroup(now, g, missed)
		return encoder.TokenGrant{}
	}
	for _, id := range chosen {
		if b := i.servers[id]; b != nil && b.isLimited(now) {
			b.tokens--
		}
	}
	return encoder.TokenGrant{Servers: chosen}
}

// firstAvailable returns the first server of a choice that has a token or no limit, or an empty ID if
// there is none.
func (i *Issuer) firstAvailable(now time.Time, choice encoder.TokenChoice) encoder.ServerID {
	for _, id := range choice.Servers {
		b := i.servers[id]
		if b == nil || !b.isLimited(now) {
			return id
		}
		b.refill(now)
		b.mentioned = now
		if b.tokens >= 1 {
			return id
		}
	}
	return ""
}

// refuseGroup counts a refused group at the servers without a token, if the group was needed.
func (i *Issuer) refuseGroup(now time.Time, g encoder.TokenGroup, missed map[encoder.ServerID]bool) {
	if g.Needed == 0 {
		return
	}
	for _, choice := range g.Choices {
		for _, id := range choice.Servers {
			if missed[id] {
				i.servers[id].refuse(now, 1/float64(len(choice.Servers)))
			}
		}
	}
}

// Limits returns what is known of all servers that name a limit or did lately, ordered by their IDs.
// It forgets what is no longer needed.
func (i *Issuer) Limits(now time.Time) []encoder.ServerLimit {
	list := []encoder.ServerLimit{}
	for id, b := range i.servers {
		if b.isObsolete(now) {
			delete(i.servers, id)
			continue
		}
		if !b.statement.IsNamed && now.Sub(b.statement.At) > endedTime {
			// The server is cold, which docks learn from its heartbeats.
			continue
		}
		list = append(list, b.limit(now, id))
	}
	slices.SortFunc(list, func(a, b encoder.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// isObsolete reports whether the server no longer needs to be known.
func (b *bucket) isObsolete(now time.Time) bool {
	if b.statement.IsNamed || b.isCold(now) {
		return now.Sub(b.mentioned) > unusedTime
	}
	return now.Sub(b.statement.At) > endedTime
}

// limit returns the statement as a message.
func (b *bucket) limit(now time.Time, id encoder.ServerID) encoder.ServerLimit {
	return b.statement.Message(now, id, b.born)
}

// mergeCold records for how long a server is cold. A later end replaces an earlier one.
func (b *bucket) mergeCold(now time.Time, l encoder.ServerLimit) {
	if l.ColdRate <= 0 {
		return
	}
	b.coldRate = l.ColdRate
	if until := now.Add(l.ColdFor); until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// isCold reports whether the server gets a limited rate because it is cold.
func (b *bucket) isCold(now time.Time) bool { return now.Before(b.coldUntil) }

// isLimited reports whether requests to the server need tokens.
func (b *bucket) isLimited(now time.Time) bool { return b.statement.IsNamed || b.isCold(now) }

// rate returns the tokens per second: the lower one of the limit that the server names and the rate of
// a cold server.
func (b *bucket) rate(now time.Time) float64 {
	rate := b.statement.Rate
	if b.isCold(now) && (!b.statement.IsNamed || b.coldRate < rate) {
		rate = b.coldRate
	}
	return max(minimumRate, rate)
}

// burst returns the number of tokens that may be used at once.
func (b *bucket) burst(now time.Time) float64 {
	if b.isCold(now) {
		return max(1, b.rate(now)*coldBurstTime.Seconds())
	}
	return max(1, b.rate(now)*burstTime.Seconds())
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst(now), b.tokens+b.rate(now)*max(0, now.Sub(b.refilled)).Seconds())
	b.refilled = now
}

// refuse counts refused requests.
func (b *bucket) refuse(now time.Time, count float64) {
	b.refused = b.refused*math.Exp(-float64(now.Sub(b.refusedAt))/float64(refusalDecayTime)) + count
	b.refusedAt = now
}

// wait returns when the next token is available and how long the server needs for the requests that
// were refused lately.
func (b *bucket) wait(now time.Time, id encoder.ServerID) encoder.TokenWait {
	b.refuse(now, 0)
	missing := max(0, 1-b.tokens)
	return encoder.TokenWait{
		Server:  id,
		Next:    seconds(missing / b.rate(now)),
		Backlog: min(maxBacklog, seconds(b.refused/b.rate(now))),
	}
}

// seconds converts a number of seconds to a duration, at most an hour.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, time.Hour.Seconds()) * float64(time.Second))
}
