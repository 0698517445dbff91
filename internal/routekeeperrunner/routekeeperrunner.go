// Package routekeeperrunner assembles and runs a keeper of a routed deployment: storage, replicated
// log, configuration, directory of backend servers, and the servers for docks, other keepers,
// operators and backend servers.
package routekeeperrunner

import (
	"context"
	"log"
	"net"
	"net/http"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/checker"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/keeperrunner"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/packer"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// memoryShare is the part of the memory limit that is set as the garbage collector's soft
	// limit.
	memoryShare = 0.6
	// silentHeartbeats is the number of heartbeat intervals without a heartbeat after which a
	// server counts as silent.
	silentHeartbeats = 3.5
	// electionTicks is the minimum election timeout in ticks of the replicator. Docks that restart
	// cannot serve until a leader is elected.
	electionTicks = 14
	// headerTimeout bounds how long a client of the control address may take to send the headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of a request to the control address.
	maxHeaderBytes = 16 << 10
	// idleTimeout is how long an idle connection to the control address stays open.
	idleTimeout = 90 * time.Second
)

// Adapter contains the platform's interfaces to operators and backend servers.
type Adapter struct {
	// Number validates a configuration's text and returns its number.
	Number governor.Parse
	// Control returns the handler for operators and backend servers.
	Control func(k *Keeper) http.Handler
}

// Keeper is a running keeper.
type Keeper struct {
	process  *launcher.Process
	settings *settingsreader.RouteKeeper
	// known are members of the group that the settings need not name.
	known       []replicator.Member
	adapter     Adapter
	admission   admission
	state       *registrar.Registrar
	transport   *keeperrunner.Transport
	replicator  *replicator.Replicator
	governor    *governor.Governor
	broadcaster *broadcaster.Broadcaster
	quotas      *quotaIssuer
	links       *linker.Server
	pool        *linker.Pool
	control     *http.Server
	clients     *receiver.Receiver
	commands    *knownCommands
	// ctx ends when the keeper closes.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// removed receives the member that reported that this one was replaced in the group, or the zero
	// Member if that was reported before the keeper's last start.
	removed chan replicator.Member
}

// start opens the keeper's components in the order of their dependencies, the control address last.
func start(p *launcher.Process, settings *settingsreader.RouteKeeper, known []replicator.Member, adapter Adapter) (*Keeper, error) {
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitMB) * 1e6))
	}
	invariants := checker.Hook(func(name, detail string) { p.Invariants.Check(false, name, tracer.F("detail", detail)) })
	k := &Keeper{
		process:   p,
		settings:  settings,
		known:     known,
		adapter:   adapter,
		admission: admission{log: p.Log},
		state:     registrar.New(invariants, registrar.WithHighestWins()),
		pool:      linker.NewPool(p.Self(), p.Clock),
		removed:   make(chan replicator.Member, 1),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.transport = keeperrunner.NewTransport(p.Self(), p.Clock)
	isFirstStart := settings.MayForm && isEmptyFolder(memberFolder(settings))
	if err := k.openReplicator(invariants); err != nil {
		return nil, k.closeAfterError(eris.Wrapf(errStorage, "%v", err))
	}
	silence := time.Duration(silentHeartbeats * float64(settings.HeartbeatInterval))
	k.broadcaster = broadcaster.New(silence, k.groupStatus, broadcaster.NewFiles(settings.DataFolder), p.Clock, p.Log)
	k.quotas = newQuotaIssuer(k, isFirstStart)
	k.commands = newKnownCommands(broadcaster.NewFile[[]knownCommand](filepath.Join(settings.DataFolder, "commands")), k.askCommand, p.Log)
	k.governor = governor.New(keeperrunner.ReplicatedLog{Replicator: k.replicator}, k.state, k.number, p.Clock, governor.WithInvariants(invariants))
	var err error
	if k.links, err = linker.Listen(settings.LinkAddress, p.Self(), k.mux(), p.Clock); err != nil {
		return nil, k.closeAfterError(err)
	}
	if err := k.listen(); err != nil {
		return nil, k.closeAfterError(err)
	}
	k.tasks.Add(1)
	go (&commandAsker{k}).loop()
	return k, nil
}

// number validates a compressed configuration and returns its number.
func (k *Keeper) number(packed []byte) (uint64, error) {
	text, err := packer.Unpack(packed)
	if err != nil {
		return 0, err
	}
	return k.adapter.Number(text)
}

// openReplicator opens the storage and joins or forms the group.
func (k *Keeper) openReplicator(invariants checker.Hook) error {
	folder := memberFolder(k.settings)
	if err := journaler.FinishErase(folder); err != nil {
		return err
	}
	storage, err := journaler.Open(folder)
	if err != nil {
		return err
	}
	timed := timedStorage{
		Storage: storage,
		clock:   k.process.Clock,
		latency: k.process.Metrics.Latency("keeper.disk_write", "Time of a synced write of the agreement."),
		log:     k.process.Log,
	}
	k.replicator, err = replicator.Open(k.group(), stateMachine{k.state, k}, timed, k.transport,
		replicator.WithClock(k.process.Clock),
		replicator.WithCommandNumber(registrar.SubmittedNumber),
		replicator.WithEvents(k.recordEvent),
		replicator.WithMetrics(k.process.Metrics.Metrics()),
		replicator.WithInvariantFailure(func(v replicator.Violation) { invariants(v.Invariant.String(), v.Error()) }))
	return err
}

// memberFolder returns the folder of the replicator's durable state.
func memberFolder(settings *settingsreader.RouteKeeper) string {
	return filepath.Join(settings.DataFolder, "member")
}

// group returns the replicator's settings with the initial members. The IP address of a keeper is
// its name, because the other keepers have no other identifier for it.
func (k *Keeper) group() replicator.Settings {
	address := k.settings.LinkAddress
	group := replicator.Settings{
		Self:          replicator.Member{Name: identifier.HostName(address.Addr().String()), Address: address},
		StartedBefore: !k.settings.MayForm,
		Known:         k.known,
		Voters:        k.settings.Voters(),
		ElectionTicks: electionTicks,
	}
	for _, a := range k.settings.LinkSeeds() {
		group.Initial = append(group.Initial, replicator.Member{Name: identifier.HostName(a.Addr().String()), Address: a})
	}
	return group
}

// mux registers the handlers for docks and other keepers.
func (k *Keeper) mux() *linker.Mux {
	mux := linker.NewMux()
	k.governor.Register(mux)
	k.process.Events.Register(mux)
	k.transport.Register(mux, k.replicator)
	k.broadcaster.Handle(mux)
	linker.Handle(mux, encoder.KindFetch, func(context.Context, linker.Peer, encoder.FetchRequest) (encoder.ManifestText, error) {
		return k.state.Manifest(), nil
	})
	linker.Handle(mux, encoder.KindConfirm, func(ctx context.Context, _ linker.Peer, _ encoder.ConfirmRequest) (encoder.ConfirmReply, error) {
		return k.confirm(ctx), nil
	})
	linker.Handle(mux, encoder.KindObserve, func(_ context.Context, _ linker.Peer, n encoder.ObserveNotice) (struct{}, error) {
		k.broadcaster.Observe(n)
		return struct{}{}, nil
	})
	linker.Handle(mux, encoder.KindCrashReport, func(_ context.Context, peer linker.Peer, r encoder.CrashReport) (encoder.CrashReportReply, error) {
		k.broadcaster.ReportCrashes(peer.Incarnation, r)
		return encoder.CrashReportReply{}, nil
	})
	linker.Handle(mux, encoder.KindTokens, func(_ context.Context, _ linker.Peer, r encoder.TokenRequest) (encoder.TokenReply, error) {
		reply, ok := k.broadcaster.IssueTokens(r)
		if !ok {
			return reply, errNotLeader
		}
		return reply, nil
	})
	k.quotas.register(mux)
	linker.Handle(mux, encoder.KindDetach, func(_ context.Context, peer linker.Peer, n encoder.DetachNotice) (encoder.DetachReply, error) {
		return k.broadcaster.ReportDetached(peer.Host, n), nil
	})
	linker.Handle(mux, encoder.KindDepart, func(_ context.Context, _ linker.Peer, r encoder.Registration) (encoder.DepartReply, error) {
		k.broadcaster.MergeDeparture(r)
		return encoder.DepartReply{}, nil
	})
	linker.Handle(mux, encoder.KindEvacuate, func(ctx context.Context, _ linker.Peer, r encoder.EvacuateRequest) (encoder.EvacuateReply, error) {
		return k.evacuateFor(ctx, r), nil
	})
	return mux
}

// listen opens the control address and starts to serve it.
func (k *Keeper) listen() error {
	listener, err := net.Listen("tcp", k.settings.Bind(k.settings.ControlAddress).String())
	if err != nil {
		return eris.Wrapf(err, "listen at %s", k.settings.ControlAddress)
	}
	k.control = &http.Server{
		Handler:           k.adapter.Control(k),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(k.process.Log, "", 0),
	}
	p := k.process
	k.clients = receiver.New("control", receiver.Derive(k.settings.MemoryLimitMB, maxHeaderBytes, k.settings.Clients), p.Clock, p.Log, p.Metrics)
	k.tasks.Add(1)
	go k.run(listener)
	return nil
}

// run serves the control address until Close.
func (k *Keeper) run(listener net.Listener) {
	defer k.tasks.Done()
	// Serve always returns http.ErrServerClosed here.
	_ = k.clients.Serve(k.control, listener)
}

// boolMetric returns 1 for true and 0 for false.
func boolMetric(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// closeAfterError closes the components that start has opened and returns the error that made it
// fail.
func (k *Keeper) closeAfterError(err error) error {
	// The error that made the start fail is more useful than one from closing.
	_ = k.Close()
	return err
}

// Close stops the components in the reverse order of their dependencies and waits for them.
func (k *Keeper) Close() error {
	k.cancel()
	if k.control != nil {
		// The connections are closed even if closing the listener fails.
		_ = k.control.Close()
		k.tasks.Wait()
		k.clients.Close()
	}
	if k.quotas != nil {
		k.quotas.close()
	}
	if k.broadcaster != nil {
		k.broadcaster.Close()
	}
	var err error
	if k.links != nil {
		err = k.links.Close()
	}
	if k.governor != nil {
		k.governor.Close()
	}
	if k.replicator != nil {
		if closeErr := k.replicator.Close(); closeErr != nil {
			err = closeErr
		}
	}
	k.transport.Close()
	_ = k.pool.Close()
	return err
}
