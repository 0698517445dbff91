// Package settingsreader reads the settings of the stand-in program's subcommands from TOML and
// validates them. All errors of a file are reported together, each with file, line and key.
package settingsreader

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tomlreader"
)

// ErrInvalid is returned for settings that cannot be used.
var ErrInvalid = eris.New("invalid settings")

const (
	// maxBytes is the maximum size of a settings file.
	maxBytes = 1 << 20
	// maxAddresses is the maximum length of the lists of docks and control ports.
	maxAddresses = 2000
	maxDuration  = time.Hour
	maxSeed      = 1 << 62
	// maxCount is the maximum number of items that are kept in memory.
	maxCount = 1_000_000
)

// read reads and validates one settings file.
func read[S any](path string, parse func(*tomlreader.Table) S) (*S, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	s, err := parseText(text, parse)
	var problems tomlreader.Problems
	if errors.As(err, &problems) {
		return nil, eris.Wrap(ErrInvalid, problems.InFile(path))
	}
	if err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	return s, nil
}

// parseText parses and validates the text of one settings file.
func parseText[S any](text []byte, parse func(*tomlreader.Table) S) (*S, error) {
	d := tomlreader.Read(text, maxBytes)
	s := parse(d.Root)
	if err := d.Finish(); err != nil {
		return nil, err
	}
	return &s, nil
}

// count reads an integer.
func count(t *tomlreader.Table, key string, fallback, minimum, maximum int64) int {
	return int(tomlreader.Optional(t, key, fallback, tomlreader.Integer(minimum, maximum)))
}

// share reads a number from 0 to 1.
func share(t *tomlreader.Table, key string) float64 {
	return tomlreader.Optional(t, key, 0, tomlreader.Number(0, 1))
}

// factor reads a multiplier of durations.
func factor(t *tomlreader.Table, key string) float64 {
	const minimum, maximum = 0.001, 1000
	return tomlreader.Optional(t, key, 1, tomlreader.Number(minimum, maximum))
}

// duration reads a duration, which may be zero.
func duration(t *tomlreader.Table, key string, fallback time.Duration) time.Duration {
	return tomlreader.Optional(t, key, fallback, tomlreader.Duration(0, maxDuration))
}

// addresses reads a list of addresses.
func addresses(t *tomlreader.Table, key string) []netip.AddrPort {
	return tomlreader.Optional(t, key, nil, tomlreader.List(maxAddresses, tomlreader.Address))
}

// loopback reads a loopback address without a port.
func loopback(t *tomlreader.Table, key string) netip.Addr {
	a, err := netip.ParseAddr(tomlreader.Required(t, key, tomlreader.Text))
	if t.HasValid(key) && (err != nil || !a.IsLoopback()) {
		t.Report(key, "must be a loopback address without a port")
	}
	return a
}

// seed reads the seed of the random number generators.
func seed(t *tomlreader.Table) uint64 {
	return uint64(tomlreader.Optional(t, "seed", 1, tomlreader.Integer(0, maxSeed)))
}

// serviceName reads the name of a service.
func serviceName(t *tomlreader.Table, key string) identifier.ServiceName {
	return tomlreader.Required(t, key, tomlreader.Name[identifier.ServiceName])
}
