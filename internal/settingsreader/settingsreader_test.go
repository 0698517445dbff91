package settingsreader

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

const dockText = `host = "plade-01"
domain = "dk-central-1"
region = "dk-central"
link_address = "127.1.1.1:7100"
caller_address = "127.1.1.1:7200"
operator_address = "127.1.1.1:7300"
keepers = ["127.1.1.1:7400", "127.1.2.1:7400"]
`

const keeperText = `host = "plade-01"
domain = "dk-central-1"
region = "dk-central"
link_address = "127.1.1.1:7400"
operator_address = "127.1.1.1:7500"
data_folder = "out/keeper-01"

[[keeper]]
name = "plade-01"
address = "127.1.1.1:7400"

[[keeper]]
name = "plade-02"
address = "127.1.2.1:7400"
`

// expectDock parses a dock's settings with the first occurrence of old replaced, and compares the
// problems with want, one per line.
func expectDock(t *testing.T, old, replacement string, want ...string) {
	t.Helper()
	assert.Assert(t, strings.Contains(dockText, old))
	_, err := ParseDock("dock.toml", []byte(strings.Replace(dockText, old, replacement, 1)))
	expectProblems(t, err, want)
}

// expectKeeper parses a keeper's settings with the first occurrence of old replaced, and compares
// the problems with want, one per line.
func expectKeeper(t *testing.T, old, replacement string, want ...string) {
	t.Helper()
	assert.Assert(t, strings.Contains(keeperText, old))
	_, err := ParseKeeper("keeper.toml", []byte(strings.Replace(keeperText, old, replacement, 1)))
	expectProblems(t, err, want)
}

func expectProblems(t *testing.T, err error, want []string) {
	t.Helper()
	if len(want) == 0 {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, ErrInvalid)
	assert.Equal(t, err.Error(), strings.Join(want, "\n"))
}

func TestReadDock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "dock.toml")
	text := dockText + "log_level = \"warn\"\nlog_format = \"console\"\ndrain_grace = \"0s\"\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := ReadDock(path)
	assert.NilError(t, err)
	assert.Equal(t, s.Host, s.Process().Host)
	assert.Equal(t, string(s.Host), "plade-01")
	assert.Equal(t, s.CallerAddress.String(), "127.1.1.1:7200")
	assert.Equal(t, len(s.Keepers), 2)
	assert.Equal(t, s.LogLevel, zerolog.WarnLevel)
	assert.Equal(t, s.LogFormat, LogConsole)
	assert.Equal(t, s.DrainGrace, time.Duration(0))
	assert.Equal(t, s.FinishTimeout, defaultFinishTimeout)
	_, err = ReadDock(filepath.Join(t.TempDir(), "none.toml"))
	assert.ErrorIs(t, err, ErrUnreadable)
	_, err = ReadDock(t.TempDir())
	assert.ErrorIs(t, err, ErrUnreadable)
}

func TestDockProblems(t *testing.T) {
	expectDock(t, "", "")
	expectDock(t, "region = \"dk-central\"\n", "", "dock.toml:1: region: is missing")
	expectDock(t, "domain =", "domian =", "dock.toml:1: domain: is missing", "dock.toml:2: domian: is not a known key; did you mean domain?")
	expectDock(t, ":7200", ":7100", "dock.toml:5: caller_address: is the same address as link_address")
	expectDock(t, "127.1.1.1:7300", "0.0.0.0:7300",
		`dock.toml:6: operator_address: "0.0.0.0:7300" names no host: other hosts must be able to use the address`)
	expectDock(t, "127.1.1.1:7300", "localhost:7300",
		`dock.toml:6: operator_address: "localhost:7300" is not an IP number with a port, such as "10.0.0.1:7100"`)
	expectDock(t, "127.1.1.1:7300", "127.1.1.1:0", `dock.toml:6: operator_address: "127.1.1.1:0" has no port`)
	expectDock(t, "\"127.1.1.1:7300\"", "7300", `dock.toml:6: operator_address: must be an address in quotes, such as "10.0.0.1:7100"`)
	expectDock(t, "127.1.2.1:7400", "127.1.1.1:7400", "dock.toml:7: keepers: lists 127.1.1.1:7400 twice")
	expectDock(t, "127.1.2.1:7400", "127.1.1.1:7100", "dock.toml:7: keepers: 127.1.1.1:7100 is this dock's own link_address")
	expectDock(t, "127.1.2.1:7400", "127.1.2.1", `dock.toml:7: keepers: value 2: "127.1.2.1" is not an IP number with a port, such as "10.0.0.1:7100"`)
	expectDock(t, `["127.1.1.1:7400", "127.1.2.1:7400"]`, "[]", "dock.toml:7: keepers: must name at least one keeper")
	expectDock(t, `["127.1.1.1:7400", "127.1.2.1:7400"]`, `"127.1.1.1:7400"`, "dock.toml:7: keepers: must be a list in square brackets")
	expectDock(t, "keepers", "drain_grace = 3\nkeepers",
		`dock.toml:7: drain_grace: must be a duration in quotes with a unit, such as "250ms" or "5s"`)
	expectDock(t, "keepers", "log_level = \"loud\"\nkeepers", `dock.toml:7: log_level: must be one of "debug", "info", "warn", "error", not "loud"`)
}

func TestKeeperProblems(t *testing.T) {
	expectKeeper(t, "", "")
	expectKeeper(t, "data_folder = \"out/keeper-01\"\n", "", "keeper.toml:1: data_folder: is missing")
	expectKeeper(t, "out/keeper-01", "", "keeper.toml:6: data_folder: must not be empty")
	expectKeeper(t, ":7500", ":7400", "keeper.toml:5: operator_address: is the same address as link_address")
	expectKeeper(t, "address = \"127.1.2.1:7400\"", "address = \"127.1.1.1:7400\"",
		"keeper.toml:14: address: 127.1.1.1:7400 is already the address of plade-01")
	expectKeeper(t, "\"plade-02\"", "\"plade-01\"",
		"keeper.toml:13: name: plade-01 is listed twice",
		"keeper.toml:14: address: differs from this keeper's link_address 127.1.1.1:7400")
	expectKeeper(t, "name = \"plade-01\"\naddress = \"127.1.1.1:7400\"", "name = \"plade-03\"\naddress = \"127.1.3.1:7400\"",
		"keeper.toml:1: host: plade-01 is not among the [[keeper]] tables")
	expectKeeper(t, "[[keeper]]", "[keeper]", "keeper.toml:8: keeper: write [[keeper]] for a table")
}

func TestParseDockReportsAllProblems(t *testing.T) {
	text := "host = plade\ndomain = \"\"\nregion = 3\nlink_address = \"::1:7100\"\ncaller_address = \"[::1]:7100\"\n" +
		"operator_address = \"224.0.0.1:1\"\nkeepers = 3\nport = 3\n"
	_, err := ParseDock("d", []byte(text))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Problems), 7, "%v", err)
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(dockText))
	f.Add([]byte(keeperText))
	f.Add([]byte("host = \"\"\"\n"))
	f.Add([]byte("[[keeper]]\n[keeper.x]\na.b=1\n[[keeper.y]]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, err := range []error{parseError(ParseDock("a", text)), parseError(ParseKeeper("a", text))} {
			if err != nil {
				assert.ErrorIs(t, err, ErrInvalid)
			}
		}
	})
}

func parseError[S any](_ *S, err error) error { return err }
