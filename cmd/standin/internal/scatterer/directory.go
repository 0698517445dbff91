package scatterer

import (
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/cmd/standin/internal/announcer"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

// announcementTTL is the time after which a server without a new announcement is removed.
const announcementTTL = 10 * time.Second

// directory holds the servers that have announced themselves.
type directory struct {
	clock timekeeper.Clock

	mutex   sync.Mutex
	servers map[netip.AddrPort]entry
	// plans caches the best plan of each service. A nil plan means that no server is available; a
	// nil map means that the cache is invalid.
	plans map[identifier.ServiceName]*plan
}

// entry is the newest announcement of a server and the time of its arrival.
type entry struct {
	announcement announcer.Announcement
	announcedAt  time.Time
}

// plan is an index version with the replicas of each of its shards.
type plan struct {
	version  identifier.IndexVersion
	replicas [][]announcer.Announcement
}

func newDirectory(clock timekeeper.Clock) *directory {
	return &directory{clock: clock, servers: make(map[netip.AddrPort]entry)}
}

// record stores an announcement and invalidates the plans.
func (d *directory) record(a announcer.Announcement) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.servers[a.Address] = entry{announcement: a, announcedAt: d.clock.Now()}
	d.plans = nil
}

// find returns the plan of a service, or nil if no server is available for it.
func (d *directory) find(service identifier.ServiceName) *plan {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.plans == nil {
		d.plans = make(map[identifier.ServiceName]*plan)
	}
	if _, known := d.plans[service]; !known {
		d.plans[service] = d.makePlan(service)
	}
	return d.plans[service]
}

// makePlan returns the plan of the index version that covers the largest share of its shards; among
// equals, the newest version.
func (d *directory) makePlan(service identifier.ServiceName) *plan {
	d.dropExpired()
	versions := make(map[identifier.IndexVersion]*plan)
	for _, e := range d.servers {
		if e.announcement.Service == service && e.announcement.State != encoder.ServerDraining {
			addHoldings(versions, e.announcement)
		}
	}
	var best *plan
	for _, p := range versions {
		if best == nil || p.isBetterThan(best) {
			best = p
		}
	}
	return best
}

func (d *directory) dropExpired() {
	now := d.clock.Now()
	for address, e := range d.servers {
		if now.Sub(e.announcedAt) > announcementTTL {
			delete(d.servers, address)
		}
	}
}

func addHoldings(versions map[identifier.IndexVersion]*plan, a announcer.Announcement) {
	for _, h := range a.Holdings {
		p := versions[h.Version]
		if p == nil {
			p = &plan{version: h.Version, replicas: make([][]announcer.Announcement, h.ShardCount)}
			versions[h.Version] = p
		}
		if int(h.Shard) < len(p.replicas) {
			p.replicas[h.Shard] = append(p.replicas[h.Shard], a)
		}
	}
}

// coverage returns the share of shards that have at least one replica.
func (p *plan) coverage() float64 {
	covered := 0
	for _, r := range p.replicas {
		if len(r) > 0 {
			covered++
		}
	}
	return float64(covered) / float64(len(p.replicas))
}

func (p *plan) isBetterThan(o *plan) bool {
	a, b := p.coverage(), o.coverage()
	return a > b || a == b && p.version > o.version
}
