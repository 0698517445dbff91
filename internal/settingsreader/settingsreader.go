// Package settingsreader reads the TOML settings files of docks and keepers and validates each
// key, so that an invalid file is rejected before a port is opened.
package settingsreader

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// maxBytes limits the size of a settings file.
	maxBytes = 1 << 20
	// maxKeepers limits the number of keepers of a deployment.
	maxKeepers = 9
	// defaultDrainGrace is how long a dock continues to serve after it reports that it is not
	// ready, if drain_grace is not set.
	defaultDrainGrace = 3 * time.Second
	// maxDrainGrace limits drain_grace.
	maxDrainGrace = 5 * time.Minute
	// defaultFinishTimeout is how long a dock waits for in-flight requests after drain_grace, if
	// finish_timeout is not set.
	defaultFinishTimeout = time.Minute
	// maxFinishTimeout limits finish_timeout.
	maxFinishTimeout = time.Hour
)

// ErrUnreadable is the error for a settings file that cannot be read.
var ErrUnreadable = eris.New("settings file cannot be read")

// ErrInvalid is the error for settings that have problems. The text of an error that wraps it
// lists one problem per line as "file:line: key: problem".
var ErrInvalid = eris.New("settings are invalid")

// InvalidError wraps ErrInvalid and holds the problems of the file at Path.
type InvalidError struct {
	Path     string
	Problems tomlreader.Problems
}

// Error lists one problem per line.
func (e *InvalidError) Error() string { return e.Problems.InFile(e.Path) }

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// LogFormat is the format of log lines.
type LogFormat uint8

// Log formats.
const (
	// LogJSON writes one JSON object per line.
	LogJSON LogFormat = iota
	// LogConsole writes human-readable lines.
	LogConsole
)

//go:generate ../../bin/enumer -type LogFormat -trimprefix Log -transform snake -text -output logformat_enumer.go

// Common holds the settings that all programs have in common.
type Common struct {
	Host   identifier.HostName
	Domain identifier.DomainName
	Region identifier.RegionName
	// OperatorAddress is where the process serves health, metrics and events.
	OperatorAddress netip.AddrPort
	// BindAddress is the address from which the process connects and on which it listens, if other
	// processes reach its addresses through a relay. It is not valid if there is no relay.
	BindAddress netip.Addr
	LogLevel    zerolog.Level
	LogFormat   LogFormat
}

// Process returns the settings that all programs have in common.
func (c Common) Process() Common { return c }

// Bind returns the address to listen on for an address to which other processes connect.
func (c Common) Bind(address netip.AddrPort) netip.AddrPort {
	if !c.BindAddress.IsValid() {
		return address
	}
	return netip.AddrPortFrom(c.BindAddress, address.Port())
}

// readCommon reads the keys that all programs have in common.
func readCommon(t *tomlreader.Table) Common {
	levels := []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}
	return Common{
		Host:            tomlreader.Required(t, "host", tomlreader.Name[identifier.HostName]),
		Domain:          tomlreader.Required(t, "domain", tomlreader.Name[identifier.DomainName]),
		Region:          tomlreader.Required(t, "region", tomlreader.Name[identifier.RegionName]),
		OperatorAddress: tomlreader.Required(t, "operator_address", tomlreader.Address),
		BindAddress:     tomlreader.Optional(t, "bind_address", netip.Addr{}, tomlreader.Host),
		LogLevel:        tomlreader.Optional(t, "log_level", zerolog.InfoLevel, tomlreader.OneOf(levels)),
		LogFormat:       tomlreader.Optional(t, "log_format", LogJSON, tomlreader.OneOf(LogFormatValues())),
	}
}

// load reads a settings file, but at most one byte beyond maxBytes. Its error wraps
// ErrUnreadable.
func load(path string) ([]byte, error) {
	text, err := tomlreader.ReadFile(path, maxBytes)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreadable, "%v", err)
	}
	return text, nil
}

// finish returns the document's problems as an InvalidError, or nil if there are none.
func finish(d *tomlreader.Document, path string) error {
	err := d.Finish()
	if err == nil {
		return nil
	}
	var problems tomlreader.Problems
	if !eris.As(err, &problems) {
		return err
	}
	return &InvalidError{Path: path, Problems: problems}
}

// checkDistinct reports addresses of the process that are equal. The keys are in the order of the
// text, so that the problem is reported at the later key.
func checkDistinct(t *tomlreader.Table, keys []string, addresses []netip.AddrPort) {
	for i, key := range keys {
		for j, earlier := range keys[:i] {
			if t.HasValid(key, earlier) && addresses[i] == addresses[j] {
				t.Report(key, "is the same address as %s", earlier)
			}
		}
	}
}
