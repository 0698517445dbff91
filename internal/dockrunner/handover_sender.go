package dockrunner

import (
	"context"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// handoverSender sends handover requests over links, which make former owners stop dispatching.
type handoverSender struct {
	pool *linker.Pool
}

// SendHandover sends one request and returns the reply.
func (s handoverSender) SendHandover(ctx context.Context, host encoder.Host, request encoder.HandoverRequest) (encoder.HandoverReply, error) {
	return linker.Call[encoder.HandoverRequest, encoder.HandoverReply](ctx, s.pool.Link(host.Address), encoder.KindHandover, request)
}
