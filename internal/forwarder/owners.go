package forwarder

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/allotter"
	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
)

// suspectTime is how long an owner is skipped after it failed or did not reply in time.
const suspectTime = 2 * time.Second

// Peers sends messages to other docks. The errors of Gather, More and Relay wrap those of package linker.
type Peers interface {
	Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error)
	More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error)
	Relay(ctx context.Context, dock netip.AddrPort, r encoder.RelayRequest) (encoder.RelayReply, error)
	// Connect opens the link to a dock unless it is already open.
	Connect(ctx context.Context, dock netip.AddrPort) error
}

// owners determines which dock sends requests to which shards. It is safe for concurrent use.
type owners struct {
	// Set at creation.
	self  identifier.HostName
	peers Peers

	// Guarded by mutex.
	mutex sync.Mutex
	// domainDocks are the docks of this dock's failure domain.
	domainDocks []encoder.Dock
	// routed holds the groups of all scattered routes, without those of routes that are not delegated.
	routed []assigner.Group
	// groupByService holds the group of each service that only some docks may send to.
	groupByService map[identifier.ServiceName]*assigner.Group
	// suspectedUntil is when the docks that are skipped may be used again.
	suspectedUntil map[netip.AddrPort]time.Time
	lastID         uint64
}

// allotments tells which docks may connect to the servers of a service.
type allotments interface {
	// NeedsSenders reports whether the servers do not accept a connection from every dock.
	NeedsSenders(service identifier.ServiceName) bool
	// CountSenders returns how many docks of each failure domain may be senders.
	CountSenders(service identifier.ServiceName) int
}

// assign computes the groups of all routes and returns the services that this dock sends to. Without a
// configuration or peers, nothing is delegated.
func (o *owners) assign(t *matcher.Table, a allotments) selector.Ownership {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ownership := selector.Ownership{Ranks: map[identifier.ServiceName]int{}}
	o.routed = nil
	o.groupByService = map[identifier.ServiceName]*assigner.Group{}
	if t == nil || o.peers == nil {
		return ownership
	}
	for _, r := range t.Routes() {
		if d, ok := r.Destination.(matcher.Scatter); ok {
			groups := o.assignGroups(d.Services, a)
			o.routed = append(o.routed, groups...)
			o.addGroups(ownership, groups)
		}
	}
	o.addGroups(ownership, o.assignGroups(unroutedServices(t), a))
	for _, s := range t.Services() {
		if _, isGrouped := o.groupByService[s.Name]; !isGrouped && a.NeedsSenders(s.Name) {
			// Without a list of docks yet, no dock may send to the service.
			ownership.Ranks[s.Name] = allotter.NoRank
			o.addGroups(ownership, o.limitSenders(assigner.AssignAll([]identifier.ServiceName{s.Name}, o.domainDocks), a))
		}
	}
	return ownership
}

// assignGroups divides services among the docks of this failure domain. It returns nil if every dock
// sends to them itself. The caller holds the lock.
func (o *owners) assignGroups(services []identifier.ServiceName, a allotments) []assigner.Group {
	groups := assigner.Assign(services, o.domainDocks)
	if groups == nil && slices.ContainsFunc(services, a.NeedsSenders) {
		groups = assigner.AssignAll(services, o.domainDocks)
	}
	return o.limitSenders(groups, a)
}

// limitSenders removes the senders that may not connect to all servers of their group.
func (o *owners) limitSenders(groups []assigner.Group, a allotments) []assigner.Group {
	for i := range groups {
		for _, s := range groups[i].Services {
			groups[i].Senders = groups[i].Senders[:min(len(groups[i].Senders), a.CountSenders(s))]
		}
	}
	return groups
}

// addGroups adds the ranks of this dock in groups to an ownership. The caller holds the lock.
func (o *owners) addGroups(ownership selector.Ownership, groups []assigner.Group) {
	for i := range groups {
		g := &groups[i]
		rank := slices.IndexFunc(g.Senders, func(d encoder.Dock) bool { return d.Host == o.self })
		for _, s := range g.Services {
			if _, isGrouped := o.groupByService[s]; !isGrouped {
				o.groupByService[s] = g
				ownership.Ranks[s] = rank
			}
		}
	}
}

// unroutedServices returns the services to which no route refers, in the order of the configuration.
// Before a repartition they are the shards of the next index, and the docks that will probably own
// them connect in advance. After it they are the shards of the former index.
func unroutedServices(t *matcher.Table) []identifier.ServiceName {
	routed := map[identifier.ServiceName]bool{}
	for _, r := range t.Routes() {
		for _, s := range matcher.Services(r.Destination) {
			routed[s] = true
		}
	}
	list := []identifier.ServiceName{}
	for _, s := range t.Services() {
		if !routed[s.Name] {
			list = append(list, s.Name)
		}
	}
	return list
}

// setDomainDocks replaces the list of docks in this dock's failure domain.
func (o *owners) setDomainDocks(domainDocks []encoder.Dock) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.domainDocks = domainDocks
}

// countDomainDocks returns the number of docks in this dock's failure domain.
func (o *owners) countDomainDocks() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.domainDocks)
}

// listDomainDocks returns the docks in this dock's failure domain.
func (o *owners) listDomainDocks() []encoder.Dock {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.domainDocks
}

// isSuspect reports whether a dock failed or did not reply in time lately.
func (o *owners) isSuspect(now time.Time, dock encoder.Dock) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return now.Before(o.suspectedUntil[dock.Address])
}

// divide divides services, which may be those of a former configuration, into the groups that they are part of
// now. It also returns the services that every dock sends to itself. Each service is returned once.
func (o *owners) divide(services []identifier.ServiceName) (groups []assigner.Group, ungrouped []identifier.ServiceName) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	index := map[*assigner.Group]int{}
	for _, s := range services {
		g := o.groupByService[s]
		if g == nil {
			ungrouped = append(ungrouped, s)
			continue
		}
		i, ok := index[g]
		if !ok {
			i = len(groups)
			index[g] = i
			groups = append(groups, assigner.Group{Services: make([]identifier.ServiceName, 0, len(g.Services)), Senders: g.Senders})
		}
		groups[i].Services = append(groups[i].Services, s)
	}
	return groups, ungrouped
}

// sendersOf returns the docks that may send to a service in place of this one, or nil if the service has
// no senders.
func (o *owners) sendersOf(service identifier.ServiceName) []encoder.Dock {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	g := o.groupByService[service]
	if g == nil {
		return nil
	}
	return g.Senders
}

// sendingKind is how the request is sent to the servers of a group.
type sendingKind uint8

const (
	// sendDelegated means that another dock sends it.
	sendDelegated sendingKind = iota
	// sendSelf means that this dock sends it.
	sendSelf
	// sendNone means that no dock that may send it is left.
	sendNone
)

// choose returns how to send a request to a group, and the dock to delegate it to if another one must.
// Docks that failed lately are used only if this one may not send. Tried holds those that the request
// was delegated to before.
func (o *owners) choose(now time.Time, g assigner.Group, tried []identifier.HostName, maySend bool) (encoder.Dock, sendingKind) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	suspect := encoder.Dock{}
	for _, d := range g.Senders {
		switch {
		case d.Host == o.self:
			return d, sendSelf
		case slices.Contains(tried, d.Host):
		case !now.Before(o.suspectedUntil[d.Address]):
			return d, sendDelegated
		case suspect.Host == "":
			suspect = d
		}
	}
	switch {
	case maySend:
		return encoder.Dock{}, sendSelf
	case suspect.Host != "":
		return suspect, sendDelegated
	default:
		return encoder.Dock{}, sendNone
	}
}

// markSuspect makes choose skip a dock for suspectTime.
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

// nextID returns an unused number for a delegated query.
func (o *owners) nextID() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastID++
	return o.lastID
}

// ownerAddresses returns the addresses of the other docks that own groups. It leaves out the docks that
// replace them.
func (o *owners) ownerAddresses() []netip.AddrPort {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	list := []netip.AddrPort{}
	seen := map[identifier.HostName]bool{o.self: true}
	for _, g := range o.routed {
		if len(g.Senders) > 0 && !seen[g.Senders[0].Host] {
			seen[g.Senders[0].Host] = true
			list = append(list, g.Senders[0].Address)
		}
	}
	return list
}
