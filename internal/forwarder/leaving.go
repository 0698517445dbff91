package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// OnLeaving sets the function that is called when a server said in a reply that it leaves. The function
// must not block. It must be set before the first request.
func (f *Forwarder) OnLeaving(onLeaving func(encoder.Registration)) { f.onLeaving = onLeaving }

// observeLeaving sends no more requests to a server whose reply says that it leaves, and closes its
// connections, so that requests that wait for one of them are sent elsewhere. The reply of another server
// than the chosen one says nothing of that one.
func (f *Forwarder) observeLeaving(now time.Time, target selector.Target, reply sender.ReplyMetadata) {
	if !reply.IsLeaving || reply.IsWrongServer {
		return
	}
	registration, isNew := f.selector.Leave(now, target.ID, target.Born)
	if !isNew {
		return
	}
	f.retainConnections()
	f.onTargetsChanged()
	f.onLeaving(registration)
}
