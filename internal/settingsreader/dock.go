package settingsreader

import (
	"net/netip"
	"time"

	"banyandock.example/banyandock/internal/tomlreader"
)

// Dock holds the settings of a dock.
type Dock struct {
	Common
	// LinkAddress is where other docks and keepers connect to.
	LinkAddress netip.AddrPort
	// CallerAddress is where callers send requests and backend servers announce themselves.
	CallerAddress netip.AddrPort
	// Keepers are the link addresses of the keepers that the dock contacts first.
	Keepers []netip.AddrPort
	// DrainGrace is how long the dock continues to serve after it reports that it is not ready.
	DrainGrace time.Duration
	// FinishTimeout is how long the dock waits for in-flight requests after DrainGrace.
	FinishTimeout time.Duration
	// MemoryLimitMB is the memory in MB that the process may use, rounded down.
	MemoryLimitMB int
	// Clients are the limits on callers and on backend servers that announce themselves.
	Clients Clients
}

// ReadDock reads the settings file of a dock. The error wraps ErrUnreadable or ErrInvalid.
func ReadDock(path string) (*Dock, error) {
	text, err := load(path)
	if err != nil {
		return nil, err
	}
	return ParseDock(path, text)
}

// ParseDock reads a dock's settings from text. The path only appears in errors, which wrap
// ErrInvalid.
func ParseDock(path string, text []byte) (*Dock, error) {
	d := tomlreader.Read(text, maxBytes)
	t := d.Root
	s := &Dock{
		Common:        readCommon(t),
		LinkAddress:   tomlreader.Required(t, "link_address", tomlreader.Address),
		CallerAddress: tomlreader.Required(t, "caller_address", tomlreader.Address),
		Keepers:       tomlreader.Required(t, "keepers", tomlreader.List(maxKeepers, tomlreader.Address)),
		DrainGrace:    tomlreader.Optional(t, "drain_grace", defaultDrainGrace, tomlreader.Duration(0, maxDrainGrace)),
		FinishTimeout: tomlreader.Optional(t, "finish_timeout", defaultFinishTimeout, tomlreader.Duration(time.Second, maxFinishTimeout)),
		MemoryLimitMB: int(tomlreader.Optional(t, "memory_limit_mb", 0, tomlreader.Number(0, maxMemory))),
		Clients:       readClients(t),
	}
	keys := []string{"link_address", "caller_address", "operator_address"}
	own := []netip.AddrPort{s.LinkAddress, s.CallerAddress, s.OperatorAddress}
	checkDistinct(t, keys, own)
	checkKeeperList(t, keys, own, s.Keepers)
	return s, finish(d, path)
}

// checkKeeperList reports an empty list, a keeper that is listed twice and a keeper that has one
// of the dock's own addresses.
func checkKeeperList(t *tomlreader.Table, keys []string, own, keepers []netip.AddrPort) {
	if !t.HasValid("keepers") {
		return
	}
	if len(keepers) == 0 {
		t.Report("keepers", "must name at least one keeper")
	}
	for i, a := range keepers {
		for _, earlier := range keepers[:i] {
			if a == earlier {
				t.Report("keepers", "lists %s twice", a)
			}
		}
		for j, key := range keys {
			if t.HasValid(key) && a == own[j] {
				t.Report("keepers", "%s is this dock's own %s", a, key)
			}
		}
	}
}
