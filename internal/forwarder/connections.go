package forwarder

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/sender"
)

// warmHomes is how many servers of each service connections are kept to.
const warmServers = 1

// Homes returns the servers to which connections are to be open before requests come: the
// first server of each service in force, and then the further ones.
func (f *Forwarder) Homes(now time.Time) []sender.Destination {
	table := f.table.Load()
	if table == nil {
		return nil
	}
	byRank := [warmServers][]sender.Destination{}
	for _, s := range table.Services() {
		if f.selector.IsStranger(s.Name) {
			continue
		}
		connections := f.selector.Connections(s.Name)
		for rank, target := range f.selector.Homes(now, s.Name, warmServers) {
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

// ConnectPeers opens the links to the owners of shards.
func (f *Forwarder) ConnectPeers(ctx context.Context) {
	for _, address := range f.owners.ownerAddresses() {
		// A dock that cannot be reached shows when it is asked.
		_ = f.owners.peers.Connect(ctx, address)
	}
}
