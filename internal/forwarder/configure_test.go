package forwarder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

// TestStateDoesNotGrowWithConfigurations checks that the state and the metrics of removed routes
// are dropped. Every configuration has a single route with a new name.
func TestStateDoesNotGrowWithConfigurations(t *testing.T) {
	s := sender.New(nil, timekeeper.System{}, metrics.NewRegistry())
	defer s.Close()
	registry := measurer.New()
	f := New(Settings{}, s, timekeeper.System{}, zerolog.Nop(), registry)
	defer f.Close()
	for i := range 500 {
		name := matcher.RouteName(fmt.Sprint("r-", i))
		table, err := matcher.Compile(matcher.Configuration{
			Number:   uint64(i + 1),
			Routes:   []matcher.Route{{Name: name, Host: "h", Prefix: "/", Timeout: time.Second, Destination: matcher.Single{Service: "plates"}}},
			Services: []matcher.Service{{Name: "plates", Connections: 50}},
		})
		assert.NilError(t, err)
		f.Configure(table)
		f.latency(name).Observe(time.Millisecond)
		f.roundRobin(name)
		f.reporter.count(time.Now(), name, summary{name: "answered"}, false, time.Millisecond)
	}
	assert.Equal(t, len(f.routeStates), 1)
	routeMetricCount := 0
	registry.Metrics().Each(func(name string, _ any) {
		if strings.HasPrefix(name, "route.") {
			routeMetricCount++
		}
	})
	assert.Equal(t, routeMetricCount, 1)
}
