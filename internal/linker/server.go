package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

// handler processes one request and returns the encoded reply.
type handler func(ctx context.Context, peer Peer, payload []byte) (frame, error)

// Mux maps message kinds to handlers. Handlers must be registered before the Server starts.
type Mux struct {
	handlers map[encoder.Kind]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[encoder.Kind]handler{}}
}

// Handle registers the handler for a kind. The handler's context ends when the caller cancels
// the request, its connection breaks or the server closes.
func Handle[Q, A any](m *Mux, kind encoder.Kind, f func(ctx context.Context, peer Peer, request Q) (A, error)) {
	m.handlers[kind] = func(ctx context.Context, peer Peer, payload []byte) (frame, error) {
		request, err := encoder.Decode[Q](payload)
		if err != nil {
			return frame{}, err
		}
		// The payload is not needed any more.
		reserver.HoldOf(ctx).Release(int64(len(payload)), reserver.Request)
		answer, err := f(ctx, peer, request)
		if err != nil {
			return frame{}, err
		}
		reply := frame{typ: frameReply, kind: kind}
		reply.payload, reply.tail, err = encoder.EncodeParts(answer)
		return reply, err
	}
}

// Server accepts connections and answers requests. It runs each request's handler in a separate
// goroutine.
type Server struct {
	// Set at creation.
	clock    timekeeper.Clock
	self     Self
	mux      *Mux
	account  *reserver.Account
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	// Guarded by mutex.
	mutex       sync.Mutex
	connections map[*connection]*serverConnection
	isClosed    bool
}

// Listen starts a server that listens at the address, or at self.Bind if that is set.
func Listen(address netip.AddrPort, self Self, mux *Mux, clock timekeeper.Clock, options ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", self.listenAddress(address).String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		clock:       clock,
		self:        self,
		mux:         mux,
		account:     newSettings(options).account,
		listener:    listener,
		ctx:         ctx,
		cancel:      cancel,
		connections: map[*connection]*serverConnection{},
	}
	s.tasks.Add(1)
	go s.run()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return a
}

// Close stops accepting connections, closes all open ones and waits for the handlers.
func (s *Server) Close() error {
	s.mutex.Lock()
	s.isClosed = true
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	s.mutex.Unlock()
	s.cancel()
	err := s.listener.Close()
	for _, c := range open {
		c.Close()
	}
	s.tasks.Wait()
	if err != nil {
		return eris.Wrap(err, "close listener")
	}
	return nil
}

// run accepts connections until the listener closes.
func (s *Server) run() {
	defer s.tasks.Done()
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.tasks.Add(1)
		go (&serverConnection{server: s, socket: socket, running: map[uint64]context.CancelFunc{}}).run()
	}
}

// add registers a connection. It returns false if the server is closed.
func (s *Server) add(c *connection, sc *serverConnection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return false
	}
	s.connections[c] = sc
	return true
}

// remove unregisters a connection.
func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

// serverConnection is the server side of one connection.
type serverConnection struct {
	// Set at creation.
	server *Server
	socket net.Conn

	// Guarded by mutex. running holds the cancel functions of in-flight requests by identifier.
	mutex   sync.Mutex
	running map[uint64]context.CancelFunc
}

// run performs the handshake and returns when the connection has closed.
func (sc *serverConnection) run() {
	defer sc.server.tasks.Done()
	c, err := openConnection(sc.socket, sc.server.self, sc.server.account, sc.server.clock, sc)
	if err != nil {
		_ = sc.socket.Close()
		return
	}
	if !sc.server.add(c, sc) {
		c.Close()
		return
	}
	<-c.closed
	c.Close()
	sc.server.remove(c)
	sc.cancelAll()
}

// cancelAll cancels the in-flight requests, because their replies can no longer be delivered.
func (sc *serverConnection) cancelAll() {
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	for _, cancel := range sc.running {
		cancel()
	}
}

// receive starts the handler of a request or cancels a request.
func (sc *serverConnection) receive(c *connection, f frame) {
	switch f.typ {
	case frameRequest, frameOneWay:
		sc.start(c, f)
	case frameCancel:
		sc.mutex.Lock()
		cancel := sc.running[f.id]
		sc.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	default:
		// Frame types that only a newer release defines are ignored.
	}
}

// start runs a request's handler in a new goroutine.
func (sc *serverConnection) start(c *connection, f frame) {
	ctx, cancel := context.WithCancel(sc.server.ctx)
	if f.typ == frameRequest {
		sc.mutex.Lock()
		sc.running[f.id] = cancel
		sc.mutex.Unlock()
	}
	sc.server.tasks.Add(1)
	go (&exchange{sc: sc, connection: c, request: f, ctx: ctx, cancel: cancel}).run()
}

// exchange is one in-flight request.
type exchange struct {
	sc         *serverConnection
	connection *connection
	request    frame
	ctx        context.Context
	cancel     context.CancelFunc
}

// run calls the handler and sends its reply or error.
func (e *exchange) run() {
	defer e.sc.server.tasks.Done()
	defer e.finish()
	answer, err := e.handle()
	if e.request.typ == frameOneWay {
		return
	}
	if err != nil {
		answer = frame{typ: frameError, kind: e.request.kind, payload: []byte(err.Error())}
	}
	answer.id = e.request.id
	if !e.connection.sendAnswer(e.ctx, answer) {
		// The reply did not fit into the send queue. Closing the connection ends the caller's
		// wait for it.
		e.connection.closeSocket()
	}
}

// handle calls the handler that is registered for the request's kind. A request for which there was no room is refused.
func (e *exchange) handle() (frame, error) {
	h := e.sc.server.mux.handlers[e.request.kind]
	switch {
	case e.request.isDropped:
		return frame{}, ErrFull
	case h == nil:
		return frame{}, eris.Errorf("no handler for kind %d", e.request.kind)
	}
	payload := e.request.payload
	// The handler must not keep the payload in memory.
	e.request.payload = nil
	return h(reserver.WithHold(e.ctx, e.request.hold), e.connection.peer, payload)
}

// finish releases the request's context and unregisters the request.
func (e *exchange) finish() {
	e.cancel()
	e.request.hold.Close()
	if e.request.typ != frameRequest {
		return
	}
	e.sc.mutex.Lock()
	defer e.sc.mutex.Unlock()
	delete(e.sc.running, e.request.id)
}
