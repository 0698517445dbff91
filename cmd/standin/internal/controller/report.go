package controller

import (
	"net/netip"

	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/internal/identifier"
)

// Report is the body of GET /v1/counters.
type Report struct {
	Totals  responder.Counts    `json:"totals"`
	Keys    responder.KeyReport `json:"keys"`
	Servers []ServerReport      `json:"servers"`
}

// ServerReport is the part of a Report about one server.
type ServerReport struct {
	Address netip.AddrPort         `json:"address"`
	Service identifier.ServiceName `json:"service"`
	Domain  identifier.DomainName  `json:"domain"`
	Up      bool                   `json:"up"`
	Faults  responder.Faults       `json:"faults"`
	Counts  responder.Counts       `json:"counts"`
	// ShardCounts maps the index versions that the server holds to their shard counts.
	ShardCounts map[identifier.IndexVersion]uint32 `json:"shard_counts"`
}

func (c *Controller) report() Report {
	r := Report{Keys: c.executions.Report()}
	for _, s := range c.servers {
		description, up := s.Describe()
		counts := s.Counts()
		r.Totals = r.Totals.Plus(counts)
		entry := ServerReport{
			Address:     s.Address(),
			Service:     s.Service(),
			Domain:      s.Domain(),
			Up:          up,
			Faults:      s.Faults(),
			Counts:      counts,
			ShardCounts: make(map[identifier.IndexVersion]uint32),
		}
		for _, h := range description.Holdings {
			entry.ShardCounts[h.Version] = h.ShardCount
		}
		r.Servers = append(r.Servers, entry)
	}
	return r
}
