package responder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
)

// shutdownLimit is the maximum time that shutdown waits for work in flight.
const shutdownLimit = 10 * time.Second

// errCrashed is the cancellation cause of all work of a crashed incarnation.
var errCrashed = eris.New("the server crashed")

// incarnation is one incarnation of a server, from the opening of its port to its crash or
// shutdown.
type incarnation struct {
	server    *Server
	id        identifier.Incarnation
	startedAt time.Time
	listener  *listener
	http      *http.Server
	slots     *slots

	context context.Context
	cancel  context.CancelCauseFunc
	crashed chan struct{}
	once    sync.Once
	served  chan struct{}

	mutex sync.Mutex
	// running maps subrequests to the functions that cancel them; guarded by mutex.
	running map[attemptKey]context.CancelCauseFunc
	// previous is the newest reply, which ReplyCrossed sends in place of the next one; guarded by
	// mutex.
	previous []byte
}

func newIncarnation(s *Server, inner net.Listener) *incarnation {
	i := &incarnation{
		server:    s,
		id:        identifier.NewIncarnation(),
		startedAt: s.clock.Now(),
		listener:  newListener(inner, s.settings.Connections, s.settings.ConnectionCost, s.clock, &s.counters),
		slots:     newSlots(s.settings.Slots, s.settings.WaitingLimit, &s.counters),
		crashed:   make(chan struct{}),
		served:    make(chan struct{}),
		running:   make(map[attemptKey]context.CancelCauseFunc),
	}
	i.context, i.cancel = context.WithCancelCause(context.Background())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	i.http = &http.Server{
		Handler:     i.routes(),
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{MaxConcurrentStreams: maximumStreams},
		ReadTimeout: readTimeout,
		ErrorLog:    nil,
	}
	return i
}

// run serves requests until the listener is closed.
func (i *incarnation) run() {
	defer close(i.served)
	err := i.http.Serve(i.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.server.log.Warn().Err(err).Stringer("address", i.server.address).Msg("serving ended")
	}
}

// crash cancels all work and marks the incarnation as crashed. Server.run then discards and
// replaces it.
func (i *incarnation) crash() {
	i.once.Do(func() {
		i.cancel(errCrashed)
		close(i.crashed)
	})
}

// abort resets all connections and waits until run returns.
func (i *incarnation) abort() {
	i.listener.abort()
	_ = i.http.Close()
	<-i.served
}

// shutdown waits for the work in flight, up to shutdownLimit, and closes all connections.
func (i *incarnation) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := i.http.Shutdown(ctx); err != nil {
		_ = i.http.Close()
	}
	i.cancel(http.ErrServerClosed)
	<-i.served
}

// isCold reports whether the incarnation is younger than the service's cold time.
func (i *incarnation) isCold() bool {
	return i.server.clock.Now().Sub(i.startedAt) < i.server.settings.ColdTime
}
