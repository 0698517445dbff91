package dockrunner

import (
	"net/netip"
	"strconv"
	"strings"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tracer"
)

// maxListed bounds the hosts or servers in one field of an event.
const maxListed = 8

// viewChange is the difference between two views, for an event.
type viewChange struct {
	hostsNew        []string
	hostsGone       []string
	hostsDraining   []string
	serversNew      []string
	serversGone     []string
	serversDraining []string
}

// compareViews lists the hosts and backend servers that are new, are gone or began to drain. A
// restarted process counts as new.
func compareViews(before, after encoder.View) viewChange {
	var c viewChange
	hosts := map[identifier.HostName]encoder.Host{}
	for _, h := range before.Hosts {
		hosts[h.Name] = h
	}
	for _, h := range after.Hosts {
		old, exists := hosts[h.Name]
		delete(hosts, h.Name)
		if !exists || old.Incarnation != h.Incarnation {
			c.hostsNew = append(c.hostsNew, string(h.Name))
		}
		if h.State == encoder.HostDraining && old.State != encoder.HostDraining {
			c.hostsDraining = append(c.hostsDraining, string(h.Name))
		}
	}
	for _, h := range before.Hosts {
		if _, isGone := hosts[h.Name]; isGone {
			c.hostsGone = append(c.hostsGone, string(h.Name))
		}
	}
	c.compareServers(before.Servers, after.Servers)
	return c
}

// compareServers lists the backend servers that are new, are gone or began to drain.
func (c *viewChange) compareServers(before, after []encoder.Server) {
	servers := map[netip.AddrPort]encoder.Server{}
	for _, s := range before {
		servers[s.Address] = s
	}
	for _, s := range after {
		old, exists := servers[s.Address]
		delete(servers, s.Address)
		if !exists || old.Incarnation != s.Incarnation {
			c.serversNew = append(c.serversNew, s.Address.String())
		}
		if s.State == encoder.ServerDraining && old.State != encoder.ServerDraining {
			c.serversDraining = append(c.serversDraining, s.Address.String())
		}
	}
	for _, s := range before {
		if _, isGone := servers[s.Address]; isGone {
			c.serversGone = append(c.serversGone, s.Address.String())
		}
	}
}

// fields returns the change as fields of an event. Empty lists are omitted.
func (c viewChange) fields() []tracer.Field {
	var fields []tracer.Field
	add := func(name string, values []string) {
		if len(values) > 0 {
			fields = append(fields, tracer.F(name, joinCapped(values)))
		}
	}
	add("hosts_new", c.hostsNew)
	add("hosts_gone", c.hostsGone)
	add("hosts_draining", c.hostsDraining)
	add("servers_new", c.serversNew)
	add("servers_gone", c.serversGone)
	add("servers_draining", c.serversDraining)
	return fields
}

// joinCapped joins values with commas. It truncates a list of more than maxListed values and
// appends their number.
func joinCapped(values []string) string {
	if len(values) <= maxListed {
		return strings.Join(values, ",")
	}
	return strings.Join(values[:maxListed], ",") + ",... (" + strconv.Itoa(len(values)) + ")"
}
