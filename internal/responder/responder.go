// Package responder implements a dock's HTTP interface for callers and for backend servers that
// announce themselves. docs/CALLERS.md and docs/BACKENDS.md describe the interface.
package responder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/router"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 16 << 10
	// headerTimeout bounds how long reading the headers of a request may take.
	headerTimeout = 5 * time.Second
	// quietPeriod is how long a draining dock must have received no query before it closes the port.
	quietPeriod = 500 * time.Millisecond
	// quietCheckInterval is the time between two checks for that.
	quietCheckInterval = 50 * time.Millisecond
	// receiveBytes is the memory of an HTTP/2 connection for bodies that are not read yet. The default is 1 MiB.
	receiveBytes = 128 << 10
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
)

// Router routes queries and returns their outcomes.
type Router interface {
	Route(ctx context.Context, query router.Query) router.Outcome
}

// Responder serves callers and backend servers. Close waits for all accepted requests.
type Responder struct {
	// Set at creation.
	router     Router
	announce   func(encoder.Server)
	receiver   *receiver.Receiver
	server     *http.Server
	listener   net.Listener
	served     chan struct{}
	isDraining atomic.Bool
	// lastRequest is when the newest query arrived, in Unix nanoseconds.
	lastRequest atomic.Int64
}

// Listen starts to serve at the address. announce is called for each announcement of a backend
// server. clients limits the callers.
func Listen(address netip.AddrPort, r Router, announce func(encoder.Server), clients *receiver.Receiver) (*Responder, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for callers at %s", address)
	}
	s := &Responder{router: r, announce: announce, receiver: clients, listener: listener, served: make(chan struct{})}
	clients.OnRefusal(func(w http.ResponseWriter) { writeProblem(w, memoryProblem) })
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxReceiveBufferPerConnection: receiveBytes, MaxReceiveBufferPerStream: receiveBytes},
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	go s.run()
	return s, nil
}

// Handler returns the HTTP handler. Tests use it without a listener.
func (s *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query/{service}/{operation}", s.handleQuery)
	mux.HandleFunc("POST /v1/announce", s.handleAnnounce)
	mux.HandleFunc("/", handleUnknown)
	return mux
}

// Address returns the address of the listener.
func (s *Responder) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return a
}

// Drain makes responses to queries close their connections, so that callers send no further
// requests on them. Requests are still served.
func (s *Responder) Drain() {
	s.isDraining.Store(true)
}

// AwaitQuiet waits until no query has arrived for quietTime, which indicates that the load balancer
// has removed this dock, or until the context ends. Closing the listener earlier would cut off
// requests that are on their way.
func (s *Responder) AwaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietCheckInterval)
	defer ticker.Stop()
	for time.Since(time.Unix(0, s.lastRequest.Load())) < quietPeriod {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops accepting connections and waits until every accepted request is answered. It returns
// an error if the context ends first.
func (s *Responder) Close(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	<-s.served
	if err != nil {
		return eris.Wrap(err, "requests were still running at the end of the shutdown time")
	}
	return nil
}

// run serves until Close.
func (s *Responder) run() {
	defer close(s.served)
	// Serve returns http.ErrServerClosed after Shutdown. The dock could not handle any other error
	// of the listener.
	_ = s.receiver.Serve(s.server, s.listener)
}
