// Package responder implements a stand-in for a backend server, as described in docs/BACKENDS.md.
// It holds shards of synthetic index versions, runs subrequests in a limited number of slots with
// service times from a seeded distribution, and has switches that make it fail.
package responder

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

// drainGrace is how long docks may continue to send subrequests to a draining server.
const drainGrace = 2 * time.Second

// listenRetry is the time between two attempts to open the server's port after a crash.
const listenRetry = 200 * time.Millisecond

// Server is one stand-in backend server. After a crash it starts again as a new incarnation.
type Server struct {
	address    netip.AddrPort
	settings   *settingsreader.Service
	placement  Placement
	domain     identifier.DomainName
	clock      timekeeper.Clock
	log        zerolog.Logger
	executions *Executions
	sampler    *sampler
	counters   Counters
	delayed    delayedState

	cancel  context.CancelFunc
	context context.Context
	done    chan struct{}
	// changed notifies run that the faults changed. It holds at most one notification.
	changed chan struct{}
	// announce is called after each change that docks must receive at once.
	announce func()

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	faults      Faults
	holdings    []encoder.Holding
	draining    bool
	drainSince  time.Time
	incarnation *incarnation
}

// Option configures a Server under construction.
type Option func(*Server)

// WithClock replaces the system clock.
func WithClock(c timekeeper.Clock) Option {
	return func(s *Server) { s.clock = c }
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithExecutions sets a record of executions that several servers share.
func WithExecutions(e *Executions) Option {
	return func(s *Server) { s.executions = e }
}

// WithAnnounce sets the function that is called after each change of the announced state.
func WithAnnounce(announce func()) Option {
	return func(s *Server) { s.announce = announce }
}

// New returns the server with the given placement in its service. Start opens its port.
func New(settings *settingsreader.Service, placement Placement, address netip.AddrPort, seed uint64, options ...Option) *Server {
	s := &Server{
		address:    address,
		settings:   settings,
		placement:  placement,
		domain:     placement.Domain(settings.Domains),
		clock:      timekeeper.System{},
		log:        zerolog.Nop(),
		executions: NewExecutions(),
		sampler:    newSampler(settings, seed, uint64(placement.Index)),
		done:       make(chan struct{}),
		changed:    make(chan struct{}, 1),
		announce:   func() {},
		holdings:   placement.Holdings(settings.Version, settings.Shards),
	}
	for _, o := range options {
		o(s)
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start opens the server's port and serves in the background until Close. It returns an error if
// the port cannot be opened.
func (s *Server) Start() error {
	i, err := s.open()
	if err != nil {
		return err
	}
	go s.run(i)
	return nil
}

// BeginClose starts to stop the server and returns without waiting for the work in flight.
func (s *Server) BeginClose() {
	s.cancel()
}

// Close stops the server, waits for its work in flight and releases its port.
func (s *Server) Close() {
	s.BeginClose()
	<-s.done
}

// run replaces each crashed incarnation with a new one until the server is closed.
func (s *Server) run(i *incarnation) {
	defer close(s.done)
	for i != nil {
		select {
		case <-i.crashed:
			s.discard(i)
			i = s.restart()
		case <-s.changed:
			if s.isDown() {
				i.crash()
			}
		case <-s.context.Done():
			i.shutdown()
			return
		}
	}
}

// open opens the port and starts a new incarnation.
func (s *Server) open() (*incarnation, error) {
	inner, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return nil, err
	}
	i := newIncarnation(s, inner)
	s.mutex.Lock()
	s.incarnation = i
	s.draining = false
	s.mutex.Unlock()
	go i.run()
	s.announce()
	return i, nil
}

// discard ends a crashed incarnation: it resets the connections and drops the work in flight.
func (s *Server) discard(i *incarnation) {
	s.mutex.Lock()
	s.incarnation = nil
	s.mutex.Unlock()
	s.counters.update(func(n *Counts) { n.Crashes++ })
	s.log.Info().Stringer("address", s.address).Msg("backend server crashed")
	i.abort()
}

// restart waits for the restart time and until the server is not switched down, and then opens the
// port again. It returns nil if the server is closed in the meantime.
func (s *Server) restart() *incarnation {
	if !s.pause(s.settings.RestartTime) {
		return nil
	}
	for {
		if s.isDown() {
			select {
			case <-s.changed:
			case <-s.context.Done():
				return nil
			}
			continue
		}
		i, err := s.open()
		if err == nil {
			return i
		}
		s.log.Warn().Err(err).Stringer("address", s.address).Msg("failed to reopen port")
		if !s.pause(listenRetry) {
			return nil
		}
	}
}

// pause waits for the duration. It returns false if the server is closed in the meantime.
func (s *Server) pause(d time.Duration) bool {
	return wait(s.context, s.clock, d) == nil
}

// wait waits for the duration. If the context ends first, it returns the cause of that.
func wait(ctx context.Context, clock timekeeper.Clock, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *Server) isDown() bool {
	return s.Faults().Down
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.address
}

// Placement returns the server's placement in its service.
func (s *Server) Placement() Placement {
	return s.placement
}

// Domain returns the server's failure domain.
func (s *Server) Domain() identifier.DomainName {
	return s.domain
}

// Service returns the name of the server's service.
func (s *Server) Service() identifier.ServiceName {
	return s.settings.Name
}

// Counts returns the server's counters.
func (s *Server) Counts() Counts {
	return s.counters.Read()
}
