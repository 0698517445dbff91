package owner

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// Event is an event that is passed to the event hook.
type Event interface {
	isEvent()
}

// ServerEjected reports that a server gets no work until a time, because of failures.
type ServerEjected struct {
	Server netip.AddrPort
	Until  time.Time
}

// ServerCrashed reports that a server's connection broke while a subrequest ran. Crashes is the
// number of servers that the fingerprint has crashed at this owner. Isolated reports whether no
// other subrequest ran on this one.
type ServerCrashed struct {
	Server      netip.AddrPort
	Shard       identifier.Shard
	Request     identifier.RequestID
	Fingerprint identifier.Fingerprint
	Isolated    bool
	Crashes     int
}

// ShardTaken reports that this dock became a shard's owner. Former is empty if the former owner
// is unknown.
type ShardTaken struct {
	Service identifier.ServiceName
	Number  identifier.ShardNumber
	Epoch   identifier.Epoch
	Former  identifier.HostName
}

// ShardReleased reports that this dock stopped dispatching a shard's subrequests.
type ShardReleased struct {
	Service identifier.ServiceName
	Number  identifier.ShardNumber
	Epoch   identifier.Epoch
}

// TransitionEnded reports that this dock uses its whole share of slots for a shard that it took
// over. Acknowledged is false if the former owner did not reply in time.
type TransitionEnded struct {
	Service      identifier.ServiceName
	Number       identifier.ShardNumber
	Epoch        identifier.Epoch
	Acknowledged bool
}

func (ServerEjected) isEvent()   {}
func (ServerCrashed) isEvent()   {}
func (ShardTaken) isEvent()      {}
func (ShardReleased) isEvent()   {}
func (TransitionEnded) isEvent() {}
