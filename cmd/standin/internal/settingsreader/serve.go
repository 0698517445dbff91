package settingsreader

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxServers is the maximum number of servers of one service, so that a mistake in the settings
	// does not exhaust the process's file descriptors.
	maxServers = 10_000
	maxDomains = 100
	maxSlots   = 1 << 16
	// defaultAnnounceInterval is the announcement interval given in docs/BACKENDS.md.
	defaultAnnounceInterval = 2 * time.Second
	defaultPort             = 7000
	defaultRows             = 3
	defaultWaitingLimit     = 1000
	defaultRestart          = 3 * time.Second
)

// Serve holds the settings of one process of stand-in backend servers.
type Serve struct {
	// Control is the address of the control port.
	Control netip.AddrPort
	// Seed determines every random choice of the process.
	Seed uint64
	// AnnounceTo lists the addresses at which docks accept callers' queries and servers'
	// announcements.
	AnnounceTo       []netip.AddrPort
	AnnounceInterval time.Duration
	// DrainTime is how long the servers announce that they are draining before they stop.
	DrainTime time.Duration
	Services  []Service
}

// Service describes the backend servers of one service. The service has Instances times ServersPerInstance
// servers, at consecutive addresses starting at FirstAddress.
type Service struct {
	Name         identifier.ServiceName
	Domains      []identifier.DomainName
	FirstAddress netip.Addr
	Port         uint16
	Protocol     encoder.ServerProtocol

	Instances          int
	ServersPerInstance int
	Replicas           int
	Shards             uint32
	Version            identifier.IndexVersion

	Slots          int
	Connections    int
	ConnectionCost time.Duration
	// WaitingLimit is the maximum number of subrequests that wait for a slot. The server sheds
	// further subrequests.
	WaitingLimit int

	// ServiceTime is the mean time of a subrequest that is not slow. Spread is the largest relative
	// deviation from it, from 0 to 1.
	ServiceTime time.Duration
	Spread      float64
	// SlowShare is the share of subrequests that take SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	// ColdTime is how long a server is cold after its start. A cold server takes ColdFactor times
	// as long.
	ColdTime   time.Duration
	ColdFactor float64
	// RestartTime is how long a crashed server stays down.
	RestartTime time.Duration
	// OneWayDelay is the emulated network delay, applied before a subrequest is processed and again
	// before its reply is sent.
	OneWayDelay time.Duration
	// HintLag is the maximum age of the state that lagging health and load reports show.
	HintLag time.Duration

	// Rows is the number of rows in the result of each shard.
	Rows int
	// CrashMarker is a text that crashes a server when the server runs a request whose body
	// contains it. Empty disables crashes by request.
	CrashMarker string
}

// ServerCount returns the number of backend servers of the service.
func (s *Service) ServerCount() int {
	return s.Instances * s.ServersPerInstance
}

// ReadServe reads the settings of a process of backend servers. It returns ErrInvalid if they
// cannot be used.
func ReadServe(path string) (*Serve, error) {
	return read(path, parseServe)
}

func parseServe(t *tomlreader.Table) Serve {
	s := Serve{
		Control:          tomlreader.Required(t, "control", tomlreader.Address),
		Seed:             seed(t),
		AnnounceTo:       addresses(t, "announce_to"),
		AnnounceInterval: tomlreader.Optional(t, "announce_interval", defaultAnnounceInterval, tomlreader.Duration(time.Millisecond, maxDuration)),
		DrainTime:        duration(t, "drain_time", 0),
	}
	tables := t.Tables("service")
	if len(tables) == 0 {
		t.Report("service", "at least one [[service]] table is needed")
	}
	for _, table := range tables {
		s.Services = append(s.Services, parseService(table))
	}
	return s
}

func parseService(t *tomlreader.Table) Service {
	s := Service{
		Name:               serviceName(t, "name"),
		Domains:            tomlreader.Required(t, "domains", tomlreader.List(maxDomains, tomlreader.Name[identifier.DomainName])),
		FirstAddress:       loopback(t, "first_address"),
		Port:               uint16(count(t, "port", defaultPort, 1, 1<<16-1)),
		Protocol:           tomlreader.Optional(t, "protocol", encoder.ProtocolHTTP2, tomlreader.OneOf(encoder.ServerProtocolValues())),
		Instances:          count(t, "instances", 1, 1, maxServers),
		ServersPerInstance: count(t, "servers_per_instance", 1, 1, maxServers),
		Replicas:           count(t, "replicas", 1, 1, maxServers),
		Shards:             uint32(count(t, "shards", 1, 1, 1<<16)),
		Version:            identifier.IndexVersion(count(t, "version", 1, 1, 1<<31)),
		Slots:              count(t, "slots", 1, 1, maxSlots),
		Connections:        count(t, "connections", 1, 1, maxSlots),
		ConnectionCost:     duration(t, "connection_cost", 0),
		WaitingLimit:       count(t, "waiting_limit", defaultWaitingLimit, 0, maxCount),
		ServiceTime:        duration(t, "service_time", 0),
		Spread:             share(t, "spread"),
		SlowShare:          share(t, "slow_share"),
		SlowFactor:         factor(t, "slow_factor"),
		ColdTime:           duration(t, "cold_time", 0),
		ColdFactor:         factor(t, "cold_factor"),
		RestartTime:        duration(t, "restart_time", defaultRestart),
		OneWayDelay:        duration(t, "one_way_delay", 0),
		HintLag:            duration(t, "hint_lag", 0),
		Rows:               count(t, "rows", defaultRows, 0, 1000),
	}
	if t.Has("crash_marker") {
		s.CrashMarker = tomlreader.Required(t, "crash_marker", tomlreader.Text)
	}
	checkServers(t, &s)
	return s
}

func checkServers(t *tomlreader.Table, s *Service) {
	switch {
	case s.ServerCount() > maxServers:
		t.Report("instances", "times servers_per_instance must be at most %d", maxServers)
	case s.ServerCount()%s.Replicas != 0:
		t.Report("replicas", "must divide the number of servers, which is %d", s.ServerCount())
	}
	if t.HasValid("domains") && len(s.Domains) == 0 {
		t.Report("domains", "at least one is needed")
	}
}
