package broadcaster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
)

// TestLateNoticeDetachesADock checks that an older notice than the last one, and one of an unknown dock,
// change nothing, and that a dock that has started anew is attached.
func TestLateNoticeDetachesADock(t *testing.T) {
	s := newDockSet()
	s.recordWatch(time.Unix(100, 0), "a", testDock("a", "one"), 2*time.Second)
	assert.Assert(t, !s.setDetached("b", 1, true))
	assert.Assert(t, s.setDetached("a", 1, true))
	assert.Assert(t, s.setDetached("a", 2, false))
	assert.Assert(t, !s.setDetached("a", 1, true))
	list, _ := s.domainDocks("one")
	assert.Equal(t, len(list), 1)
	assert.Assert(t, s.setDetached("a", 3, true))
	list, _ = s.domainDocks("one")
	assert.Equal(t, len(list), 0)
	assert.Assert(t, s.setDetached("a", 0, false))
}

// TestAllDocksWithoutServersUseTheSameOne checks that the docks that reach servers are bounded, and drawn
// differently for different docks.
func TestAllDocksWithoutServersUseTheSameOne(t *testing.T) {
	s := newDockSet()
	const docks = 200
	for i := range docks {
		host := fmt.Sprintf("dock-%d", i)
		s.recordWatch(time.Unix(100, 0), identifier.HostName(host), testDock(host, fmt.Sprint(i%3)), 2*time.Second)
		s.setDetached(identifier.HostName(host), 1, i < docks/2)
	}
	counts := map[identifier.HostName]int{}
	for i := range docks / 2 {
		list, _ := s.relays(identifier.HostName(fmt.Sprintf("dock-%d", i)))
		assert.Equal(t, len(list), maxRelays)
		for _, d := range list {
			counts[d.Host]++
		}
	}
	assert.Equal(t, len(counts), docks/2, "each dock that reaches servers is used")
	for host, n := range counts {
		assert.Assert(t, n <= 2*maxRelays, "%s is listed %d times", host, n)
	}
	_, digest := s.relays("dock-0")
	_, again := s.relays("dock-0")
	assert.Equal(t, digest, again)
}
