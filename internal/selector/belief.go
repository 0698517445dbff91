package selector

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type ServerEventKind -linecomment -transform snake -output servereventkind_enumer.go

// ServerEventKind says what this host came to believe of a server.
type ServerEventKind uint8

// Kinds of beliefs.
const (
	// ServerUnreachable means that connections to the server failed several times in a row.
	ServerUnreachable ServerEventKind = iota // unreachable
	// ServerReachable means that an unreachable server answered.
	ServerReachable // reached
	// ServerAdded means that the server may get requests.
	ServerAdded // taken
	// ServerRemoved means that the server gets no more requests.
	ServerRemoved // dropped
	// ServerSlow means that most docks find the server slow.
	ServerSlow // slow
	// ServerRecovered means that the server is slow no more.
	ServerRecovered // recovered
)

// ServerEvent is a change of what this host believes of a server.
type ServerEvent struct {
	Kind    ServerEventKind
	Server  encoder.ServerID
	Service identifier.ServiceName
	// Ratio is the latency of a slow server in multiples of the usual.
	Ratio float64
	// Failures is the number of failures in a row of an unreachable server.
	Failures int
}

// OnServerEvent calls a function at each change of a belief. It must return at once and not call
// the selector. It is set before the first use.
func (s *Selector) OnServerEvent(believe func(ServerEvent)) { s.believe = believe }

// compareServers tells of the servers that came and went. The caller holds the lock.
func (s *Selector) compareServers(before, after map[encoder.ServerID]*server) {
	for id, v := range after {
		if before[id] != v {
			s.believe(ServerEvent{Kind: ServerAdded, Server: id, Service: v.info.Service})
		}
	}
	for id, v := range before {
		if after[id] == nil {
			s.believe(ServerEvent{Kind: ServerRemoved, Server: id, Service: v.info.Service})
		}
	}
}

// compareVerdicts tells of the servers that became slow or recovered. The caller holds the
// lock.
func (s *Selector) compareVerdicts(before, after map[encoder.ServerID]float64) {
	for id, ratio := range after {
		if before[id] == 0 {
			s.believe(ServerEvent{Kind: ServerSlow, Server: id, Service: s.serviceOf(id), Ratio: ratio})
		}
	}
	for id := range before {
		if after[id] == 0 {
			s.believe(ServerEvent{Kind: ServerRecovered, Server: id, Service: s.serviceOf(id)})
		}
	}
}

// serviceOf returns the service of a server, or nothing for one that is not known.
func (s *Selector) serviceOf(id encoder.ServerID) identifier.ServiceName {
	if v := s.servers[id]; v != nil {
		return v.info.Service
	}
	return ""
}
