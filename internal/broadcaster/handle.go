package broadcaster

import (
	"context"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// Handle lets the broadcaster answer the watches that arrive at a keeper, with long and short names.
func (b *Broadcaster) Handle(mux *linker.Mux) {
	linker.Handle(mux, encoder.KindWatch, func(ctx context.Context, peer linker.Peer, q encoder.WatchRequest) (encoder.WatchReply, error) {
		reply := b.Watch(ctx, peer.Host, q)
		reply.TakesShort = true
		return reply, nil
	})
	linker.Handle(mux, encoder.KindShortWatch, func(ctx context.Context, peer linker.Peer, q encoder.ShortWatchRequest) (encoder.ShortWatchReply, error) {
		return encoder.ShortWatchReply(b.Watch(ctx, peer.Host, encoder.WatchRequest(q))), nil
	})
}
