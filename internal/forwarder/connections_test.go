package forwarder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
)

// fleet is many docks of several failure domains and the servers that they send to, without any
// connections between them.
type fleet struct {
	*deployment
	domains     int
	docks       []encoder.Dock
	connections int
}

// newFleet returns docks that are spread evenly over the domains, and two servers for each service.
func newFleet(t *testing.T, docks, domains, connections int, services []identifier.ServiceName) *fleet {
	t.Helper()
	f := &fleet{deployment: newDeployment(t, ampleBudget), domains: domains, connections: connections}
	for i := range docks {
		f.docks = append(f.docks, encoder.Dock{
			Host: identifier.HostName(fmt.Sprintf("dock-%d", i)), Domain: domainName(i % domains),
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i)),
		})
	}
	for i, s := range services {
		for copyNumber := range 2 {
			f.services[s] = append(f.services[s], locator.Server{Registration: encoder.Registration{
				ID: encoder.ServerID(fmt.Sprintf("%s-%d", s, copyNumber)), Service: s, Domain: domainName((i + copyNumber) % domains), Slots: 2, Born: 1,
				Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1+2*i+copyNumber)),
			}})
		}
	}
	return f
}

// domainName returns the name of a failure domain.
func domainName(i int) identifier.DomainName {
	return identifier.DomainName(fmt.Sprintf("domain-%d", i))
}

// domainDocks returns the docks of a failure domain.
func (f *fleet) domainDocks(domain identifier.DomainName) []encoder.Dock {
	list := []encoder.Dock{}
	for _, d := range f.docks {
		if d.Domain == domain {
			list = append(list, d)
		}
	}
	return list
}

// table returns a configuration with a route to all shards, and further services without a route.
func (f *fleet) table(number uint64, routed, unrouted []identifier.ServiceName) *matcher.Table {
	f.t.Helper()
	r := scatterRoute(len(routed), 3, 0.9, time.Second)
	r.Name, r.Host, r.Prefix, r.Timeout, r.Attempts = "r", "a.example", "/x/", time.Second, 2
	d := r.Destination.(matcher.Scatter)
	d.Services = routed
	r.Destination = d
	c := matcher.Configuration{Number: number, Routes: []matcher.Route{r}}
	for _, s := range append(append([]identifier.ServiceName{}, routed...), unrouted...) {
		c.Services = append(c.Services, matcher.Service{Name: s, Connections: f.connections})
	}
	table, err := matcher.Compile(c)
	assert.NilError(f.t, err)
	return table
}

// countTargets returns how many docks keep a connection open to each server, by its address.
func (f *fleet) countTargets(table *matcher.Table) map[netip.AddrPort]int {
	count := map[netip.AddrPort]int{}
	for i, d := range f.docks {
		dock := f.newForwarder(forwarder.Settings{Domain: d.Domain, Budget: ampleBudget, Seed: uint64(i), Host: d.Host, Peers: &cluster{}})
		dock.SetDocks(len(f.docks), f.domains)
		dock.SetDomainDocks(f.domainDocks(d.Domain))
		dock.UpdateServers(f.services)
		dock.Configure(table)
		targets := dock.ConnectionTargets(time.Now())
		for _, target := range append(targets.Own, targets.Shared...) {
			count[target.Address]++
		}
		dock.Close()
	}
	return count
}

// countTargets returns the number of servers to which a dock keeps connections open.
func countTargets(f *forwarder.Forwarder) int {
	targets := f.ConnectionTargets(time.Now())
	return len(targets.Own) + len(targets.Shared)
}

// names returns the names of n services.
func names(prefix string, n int) []identifier.ServiceName {
	list := []identifier.ServiceName{}
	for i := range n {
		list = append(list, identifier.ServiceName(fmt.Sprintf("%s-%d", prefix, i)))
	}
	return list
}

// TestServicesOfTheNextIndexAreNotWarmedByAllDocks replays the seconds of a repartition at 195 docks:
// the configuration holds 129 services to which no route refers yet, whose servers accept 120
// connections. Only the docks that will own them may connect in advance.
func TestServicesOfTheNextIndexAreNotWarmedByAllDocks(t *testing.T) {
	now, next := names("now", 87), names("next", 129)
	f := newFleet(t, 195, 5, 120, append(append([]identifier.ServiceName{}, now...), next...))
	for address, n := range f.countTargets(f.table(1, now, next)) {
		assert.Assert(t, n <= 5, "%d docks of 5 failure domains keep a connection to %s", n, address)
	}
}

// TestNextIndexIsWarmedByItsOwnersAlone has servers that accept a connection from every dock. Those of the
// next index still need none but their owners' before requests come.
func TestNextIndexIsWarmedByItsOwnersAlone(t *testing.T) {
	now, next := names("now", 87), names("next", 129)
	f := newFleet(t, 195, 5, 400, append(append([]identifier.ServiceName{}, now...), next...))
	for address, n := range f.countTargets(f.table(1, now, next)) {
		assert.Assert(t, n <= 5, "%d docks of 5 failure domains keep a connection to %s", n, address)
	}
}
