package forwarder

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/sender"
)

// warmServers is the number of servers of each service to which connections are kept open.
const warmServers = 1

// ConnectionTargets returns the servers to which connections must be open before requests arrive:
// the first server of each configured service, then the further ones. It leaves out services that
// other docks send to, and returns nil without a configuration.
func (f *Forwarder) ConnectionTargets(now time.Time) []sender.Destination {
	table := f.table.Load()
	if table == nil {
		return nil
	}
	byRank := [warmServers][]sender.Destination{}
	for _, s := range table.Services() {
		if !f.selector.KeepsConnections(s.Name) {
			continue
		}
		connections := f.selector.Connections(s.Name)
		for rank, target := range f.selector.ConnectionTargets(now, s.Name, warmServers) {
			destination := sender.Destination{Address: target.Address, ID: target.ID, Connections: connections}
			byRank[rank] = append(byRank[rank], destination)
		}
	}
	list := []sender.Destination{}
	for _, destinations := range byRank {
		list = append(list, destinations...)
	}
	return list
}

// ConnectPeers opens the links to the other docks that own shards.
func (f *Forwarder) ConnectPeers(ctx context.Context) {
	for _, address := range f.owners.ownerAddresses() {
		// The error is ignored, because requests to an unreachable dock fail and are handled then.
		_ = f.owners.peers.Connect(ctx, address)
	}
}

// trimConnections closes the idle connections to servers of which this dock may hold fewer than before,
// so that the docks that may hold them now can open theirs.
func (f *Forwarder) trimConnections() {
	for _, a := range f.selector.Addresses() {
		f.sender.Trim(a.Address, f.selector.Connections(a.Service))
	}
}
