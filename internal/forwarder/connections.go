package forwarder

import (
	"context"
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/warmer"
)

// connectionTime is the time that a server is assumed to need to accept a connection.
const connectionTime = 5 * time.Millisecond

// ConnectionTargets returns the servers to which connections must be open before requests arrive: the
// first server of each configured service. It leaves out services that other docks send to, and returns
// none without a configuration.
func (f *Forwarder) ConnectionTargets(now time.Time) warmer.Targets {
	targets := warmer.Targets{Spread: time.Duration(f.selector.CountDocks()) * connectionTime}
	table := f.table.Load()
	if table == nil {
		return targets
	}
	for _, s := range table.Services() {
		list := &targets.Shared
		switch f.selector.RoleFor(s.Name) {
		case selector.RoleNone:
			continue
		case selector.RoleOwner:
			list = &targets.Own
		case selector.RoleAll:
		}
		if target, ok := f.selector.ConnectionTarget(now, s.Name); ok {
			*list = append(*list, sender.Destination{Address: target.Address, ID: target.ID, Connections: f.selector.Connections(s.Name)})
		}
	}
	return targets
}

// ConnectPeers opens the links to the other docks that own shards.
func (f *Forwarder) ConnectPeers(ctx context.Context) {
	for _, address := range f.delegator.OwnerAddresses() {
		// The error is ignored, because requests to an unreachable dock fail and are handled then.
		_ = f.peers.Connect(ctx, address)
	}
}

// trimConnections closes the idle connections to servers of which this dock may hold fewer than before,
// so that the docks that may hold them now can open theirs.
func (f *Forwarder) trimConnections() {
	for _, a := range f.selector.Addresses() {
		f.sender.Trim(a.Address, f.selector.Connections(a.Service))
	}
}

// retainConnections closes the connections to servers that may no longer receive requests. Requests that wait
// for one of them fail as not sent.
func (f *Forwarder) retainConnections() {
	addresses := map[netip.AddrPort]encoder.ServerID{}
	for _, t := range f.selector.Addresses() {
		addresses[t.Address] = t.ID
	}
	f.sender.Retain(addresses)
}
