package locator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// orphanGrace is how long a server stays usable that was registered only with a keeper that has
	// restarted. By then, the server has sent its next heartbeats to another keeper.
	orphanGrace = 4 * time.Second
	// disconnectGrace is how long the report of a disconnected keeper counts as current.
	disconnectGrace = 4 * time.Second
)

// Server is a backend server as merged from the reports of the keepers.
type Server struct {
	encoder.Registration
	// ColdUntil is the time at which the server is expected to be warm.
	ColdUntil time.Time
}

// Catalog merges the directories of several keepers. It is not safe for concurrent use.
type Catalog struct {
	keepers map[netip.AddrPort]*keeperReport
	// restarted holds the latest start of each server that has started again since.
	restarted map[encoder.ServerID]End
}

// keeperReport holds the servers that one keeper reported.
type keeperReport struct {
	servers map[encoder.ServerID]timedRegistration
	// orphans are the servers that the keeper had reported before its last whole reply, which it
	// sends after a restart.
	orphans      map[encoder.ServerID]timedRegistration
	orphanedAt   time.Time
	disconnected time.Time
}

// timedRegistration is a registration with the time at which the server is expected to be warm, and
// that of its last heartbeat if it is silent.
type timedRegistration struct {
	registration encoder.Registration
	coldUntil    time.Time
	silentSince  time.Time
}

// NewCatalog returns an empty Catalog.
func NewCatalog() *Catalog {
	return &Catalog{keepers: map[netip.AddrPort]*keeperReport{}, restarted: map[encoder.ServerID]End{}}
}

// Update applies a keeper's reply. IsWhole means that the reply lists all servers of the keeper,
// which then replace the earlier ones; otherwise it lists changes.
func (c *Catalog) Update(now time.Time, keeper netip.AddrPort, isWhole bool, servers []encoder.Registration) {
	r := c.keepers[keeper]
	if r == nil {
		r = &keeperReport{servers: map[encoder.ServerID]timedRegistration{}}
		c.keepers[keeper] = r
	}
	r.disconnected = time.Time{}
	if isWhole {
		r.orphans = r.servers
		r.orphanedAt = now
		r.servers = map[encoder.ServerID]timedRegistration{}
	}
	for _, s := range servers {
		if s.State == encoder.PresenceLost {
			delete(r.servers, s.ID)
			continue
		}
		c.recordRestart(now, r.servers[s.ID].registration, s)
		r.servers[s.ID] = timedRegistration{registration: s, coldUntil: now.Add(s.Cold), silentSince: now.Add(-s.SilentFor)}
	}
}

// Disconnect records that a keeper became unreachable.
func (c *Catalog) Disconnect(now time.Time, keeper netip.AddrPort) {
	if r := c.keepers[keeper]; r != nil && r.disconnected.IsZero() {
		r.disconnected = now
	}
}

// Remove removes a keeper that is no longer a member.
func (c *Catalog) Remove(keeper netip.AddrPort) { delete(c.keepers, keeper) }

// IsSettled reports whether the result of Servers changes only with new replies, and not as time
// passes.
func (c *Catalog) IsSettled(now time.Time) bool {
	for _, r := range c.keepers {
		isAging := !r.disconnected.IsZero() || len(r.orphans) > 0 && now.Sub(r.orphanedAt) <= 2*orphanGrace
		if isAging {
			return false
		}
	}
	return true
}

// Servers returns the servers that may receive requests by service, ordered by ID. Of several
// servers at one address, only the one that started last is returned.
func (c *Catalog) Servers(now time.Time) map[identifier.ServiceName][]Server {
	merged := c.merge(now)
	newest := map[netip.AddrPort]Server{}
	for _, s := range merged {
		if other, ok := newest[s.Address]; !ok || other.Born < s.Born {
			newest[s.Address] = s
		}
	}
	services := map[identifier.ServiceName][]Server{}
	for _, s := range merged {
		if s.State == encoder.PresenceReady && newest[s.Address].ID == s.ID {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	for _, servers := range services {
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

// merge merges the reports of the keepers. For each server, the newest start counts, with the most
// advanced state that any keeper reported. A server is silent only if all keepers that report it
// mark it as silent or are not current.
func (c *Catalog) merge(now time.Time) map[encoder.ServerID]Server {
	merged := map[encoder.ServerID]Server{}
	hasCurrent := c.hasCurrentKeeper(now)
	for _, r := range c.keepers {
		isStale := hasCurrent && !r.isCurrent(now)
		for _, h := range r.servers {
			mergeOne(merged, h, isStale)
		}
		if now.Sub(r.orphanedAt) > orphanGrace {
			continue
		}
		for id, h := range r.orphans {
			if _, ok := r.servers[id]; !ok {
				mergeOne(merged, h, false)
			}
		}
	}
	return merged
}

// mergeOne merges one keeper's report of a server. IsStale marks the server as silent.
func mergeOne(merged map[encoder.ServerID]Server, h timedRegistration, isStale bool) {
	s := Server{Registration: h.registration, ColdUntil: h.coldUntil}
	s.Silent = s.Silent || isStale
	other, ok := merged[s.ID]
	if !ok || other.Born < s.Born {
		merged[s.ID] = s
		return
	}
	if other.Born > s.Born {
		return
	}
	state := max(s.State, other.State)
	silent := s.Silent && other.Silent
	if s.Sequence < other.Sequence {
		s = other
	}
	s.State, s.Silent = state, silent
	merged[s.ID] = s
}

// hasCurrentKeeper reports whether the report of any keeper is current.
func (c *Catalog) hasCurrentKeeper(now time.Time) bool {
	for _, r := range c.keepers {
		if r.isCurrent(now) {
			return true
		}
	}
	return false
}

// isCurrent reports whether the keeper is connected or was disconnected less than disconnectGrace
// ago.
func (r *keeperReport) isCurrent(now time.Time) bool {
	return r.disconnected.IsZero() || now.Sub(r.disconnected) < disconnectGrace
}
