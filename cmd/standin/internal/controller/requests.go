package controller

import (
	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/internal/identifier"
)

// FaultsRequest replaces the fault switches of the selected servers.
type FaultsRequest struct {
	Select Selector         `json:"select"`
	Faults responder.Faults `json:"faults"`
}

// CrashRequest crashes the selected servers once.
type CrashRequest struct {
	Select Selector `json:"select"`
}

// DrainRequest starts or ends draining of the selected servers.
type DrainRequest struct {
	Select   Selector `json:"select"`
	Draining bool     `json:"draining"`
}

// VersionsRequest adds and removes index versions at the selected servers. Adding a version with
// another shard count emulates a repartition. Zero in Add or Remove means no version.
type VersionsRequest struct {
	Select     Selector                `json:"select"`
	Add        identifier.IndexVersion `json:"add"`
	ShardCount uint32                  `json:"shard_count"`
	Remove     identifier.IndexVersion `json:"remove"`
}

// ExecutionsRequest requests how many subrequests of each request were started.
type ExecutionsRequest struct {
	Requests []string `json:"requests"`
}

// ExecutionsReply maps requests to their numbers of started subrequests. Requests without started
// subrequests are omitted.
type ExecutionsReply struct {
	Started map[string]int `json:"started"`
}

// ChangeReply contains the number of servers that a request changed.
type ChangeReply struct {
	Servers int `json:"servers"`
}

func (c *Controller) setFaults(r FaultsRequest) any {
	selected := c.selectServers(r.Select)
	for _, s := range selected {
		s.SetFaults(r.Faults)
	}
	return ChangeReply{Servers: len(selected)}
}

func (c *Controller) crash(r CrashRequest) any {
	selected := c.selectServers(r.Select)
	for _, s := range selected {
		s.Crash()
	}
	return ChangeReply{Servers: len(selected)}
}

func (c *Controller) drain(r DrainRequest) any {
	selected := c.selectServers(r.Select)
	for _, s := range selected {
		s.SetDraining(r.Draining)
	}
	return ChangeReply{Servers: len(selected)}
}

func (c *Controller) changeVersions(r VersionsRequest) any {
	selected := c.selectServers(r.Select)
	for _, s := range selected {
		if r.Add != 0 && r.ShardCount != 0 {
			s.AddVersion(r.Add, r.ShardCount)
		}
		if r.Remove != 0 {
			s.RemoveVersion(r.Remove)
		}
	}
	return ChangeReply{Servers: len(selected)}
}

func (c *Controller) countExecutions(r ExecutionsRequest) any {
	return ExecutionsReply{Started: c.executions.Started(r.Requests)}
}
