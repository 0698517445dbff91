package submitter

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// Remote sends requests to the keepers over links.
type Remote struct {
	Pool *linker.Pool
}

var _ Keepers = Remote{}

// Submit sends a manifest to a keeper. The second result is true if the call failed and the request
// may have been sent.
func (r Remote) Submit(ctx context.Context, keeper netip.AddrPort, q encoder.SubmitRequest) (encoder.SubmitReply, bool, error) {
	reply, err := linker.Call[encoder.SubmitRequest, encoder.SubmitReply](ctx, r.Pool.Link(keeper), encoder.KindSubmit, q)
	return reply, err != nil && !eris.Is(err, linker.ErrNotSent), err
}

// Status returns a keeper's state.
func (r Remote) Status(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error) {
	return linker.Call[encoder.StatusRequest, encoder.StatusReply](ctx, r.Pool.Link(keeper), encoder.KindStatus, encoder.StatusRequest{})
}
