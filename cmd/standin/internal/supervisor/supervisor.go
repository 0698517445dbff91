// Package supervisor runs all backend servers of one stand-in process and one announcer for each of
// them.
package supervisor

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/announcer"
	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
)

const (
	// idleConnectionsPerDock is the maximum number of idle connections kept open to each dock.
	idleConnectionsPerDock = 8
	// idleTimeout is the time after which an unused announcement connection is closed.
	idleTimeout = 10 * time.Second
)

// Supervisor holds the backend servers of one process.
type Supervisor struct {
	settings   *settingsreader.Serve
	log        zerolog.Logger
	executions *responder.Executions
	client     *http.Client
	backends   []backend
}

// backend is one backend server with its announcer.
type backend struct {
	server    *responder.Server
	announcer *announcer.Announcer
}

// Start opens the ports of all servers and starts to announce them. If it returns an error, nothing
// is left running.
func Start(settings *settingsreader.Serve, log zerolog.Logger) (*Supervisor, error) {
	s := &Supervisor{
		settings:   settings,
		log:        log,
		executions: responder.NewExecutions(),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnectionsPerDock,
			IdleConnTimeout:     idleTimeout,
		}},
	}
	for i := range settings.Services {
		if err := s.startService(&settings.Services[i]); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Supervisor) startService(service *settingsreader.Service) error {
	address := service.FirstAddress
	for i := range service.ServerCount() {
		placement := responder.Placement{Index: i, ServerCount: service.ServerCount(), Replicas: service.Replicas}
		if err := s.startServer(service, placement, netip.AddrPortFrom(address, service.Port)); err != nil {
			return eris.Wrapf(err, "start server %d of %s", i, service.Name)
		}
		address = address.Next()
	}
	return nil
}

func (s *Supervisor) startServer(service *settingsreader.Service, placement responder.Placement, address netip.AddrPort) error {
	var a *announcer.Announcer
	server := responder.New(service, placement, address, s.settings.Seed,
		responder.WithLog(s.log),
		responder.WithExecutions(s.executions),
		responder.WithAnnounce(func() { a.Notify() }),
	)
	a = announcer.New(server.Describe, s.settings.AnnounceTo, len(s.backends), s.settings.AnnounceInterval, s.client,
		announcer.WithLog(s.log))
	if err := server.Start(); err != nil {
		return err
	}
	a.Start()
	s.backends = append(s.backends, backend{server: server, announcer: a})
	return nil
}

// Servers returns all servers in the order of their addresses.
func (s *Supervisor) Servers() []*responder.Server {
	servers := make([]*responder.Server, len(s.backends))
	for i, b := range s.backends {
		servers[i] = b.server
	}
	return servers
}

// Executions returns the record of executions that all servers share.
func (s *Supervisor) Executions() *responder.Executions {
	return s.executions
}

// Drain announces all servers as draining and then waits for the drain time of the settings, so
// that docks stop sending them work. It returns at once if the drain time is 0.
func (s *Supervisor) Drain() {
	if s.settings.DrainTime == 0 {
		return
	}
	for _, b := range s.backends {
		b.server.SetDraining(true)
	}
	time.Sleep(s.settings.DrainTime)
}

// Close stops all servers after their work in flight is finished.
func (s *Supervisor) Close() {
	for _, b := range s.backends {
		b.announcer.Close()
		b.server.BeginClose()
	}
	for _, b := range s.backends {
		b.server.Close()
	}
	s.client.CloseIdleConnections()
}
