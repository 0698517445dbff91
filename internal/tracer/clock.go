package tracer

import (
	"sync"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

// Timestamp is a reading of a hybrid logical clock. The upper 48 bits are milliseconds since the
// Unix epoch and the lower 16 bits are a logical counter. An overflow of the counter carries into
// the milliseconds.
type Timestamp uint64

// logicalBits is the width of the logical counter in bits.
const logicalBits = 16

// maxAhead is how far another host's clock may be ahead before its readings are ignored, so that
// one wrong clock cannot advance the clocks of all other hosts.
const maxAhead = time.Minute

// NewTimestamp returns the reading for a time with a logical counter of zero.
func NewTimestamp(t time.Time) Timestamp {
	return Timestamp(uint64(max(t.UnixMilli(), 0)) << logicalBits)
}

// Time returns the physical part in UTC.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(int64(t >> logicalBits)).UTC()
}

// Logical returns the logical counter.
func (t Timestamp) Logical() uint16 { return uint16(t) }

// HybridClock is a hybrid logical clock that orders the events of all processes. Each reading is
// greater than all readings that this process took or received before, except for those that
// Observe ignored. It is safe for concurrent use.
type HybridClock struct {
	physical timekeeper.Clock

	// Guarded by mutex.
	mutex   sync.Mutex
	last    Timestamp
	ignored uint64
}

// NewHybridClock returns a clock that follows a physical clock.
func NewHybridClock(physical timekeeper.Clock) *HybridClock {
	return &HybridClock{physical: physical}
}

// Now returns the next reading.
func (c *HybridClock) Now() Timestamp {
	physical := NewTimestamp(c.physical.Now())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe advances the clock to a reading of another process. It ignores and counts a reading that
// is more than maxAhead ahead of the physical clock.
func (c *HybridClock) Observe(remote Timestamp) {
	limit := NewTimestamp(c.physical.Now().Add(maxAhead))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if remote > limit {
		c.ignored++
		return
	}
	c.last = max(c.last, remote)
}

// Ignored returns the number of readings that Observe ignored.
func (c *HybridClock) Ignored() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ignored
}

// Stamp returns the next reading as a number, as links send it.
func (c *HybridClock) Stamp() uint64 { return uint64(c.Now()) }

// ObserveStamp calls Observe with a reading that was received over a link.
func (c *HybridClock) ObserveStamp(stamp uint64) { c.Observe(Timestamp(stamp)) }
