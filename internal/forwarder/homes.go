package forwarder

import (
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
		connections := f.selector.Connections(s.Name)
		for rank, target := range f.selector.Homes(now, s.Name, warmHomes) {
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
