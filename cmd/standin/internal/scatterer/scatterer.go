// Package scatterer emulates entry hosts that work without banyandock, as the baseline of
// measurements. Each host sends the subrequest of each shard directly to a random replica, without
// priorities, admission control or hedging. The hosts serve the same interface for callers as a
// dock, so that one load generator measures both.
package scatterer

import (
	"math/rand/v2"
	"net/netip"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/timekeeper"
)

// Scatterer is a group of emulated entry hosts. They share one directory of announced servers.
type Scatterer struct {
	settings  *settingsreader.Baseline
	directory *directory
	hosts     []*host
}

// Start opens the ports of all hosts. If it returns an error, nothing is left running.
func Start(settings *settingsreader.Baseline, log zerolog.Logger) (*Scatterer, error) {
	s := &Scatterer{settings: settings, directory: newDirectory(timekeeper.System{})}
	address := settings.FirstAddress
	for i := range settings.Hosts {
		random := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		h, err := startHost(s, netip.AddrPortFrom(address, settings.Port), random, log)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		address = address.Next()
	}
	return s, nil
}

// Close stops all hosts after their queries in flight are finished.
func (s *Scatterer) Close() {
	for _, h := range s.hosts {
		h.close()
	}
}
