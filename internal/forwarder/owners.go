package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
)

// suspectTime is how long an owner that was silent or refused is passed over.
const suspectTime = 2 * time.Second

// Peers carries messages to other docks. The errors of Gather and More wrap linker's.
type Peers interface {
	Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error)
	More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error)
	// Connect opens the link to a dock unless it is open.
	Connect(ctx context.Context, dock netip.AddrPort) error
}

// owners knows which dock sends which shards' requests. It is safe for concurrent use.
type owners struct {
	// Set at creation.
	self  identifier.HostName
	peers Peers

	// Guarded by mutex.
	mutex       sync.Mutex
	domainDocks []encoder.Dock
	domains     int
	// plans holds the groups of each scattered route, or nil for those that are not delegated.
	groupsByRoute map[matcher.RouteName][]assigner.Group
	// suspects are passed over until a moment.
	suspectedUntil map[netip.AddrPort]time.Time
	lastID         uint64
}

// plan works out the groups of all routes and returns what this dock owns.
func (o *owners) assign(t *matcher.Table) selector.Ownership {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ownership := selector.Ownership{
		Owned:     map[identifier.ServiceName]bool{},
		Delegated: map[identifier.ServiceName]bool{},
		Owners:    o.domains,
	}
	o.groupsByRoute = map[matcher.RouteName][]assigner.Group{}
	if t == nil || o.peers == nil {
		return ownership
	}
	for _, r := range t.Routes() {
		d, ok := r.Destination.(matcher.Scatter)
		if !ok {
			continue
		}
		groups := assigner.Assign(d.Services, o.domainDocks)
		o.groupsByRoute[r.Name] = groups
		for _, g := range groups {
			for _, s := range g.Services {
				ownership.Delegated[s] = true
				if g.Owner.Host == o.self {
					ownership.Owned[s] = true
				}
			}
		}
	}
	return ownership
}

// setFellows replaces the docks of this one's failure domain.
func (o *owners) setDomainDocks(domainDocks []encoder.Dock) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.domainDocks = domainDocks
}

// setDomains tells in how many failure domains there are docks, and returns whether that is new.
func (o *owners) setDomains(domains int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	isNew := o.domains != domains
	o.domains = domains
	return isNew
}

// countFellows returns the number of docks in this one's failure domain.
func (o *owners) countDomainDocks() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.domainDocks)
}

// groups returns the groups of a route, or nil if it is not delegated.
func (o *owners) groups(route matcher.RouteName) []assigner.Group {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.groupsByRoute[route]
}

// choose returns the dock to ask for a group. It returns false if this dock is to send itself.
func (o *owners) choose(now time.Time, g assigner.Group) (encoder.Dock, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, d := range []encoder.Dock{g.Owner, g.Second} {
		if d.Host == o.self {
			return d, false
		}
		if !now.Before(o.suspectedUntil[d.Address]) {
			return d, true
		}
	}
	return encoder.Dock{}, false
}

// suspect passes a dock over for a while.
func (o *owners) markSuspect(now time.Time, dock encoder.Dock) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for address, until := range o.suspectedUntil {
		if !now.Before(until) {
			delete(o.suspectedUntil, address)
		}
	}
	o.suspectedUntil[dock.Address] = now.Add(suspectTime)
}

// nextID returns a new number for a delegated query.
func (o *owners) nextID() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastID++
	return o.lastID
}

// addresses returns the docks that this one asks, the first choices first.
func (o *owners) ownerAddresses() []netip.AddrPort {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	list := []netip.AddrPort{}
	seen := map[identifier.HostName]bool{o.self: true}
	for _, groups := range o.groupsByRoute {
		for _, g := range groups {
			if !seen[g.Owner.Host] {
				seen[g.Owner.Host] = true
				list = append(list, g.Owner.Address)
			}
		}
	}
	return list
}
