package selector

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

//go:generate ../../bin/enumer -type ServerEventKind -linecomment -transform snake -output servereventkind_enumer.go

// ServerEventKind is the kind of a ServerEvent.
type ServerEventKind uint8

// Kinds of server events.
const (
	// ServerUnreachable means that connecting to the server failed several times in a row.
	ServerUnreachable ServerEventKind = iota // unreachable
	// ServerReachable means that a server that was unreachable answered again.
	ServerReachable // reached
	// ServerAdded means that the server may now receive requests.
	ServerAdded // taken
	// ServerRemoved means that the server no longer receives requests.
	ServerRemoved // dropped
	// ServerSlow means that the docks together found the server slow.
	ServerSlow // slow
	// ServerRecovered means that the server is no longer slow.
	ServerRecovered // recovered
	// ServerLimited means that the server named a limit, or another one than before.
	ServerLimited // limited
	// ServerUnlimited means that the server no longer names a limit.
	ServerUnlimited // unlimited
	// ServerReplaced means that another server replied at the server's address.
	ServerReplaced // replaced
	// ServerOverCap means that the server reset a new connection, because it accepts no more.
	ServerOverCap // over_cap
	// ServerLeaving means that the server said in a reply that it leaves, so that it gets no more requests.
	ServerLeaving // leaving
	// ServerSlowStart means that the slow start of a server begins, and ServerFullPace that it has ended.
	ServerSlowStart // slow_start
	ServerFullPace  // full_pace
)

// ServerEvent is a change of the state in which this host sees a server.
type ServerEvent struct {
	Kind    ServerEventKind
	Server  encoder.ServerID
	Service identifier.ServiceName
	// Ratio is the latency of a slow server as a multiple of the usual latency. It is zero for
	// other events.
	Ratio float64
	// Failures is the number of consecutive failures to connect to an unreachable server. It is
	// zero for other events.
	Failures int
	// Limit is the limit that the server named, in requests per second. It is zero for other events.
	Limit float64
	// Born identifies the start of a server that leaves. It is zero for other events.
	Born int64
}

// OnServerEvent sets the function that is called at each server event. The function must not block
// and must not call the selector, which holds its lock. OnServerEvent must be called before the
// first use of the selector.
func (s *Selector) OnServerEvent(onServerEvent func(ServerEvent)) { s.onServerEvent = onServerEvent }

// reportServerChanges reports the servers that were added or removed. The caller holds the lock.
func (s *Selector) reportServerChanges(before, after map[encoder.ServerID]*server) {
	for id, v := range after {
		if before[id] != v {
			s.onServerEvent(ServerEvent{Kind: ServerAdded, Server: id, Service: v.info.Service})
		}
	}
	for id, v := range before {
		if after[id] == nil {
			s.onServerEvent(ServerEvent{Kind: ServerRemoved, Server: id, Service: v.info.Service})
		}
	}
}

// reportSlowServerChanges reports the servers that became slow or recovered. The caller holds the
// lock.
func (s *Selector) reportSlowServerChanges(before, after map[encoder.ServerID]float64) {
	for id, ratio := range after {
		if before[id] == 0 {
			s.onServerEvent(ServerEvent{Kind: ServerSlow, Server: id, Service: s.serviceOf(id), Ratio: ratio})
		}
	}
	for id := range before {
		if after[id] == 0 {
			s.onServerEvent(ServerEvent{Kind: ServerRecovered, Server: id, Service: s.serviceOf(id)})
		}
	}
}

// serviceOf returns the service of a server, or an empty name if the server is unknown.
func (s *Selector) serviceOf(id encoder.ServerID) identifier.ServiceName {
	if v := s.servers[id]; v != nil {
		return v.info.Service
	}
	return ""
}
