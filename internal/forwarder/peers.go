package forwarder

import (
	"context"
	"net/netip"

	"banyandock.example/banyandock/internal/encoder"
)

// Peers sends messages to other docks. The errors of Gather, More and Relay wrap those of package linker.
type Peers interface {
	Gather(ctx context.Context, dock netip.AddrPort, r encoder.GatherRequest) (encoder.GatherReply, error)
	More(ctx context.Context, dock netip.AddrPort, r encoder.MoreRequest) (encoder.GatherReply, error)
	Relay(ctx context.Context, dock netip.AddrPort, r encoder.RelayRequest) (encoder.RelayReply, error)
	// Connect opens the link to a dock unless it is already open.
	Connect(ctx context.Context, dock netip.AddrPort) error
}
