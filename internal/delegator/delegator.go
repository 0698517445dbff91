// Package delegator determines which dock sends requests to which shards. The docks of a failure domain divide the shards
// among them, as package assigner does, and a dock that failed lately is passed over for a while. It answers the load
// pattern of more shards, or more docks, than servers accept connections for.
package delegator

import (
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

// Delegator determines which dock sends requests to which shards. It is safe for concurrent use.
type Delegator struct {
	// Set at creation.
	self identifier.HostName

	// Guarded by mutex.
	mutex sync.Mutex
	// docks are the docks of this dock's failure domain.
	docks []encoder.Dock
	// routed holds the groups of all scattered routes, without those of routes that are not delegated.
	routed []assigner.Group
	// groupByService holds the group of each service that only some docks may send to.
	groupByService map[identifier.ServiceName]*assigner.Group
	// suspectedUntil is when the docks that are skipped may be used again.
	suspectedUntil map[netip.AddrPort]time.Time
}

// New returns the Delegator of a dock, which knows no other docks yet.
func New(self identifier.HostName) *Delegator {
	return &Delegator{self: self, suspectedUntil: map[netip.AddrPort]time.Time{}}
}

// ConnectionLimits tells which docks may connect to the servers of a service.
type ConnectionLimits interface {
	// NeedsSenders reports whether the servers do not accept a connection from every dock.
	NeedsSenders(service identifier.ServiceName) bool
	// CountSenders returns how many docks of each failure domain may be senders.
	CountSenders(service identifier.ServiceName) int
}

// Assign computes the groups of all routes and returns the services that this dock sends to. Without a
// configuration, nothing is delegated.
func (de *Delegator) Assign(t *matcher.Table, limits ConnectionLimits) selector.Ownership {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	ownership := selector.Ownership{Ranks: map[identifier.ServiceName]int{}}
	de.routed = nil
	de.groupByService = map[identifier.ServiceName]*assigner.Group{}
	if t == nil {
		return ownership
	}
	for _, r := range t.Routes() {
		if d, ok := r.Destination.(matcher.Scatter); ok {
			groups := de.assignGroups(d.Services, limits)
			de.routed = append(de.routed, groups...)
			de.addGroups(ownership, groups)
		}
	}
	de.addGroups(ownership, de.assignGroups(unroutedServices(t), limits))
	for _, s := range t.Services() {
		if _, isGrouped := de.groupByService[s.Name]; !isGrouped && limits.NeedsSenders(s.Name) {
			// Without a list of docks yet, no dock may send to the service.
			ownership.Ranks[s.Name] = allotter.NoRank
			de.addGroups(ownership, de.limitSenders(assigner.AssignAll([]identifier.ServiceName{s.Name}, de.docks), limits))
		}
	}
	return ownership
}

// assignGroups divides services among the docks of this failure domain. It returns nil if every dock
// sends to them itself. The caller holds the lock.
func (de *Delegator) assignGroups(services []identifier.ServiceName, limits ConnectionLimits) []assigner.Group {
	groups := assigner.Assign(services, de.docks)
	if groups == nil && slices.ContainsFunc(services, limits.NeedsSenders) {
		groups = assigner.AssignAll(services, de.docks)
	}
	return de.limitSenders(groups, limits)
}

// limitSenders removes the senders that may not connect to all servers of their group.
func (de *Delegator) limitSenders(groups []assigner.Group, limits ConnectionLimits) []assigner.Group {
	for i := range groups {
		for _, s := range groups[i].Services {
			groups[i].Senders = groups[i].Senders[:min(len(groups[i].Senders), limits.CountSenders(s))]
		}
	}
	return groups
}

// addGroups adds the ranks of this dock in groups to an ownership. The caller holds the lock.
func (de *Delegator) addGroups(ownership selector.Ownership, groups []assigner.Group) {
	for i := range groups {
		g := &groups[i]
		rank := slices.IndexFunc(g.Senders, func(d encoder.Dock) bool { return d.Host == de.self })
		for _, s := range g.Services {
			if _, isGrouped := de.groupByService[s]; !isGrouped {
				de.groupByService[s] = g
				ownership.Ranks[s] = rank
			}
		}
	}
}

// unroutedServices returns the services to which no route refers, in the order of the configuration.
// Before an index is cut into other shards they are those of the next index, and the docks that will
// probably own them connect in advance. After it they are those of the former index.
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

// SetDocks replaces the list of docks in this dock's failure domain.
func (de *Delegator) SetDocks(docks []encoder.Dock) {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	de.docks = docks
}

// CountDocks returns the number of docks in this dock's failure domain.
func (de *Delegator) CountDocks() int {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	return len(de.docks)
}

// Docks returns the docks in this dock's failure domain.
func (de *Delegator) Docks() []encoder.Dock {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	return de.docks
}

// IsSuspect reports whether a dock failed or did not reply in time lately.
func (de *Delegator) IsSuspect(now time.Time, dock encoder.Dock) bool {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	return now.Before(de.suspectedUntil[dock.Address])
}

// Divide divides services, which may be those of a former configuration, into the groups that they are part of
// now. It also returns the services that every dock sends to itself. Each service is returned once.
func (de *Delegator) Divide(services []identifier.ServiceName) (groups []assigner.Group, ungrouped []identifier.ServiceName) {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	index := map[*assigner.Group]int{}
	for _, s := range services {
		g := de.groupByService[s]
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

// SendersOf returns the docks that may send to a service in place of this one, or nil if the service has
// no senders.
func (de *Delegator) SendersOf(service identifier.ServiceName) []encoder.Dock {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	g := de.groupByService[service]
	if g == nil {
		return nil
	}
	return g.Senders
}

// Way is how the request is sent to the servers of a group.
type Way uint8

const (
	// Delegate means that another dock sends it.
	Delegate Way = iota
	// SendSelf means that this dock sends it.
	SendSelf
	// SendNone means that no dock that may send it is left.
	SendNone
)

// Choose returns how to send a request to a group, and the dock to delegate it to if another one must.
// Docks that failed lately are used only if this one may not send. Tried holds those that the request
// was delegated to before.
func (de *Delegator) Choose(now time.Time, g assigner.Group, tried []identifier.HostName, maySend bool) (encoder.Dock, Way) {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	suspect := encoder.Dock{}
	for _, d := range g.Senders {
		switch {
		case d.Host == de.self:
			return d, SendSelf
		case slices.Contains(tried, d.Host):
		case !now.Before(de.suspectedUntil[d.Address]):
			return d, Delegate
		case suspect.Host == "":
			suspect = d
		}
	}
	switch {
	case maySend:
		return encoder.Dock{}, SendSelf
	case suspect.Host != "":
		return suspect, Delegate
	default:
		return encoder.Dock{}, SendNone
	}
}

// MarkSuspect makes Choose skip a dock for suspectTime.
func (de *Delegator) MarkSuspect(now time.Time, dock encoder.Dock) {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	for address, until := range de.suspectedUntil {
		if !now.Before(until) {
			delete(de.suspectedUntil, address)
		}
	}
	de.suspectedUntil[dock.Address] = now.Add(suspectTime)
}

// OwnerAddresses returns the addresses of the other docks that own groups. It leaves out the docks that
// replace them.
func (de *Delegator) OwnerAddresses() []netip.AddrPort {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	list := []netip.AddrPort{}
	seen := map[identifier.HostName]bool{de.self: true}
	for _, g := range de.routed {
		if len(g.Senders) > 0 && !seen[g.Senders[0].Host] {
			seen[g.Senders[0].Host] = true
			list = append(list, g.Senders[0].Address)
		}
	}
	return list
}
