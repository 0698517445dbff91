package linker

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

// reply is the result of a call, either a payload or an error.
type reply struct {
	payload []byte
	// hold accounts for the memory of the payload. It must be closed.
	hold *reserver.Hold
	err  error
}

// Link is the client side of a connection to one process. It connects at the first call and
// reconnects after the connection broke. It is safe for concurrent use.
type Link struct {
	// Set at creation.
	clock   timekeeper.Clock
	self    Self
	address netip.AddrPort
	account *reserver.Account

	traffic Traffic
	// onOpened is called with the time that it took to open a connection.
	onOpened func(address netip.AddrPort, elapsed time.Duration)

	// dialing is a semaphore that permits one goroutine at a time to connect.
	dialing chan struct{}

	// Guarded by mutex.
	mutex      sync.Mutex
	connection *connection
	nextID     uint64
	pending    map[uint64]*pendingCall
	lastDial   time.Time
	lastError  error
	isClosed   bool
}

// pendingCall is a call that waits for its reply on one connection.
type pendingCall struct {
	connection *connection
	done       chan reply
}

// NewLink returns a link to the process that listens at the address.
func NewLink(address netip.AddrPort, self Self, clock timekeeper.Clock, options ...Option) *Link {
	return &Link{
		clock:   clock,
		self:    self,
		address: address,
		account: newSettings(options).account,
		dialing: make(chan struct{}, 1),
		pending: map[uint64]*pendingCall{},

		onOpened: func(netip.AddrPort, time.Duration) {},
	}
}

// Call sends a request and waits for its reply. Its errors wrap ErrNotSent, ErrLost,
// ErrRemote, encoder.ErrMalformed or the context's error. After a context error the peer may
// have received the request. Those that wrap ErrFull too say that there was no memory for the message; it has not been
// handled if they also wrap ErrNotSent or ErrRemote.
func Call[Q, A any](ctx context.Context, l *Link, kind encoder.Kind, request Q) (A, error) {
	var none A
	payload, tail, err := encoder.EncodeParts(request)
	if err != nil {
		return none, eris.Wrapf(ErrNotSent, "%v", err)
	}
	answer, err := l.call(ctx, frame{typ: frameRequest, kind: kind, payload: payload, tail: tail})
	if err != nil {
		return none, err
	}
	defer answer.hold.Close()
	return encoder.Decode[A](answer.payload)
}

// Send sends a one-way message, which has no reply. An error means that it was not sent. A nil
// error does not mean that it arrived.
func Send[Q any](ctx context.Context, l *Link, kind encoder.Kind, message Q) error {
	payload, err := encoder.Encode(message)
	if err != nil {
		return eris.Wrapf(ErrNotSent, "%v", err)
	}
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	if err := c.send(frame{typ: frameOneWay, kind: kind, payload: payload}); err != nil {
		return fmt.Errorf("send to %s: %w", l.address, err)
	}
	return nil
}

// Probe requests an echo from the peer and waits for it. The peer's reading goroutine answers,
// so that a busy handler does not delay the echo, but a frozen process does.
func (l *Link) Probe(ctx context.Context) error {
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	_, err = l.exchange(ctx, c, frame{typ: frameProbe})
	return err
}

// Connect opens the connection unless it is already open. Its error wraps ErrNotSent.
func (l *Link) Connect(ctx context.Context) error {
	_, err := l.connect(ctx)
	return err
}

// Close closes the connection and fails all calls.
func (l *Link) Close() error {
	l.mutex.Lock()
	l.isClosed = true
	c := l.connection
	l.mutex.Unlock()
	if c != nil {
		c.Close()
		l.drop(c)
	}
	return nil
}

// call performs one request on the current connection, which it opens if necessary.
func (l *Link) call(ctx context.Context, f frame) (reply, error) {
	c, err := l.connect(ctx)
	if err != nil {
		return reply{}, err
	}
	return l.exchange(ctx, c, f)
}

// exchange sends a frame with a new identifier and waits for the frame that answers it.
func (l *Link) exchange(ctx context.Context, c *connection, f frame) (reply, error) {
	id, p := l.register(c)
	defer l.unregister(id, p)
	f.id = id
	if err := c.send(f); err != nil {
		return reply{}, fmt.Errorf("send to %s: %w", l.address, err)
	}
	select {
	case r := <-p.done:
		return r, r.err
	case <-c.closed:
		return l.lastReply(p)
	case <-ctx.Done():
		// A peer that is not told ends the request at its deadline.
		_ = c.send(frame{typ: frameCancel, id: id})
		return reply{}, eris.Wrap(ctx.Err(), "waiting for reply")
	}
}

// lastReply returns a reply that arrived before the connection closed, or an error that wraps
// ErrLost if there is none.
func (l *Link) lastReply(p *pendingCall) (reply, error) {
	select {
	case r := <-p.done:
		return r, r.err
	default:
		return reply{}, eris.Wrapf(ErrLost, "%s", l.address)
	}
}

// register adds a pending call and returns its identifier.
func (l *Link) register(c *connection) (uint64, *pendingCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextID++
	p := &pendingCall{connection: c, done: make(chan reply, 1)}
	l.pending[l.nextID] = p
	return l.nextID, p
}

// unregister removes a pending call. A reply that arrives later matches no call and is
// dropped, as is one that has arrived and was not taken.
func (l *Link) unregister(id uint64, p *pendingCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, id)
	select {
	case r := <-p.done:
		r.hold.Close()
	default:
	}
}

// connect returns the open connection or opens one. Its errors wrap ErrNotSent.
func (l *Link) connect(ctx context.Context) (*connection, error) {
	if c, err := l.current(); c != nil || err != nil {
		return c, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotSent, "%v", ctx.Err())
	}
	if c, err := l.current(); c != nil || err != nil {
		return c, err
	}
	return l.dial(ctx)
}

// current returns the open connection, or nil if one must be dialled. It returns the error of
// the last dial if that was less than redialInterval ago.
func (l *Link) current() (*connection, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isClosed {
		return nil, eris.Wrapf(ErrNotSent, "link to %s is closed", l.address)
	}
	if l.connection != nil {
		select {
		case <-l.connection.closed:
			l.connection = nil
		default:
			return l.connection, nil
		}
	}
	if l.lastError != nil && l.clock.Now().Sub(l.lastDial) < redialInterval {
		return nil, eris.Wrapf(ErrNotSent, "%v", l.lastError)
	}
	return nil, nil
}

// dial opens a connection. The caller must hold the dialing semaphore.
func (l *Link) dial(ctx context.Context) (*connection, error) {
	dialer := l.self.dialer()
	began := l.clock.Now()
	socket, err := dialer.DialContext(ctx, "tcp", l.address.String())
	var c *connection
	if err == nil {
		l.onOpened(l.address, l.clock.Now().Sub(began))
		socket = countingSocket{socket, &l.traffic}
		c, err = openConnection(socket, l.self, l.account, l.clock, l)
		if err != nil {
			_ = socket.Close()
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastDial = l.clock.Now()
	l.lastError = err
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", l.address, err)
	}
	if l.isClosed {
		c.closeSocket()
		return nil, eris.Wrapf(ErrNotSent, "link to %s is closed", l.address)
	}
	l.connection = c
	return c, nil
}

// drop removes a closed connection from the link.
func (l *Link) drop(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection == c {
		l.connection = nil
	}
}

// receive completes the pending call that a reply answers.
func (l *Link) receive(c *connection, f frame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.pending[f.id]
	delete(l.pending, f.id)
	// A reply that matches no pending call, or a call on another connection, is late and is
	// dropped.
	if p == nil || p.connection != c {
		f.hold.Close()
		return
	}
	p.done <- newReply(f)
}

// newReply returns the result of a call that a frame answers.
func newReply(f frame) reply {
	switch {
	case f.typ != frameReply && f.typ != frameEcho && f.typ != frameError:
		f.hold.Close()
		return reply{err: eris.Wrapf(encoder.ErrMalformed, "frame type %d", f.typ)}
	case f.isDropped:
		return reply{err: fmt.Errorf("%w: %w", ErrLost, ErrFull)}
	case f.typ != frameError:
		return reply{payload: f.payload, hold: f.hold}
	}
	f.hold.Close()
	if string(f.payload) == ErrFull.Error() {
		return reply{err: fmt.Errorf("%w: %w", ErrRemote, ErrFull)}
	}
	return reply{err: eris.Wrapf(ErrRemote, "%s", f.payload)}
}
