package settingsreader

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const serveText = `control = "127.0.0.1:7900"
[[service]]
name = "desk"
domains = ["a"]
first_address = "127.20.0.1"
slots = 2
connections = 55
connection_cost = "6ms"
`

func expectServeError(t *testing.T, text, want string) {
	t.Helper()
	_, err := parseText([]byte(text), parseServe)
	assert.ErrorContains(t, err, want)
}

func TestServeSettingsAreValidated(t *testing.T) {
	s, err := parseText([]byte(serveText), parseServe)
	assert.NilError(t, err)
	assert.Equal(t, s.Services[0].Port, uint16(defaultPort))
	expectServeError(t, strings.Replace(serveText, `"6ms"`, `6`, 1), "8: connection_cost: must be a duration in quotes")
	expectServeError(t, strings.Replace(serveText, `"6ms"`, `"6"`, 1), "8: connection_cost: \"6\" is not a duration with a unit")
	expectServeError(t, serveText+"colour = 1\n", "9: colour")
	expectServeError(t, strings.Replace(serveText, "slots = 2", "slots = 0", 1), "6: slots: must be from 1")
	expectServeError(t, strings.Replace(serveText, "127.20.0.1", "10.0.0.1", 1), "5: first_address: must be a loopback address")
	expectServeError(t, serveText+"replicas = 2\n", "9: replicas: must divide the number of servers")
	expectServeError(t, "", "control: is missing")
}

func TestLoadSettingsAreValidated(t *testing.T) {
	_, err := parseText([]byte("service = \"desk\"\nrate = 0\n"), parseLoad)
	assert.ErrorContains(t, err, "2: rate: must be from")
	assert.ErrorContains(t, err, "docks: at least one is needed")
	assert.ErrorContains(t, err, "class: at least one")
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(serveText))
	f.Add([]byte("service = \"desk\"\nrate = 1e400\ndocks = [\"127.0.0.1:1\"]\n[[class]]\nshare = nan\n"))
	f.Add([]byte("first_address = \"127.9.0.1\"\nport = 8080\nhosts = -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if serve, err := parseText(text, parseServe); err == nil {
			for _, s := range serve.Services {
				assert.Assert(t, s.ServerCount() > 0 && s.ServerCount() <= maxServers)
				assert.Assert(t, s.ServerCount()%s.Replicas == 0 && s.Slots > 0 && len(s.Domains) > 0)
			}
		}
		if load, err := parseText(text, parseLoad); err == nil {
			assert.Assert(t, load.Rate > 0 && load.Rate <= maxRate && len(load.Classes) > 0)
		}
		_, _ = parseText(text, parseBaseline)
	})
}
