package forwarder

import (
	"context"
	"time"

	"banyandock.example/banyandock/internal/sender"
)

// warmHomes is how many servers of each service connections are kept to.
const warmHomes = 1

// Homes returns the servers to which connections are to be open before requests come: the
// first server of each service in force, and then the further ones.
func (f *Forwarder) Homes(now time.Time) []sender.Destination {
	table := f.table.Load()
	if table == nil {
		return nil
	}
	byRank := [warmHomes][]sender.Destination{}
	for _, s := range table.Services() {
		if f.selector.IsOwnedElsewhere(s.Name) {
			continue
		}
		connections := f.selector.Connections(s.Name)
		for rank, target := range f.selector.ConnectionTargets(now, s.Name, warmHomes) {
			to := sender.Destination{Address: target.Address, ID: target.ID, Connections: connections}
			byRank[rank] = append(byRank[rank], to)
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
	for _, address := range f.owners.addresses() {
		// A dock that cannot be reached shows when it is asked.
		_ = f.owners.peers.Connect(ctx, address)
	}
}
