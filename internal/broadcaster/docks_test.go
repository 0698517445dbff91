package broadcaster

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// member returns a dock of a failure domain.
func member(host, domain string) encoder.Dock {
	return encoder.Dock{Host: identifier.HostName(host), Domain: identifier.DomainName(domain), Address: netip.MustParseAddrPort("127.0.0.1:7380")}
}

func TestFellowsAreTheDocksOfAFailureDomain(t *testing.T) {
	start := time.Unix(100, 0)
	f := newFleet()
	for _, d := range []encoder.Dock{member("b", "one"), member("a", "one"), member("c", "two")} {
		f.hear(start, d.Host, d)
	}
	list, digest := f.fellows("one")
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Host, identifier.HostName("a"))
	docks, domains := f.count(start)
	assert.Equal(t, docks, 3)
	assert.Equal(t, domains, 2)

	f.leave("a")
	list, other := f.fellows("one")
	assert.Equal(t, len(list), 1, "a dock whose watch broke off is no fellow")
	assert.Assert(t, other != digest)
	docks, _ = f.count(start)
	assert.Equal(t, docks, 3, "it counts for a while")

	f.hear(start, "a", member("a", "one"))
	_, again := f.fellows("one")
	assert.Equal(t, again, digest, "the same docks have the same digest")

	docks, _ = f.count(start.Add(time.Minute))
	assert.Equal(t, docks, 0)
}

func TestDockWithoutAddressIsNoFellow(t *testing.T) {
	f := newFleet()
	f.hear(time.Unix(100, 0), "a", encoder.Dock{Host: "a", Domain: "one"})
	list, _ := f.fellows("one")
	assert.Equal(t, len(list), 0)
}
