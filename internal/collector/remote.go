package collector

import (
	"context"
	"net/netip"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/tracer"
)

// Remote sends the requests over links.
type Remote struct {
	Pool *linker.Pool
}

var _ Processes = Remote{}

// Status returns a keeper's state.
func (r Remote) Status(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error) {
	return linker.Call[encoder.StatusRequest, encoder.StatusReply](ctx, r.Pool.Link(keeper), encoder.KindStatus, encoder.StatusRequest{})
}

// Events returns events of any process.
func (r Remote) Events(ctx context.Context, process netip.AddrPort, q tracer.EventsRequest) (tracer.EventsReply, error) {
	return linker.Call[tracer.EventsRequest, tracer.EventsReply](ctx, r.Pool.Link(process), encoder.KindEvents, q)
}
