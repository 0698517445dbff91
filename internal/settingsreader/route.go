package settingsreader

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxSeeds limits the number of addresses in seeds.
	maxSeeds = 64
	// maxTolerated limits tolerated_hosts and tolerated_domains.
	maxTolerated = 4
	// minVoters is the number of voters in a group that has to tolerate at most one loss.
	minVoters = 3
	// domainLossVoters is the number of voters in a group that has to tolerate the loss of a failure
	// domain, because up to two of the voters may be in the same domain.
	domainLossVoters = 5
	// maxBudgetSlack limits repeat_slack.
	maxBudgetSlack = 1_000_000
	// defaultRepeatWindow and maxRepeatWindow are the default and the limit of repeat_window.
	defaultRepeatWindow = 10 * time.Second
	maxRepeatWindow     = time.Hour
	// defaultQuotaWindow and maxQuotaWindow are the default and the limit of quota_window. maxQuotaOverage
	// and maxQuotaSlack limit quota_overage and quota_slack.
	defaultQuotaWindow = 5 * time.Second
	maxQuotaWindow     = time.Hour
	maxQuotaOverage    = 10
	maxQuotaSlack      = 1_000_000
	// maxMemory limits memory_limit_mb.
	maxMemory = 1 << 20
	// maxHeartbeat limits heartbeat_interval.
	maxHeartbeat = time.Minute
)

// Routed holds the settings that docks and keepers of a routed deployment have in common.
type Routed struct {
	Common
	// Seeds are the control addresses of the keepers to contact first. Their links listen on
	// KeeperLinkPort.
	Seeds []netip.AddrPort
	// KeeperLinkPort is the port on which every keeper accepts links.
	KeeperLinkPort uint16
	// MemoryLimitMB is the memory in MB that the process may use, rounded down.
	MemoryLimitMB int
	// QuotaWindow, QuotaOverage and QuotaSlack say how closely customers' quotas are kept: in any
	// QuotaWindow, all docks together send (rate x QuotaWindow + burst) x (1 + QuotaOverage) + QuotaSlack
	// requests of a customer at most. Docks use only QuotaWindow.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// Clients are the limits on callers, or on operators and backend servers.
	Clients Clients
}

// RouteDock holds the settings of a dock that forwards opaque requests.
type RouteDock struct {
	Routed
	// CallerAddress is where callers send requests.
	CallerAddress netip.AddrPort
	// ReadinessAddress is where the load balancer checks whether this dock accepts callers.
	ReadinessAddress netip.AddrPort
	// LinkAddress is where other docks connect. It is not valid for a dock that sends requests to
	// all shards itself.
	LinkAddress netip.AddrPort
	// RepeatRatio and RepeatSlack, which is rounded down, limit the retries and hedges that all docks together send to a
	// service within any RepeatWindow.
	RepeatRatio  float64
	RepeatSlack  int
	RepeatWindow time.Duration
	// DrainGrace is how long the dock continues to serve after it reports that it is not ready.
	DrainGrace time.Duration
	// FinishTimeout is how long the dock waits for in-flight requests after DrainGrace.
	FinishTimeout time.Duration
	// AwaitEvacuations states that failure domains may be evacuated. A dock that has just started then has
	// no servers until a majority of the keepers has told it which ones are.
	AwaitEvacuations bool
}

// RouteKeeper holds the settings of a keeper of a routed deployment.
type RouteKeeper struct {
	Routed
	// LinkAddress is where docks and other keepers connect.
	LinkAddress netip.AddrPort
	// ControlAddress is where operators and backend servers connect.
	ControlAddress netip.AddrPort
	// DataFolder is the path of the folder with the keeper's files.
	DataFolder string
	// MayForm states that all hosts start for the first time, with empty disks. The seeds then form a group.
	// Later starts form one only if the disks of the first start prove that there was none.
	MayForm bool
	// ToleratedHosts and ToleratedDomains are the numbers of hosts and of failure domains that may
	// be lost at the same time.
	ToleratedHosts   int
	ToleratedDomains int
	// HeartbeatInterval is how often backend servers announce themselves.
	HeartbeatInterval time.Duration
}

// Voters returns the target number of voters of the group, which leaves a majority after the
// tolerated losses.
func (k *RouteKeeper) Voters() int {
	voters := max(minVoters, 2*k.ToleratedHosts+1)
	if k.ToleratedDomains > 0 {
		voters = max(voters, domainLossVoters)
	}
	return voters
}

// LinkSeeds returns the link addresses of the seeds.
func (r Routed) LinkSeeds() []netip.AddrPort {
	links := []netip.AddrPort{}
	for _, s := range r.Seeds {
		links = append(links, netip.AddrPortFrom(s.Addr(), r.KeeperLinkPort))
	}
	return links
}

// readRouted reads the keys that docks and keepers of a routed deployment have in common.
func readRouted(t *tomlreader.Table) Routed {
	return Routed{
		Common:         readCommon(t),
		Seeds:          tomlreader.Required(t, "seeds", tomlreader.List(maxSeeds, tomlreader.Address)),
		KeeperLinkPort: uint16(tomlreader.Required(t, "keeper_link_port", tomlreader.Integer(1, 65535))),
		MemoryLimitMB:  int(tomlreader.Optional(t, "memory_limit_mb", 0, tomlreader.Number(0, maxMemory))),
		QuotaWindow:    tomlreader.Optional(t, "quota_window", defaultQuotaWindow, tomlreader.Duration(time.Second, maxQuotaWindow)),
		QuotaOverage:   tomlreader.Optional(t, "quota_overage", 0, tomlreader.Number(0, maxQuotaOverage)),
		QuotaSlack:     tomlreader.Optional(t, "quota_slack", 0, tomlreader.Number(0, maxQuotaSlack)),
		Clients:        readClients(t),
	}
}

// ReadRouteDock reads the settings file of a dock that forwards opaque requests. The error wraps
// ErrUnreadable or ErrInvalid.
func ReadRouteDock(path string) (*RouteDock, error) {
	text, err := load(path)
	if err != nil {
		return nil, err
	}
	d := tomlreader.Read(text, maxBytes)
	t := d.Root
	s := &RouteDock{
		Routed:           readRouted(t),
		CallerAddress:    tomlreader.Required(t, "caller_address", tomlreader.Address),
		ReadinessAddress: tomlreader.Required(t, "readiness_address", tomlreader.Address),
		LinkAddress:      tomlreader.Optional(t, "link_address", netip.AddrPort{}, tomlreader.Address),
		RepeatRatio:      tomlreader.Required(t, "repeat_ratio", tomlreader.Number(0, 1)),
		RepeatSlack:      int(tomlreader.Required(t, "repeat_slack", tomlreader.Number(0, maxBudgetSlack))),
		RepeatWindow:     tomlreader.Optional(t, "repeat_window", defaultRepeatWindow, tomlreader.Duration(time.Second, maxRepeatWindow)),
		DrainGrace:       tomlreader.Optional(t, "drain_grace", defaultDrainGrace, tomlreader.Duration(0, maxDrainGrace)),
		FinishTimeout:    tomlreader.Optional(t, "finish_timeout", defaultFinishTimeout, tomlreader.Duration(0, maxFinishTimeout)),
		AwaitEvacuations: tomlreader.Optional(t, "await_evacuations", false, tomlreader.Flag),
	}
	names := []string{"caller_address", "readiness_address", "operator_address"}
	addresses := []netip.AddrPort{s.CallerAddress, s.ReadinessAddress, s.OperatorAddress}
	if s.LinkAddress.IsValid() {
		names, addresses = append(names, "link_address"), append(addresses, s.LinkAddress)
	}
	checkDistinct(t, names, addresses)
	return s, finish(d, path)
}

// ReadRouteKeeper reads the settings file of a keeper of a routed deployment. The error wraps
// ErrUnreadable or ErrInvalid.
func ReadRouteKeeper(path string) (*RouteKeeper, error) {
	text, err := load(path)
	if err != nil {
		return nil, err
	}
	d := tomlreader.Read(text, maxBytes)
	t := d.Root
	s := &RouteKeeper{
		Routed:            readRouted(t),
		LinkAddress:       tomlreader.Required(t, "link_address", tomlreader.Address),
		ControlAddress:    tomlreader.Required(t, "control_address", tomlreader.Address),
		DataFolder:        tomlreader.Required(t, "data_folder", tomlreader.Text),
		MayForm:           tomlreader.Required(t, "may_form", tomlreader.Flag),
		ToleratedHosts:    int(tomlreader.Required(t, "tolerated_hosts", tomlreader.Integer(0, maxTolerated))),
		ToleratedDomains:  int(tomlreader.Optional(t, "tolerated_domains", 0, tomlreader.Integer(0, maxTolerated))),
		HeartbeatInterval: tomlreader.Required(t, "heartbeat_interval", tomlreader.Duration(time.Millisecond, maxHeartbeat)),
	}
	checkDistinct(t, []string{"link_address", "control_address", "operator_address"},
		[]netip.AddrPort{s.LinkAddress, s.ControlAddress, s.OperatorAddress})
	return s, finish(d, path)
}
