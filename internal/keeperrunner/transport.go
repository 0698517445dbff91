package keeperrunner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// peerQueueLength bounds the queued messages for one member.
	peerQueueLength = 256
	// sendTimeout bounds sending one message, which includes connecting to the member.
	sendTimeout = time.Second
)

// agreementMessage contains one message of the replicator.
type agreementMessage struct {
	Payload []byte `msgpack:"p"`
}

// Transport sends the replicator's messages over links. Each member has its own goroutine, so that
// an unreachable member does not delay messages to the others.
type Transport struct {
	// Set at creation.
	pool   *linker.Pool
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// Guarded by mutex.
	mutex    sync.Mutex
	peers    map[netip.AddrPort]*peer
	isClosed bool
}

var _ replicator.Transport = (*Transport)(nil)

// peer is the link to one member with its queue of messages.
type peer struct {
	transport *Transport
	link      *linker.Link
	queue     chan []byte
}

// NewTransport returns a transport without connections.
func NewTransport(self linker.Self, clock timekeeper.Clock) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		pool:   linker.NewPool(self, clock),
		ctx:    ctx,
		cancel: cancel,
		peers:  map[netip.AddrPort]*peer{},
	}
}

// Register adds the handler that passes received messages to the replicator.
func (t *Transport) Register(mux *linker.Mux, r *replicator.Replicator) {
	linker.Handle(mux, encoder.KindAgreement, func(_ context.Context, _ linker.Peer, m agreementMessage) (struct{}, error) {
		r.Deliver(m.Payload)
		return struct{}{}, nil
	})
}

// Send queues a message for a member without blocking. It drops the message if the queue is full or
// the transport is closed. The replicator resends lost messages.
func (t *Transport) Send(to replicator.Member, message []byte) {
	p := t.peer(to.Address)
	if p == nil {
		return
	}
	select {
	case p.queue <- message:
	default:
	}
}

// peer returns the peer at an address and creates it if necessary. It returns nil if the transport
// is closed.
func (t *Transport) peer(address netip.AddrPort) *peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isClosed {
		return nil
	}
	p := t.peers[address]
	if p == nil {
		p = &peer{transport: t, link: t.pool.Link(address), queue: make(chan []byte, peerQueueLength)}
		t.peers[address] = p
		t.tasks.Add(1)
		go p.run()
	}
	return p
}

// run sends the queued messages until the transport is closed.
func (p *peer) run() {
	defer p.transport.tasks.Done()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			ctx, cancel := context.WithTimeout(p.transport.ctx, sendTimeout)
			// The replicator resends lost messages.
			_ = linker.Send(ctx, p.link, encoder.KindAgreement, agreementMessage{Payload: m})
			cancel()
		}
	}
}

// Close closes all connections and waits for the goroutines.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.isClosed = true
	t.mutex.Unlock()
	t.cancel()
	t.tasks.Wait()
	_ = t.pool.Close()
}
