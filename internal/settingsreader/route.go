package settingsreader

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxSeeds bounds seeds.
	maxSeeds = 64
	// maxTolerated bounds tolerated_hosts and tolerated_domains.
	maxTolerated = 4
	// leastVoters is the number of voters of a group that need not bear more than one loss.
	leastVoters = 3
	// votersOfDomains is the number of voters of a group that bears the loss of a failure
	// domain, which may hold two of them.
	votersOfDomains = 5
	// maxBudgetSlack bounds repeat_slack.
	maxBudgetSlack = 1_000_000
	// defaultRepeatWindow and maxRepeatWindow are for repeat_window.
	defaultRepeatWindow = 10 * time.Second
	maxRepeatWindow     = time.Hour
	// maxMemory bounds memory_limit_mb.
	maxMemory = 1 << 20
	// maxHeartbeat bounds heartbeat_interval.
	maxHeartbeat = time.Minute
)

// Routed is the part of the settings that docks and keepers of a routed deployment share.
type Routed struct {
	Common
	// Seeds are keepers' control addresses to begin with. Their links have KeeperLinkPort.
	Seeds []netip.AddrPort
	// KeeperLinkPort is the port of all keepers' links.
	KeeperLinkPort uint16
	// MemoryLimitMB is the memory that the process may use, in MB.
	MemoryLimitMB int
}

// RouteDock is the settings of a dock that forwards opaque requests.
type RouteDock struct {
	Routed
	// CallerAddress is where callers ask.
	CallerAddress netip.AddrPort
	// ReadinessAddress is where the balancer asks whether this dock takes callers.
	ReadinessAddress netip.AddrPort
	// LinkAddress is where other docks connect to. It is not valid for a dock that sends to all
	// shards itself.
	LinkAddress netip.AddrPort
	// RepeatRatio and RepeatSlack bound the repeats that all docks together send to a service in
	// any RepeatWindow.
	RepeatRatio  float64
	RepeatSlack  int
	RepeatWindow time.Duration
	// DrainGrace is how long the dock serves on after its readiness went off.
	DrainGrace time.Duration
	// FinishTimeout is how long the dock then waits for requests in flight.
	FinishTimeout time.Duration
}

// RouteKeeper is the settings of a keeper of a routed deployment.
type RouteKeeper struct {
	Routed
	// LinkAddress is where docks and other keepers connect to.
	LinkAddress netip.AddrPort
	// ControlAddress is where operators and backend servers connect to.
	ControlAddress netip.AddrPort
	// DataFolder holds the keeper's files.
	DataFolder string
	// MayForm allows to form a group with the other seeds if all hold nothing.
	MayForm bool
	// ToleratedHosts and ToleratedDomains are how many hosts, or failure domains, may be lost
	// at once.
	ToleratedHosts   int
	ToleratedDomains int
	// HeartbeatInterval is how often backend servers announce themselves.
	HeartbeatInterval time.Duration
}

// Voters returns the number of voters that the group grows to: enough that a majority is
// left after the losses that must be borne.
func (k *RouteKeeper) Voters() int {
	voters := max(leastVoters, 2*k.ToleratedHosts+1)
	if k.ToleratedDomains > 0 {
		voters = max(voters, votersOfDomains)
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

// readRouted reads the keys that docks and keepers of a routed deployment share.
func readRouted(t *tomlreader.Table) Routed {
	return Routed{
		Common:         readCommon(t),
		Seeds:          tomlreader.Required(t, "seeds", tomlreader.List(maxSeeds, tomlreader.Address)),
		KeeperLinkPort: uint16(tomlreader.Required(t, "keeper_link_port", tomlreader.Integer(1, 65535))),
		MemoryLimitMB:  int(tomlreader.Optional(t, "memory_limit_mb", 0, tomlreader.Integer(0, maxMemory))),
	}
}

// ReadRouteDock reads the settings file of a dock that forwards opaque requests. Its errors
// wrap ErrUnreadable or ErrInvalid.
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
		RepeatSlack:      int(tomlreader.Required(t, "repeat_slack", tomlreader.Integer(0, maxBudgetSlack))),
		RepeatWindow:     tomlreader.Optional(t, "repeat_window", defaultRepeatWindow, tomlreader.Duration(time.Second, maxRepeatWindow)),
		DrainGrace:       tomlreader.Optional(t, "drain_grace", defaultDrainGrace, tomlreader.Duration(0, maxDrainGrace)),
		FinishTimeout:    tomlreader.Optional(t, "finish_timeout", defaultFinishTimeout, tomlreader.Duration(0, maxFinishTimeout)),
	}
	names := []string{"caller_address", "readiness_address", "operator_address"}
	addresses := []netip.AddrPort{s.CallerAddress, s.ReadinessAddress, s.OperatorAddress}
	if s.LinkAddress.IsValid() {
		names, addresses = append(names, "link_address"), append(addresses, s.LinkAddress)
	}
	checkDistinct(t, names, addresses)
	return s, finish(d, path)
}

// ReadRouteKeeper reads the settings file of a keeper of a routed deployment. Its errors
// wrap ErrUnreadable or ErrInvalid.
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
