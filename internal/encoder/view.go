package encoder

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
)

// Apply returns the view that results from applying a delta to this one. It returns false if
// the delta has a different base view or does not lead to a newer view.
func (v *View) Apply(d *ViewDelta) (*View, bool) {
	if d.Epoch <= v.Epoch {
		return nil, false
	}
	if d.Base == 0 {
		return &View{Epoch: d.Epoch, Hosts: d.Hosts, Servers: d.Servers}, true
	}
	if d.Base != v.Epoch {
		return nil, false
	}
	hosts := memberUpdate[identifier.HostName, Host]{
		members: d.RemovedHosts, domains: d.RemovedHostDomains,
		key:    func(h Host) identifier.HostName { return h.Name },
		domain: func(h Host) identifier.DomainName { return h.Domain },
	}
	servers := memberUpdate[netip.AddrPort, Server]{
		members: d.RemovedServers, domains: d.RemovedServerDomains,
		key:    func(s Server) netip.AddrPort { return s.Address },
		domain: func(s Server) identifier.DomainName { return s.Domain },
	}
	return &View{
		Epoch:   d.Epoch,
		Hosts:   hosts.apply(v.Hosts, d.Hosts),
		Servers: servers.apply(v.Servers, d.Servers),
	}, true
}

// memberUpdate describes which members a delta removes from a view.
type memberUpdate[K comparable, M any] struct {
	members []K
	domains []identifier.DomainName
	key     func(M) K
	domain  func(M) identifier.DomainName
}

// apply returns the members that remain, followed by the added ones. An added member replaces
// the existing one with the same key.
func (u memberUpdate[K, M]) apply(members, added []M) []M {
	removed := make(map[K]bool, len(u.members)+len(added))
	for _, k := range u.members {
		removed[k] = true
	}
	for _, m := range added {
		removed[u.key(m)] = true
	}
	removedDomains := make(map[identifier.DomainName]bool, len(u.domains))
	for _, d := range u.domains {
		removedDomains[d] = true
	}
	merged := make([]M, 0, len(members)+len(added))
	for _, m := range members {
		if !removed[u.key(m)] && !removedDomains[u.domain(m)] {
			merged = append(merged, m)
		}
	}
	return append(merged, added...)
}
