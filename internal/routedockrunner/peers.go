package routedockrunner

import (
	"context"
	"net/netip"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/linker"
)

// peers carries messages to other docks over links.
type peers struct {
	pool *linker.Pool
}

// Gather asks a dock for parts.
func (p peers) Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error) {
	return linker.Call[encoder.GatherRequest, encoder.GatherReply](ctx, p.pool.Link(dock), encoder.KindGather, r)
}

// More asks a dock for the rest of the parts.
func (p peers) More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error) {
	return linker.Call[encoder.MoreRequest, encoder.GatherReply](ctx, p.pool.Link(dock), encoder.KindMore, r)
}

// Connect opens the link to a dock.
func (p peers) Connect(ctx context.Context, dock netip.AddrPort) error {
	return p.pool.Link(dock).Connect(ctx)
}

// peers returns the way to other docks, or nil if they cannot reach this one either.
func (d *Dock) peers() forwarder.Peers {
	if !d.settings.LinkAddress.IsValid() {
		return nil
	}
	return peers{d.pool}
}

// self describes this dock to others.
func (d *Dock) self() encoder.Dock {
	return encoder.Dock{Host: d.settings.Host, Address: d.settings.LinkAddress, Domain: d.settings.Domain}
}

// listenForDocks opens the address for other docks.
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
	links, err := linker.Listen(d.settings.LinkAddress, d.process.Self(), mux, d.process.Clock)
	if err != nil {
		return err
	}
	d.links = links
	return nil
}

// closeLinks ends the links of other docks.
func (d *Dock) closeLinks() {
	if d.links == nil {
		return
	}
	// The connections are ended whatever error closing the listener gives.
	_ = d.links.Close()
}
