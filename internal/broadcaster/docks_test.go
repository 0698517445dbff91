package broadcaster

import (
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
		f.recordWatch(start, d.Host, d)
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

	f.recordWatch(start, "a", testDock("a", "one"))
	_, again := f.domainDocks("one")
	assert.Equal(t, again, digest, "the same docks have the same digest")

	docks, _ = f.count(start.Add(time.Minute))
	assert.Equal(t, docks, 0)
}

func TestDockWithoutAddressIsNotListed(t *testing.T) {
	f := newDockSet()
	f.recordWatch(time.Unix(100, 0), "a", encoder.Dock{Host: "a", Domain: "one"})
	list, _ := f.domainDocks("one")
	assert.Equal(t, len(list), 0)
}
