package granter

import (
	"math"
	"slices"
	"time"
)

const (
	// returnTime is how long a permit can be given back after it was issued. A dock returns it with its
	// next message after the permit's lifetime.
	returnTime = 2 * time.Second
	// maxIssues bounds the issues of one bucket that are known for returns, and thereby its memory.
	// Permits of earlier ones are not taken back.
	maxIssues = 128
	// minimumWaitRate is the rate, in permits per second, by which waits are computed at least. It keeps a
	// rate of zero out of the division.
	minimumWaitRate = 0.001
	// roundingSlack keeps a wait that ends at the time of the next token from being a rounding error short.
	roundingSlack = 1e-6
)

// bucket is the token bucket of one customer. Its tokens refill by the monotonic clock, which stands still
// while the host is suspended, so that it never has too many.
type bucket struct {
	// configuration is the number of the configuration that the limit is from.
	configuration uint64
	limit         Limit
	size          float64
	// rate is in tokens per second.
	rate   float64
	tokens float64
	// filled is when tokens were added last, and mentioned when a dock last asked for permits.
	filled    time.Duration
	mentioned time.Duration
	// issues are the latest issues, the oldest first.
	issues []issue
	// asked and granted count permits in the last window.
	asked   counter
	granted counter
}

// issue is a number of permits that were issued together.
type issue struct {
	// at is when they were issued, by the monotonic clock.
	at time.Duration
	// left is the number of permits that may still be given back, and high the most tokens that the
	// bucket has held since.
	left int
	high float64
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now Instant) {
	if now.Monotonic > b.filled {
		b.tokens = min(b.size, b.tokens+b.rate*(now.Monotonic-b.filled).Seconds())
		b.filled = now.Monotonic
	}
	for n := range b.issues {
		b.issues[n].high = max(b.issues[n].high, b.tokens)
	}
}

// take removes at most count tokens and returns their number.
func (b *bucket) take(count int) int {
	n := min(count, int(math.Floor(b.tokens+roundingSlack)))
	if n <= 0 {
		return 0
	}
	b.tokens -= float64(n)
	for len(b.issues) > 0 && (b.filled-b.issues[0].at > returnTime || len(b.issues) >= maxIssues) {
		b.issues = b.issues[1:]
	}
	b.issues = append(b.issues, issue{at: b.filled, left: n, high: b.tokens})
	return n
}

// takeBack adds the tokens of permits that were issued at a time and not used. It adds no more than the
// bucket would hold if the permits had never been issued: one that was full since would have lost them.
func (b *bucket) takeBack(count int, issued time.Duration) {
	n := slices.IndexFunc(b.issues, func(i issue) bool { return i.at == issued })
	if n < 0 || b.filled-issued > returnTime {
		return
	}
	count = max(0, min(count, b.issues[n].left))
	b.issues[n].left -= count
	credit := max(0, min(float64(count), b.size-b.issues[n].high))
	b.tokens += credit
	for n := range b.issues {
		b.issues[n].high += credit
	}
}

// wait returns the time until the next token.
func (b *bucket) wait() time.Duration {
	return seconds(max(0, 1-b.tokens) / max(b.rate, minimumWaitRate))
}

// use returns the permits asked for in the last window as a part of what the rate allows.
func (b *bucket) use(now, window time.Duration) float64 {
	allowed := b.limit.Rate * window.Seconds()
	if allowed <= 0 {
		return 0
	}
	return b.asked.total(now, window) / allowed
}

// counter estimates a sum over the last window from the sums of two fixed intervals.
type counter struct {
	start    time.Duration
	current  float64
	previous float64
}

// add counts n at now.
func (c *counter) add(now, window time.Duration, n float64) {
	c.advance(now, window)
	c.current += n
}

// total returns the estimated sum over the window that ends at now.
func (c *counter) total(now, window time.Duration) float64 {
	c.advance(now, window)
	return c.current + c.previous*(1-float64(now-c.start)/float64(window))
}

// advance moves to the interval that now is in.
func (c *counter) advance(now, window time.Duration) {
	elapsed := now - c.start
	switch {
	case elapsed < window:
		return
	case elapsed < 2*window:
		c.previous, c.current = c.current, 0
	default:
		c.previous, c.current = 0, 0
	}
	c.start += elapsed / window * window
}
