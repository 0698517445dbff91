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
	// orphanTime is how long a server stays usable that only a restarted keeper knew: it
	// sends its next heartbeats to another keeper by then.
	orphanTime = 4 * time.Second
	// staleTime is how long a disconnected keeper's word counts like that of a connected one.
	staleTime = 4 * time.Second
)

// Server is one backend server as the keepers' reports add up.
type Server struct {
	encoder.Registration
	// ColdUntil is when the server is expected to be warm.
	ColdUntil time.Time
}

// Catalog merges the directories of several keepers. It is not safe for concurrent use.
type Catalog struct {
	keepers map[netip.AddrPort]*report
}

// report is what one keeper said.
type report struct {
	servers map[encoder.ServerID]held
	// orphans are those that an earlier process of the keeper knew.
	orphans      map[encoder.ServerID]held
	orphanedAt   time.Time
	disconnected time.Time
}

// held is one registration with the time at which it came.
type held struct {
	registration encoder.Registration
	coldUntil    time.Time
}

// NewCatalog returns an empty Catalog.
func NewCatalog() *Catalog {
	return &Catalog{keepers: map[netip.AddrPort]*report{}}
}

// Update takes in a keeper's reply.
func (c *Catalog) Update(now time.Time, keeper netip.AddrPort, isWhole bool, servers []encoder.Registration) {
	r := c.keepers[keeper]
	if r == nil {
		r = &report{servers: map[encoder.ServerID]held{}}
		c.keepers[keeper] = r
	}
	r.disconnected = time.Time{}
	if isWhole {
		r.orphans = r.servers
		r.orphanedAt = now
		r.servers = map[encoder.ServerID]held{}
	}
	for _, s := range servers {
		if s.State == encoder.PresenceLost {
			delete(r.servers, s.ID)
			continue
		}
		r.servers[s.ID] = held{registration: s, coldUntil: now.Add(s.Cold)}
	}
}

// Disconnect notes that a keeper cannot be reached.
func (c *Catalog) Disconnect(now time.Time, keeper netip.AddrPort) {
	if r := c.keepers[keeper]; r != nil && r.disconnected.IsZero() {
		r.disconnected = now
	}
}

// Remove forgets a keeper that is no member any more.
func (c *Catalog) Remove(keeper netip.AddrPort) { delete(c.keepers, keeper) }

// IsSettled tells whether the servers change with news only, and not with time.
func (c *Catalog) IsSettled(now time.Time) bool {
	for _, r := range c.keepers {
		isAging := !r.disconnected.IsZero() || len(r.orphans) > 0 && now.Sub(r.orphanedAt) <= 2*orphanTime
		if isAging {
			return false
		}
	}
	return true
}

// Servers returns the servers that may take work, by service and ordered by ID.
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

// merge joins the keepers' reports. The newest start of a server counts, with the furthest
// state that any keeper saw; it is silent only if all that know it say so.
func (c *Catalog) merge(now time.Time) map[encoder.ServerID]Server {
	merged := map[encoder.ServerID]Server{}
	anyConnected := c.isAnyConnected(now)
	for _, r := range c.keepers {
		isStale := anyConnected && !r.isConnected(now)
		for _, h := range r.servers {
			mergeOne(merged, h, isStale)
		}
		if now.Sub(r.orphanedAt) > orphanTime {
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

// mergeOne adds one keeper's word on a server.
func mergeOne(merged map[encoder.ServerID]Server, h held, isStale bool) {
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

// isAnyConnected tells whether a keeper's word is up to date.
func (c *Catalog) isAnyConnected(now time.Time) bool {
	for _, r := range c.keepers {
		if r.isConnected(now) {
			return true
		}
	}
	return false
}

// isConnected tells whether the keeper's word counts as up to date.
func (r *report) isConnected(now time.Time) bool {
	return r.disconnected.IsZero() || now.Sub(r.disconnected) < staleTime
}
