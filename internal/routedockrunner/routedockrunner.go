// Package routedockrunner builds a dock that forwards opaque requests from its parts: the
// watch of the keepers, the forwarder, and the servers for callers and for the balancer.
package routedockrunner

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/packer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/warmer"
	"banyandock.example/banyandock/internal/watcher"
)

const (
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection stays open. Callers reuse one only
	// while it is much younger.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// memoryShare is the part of the memory limit that the collector aims to stay below.
	memoryShare = 0.7
)

// errNotFresh is why a dock without a majority of the keepers is not ready.
var errNotFresh = eris.New("no majority of the keepers answers")

// errNoConfiguration is why a dock without a configuration is not ready.
var errNoConfiguration = eris.New("no configuration is known")

// Adapter is how callers, the balancer and backend servers speak.
type Adapter struct {
	// Protocol names the headers of backend servers.
	Protocol sender.Protocol
	// Compile reads a configuration's text.
	Compile watcher.Compile
	// Callers answers callers' requests.
	Callers func(d *Dock) http.Handler
	// Readiness answers the balancer.
	Readiness func(d *Dock) http.Handler
}

// Dock is a running dock.
type Dock struct {
	process   *launcher.Process
	settings  *settingsreader.RouteDock
	pool      *linker.Pool
	sender    *sender.Sender
	forwarder *forwarder.Forwarder
	watcher   *watcher.Watcher
	warmer    *warmer.Warmer
	servers   []*httpServer
	// links answers other docks. It is nil for a dock that sends to all shards itself.
	links *linker.Server

	isStopping atomic.Bool
}

// Runner returns the function that runs a dock on a wire until its context ends.
func Runner(wire Adapter) func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteDock) error {
	return func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteDock) error {
		d, err := start(p, settings, wire)
		if err != nil {
			return err
		}
		<-ctx.Done()
		return d.Close()
	}
}

// start builds the dock from the bottom up. The address for callers opens last.
func start(p *launcher.Process, settings *settingsreader.RouteDock, wire Adapter) (*Dock, error) {
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitMB) * 1e6))
	}
	d := &Dock{process: p, settings: settings, pool: linker.NewPool(p.Self(), p.Clock)}
	d.sender = sender.New(wire.Protocol, p.Clock, p.Metrics.Metrics())
	d.forwarder = forwarder.New(forwarder.Settings{
		Domain: settings.Domain,
		Budget: selector.BudgetLimits{Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack, Window: settings.RepeatWindow},
		Seed:   uint64(p.Incarnation),
		Host:   settings.Host,
		Peers:  d.peers(),
	}, d.sender, p.Clock, p.Log, p.Metrics)
	d.warmer = warmer.New(d.forwarder, d.sender, p.Clock, p.Metrics.Metrics())
	d.forwarder.OnRehomed(d.warmer.Wake)
	if err := d.listenForDocks(); err != nil {
		return nil, d.closeAfterError(err)
	}
	d.watcher = watcher.New(d.self(), settings.LinkSeeds(), d.pool, compile(wire.Compile), d.forwarder, p.Clock, p.Log)
	d.forwarder.OnObserved(d.watcher.ObserveSoon)
	p.OnReload(d.reload)
	p.Operator.AddCheck("configuration", d.checkReadiness)
	d.registerMetrics()
	if err := d.listen(settings.ReadinessAddress, wire.Readiness(d)); err != nil {
		return nil, d.closeAfterError(err)
	}
	if err := d.listen(settings.CallerAddress, wire.Callers(d)); err != nil {
		return nil, d.closeAfterError(err)
	}
	return d, nil
}

// registerMetrics adds the dock's levels to the metrics.
func (d *Dock) registerMetrics() {
	m := d.process.Metrics
	m.Computed("forwarder.configuration", measurer.Count, "Number of the configuration in force.", d.number)
	m.Computed("forwarder.admitted_percent", measurer.Count, "Least share of any route's requests that the throttle admits, in percent.", func() int64 {
		return int64(100 * d.forwarder.LeastAdmitted())
	})
	m.Computed("selector.servers", measurer.Count, "Backend servers that may get requests.", func() int64 {
		return int64(d.forwarder.Levels().Servers)
	})
	m.Computed("selector.slow_servers", measurer.Count, "Backend servers that most docks find slow.", func() int64 {
		return int64(d.forwarder.Levels().Slow)
	})
	m.Computed("selector.repeats_left", measurer.Count, "Repeats that the service with the fewest still allows.", func() int64 {
		return int64(d.forwarder.Levels().Repeats)
	})
}

// compile unpacks a configuration before it is read.
func compile(read watcher.Compile) watcher.Compile {
	return func(packed []byte) (*matcher.Table, error) {
		text, err := packer.Unpack(packed)
		if err != nil {
			return nil, err
		}
		return read(text)
	}
}

// closeAfterError closes what was started and returns the error that stopped the start.
func (d *Dock) closeAfterError(err error) error {
	for _, s := range d.servers {
		s.close()
	}
	d.closeLinks()
	if d.watcher != nil {
		d.watcher.Close()
	}
	d.warmer.Close()
	_ = d.pool.Close()
	return err
}

// reload takes over what may change while the dock runs: where keepers are found.
func (d *Dock) reload(settings launcher.Settings) {
	if s, ok := settings.(*settingsreader.RouteDock); ok {
		d.watcher.SetSeeds(s.LinkSeeds())
	}
}

// Forwarder answers callers' requests.
func (d *Dock) Forwarder() *forwarder.Forwarder { return d.forwarder }

// IsStopping tells whether the dock is being stopped.
func (d *Dock) IsStopping() bool { return d.isStopping.Load() }

// IsFresh tells whether the dock is in touch with a majority of the keepers.
func (d *Dock) IsFresh() bool { return d.watcher.IsFresh() }

// Process is what the dock was started with.
func (d *Dock) Process() *launcher.Process { return d.process }

// IsReady tells whether the balancer may send callers here.
func (d *Dock) IsReady() bool { return !d.IsStopping() && d.checkReadiness() == nil }

// checkReadiness returns why the dock cannot serve.
func (d *Dock) checkReadiness() error {
	if d.forwarder.Table() == nil {
		return errNoConfiguration
	}
	if !d.watcher.IsFresh() {
		return errNotFresh
	}
	return nil
}

// number returns the number of the configuration in force.
func (d *Dock) number() int64 {
	t := d.forwarder.Table()
	if t == nil {
		return 0
	}
	return int64(t.Number())
}

// Close turns readiness off, serves on while the balancer notices, finishes the requests in
// flight and closes everything.
func (d *Dock) Close() error {
	d.isStopping.Store(true)
	d.process.Log.Info().Dur(recorder.FieldPause, d.settings.DrainGrace).Msg(recorder.EventReadinessOff)
	grace := d.process.Clock.NewTimer(d.settings.DrainGrace)
	<-grace.C
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.FinishTimeout)
	defer cancel()
	for _, s := range d.servers {
		s.shutdown(ctx)
	}
	d.forwarder.StopGathering(ctx)
	d.closeLinks()
	d.watcher.Close()
	d.warmer.Close()
	d.forwarder.Close()
	d.sender.Close()
	return d.pool.Close()
}

// httpServer is one listening HTTP server.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	tasks    sync.WaitGroup
}

// listen opens an address.
func (d *Dock) listen(address netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", d.settings.Bind(address).String())
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	s := &httpServer{listener: listener, server: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(d.process.Log, "", 0),
	}}
	s.tasks.Add(1)
	go s.run()
	d.servers = append(d.servers, s)
	return nil
}

// run serves until the server is closed.
func (s *httpServer) run() {
	defer s.tasks.Done()
	// The error is always that the server was closed.
	_ = s.server.Serve(s.listener)
}

// shutdown waits for the requests in flight, at most until the context ends.
func (s *httpServer) shutdown(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		s.close()
	}
	s.tasks.Wait()
}

// close ends all connections.
func (s *httpServer) close() {
	// The connections are ended whatever error closing the listener gives.
	_ = s.server.Close()
	s.tasks.Wait()
}
