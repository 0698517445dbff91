package watcher

import (
	"context"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
)

// errNoLeader reports that no keeper is known to lead.
var errNoLeader = eris.New("no leading keeper is known")

// RequestTokens reports limits of servers to the leading keeper and asks it for tokens.
func (w *Watcher) RequestTokens(ctx context.Context, r encoder.TokenRequest) (encoder.TokenReply, error) {
	w.mutex.Lock()
	leader := w.leader
	w.mutex.Unlock()
	if !leader.IsValid() {
		return encoder.TokenReply{}, errNoLeader
	}
	return linker.Call[encoder.TokenRequest, encoder.TokenReply](ctx, w.pool.Link(leader), encoder.KindTokens, r)
}
