// Package routedockrunner assembles and runs a dock that forwards opaque requests: the watcher of
// the keepers, the forwarder, and the servers for callers and for the load balancer.
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

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/packer"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/warmer"
	"banyandock.example/banyandock/internal/watcher"
)

const (
	// headerTimeout bounds how long a client may take to send the headers of a request.
	headerTimeout = 10 * time.Second
	// answerTime is how long the final answers to the requests that a stopping dock ends may take.
	answerTime = 300 * time.Millisecond
	// idleTimeout is how long a client's idle connection stays open. Callers stop reusing an idle
	// connection much earlier.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// memoryShare is the part of the memory limit that is set as the garbage collector's soft
	// limit.
	memoryShare = 0.7
	// messageShare is the memory that messages between docks may use, as a part of that of the callers. It adds to
	// it: a dock that receives the requests of many others must not refuse its own callers for them.
	messageShare = 0.5
)

// StaleRetryAfter is the time after which a caller may retry a request that the configuration does not permit,
// while this dock cannot tell whether there is a newer one.
const StaleRetryAfter = 500 * time.Millisecond

// errNotFresh is the readiness error of a dock without contact to a majority of the keepers.
var errNotFresh = eris.New("no majority of the keepers answers")

// errNoConfiguration is the readiness error of a dock without a configuration.
var errNoConfiguration = eris.New("no configuration is known")

// errNoEvacuations is the readiness error of a dock that does not know yet which failure domains are evacuated.
var errNoEvacuations = eris.New("it is not known which failure domains are evacuated")

// Adapter contains the platform's interfaces to callers, the load balancer and backend servers.
type Adapter struct {
	// Protocol reads and writes the headers of requests to backend servers.
	Protocol sender.Protocol
	// Compile parses and validates a configuration's text.
	Compile watcher.Compile
	// Callers returns the handler for callers' requests.
	Callers func(d *Dock) http.Handler
	// Readiness returns the handler for the load balancer's readiness checks.
	Readiness func(d *Dock) http.Handler
}

// Dock is a running dock.
type Dock struct {
	process  *launcher.Process
	settings *settingsreader.RouteDock
	pool     *linker.Pool
	// messages accounts for the memory of messages between docks.
	messages  *reserver.Account
	sender    *sender.Sender
	forwarder *forwarder.Forwarder
	watcher   *watcher.Watcher
	warmer    *warmer.Warmer
	servers   []*httpServer
	// checks and callers limit the clients of the two servers.
	checks  *receiver.Receiver
	callers *receiver.Receiver
	// links serves other docks. It is nil for a dock that sends to all shards itself.
	links *linker.Server

	isStopping atomic.Bool
}

// Runner returns the function that runs a dock with an adapter until its context ends.
func Runner(adapter Adapter) func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteDock) error {
	return func(ctx context.Context, p *launcher.Process, settings *settingsreader.RouteDock) error {
		d, err := start(p, settings, adapter)
		if err != nil {
			return err
		}
		<-ctx.Done()
		return d.Close()
	}
}

// start opens the dock's components in the order of their dependencies, the caller address last.
func start(p *launcher.Process, settings *settingsreader.RouteDock, adapter Adapter) (*Dock, error) {
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitMB) * 1e6))
	}
	limits := receiver.Derive(settings.MemoryLimitMB, maxHeaderBytes, settings.Clients)
	d := &Dock{process: p, settings: settings}
	d.messages = reserver.New(int64(messageShare*float64(limits.Memory)), p.Clock)
	d.pool = linker.NewPool(p.Self(), p.Clock, linker.WithAccount(d.messages))
	d.checks = receiver.New("checks", receiver.Support(), p.Clock, p.Log, p.Metrics)
	d.callers = receiver.New("callers", limits, p.Clock, p.Log, p.Metrics)
	d.sender = sender.New(adapter.Protocol, p.Clock, p.Metrics.Metrics())
	d.forwarder = forwarder.New(forwarder.Settings{
		Domain:      settings.Domain,
		Budget:      selector.BudgetLimits{Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack, Window: settings.RepeatWindow},
		Seed:        uint64(p.Incarnation),
		QuotaWindow: settings.QuotaWindow,
		Host:        settings.Host,
		Peers:       d.peers(),
		Account:     d.callers.Account(),
	}, d.sender, p.Clock, p.Log, p.Metrics)
	d.sender.OnOpened(d.forwarder.ObserveConnection)
	d.pool.OnOpened(d.forwarder.ObserveLink)
	d.warmer = warmer.New(d.forwarder, d.sender, p.Clock, p.Metrics.Metrics())
	d.forwarder.OnConnectionTargetsChanged(d.warmer.Wake)
	if err := d.listenForDocks(); err != nil {
		return nil, d.closeAfterError(err)
	}
	options := []watcher.Option{}
	if !settings.AwaitEvacuations {
		options = append(options, watcher.WithoutEvacuationWait())
	}
	d.watcher = watcher.New(d.self(), settings.LinkSeeds(), d.pool, compile(adapter.Compile), d.forwarder, p.Clock, p.Log, options...)
	d.forwarder.SetTokenIssuer(d.watcher)
	d.forwarder.SetPermitIssuer(d.watcher)
	d.forwarder.OnDetached(d.watcher.SetDetached)
	d.forwarder.OnLeaving(d.watcher.ReportLeaving)
	d.forwarder.OnObserved(d.watcher.ScheduleObservations)
	p.OnReload(d.reload)
	p.Operator.AddCheck("configuration", d.checkReadiness)
	d.registerMetrics()
	if err := d.listen(settings.ReadinessAddress, adapter.Readiness(d), d.checks); err != nil {
		return nil, d.closeAfterError(err)
	}
	if err := d.listen(settings.CallerAddress, adapter.Callers(d), d.callers); err != nil {
		return nil, d.closeAfterError(err)
	}
	return d, nil
}

// registerMetrics adds the dock's computed metrics.
func (d *Dock) registerMetrics() {
	m := d.process.Metrics
	m.Computed("forwarder.configuration", measurer.Count, "Number of the configuration in force.", d.number)
	m.Computed("forwarder.admitted_percent", measurer.Count, "Least share of any route's requests that the throttle admits, in percent.", func() int64 {
		return int64(100 * d.forwarder.LeastAdmitted())
	})
	m.Computed("forwarder.quarantined", measurer.Count, "Fingerprints that must not run, because their requests crashed servers.", func() int64 {
		return int64(d.forwarder.CrashStats().Quarantined)
	})
	m.Computed("forwarder.suspects", measurer.Count, "Fingerprints with crashes that have not been answered since.", func() int64 {
		return int64(d.forwarder.CrashStats().Suspects)
	})
	m.Computed("forwarder.crashes", measurer.Count, "Crashes of servers at which requests were lost.", func() int64 {
		return int64(d.forwarder.CrashStats().Crashes)
	})
	m.Computed("forwarder.unanswered", measurer.Count, "Requests at servers that this dock no longer waits for.", func() int64 {
		return int64(d.forwarder.CrashStats().Unanswered.Left)
	})
	m.Computed("forwarder.unanswered_dropped", measurer.Count, "Such requests that were dropped because there were too many.", func() int64 {
		return int64(d.forwarder.CrashStats().Unanswered.Dropped)
	})
	m.Computed("selector.servers", measurer.Count, "Backend servers that may get requests.", func() int64 {
		return int64(d.forwarder.Stats().Servers)
	})
	m.Computed("selector.slow_servers", measurer.Count, "Backend servers that most docks find slow.", func() int64 {
		return int64(d.forwarder.Stats().Slow)
	})
	m.Computed("forwarder.detached", measurer.Count, "1 if this dock has lost its links to all backend servers.", func() int64 {
		if d.forwarder.IsDetached() {
			return 1
		}
		return 0
	})
	m.Computed("selector.unreachable_servers", measurer.Count, "Backend servers to which this dock could not open connections lately.", func() int64 {
		return int64(d.forwarder.Stats().Unreachable)
	})
	m.Computed("selector.leaving_servers", measurer.Count, "Backend servers that said within ten minutes, in replies, that they leave.", func() int64 {
		return int64(d.forwarder.Stats().Leaving)
	})
	m.Computed("selector.evacuated_domains", measurer.Count, "Evacuated failure domains that this dock knows of.", func() int64 {
		return int64(d.forwarder.Stats().Evacuated)
	})
	m.Computed("selector.evacuated_servers", measurer.Count, "Backend servers in them, which get nothing.", func() int64 {
		return int64(d.forwarder.Stats().LeftOut)
	})
	m.Computed("selector.limited_servers", measurer.Count, "Backend servers that name a limit of the requests that they take.", func() int64 {
		return int64(d.forwarder.Stats().Limited)
	})
	m.Computed("selector.distant_domains", measurer.Count, "Failure domains to which the round trip is long, so that near servers are strongly preferred.", func() int64 {
		return int64(d.forwarder.Stats().DistantDomains)
	})
	m.Computed("selector.round_trip", measurer.Nanoseconds, "Longest round trip to the servers of a failure domain, or 0 if unknown.", func() int64 {
		return d.forwarder.Stats().RoundTrip.Nanoseconds()
	})
	m.Computed("selector.starting_servers", measurer.Count, "Backend servers in slow start.", func() int64 {
		return int64(d.forwarder.Stats().Starting)
	})
	m.Computed("selector.passed_over", measurer.Count, "Requests that went to another server because the best one was in slow start.", func() int64 {
		return d.forwarder.Stats().PassedOver
	})
	m.Computed("selector.repeats_left", measurer.Count, "Repeats that the service with the fewest still allows.", func() int64 {
		return int64(d.forwarder.Stats().Repeats)
	})
}

// compile returns a Compile that decompresses the configuration before it calls read.
func compile(read watcher.Compile) watcher.Compile {
	return func(packed []byte) (*matcher.Table, error) {
		text, err := packer.Unpack(packed)
		if err != nil {
			return nil, err
		}
		return read(text)
	}
}

// closeAfterError closes the components that start has opened and returns the error that made it
// fail.
func (d *Dock) closeAfterError(err error) error {
	for _, s := range d.servers {
		s.close()
	}
	d.checks.Close()
	d.callers.Close()
	d.closeLinks()
	if d.watcher != nil {
		d.watcher.Close()
	}
	d.warmer.Close()
	_ = d.pool.Close()
	return err
}

// reload applies the settings that may change while the dock runs: the seed addresses of the
// keepers.
func (d *Dock) reload(settings launcher.Settings) {
	if s, ok := settings.(*settingsreader.RouteDock); ok {
		d.watcher.SetSeeds(s.LinkSeeds())
	}
}

// Forwarder returns the forwarder, which handles callers' requests.
func (d *Dock) Forwarder() *forwarder.Forwarder { return d.forwarder }

// IsStopping reports whether the dock is shutting down.
func (d *Dock) IsStopping() bool { return d.isStopping.Load() }

// IsFresh reports whether the dock is in contact with a majority of the keepers.
func (d *Dock) IsFresh() bool { return d.watcher.IsFresh() }

// preview tells what this dock would do with a request. Without contact to a majority of the keepers,
// a request that the configuration does not permit may be retried, as a newer one may permit it.
func (d *Dock) preview(ctx context.Context, r encoder.RouteRequest) encoder.RouteReply {
	reply := d.forwarder.Preview(ctx, r)
	reply.IsFresh = d.IsFresh()
	if reply.Refusal != nil && reply.Refusal.After == 0 && !reply.IsFresh {
		reply.Refusal.After = StaleRetryAfter
	}
	return reply
}

// Process returns the process that the dock runs in.
func (d *Dock) Process() *launcher.Process { return d.process }

// IsReady reports whether the load balancer may send callers' requests to this dock.
func (d *Dock) IsReady() bool { return !d.IsStopping() && d.checkReadiness() == nil }

// checkReadiness returns the reason why the dock cannot serve, or nil.
func (d *Dock) checkReadiness() error {
	if d.forwarder.Table() == nil {
		return errNoConfiguration
	}
	if !d.watcher.IsFresh() {
		return errNotFresh
	}
	if !d.watcher.KnowsEvacuations() {
		return errNoEvacuations
	}
	return nil
}

// number returns the number of the configuration in force, or 0 if there is none.
func (d *Dock) number() int64 {
	t := d.forwarder.Table()
	if t == nil {
		return 0
	}
	return int64(t.Number())
}

// Close drains the dock: it turns readiness off, keeps serving for the drain grace period so that
// the load balancer notices, waits for in-flight requests up to the finish timeout, when those that are left
// get their final answers, and closes all components.
func (d *Dock) Close() error {
	d.isStopping.Store(true)
	d.forwarder.EndAt(d.process.Clock.Now().Add(d.settings.DrainGrace + d.settings.FinishTimeout))
	d.process.Log.Info().Dur(recorder.FieldPause, d.settings.DrainGrace).Msg(recorder.EventReadinessOff)
	grace := d.process.Clock.NewTimer(d.settings.DrainGrace)
	<-grace.C
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.FinishTimeout+answerTime)
	defer cancel()
	for _, s := range d.servers {
		s.shutdown(ctx)
	}
	d.checks.Close()
	d.callers.Close()
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
	clients  *receiver.Receiver
	tasks    sync.WaitGroup
}

// listen opens an address and starts an HTTP server with limited clients on it.
func (d *Dock) listen(address netip.AddrPort, h http.Handler, clients *receiver.Receiver) error {
	listener, err := net.Listen("tcp", d.settings.Bind(address).String())
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	s := &httpServer{listener: listener, clients: clients, server: &http.Server{
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
	// Serve always returns http.ErrServerClosed here.
	_ = s.clients.Serve(s.server, s.listener)
}

// shutdown waits for in-flight requests until the context ends and then closes all connections.
func (s *httpServer) shutdown(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		s.close()
	}
	s.tasks.Wait()
}

// close closes all connections.
func (s *httpServer) close() {
	// The connections are closed even if closing the listener fails.
	_ = s.server.Close()
	s.tasks.Wait()
}
