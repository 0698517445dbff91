package routedockrunner

import (
	"context"
	"net/netip"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/linker"
)

// peers sends messages to other docks over links.
type peers struct {
	pool *linker.Pool
}

// Gather sends a gather request to a dock and returns its reply.
func (p peers) Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error) {
	return linker.Call[encoder.GatherRequest, encoder.GatherReply](ctx, p.pool.Link(dock), encoder.KindGather, r)
}

// More fetches the remaining parts of a gather request from a dock.
func (p peers) More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error) {
	return linker.Call[encoder.MoreRequest, encoder.GatherReply](ctx, p.pool.Link(dock), encoder.KindMore, r)
}

// Relay hands a request over to a dock and returns how that dock handled it.
func (p peers) Relay(ctx context.Context, dock netip.AddrPort, r encoder.RelayRequest) (encoder.RelayReply, error) {
	return linker.Call[encoder.RelayRequest, encoder.RelayReply](ctx, p.pool.Link(dock), encoder.KindRelay, r)
}

// Connect opens the link to a dock unless it is open.
func (p peers) Connect(ctx context.Context, dock netip.AddrPort) error {
	return p.pool.Link(dock).Connect(ctx)
}

// peers returns the connections to other docks, or nil if this dock has no link address itself.
func (d *Dock) peers() forwarder.Peers {
	if !d.settings.LinkAddress.IsValid() {
		return nil
	}
	return peers{d.pool}
}

// self returns this dock's entry for other docks.
func (d *Dock) self() encoder.Dock {
	return encoder.Dock{Host: d.settings.Host, Address: d.settings.LinkAddress, Domain: d.settings.Domain}
}

// listenForDocks opens the link address for other docks. It does nothing without a link address.
func (d *Dock) listenForDocks() error {
	if !d.settings.LinkAddress.IsValid() {
		return nil
	}
	mux := linker.NewMux()
	linker.Handle(mux, encoder.KindGather, func(ctx context.Context, peer linker.Peer, r encoder.GatherRequest) (encoder.GatherReply, error) {
		return d.forwarder.Gather(ctx, peer.Incarnation, r)
	})
	linker.Handle(mux, encoder.KindMore, func(ctx context.Context, peer linker.Peer, r encoder.MoreRequest) (encoder.GatherReply, error) {
		return d.forwarder.More(ctx, peer.Incarnation, r)
	})
	linker.Handle(mux, encoder.KindRelay, func(ctx context.Context, _ linker.Peer, r encoder.RelayRequest) (encoder.RelayReply, error) {
		return d.forwarder.HandleRelayed(ctx, r)
	})
	linker.Handle(mux, encoder.KindRoute, func(ctx context.Context, _ linker.Peer, r encoder.RouteRequest) (encoder.RouteReply, error) {
		return d.preview(ctx, r), nil
	})
	links, err := linker.Listen(d.settings.LinkAddress, d.process.Self(), mux, d.process.Clock, linker.WithAccount(d.messages))
	if err != nil {
		return err
	}
	d.links = links
	return nil
}

// closeLinks closes the links from other docks.
func (d *Dock) closeLinks() {
	if d.links == nil {
		return
	}
	// The connections are closed even if closing the listener fails.
	_ = d.links.Close()
}
