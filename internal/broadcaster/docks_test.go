package broadcaster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// testDock returns a dock of a failure domain.
func testDock(host, domain string) encoder.Dock {
	return encoder.Dock{Host: identifier.HostName(host), Domain: identifier.DomainName(domain), Address: netip.MustParseAddrPort("127.0.0.1:7380")}
}

func TestDomainDocksAreTheDocksOfAFailureDomain(t *testing.T) {
	start := time.Unix(100, 0)
	f := newDockSet()
	for _, d := range []encoder.Dock{testDock("b", "one"), testDock("a", "one"), testDock("c", "two")} {
		f.recordWatch(start, d.Host, d, 2*time.Second)
	}
	list, digest := f.domainDocks("one")
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Host, identifier.HostName("a"))
	docks, domains := f.count(start)
	assert.Equal(t, docks, 3)
	assert.Equal(t, domains, 2)

	f.markDisconnected("a")
	list, shorter := f.domainDocks("one")
	assert.Equal(t, len(list), 1, "a disconnected dock is not listed")
	assert.Assert(t, shorter != digest)
	docks, _ = f.count(start)
	assert.Equal(t, docks, 3, "a disconnected dock is counted until it times out")

	f.recordWatch(start, "a", testDock("a", "one"), 2*time.Second)
	_, again := f.domainDocks("one")
	assert.Equal(t, again, digest, "the same docks have the same digest")

	docks, _ = f.count(start.Add(time.Minute))
	assert.Equal(t, docks, 0)
}

func TestDockWithoutAddressIsNotListed(t *testing.T) {
	f := newDockSet()
	f.recordWatch(time.Unix(100, 0), "a", encoder.Dock{Host: "a", Domain: "one"}, 2*time.Second)
	list, _ := f.domainDocks("one")
	assert.Equal(t, len(list), 0)
}

// silence has eight docks of one failure domain, some of which send no watch after the first one.
func silence(silent int) (*dockSet, time.Time) {
	start := time.Unix(100, 0)
	s := newDockSet()
	for i := range 8 {
		d := testDock(fmt.Sprint(i), "one")
		s.recordWatch(start, d.Host, d, 2*time.Second)
	}
	for second := 2; second <= 4; second += 2 {
		for i := silent; i < 8; i++ {
			d := testDock(fmt.Sprint(i), "one")
			s.recordWatch(start.Add(time.Duration(second)*time.Second), d.Host, d, 2*time.Second)
		}
	}
	return s, start
}

// TestSilentDocksAreNotListed cuts three docks off from the keeper without a sign. Others must soon send
// them no requests, because they learn of no new servers.
func TestSilentDocksAreNotListed(t *testing.T) {
	s, start := silence(3)
	assert.Equal(t, s.markSilent(start.Add(3*time.Second)), 0)
	assert.Equal(t, s.markSilent(start.Add(3100*time.Millisecond)), 3)
	list, _ := s.domainDocks("one")
	assert.Equal(t, len(list), 5)
	docks, _ := s.count(start.Add(4 * time.Second))
	assert.Equal(t, docks, 8, "they still hold their parts of the budgets")
	s.recordWatch(start.Add(5*time.Second), "0", testDock("0", "one"), 2*time.Second)
	list, _ = s.domainDocks("one")
	assert.Equal(t, len(list), 6)
}

// TestKeeperThatHearsOfFewDocksKeepsItsList cuts the keeper off from most docks.
func TestKeeperThatHearsOfFewDocksKeepsItsList(t *testing.T) {
	s, start := silence(5)
	assert.Equal(t, s.markSilent(start.Add(4*time.Second)), 0)
	list, _ := s.domainDocks("one")
	assert.Equal(t, len(list), 8)
}

// TestPausedKeeperKeepsItsList pauses the keeper for ten seconds.
func TestPausedKeeperKeepsItsList(t *testing.T) {
	s, start := silence(3)
	s.resumeWatches(start.Add(14 * time.Second))
	assert.Equal(t, s.markSilent(start.Add(17*time.Second)), 0)
	assert.Equal(t, s.markSilent(start.Add(18*time.Second)), 0, "all are silent")
}
