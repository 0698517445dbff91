package publisher

import (
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// historyLength is the number of recent views that a delta can start from. A dock with an older
// view gets the full view.
const historyLength = 600

// change holds the members that differ between one view and the one before, with their failure
// domains.
type change struct {
	epoch   identifier.Epoch
	hosts   map[identifier.HostName]identifier.DomainName
	servers map[netip.AddrPort]identifier.DomainName
}

// publish creates a new view if anything differs from the last one or if none was published in this
// term.
func (p *Publisher) publish() {
	c := change{
		hosts:   map[identifier.HostName]identifier.DomainName{},
		servers: map[netip.AddrPort]identifier.DomainName{},
	}
	for name := range p.dirtyHosts {
		p.publishHost(name, &c)
	}
	for address := range p.dirtyServers {
		p.publishServer(address, &c)
	}
	clear(p.dirtyHosts)
	clear(p.dirtyServers)
	isFirst := p.epoch < identifier.NewEpoch(p.term, 0)
	if !isFirst && len(c.hosts) == 0 && len(c.servers) == 0 {
		return
	}
	p.sequence++
	c.epoch = identifier.NewEpoch(p.term, p.sequence)
	p.invariants.Check(c.epoch > p.epoch, "epoch_rises", "%s after %s", c.epoch, p.epoch)
	p.epoch = c.epoch
	p.changes = append(p.changes, c)
	if excess := len(p.changes) - historyLength; excess > 0 {
		p.changes = slices.Delete(p.changes, 0, excess)
	}
}

// publishHost updates one dock in the published view.
func (p *Publisher) publishHost(name identifier.HostName, c *change) {
	var present *encoder.Host
	if d := p.docks[name]; d != nil {
		present = &d.host
	}
	publishMember(name, present, p.publishedHosts, c.hosts, func(h encoder.Host) identifier.DomainName { return h.Domain })
}

// publishServer updates one server in the published view.
func (p *Publisher) publishServer(address netip.AddrPort, c *change) {
	var present *encoder.Server
	if s := p.servers[address]; s != nil {
		present = &s.announced
	}
	publishMember(address, present, p.publishedServers, c.servers, func(s encoder.Server) identifier.DomainName { return s.Domain })
}

// publishMember updates one published member and records the change. Present is nil if the member
// is gone.
func publishMember[K comparable, M any](key K, present *M, published map[K]M, changed map[K]identifier.DomainName, domain func(M) identifier.DomainName) {
	before, wasPublished := published[key]
	switch {
	case present == nil && wasPublished:
		delete(published, key)
		changed[key] = domain(before)
	case present != nil && (!wasPublished || !reflect.DeepEqual(before, *present)):
		published[key] = *present
		changed[key] = domain(*present)
	}
}

// Delta returns the difference between the known view and the current one. It returns nil if there
// is none or if nothing is published yet, and the full view if known is too old or was not
// published or adopted by this leader.
func (p *Publisher) Delta(known identifier.Epoch) *encoder.ViewDelta {
	if p.epoch == 0 || known == p.epoch {
		return nil
	}
	start := slices.IndexFunc(p.changes, func(c change) bool { return c.epoch == known })
	if known == 0 || start < 0 {
		return p.fullView()
	}
	return p.deltaSince(known, p.changes[start+1:])
}

// fullView returns the current view as a delta without a base.
func (p *Publisher) fullView() *encoder.ViewDelta {
	d := &encoder.ViewDelta{Epoch: p.epoch}
	for _, h := range p.publishedHosts {
		d.Hosts = append(d.Hosts, h)
	}
	for _, s := range p.publishedServers {
		d.Servers = append(d.Servers, s)
	}
	sortDelta(d)
	return d
}

// deltaSince merges a run of changes into one delta. A failure domain that has no member left is
// listed once instead of its members.
func (p *Publisher) deltaSince(base identifier.Epoch, changes []change) *encoder.ViewDelta {
	d := &encoder.ViewDelta{Base: base, Epoch: p.epoch}
	hosts := map[identifier.HostName]identifier.DomainName{}
	servers := map[netip.AddrPort]identifier.DomainName{}
	for _, c := range changes {
		for name, domain := range c.hosts {
			hosts[name] = domain
		}
		for address, domain := range c.servers {
			servers[address] = domain
		}
	}
	d.Hosts, d.RemovedHosts, d.RemovedHostDomains = partitionChanged(hosts, p.publishedHosts, func(h encoder.Host) identifier.DomainName { return h.Domain })
	d.Servers, d.RemovedServers, d.RemovedServerDomains = partitionChanged(servers, p.publishedServers, func(s encoder.Server) identifier.DomainName { return s.Domain })
	sortDelta(d)
	return d
}

// partitionChanged divides changed members into those that are published, those that are gone, and
// the failure domains that have no member left.
func partitionChanged[K comparable, M any](changed map[K]identifier.DomainName, published map[K]M, domain func(M) identifier.DomainName) (present []M, gone []K, lost []identifier.DomainName) {
	alive := map[identifier.DomainName]bool{}
	for _, m := range published {
		alive[domain(m)] = true
	}
	for key, d := range changed {
		if m, ok := published[key]; ok {
			present = append(present, m)
		} else if alive[d] {
			gone = append(gone, key)
		} else {
			lost = append(lost, d)
		}
	}
	return present, gone, lost
}

// sortDelta puts a delta in a fixed order, so that equal deltas have equal encodings.
func sortDelta(d *encoder.ViewDelta) {
	slices.SortFunc(d.Hosts, func(a, b encoder.Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(d.Servers, func(a, b encoder.Server) int { return a.Address.Compare(b.Address) })
	slices.Sort(d.RemovedHosts)
	slices.SortFunc(d.RemovedServers, netip.AddrPort.Compare)
	slices.Sort(d.RemovedHostDomains)
	d.RemovedHostDomains = slices.Compact(d.RemovedHostDomains)
	slices.Sort(d.RemovedServerDomains)
	d.RemovedServerDomains = slices.Compact(d.RemovedServerDomains)
}
