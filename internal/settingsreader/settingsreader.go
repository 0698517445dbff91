// Package settingsreader reads the settings files of dock and keeper from TOML and checks
// each key, so that a faulty file is refused before a port is opened.
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
	// maxBytes bounds a settings file.
	maxBytes = 1 << 20
	// maxKeepers bounds the keepers of a deployment.
	maxKeepers = 9
	// defaultDrainGrace is how long a dock serves on after its readiness goes off.
	defaultDrainGrace = 3 * time.Second
	// maxDrainGrace bounds drain_grace.
	maxDrainGrace = 5 * time.Minute
	// defaultFinishTimeout is how long a dock waits for requests in flight after the grace.
	defaultFinishTimeout = time.Minute
	// maxFinishTimeout bounds finish_timeout.
	maxFinishTimeout = time.Hour
)

// ErrUnreadable reports a settings file that cannot be read.
var ErrUnreadable = eris.New("settings file cannot be read")

// ErrInvalid reports settings with problems. Its text lists all of them, one a line, as
// "file:line: key: problem".
var ErrInvalid = eris.New("settings are invalid")

// InvalidError is an error that wraps ErrInvalid and holds the problems.
type InvalidError struct {
	Path     string
	Problems tomlreader.Problems
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string { return e.Problems.InFile(e.Path) }

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// LogFormat says how log lines look.
type LogFormat uint8

// Log formats.
const (
	// LogJSON writes one JSON object a line.
	LogJSON LogFormat = iota
	// LogConsole writes lines for people.
	LogConsole
)

//go:generate ../../bin/enumer -type LogFormat -trimprefix Log -transform snake -text -output logformat_enumer.go

// Common is the part of the settings that all programs share.
type Common struct {
	Host   identifier.HostName
	Domain identifier.DomainName
	Region identifier.RegionName
	// OperatorAddress serves health, metrics and events.
	OperatorAddress netip.AddrPort
	// BindAddress is where the process listens, and connects to other processes from, if others
	// reach its addresses through a relay. It is not valid without one.
	BindAddress netip.Addr
	LogLevel    zerolog.Level
	LogFormat   LogFormat
}

// Process returns the settings that all programs share.
func (c Common) Process() Common { return c }

// Bind returns the address to listen at for one that others connect to.
func (c Common) Bind(address netip.AddrPort) netip.AddrPort {
	if !c.BindAddress.IsValid() {
		return address
	}
	return netip.AddrPortFrom(c.BindAddress, address.Port())
}

// readCommon reads the keys that all programs share.
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

// load reads a file of bounded size.
func load(path string) ([]byte, error) {
	text, err := tomlreader.ReadFile(path, maxBytes)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreadable, "%v", err)
	}
	return text, nil
}

// finish returns the document's problems as an InvalidError.
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

// checkDistinct reports own addresses that are equal. Keys come in the order of the text.
func checkDistinct(t *tomlreader.Table, keys []string, addresses []netip.AddrPort) {
	for i, key := range keys {
		for j, earlier := range keys[:i] {
			if t.Holds(key, earlier) && addresses[i] == addresses[j] {
				t.Report(key, "is the same address as %s", earlier)
			}
		}
	}
}
