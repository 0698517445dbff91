package controller

import (
	"slices"

	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/internal/identifier"
)

// Selector selects servers. A server matches if it matches every field that is set; the empty
// selector matches all servers.
type Selector struct {
	Service identifier.ServiceName `json:"service"`
	Domain  identifier.DomainName  `json:"domain"`
	// Positions are positions within a replica group. A position equals the shard number if there
	// are as many shards as servers in a group.
	Positions []int `json:"positions"`
	// Replicas are the numbers of replica groups, starting at 0.
	Replicas []int `json:"replicas"`
}

func (s Selector) matches(server *responder.Server) bool {
	p := server.Placement()
	switch {
	case s.Service != "" && s.Service != server.Service():
		return false
	case s.Domain != "" && s.Domain != server.Domain():
		return false
	case s.Positions != nil && !slices.Contains(s.Positions, p.Index%p.GroupSize()):
		return false
	case s.Replicas != nil && !slices.Contains(s.Replicas, p.Index/p.GroupSize()):
		return false
	}
	return true
}

// selectServers returns the servers that match a selector.
func (c *Controller) selectServers(s Selector) []*responder.Server {
	var selected []*responder.Server
	for _, server := range c.servers {
		if s.matches(server) {
			selected = append(selected, server)
		}
	}
	return selected
}
