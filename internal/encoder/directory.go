package encoder

import (
	"net/netip"

	"banyandock.example/banyandock/internal/identifier"
)

// HostState is a dock's readiness as published by the keepers.
type HostState uint8

// Host states.
const (
	// HostJoining docks answer polls but own no shards yet.
	HostJoining HostState = iota
	// HostReady docks own shards.
	HostReady
	// HostDraining docks own no shards and finish their in-flight requests.
	HostDraining
)

// Host describes one dock. The encoded field names of a view's members are short, because a
// view contains thousands of them.
type Host struct {
	Name        identifier.HostName    `msgpack:"n"`
	Address     netip.AddrPort         `msgpack:"a"`
	Domain      identifier.DomainName  `msgpack:"d"`
	Incarnation identifier.Incarnation `msgpack:"i"`
	State       HostState              `msgpack:"s,omitempty"`
}

// ServerState is the state that a backend server announces.
type ServerState uint8

// Backend server states.
const (
	// ServerCold servers run but are slow until their caches fill.
	ServerCold ServerState = iota
	// ServerReady servers accept requests.
	ServerReady
	// ServerDraining servers are shutting down and must receive no new requests.
	ServerDraining
)

// ServerProtocol is the protocol that a backend server uses.
type ServerProtocol uint8

// Backend server protocols.
const (
	// ProtocolHTTP2 is HTTP/2 without TLS. A stream reset cancels a subrequest.
	ProtocolHTTP2 ServerProtocol = iota
	// ProtocolHTTP1 is HTTP/1.1. A separate request cancels a subrequest.
	ProtocolHTTP1
)

// Holding is one shard of one index version that a backend server has loaded.
type Holding struct {
	Version    identifier.IndexVersion `msgpack:"v"`
	Shard      identifier.ShardNumber  `msgpack:"n,omitempty"`
	ShardCount uint32                  `msgpack:"c"`
}

// Server describes one backend server as given in its announcement.
type Server struct {
	Address     netip.AddrPort         `msgpack:"a"`
	Service     identifier.ServiceName `msgpack:"v"`
	Domain      identifier.DomainName  `msgpack:"d"`
	Incarnation identifier.Incarnation `msgpack:"i"`
	State       ServerState            `msgpack:"s,omitempty"`
	Protocol    ServerProtocol         `msgpack:"p,omitempty"`
	// Slots is the number of subrequests that the server runs concurrently.
	Slots int `msgpack:"l"`
	// Connections is the maximum number of connections that the server accepts.
	Connections int       `msgpack:"c"`
	Holdings    []Holding `msgpack:"h,omitempty"`
}

// View is the membership of docks and backend servers that a leader publishes. The assignment
// of shards to docks is a pure function of the view. Views are ordered by Epoch.
type View struct {
	Epoch   identifier.Epoch
	Hosts   []Host
	Servers []Server
}

// ViewDelta changes the view with epoch Base into the view with epoch Epoch. A Base of zero
// means that the delta contains the complete view. Removals are applied before additions.
type ViewDelta struct {
	Base           identifier.Epoch      `msgpack:"b,omitempty"`
	Epoch          identifier.Epoch      `msgpack:"e"`
	Hosts          []Host                `msgpack:"h,omitempty"`
	RemovedHosts   []identifier.HostName `msgpack:"x,omitempty"`
	Servers        []Server              `msgpack:"s,omitempty"`
	RemovedServers []netip.AddrPort      `msgpack:"y,omitempty"`
	// RemovedHostDomains lists the failure domains whose docks are all removed.
	RemovedHostDomains []identifier.DomainName `msgpack:"i,omitempty"`
	// RemovedServerDomains lists the failure domains whose backend servers are all removed.
	RemovedServerDomains []identifier.DomainName `msgpack:"j,omitempty"`
}
