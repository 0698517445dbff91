// Package dockrunner assembles a dock from its parts and runs it until it is told to stop.
package dockrunner

import (
	"context"
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
	"banyandock.example/banyandock/internal/responder"
	"banyandock.example/banyandock/internal/router"
	"banyandock.example/banyandock/internal/settingsreader"
	"banyandock.example/banyandock/internal/tracer"
)

// dock is a running dock. Its parts are listed in the order in which they are opened; they
// are closed in the reverse order.
type dock struct {
	// Set at creation.
	process    *launcher.Process
	settings   *settingsreader.Dock
	pool       *linker.Pool
	poller     *poller.Poller
	quarantine *quarantiner.Quarantiner
	notices    *noticeSender
	connector  *connector.Connector
	owner      *owner.Owner
	batches    *batchServer
	dispatcher *dispatcher.Dispatcher
	links      *linker.Server
	applier    *stateApplier
	claimer    *claimer.Claimer
	router     *router.Router
	responder  *responder.Responder

	// Changed by the goroutine that runs the dock, read by the poller.
	state atomic.Uint32
}

// Run runs a dock until the context ends, and then stops it without cutting off a request.
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

// open starts the parts. Only opening a port can fail.
func (d *dock) open() error {
	p := d.process
	violation := d.reportViolation
	d.pool = linker.NewPool(p.Self(), p.Clock)
	d.poller = poller.New(d.hostDescription, d.settings.Keepers, poller.LinkCaller{Pool: d.pool}, p.Clock, manifestreader.Parse, poller.WithInvariants(violation))
	d.quarantine = quarantiner.New(p.Clock)
	d.notices = newNoticeSender(d.pool, d.poller.Leader)
	d.connector = connector.New(connector.WithLogger(p.Log), connector.WithRegistry(p.Metrics.Metrics()))
	d.owner = owner.New(d.connector, p.Settings.Host,
		owner.WithClock(p.Clock), owner.WithLogger(p.Log), owner.WithRegistry(p.Metrics.Metrics()),
		owner.WithHandoverSender(handoverSender{d.pool}),
		owner.WithEventHook(func(e owner.Event) { recordOwnerEvent(p.Events, e) }),
		owner.WithViolationHook(func(detail string) { violation("owner", detail) }))
	d.batches = newBatchServer(d.owner, p.Events)
	placement := func() *placer.Placement { return d.poller.State().Placement }
	d.dispatcher = dispatcher.New(p.Clock, p.Settings.Host, d.batches, d.pool, d.quarantine, placement, d.reportQuarantine)
	d.applier = newStateApplier(d)
	d.claimer = claimer.New(claimer.LinkKeepers{Pool: d.pool}, d.poller.Leader, p.Clock)
	d.router = router.New(p.Settings.Host, p.Incarnation, d.applier, d.dispatcher, d.claimer, d.quarantine,
		router.WithClock(p.Clock), router.WithTracer(p.Events), router.WithRegistry(p.Metrics), router.WithViolations(violation), router.WithObserver(newObserver(p.Metrics).observe))
	if err := d.listen(); err != nil {
		d.closeParts()
		return err
	}
	return nil
}

// listen opens the ports for other processes and for callers.
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
	links, err := linker.Listen(d.settings.LinkAddress, d.process.Self(), mux, d.process.Clock)
	if err != nil {
		return err
	}
	d.links = links
	d.responder, err = responder.Listen(d.settings.Bind(d.settings.CallerAddress), d.router, d.poller.Announce)
	return err
}

// hostDescription is how the dock presents itself to the keepers.
func (d *dock) hostDescription() encoder.Host {
	return encoder.Host{
		Name:        d.process.Settings.Host,
		Address:     d.settings.LinkAddress,
		Domain:      d.process.Settings.Domain,
		Incarnation: d.process.Incarnation,
		State:       encoder.HostState(d.state.Load()),
	}
}

// reportViolation reports a broken invariant.
func (d *dock) reportViolation(name, detail string) {
	d.process.Invariants.Check(false, name, tracer.F("detail", detail))
}

// checkManifest is a readiness check: the manifest must certainly be in force.
func (d *dock) checkManifest() error {
	if d.poller.State().Manifest == nil {
		return eris.New("no manifest has been accepted or none was learnt yet")
	}
	if !d.poller.IsFresh() {
		return eris.New("the manifest was not confirmed by a majority of keepers for 3 s")
	}
	return nil
}

// checkView is a readiness check: queries need the directory.
func (d *dock) checkView() error {
	if d.poller.State().View.Epoch == 0 {
		return eris.New("no view of hosts and backend servers was received yet")
	}
	return nil
}

// stop ends the dock in the order that cuts off no request: it is not ready any more and
// owns no shard, it serves on while balancer and docks notice, it finishes what is in
// flight, and then it closes its links.
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
	d.process.Events.Record(tracer.DrainFinished, identifier.RequestID{}, "")
	d.closeParts()
	return err
}

// closeParts closes what was opened.
func (d *dock) closeParts() {
	_ = d.router.Close()
	d.claimer.Close()
	d.applier.Close()
	if d.links != nil {
		_ = d.links.Close()
	}
	_ = d.owner.Close()
	_ = d.connector.Close()
	d.notices.Close()
	d.poller.Close()
	_ = d.pool.Close()
}
