// Package dockrunner assembles a dock from its components and runs it until its context ends.
package dockrunner

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/claimer"
	"banyandock.example/banyandock/internal/connector"
	"banyandock.example/banyandock/internal/dispatcher"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/launcher"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/quarantiner"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/responder"
	"banyandock.example/banyandock/internal/router"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/tracer"
)

// memoryShare is the part of the memory limit that is set as the garbage collector's soft limit.
const memoryShare = 0.7

// messageShare is the memory that messages between docks may use, as a part of that of the callers, to which it adds.
const messageShare = 0.5

// dock is a running dock. The components are listed in the order in which they are opened. They are
// closed in the reverse order.
type dock struct {
	// Set at creation.
	process  *launcher.Process
	settings *settingsreader.Dock
	// messages accounts for the memory of messages between docks.
	messages     *reserver.Account
	pool         *linker.Pool
	poller       *poller.Poller
	quarantine   *quarantiner.Quarantiner
	notices      *noticeSender
	connector    *connector.Connector
	owner        *owner.Owner
	batches      *batchServer
	dispatcher   *dispatcher.Dispatcher
	links        *linker.Server
	stateApplier *stateApplier
	claimer      *claimer.Claimer
	router       *router.Router
	clients      *receiver.Receiver
	responder    *responder.Responder

	// state is an encoder.HostState. The stateApplier and stop change it, and the poller reads it.
	state atomic.Uint32
}

// Run runs a dock until the context ends, and then drains it so that no request is cut off.
func Run(ctx context.Context, p *launcher.Process, s *settingsreader.Dock) error {
	d := &dock{process: p, settings: s}
	d.state.Store(uint32(encoder.HostJoining))
	if err := d.open(); err != nil {
		return err
	}
	p.Operator.AddCheck("manifest_in_force", d.checkManifest)
	p.Operator.AddCheck("view", d.checkView)
	<-ctx.Done()
	return d.stop()
}

// open starts the components. It fails only if a port cannot be opened.
func (d *dock) open() error {
	p := d.process
	reportViolation := d.reportViolation
	limits := receiver.Derive(d.settings.MemoryLimitMB, responder.MaxHeaderBytes, d.settings.Clients)
	d.messages = reserver.New(int64(messageShare*float64(limits.Memory)), p.Clock)
	d.pool = linker.NewPool(p.Self(), p.Clock, linker.WithAccount(d.messages))
	d.poller = poller.New(d.hostDescription, d.settings.Keepers, poller.LinkCaller{Pool: d.pool}, p.Clock, manifestreader.Parse, poller.WithInvariants(reportViolation))
	d.quarantine = quarantiner.New(p.Clock)
	d.notices = newNoticeSender(d.pool, d.poller.Leader)
	d.clients = receiver.New("callers", limits, p.Clock, p.Log, p.Metrics)
	d.connector = connector.New(connector.WithLogger(p.Log), connector.WithRegistry(p.Metrics.Metrics()), connector.WithAccount(d.clients.Account()))
	d.owner = owner.New(d.connector, p.Settings.Host,
		owner.WithClock(p.Clock), owner.WithLogger(p.Log), owner.WithRegistry(p.Metrics.Metrics()),
		owner.WithHandoverSender(handoverSender{d.pool}),
		owner.WithEventHook(func(e owner.Event) { recordOwnerEvent(p.Events, e) }),
		owner.WithViolationHook(func(detail string) { reportViolation("owner", detail) }))
	d.batches = newBatchServer(d.owner, p.Events)
	placement := func() *placer.Placement { return d.poller.State().Placement }
	d.dispatcher = dispatcher.New(p.Clock, p.Settings.Host, d.batches, d.pool, d.quarantine, placement, d.reportQuarantine)
	d.stateApplier = newStateApplier(d)
	d.claimer = claimer.New(claimer.LinkClient{Pool: d.pool}, d.poller.Leader, p.Clock)
	d.router = router.New(p.Settings.Host, p.Incarnation, d.stateApplier, d.dispatcher, d.claimer, d.quarantine,
		router.WithClock(p.Clock), router.WithTracer(p.Events), router.WithRegistry(p.Metrics), router.WithViolations(reportViolation), router.WithObserver(newObserver(p.Metrics).observe))
	if d.settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.MemoryLimitMB) * 1e6))
	}
	if err := d.listen(); err != nil {
		d.closeParts()
		return err
	}
	return nil
}

// listen opens the ports for other docks and for callers.
func (d *dock) listen() error {
	mux := linker.NewMux()
	linker.Handle(mux, encoder.KindShardBatch, func(ctx context.Context, _ linker.Peer, b encoder.ShardBatch) (encoder.BatchReply, error) {
		return d.batches.Handle(ctx, b), nil
	})
	linker.Handle(mux, encoder.KindHandover, func(ctx context.Context, _ linker.Peer, r encoder.HandoverRequest) (encoder.HandoverReply, error) {
		return d.owner.Handover(ctx, r), nil
	})
	linker.Handle(mux, encoder.KindCanary, func(ctx context.Context, _ linker.Peer, r encoder.CanaryRequest) (encoder.CanaryReply, error) {
		return d.dispatcher.ServeCanary(ctx, r)
	})
	d.process.Events.Register(mux)
	links, err := linker.Listen(d.settings.LinkAddress, d.process.Self(), mux, d.process.Clock, linker.WithAccount(d.messages))
	if err != nil {
		return err
	}
	d.links = links
	d.responder, err = responder.Listen(d.settings.Bind(d.settings.CallerAddress), d.router, d.poller.Announce, d.clients)
	return err
}

// hostDescription returns the dock's entry for the keepers' directory.
func (d *dock) hostDescription() encoder.Host {
	return encoder.Host{
		Name:        d.process.Settings.Host,
		Address:     d.settings.LinkAddress,
		Domain:      d.process.Settings.Domain,
		Incarnation: d.process.Incarnation,
		State:       encoder.HostState(d.state.Load()),
	}
}

// reportViolation reports a violated invariant.
func (d *dock) reportViolation(name, detail string) {
	d.process.Invariants.Check(false, name, tracer.F("detail", detail))
}

// checkManifest is a readiness check: a manifest must be known, and a majority of the keepers must
// have confirmed recently that it is in force.
func (d *dock) checkManifest() error {
	if d.poller.State().Manifest == nil {
		return eris.New("no manifest has been accepted or none was learnt yet")
	}
	if !d.poller.IsFresh() {
		return eris.New("the manifest was not confirmed by a majority of keepers for 3 s")
	}
	return nil
}

// checkView is a readiness check: queries need the view of hosts and backend servers.
func (d *dock) checkView() error {
	if d.poller.State().View.Epoch == 0 {
		return eris.New("no view of hosts and backend servers was received yet")
	}
	return nil
}

// stop drains the dock in an order that cuts off no request. It turns readiness off and releases
// the shards, keeps serving for the drain grace period so that the load balancer and other docks
// notice, waits for in-flight requests and batches and for the ledger to have their outcomes, and then
// closes its links.
func (d *dock) stop() error {
	d.process.Events.Record(tracer.DrainStarted, identifier.RequestID{}, "")
	d.state.Store(uint32(encoder.HostDraining))
	d.poller.Refresh()
	d.responder.Drain()
	time.Sleep(d.settings.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.FinishTimeout)
	defer cancel()
	d.responder.AwaitQuiet(ctx)
	err := d.responder.Close(ctx)
	d.batches.awaitQuiet(ctx)
	d.claimer.AwaitSettled(ctx)
	d.process.Events.Record(tracer.DrainFinished, identifier.RequestID{}, "")
	d.closeParts()
	return err
}

// closeParts closes all components that were opened.
func (d *dock) closeParts() {
	d.clients.Close()
	_ = d.router.Close()
	d.claimer.Close()
	d.stateApplier.Close()
	if d.links != nil {
		_ = d.links.Close()
	}
	_ = d.owner.Close()
	_ = d.connector.Close()
	d.notices.Close()
	d.poller.Close()
	_ = d.pool.Close()
}
