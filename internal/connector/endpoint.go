package connector

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
)

// errClosed reports an endpoint whose server has left the view or whose connector is closed.
var errClosed = eris.New("connections to the server are closed")

// endpoint holds the connections to one incarnation of one server.
type endpoint struct {
	// Set at creation.
	connector *Connector
	server    encoder.Server

	// Guarded by mutex.
	mutex    sync.Mutex
	limit    int
	opening  int
	isClosed bool
	conns    []*http.ClientConn

	// changed is closed and replaced whenever the state of a connection changes.
	// Guarded by waitMutex.
	waitMutex sync.Mutex
	changed   chan struct{}
}

// newEndpoint returns an endpoint without connections.
func newEndpoint(c *Connector, server encoder.Server) *endpoint {
	e := &endpoint{connector: c, server: server, changed: make(chan struct{})}
	e.setLimit(defaultConnections)
	return e
}

// setLimit sets the maximum number of connections. Those above the limit are closed once they
// are idle.
func (e *endpoint) setLimit(connections int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit = max(1, connections)
	if e.server.Protocol == encoder.ProtocolHTTP2 {
		e.limit = min(e.limit, connectionsHTTP2)
	}
	e.trim()
}

// count returns the number of connections that are open or being opened.
func (e *endpoint) count() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.prune()
	return len(e.conns) + e.opening
}

// acquire reserves one request on a connection. It opens a connection if none is free, or waits
// if the limit is reached. The caller must call RoundTrip or Release on the connection.
func (e *endpoint) acquire(ctx context.Context) (*http.ClientConn, error) {
	for {
		conn, mayOpen, changed, err := e.reserve()
		if conn != nil || err != nil {
			return conn, err
		}
		if mayOpen {
			return e.openReserved(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve reserves a request on the free connection with the fewest in-flight requests. If none
// is free, it either counts a new connection as being opened and returns mayOpen, or returns the
// channel to wait on.
func (e *endpoint) reserve() (conn *http.ClientConn, mayOpen bool, changed chan struct{}, err error) {
	changed = e.waitChannel()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isClosed {
		return nil, false, nil, errClosed
	}
	e.prune()
	for _, c := range e.conns {
		if c.Available() > 0 && (conn == nil || c.InFlight() < conn.InFlight()) {
			conn = c
		}
	}
	if conn != nil && conn.Reserve() == nil {
		return conn, false, nil, nil
	}
	if len(e.conns)+e.opening < e.limit {
		e.opening++
		return nil, true, nil, nil
	}
	return nil, false, changed, nil
}

// openReserved opens the connection that reserve has counted and reserves a request on it. If
// the context has ended meanwhile, it releases the request and returns the context's error.
func (e *endpoint) openReserved(ctx context.Context) (*http.ClientConn, error) {
	conn, err := e.openCounted()
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		conn.Release()
		return nil, err
	}
	return conn, nil
}

// openCounted opens a connection that is already counted in opening, and reserves one request
// on it.
func (e *endpoint) openCounted() (*http.ClientConn, error) {
	conn, err := e.connector.open(e.server)
	if err == nil {
		err = conn.Reserve()
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.opening--
	defer e.notifyWaiters(nil)
	if err != nil {
		e.connector.metricSet.openFailed.Inc(1)
		return nil, err
	}
	if e.isClosed {
		_ = conn.Close()
		return nil, errClosed
	}
	e.connector.metricSet.opened.Inc(1)
	e.conns = append(e.conns, conn)
	conn.SetStateHook(e.notifyWaiters)
	return conn, nil
}

// warmUp opens connections until the endpoint has its number of warm ones or an attempt fails.
func (e *endpoint) warmUp() {
	defer e.connector.warmups.Done()
	for e.reserveWarmup() {
		conn, err := e.openCounted()
		if err != nil {
			e.connector.logger.Debug().Err(err).Stringer("server", e.server.Address).Msg("opening a warm connection failed")
			return
		}
		conn.Release()
	}
}

// reserveWarmup counts one more connection as being opened if the endpoint has fewer than its
// number of warm ones. It returns false otherwise.
func (e *endpoint) reserveWarmup() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.prune()
	warm := min(e.limit, max(connectionsHTTP2, e.server.Slots))
	if e.isClosed || len(e.conns)+e.opening >= warm {
		return false
	}
	e.opening++
	return true
}

// notifyWaiters wakes all goroutines that wait for a connection. It is called when a
// connection's state has changed, also while the endpoint's mutex is held. The channel
// therefore has a separate mutex.
func (e *endpoint) notifyWaiters(*http.ClientConn) {
	e.waitMutex.Lock()
	defer e.waitMutex.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitChannel returns the channel that is closed at the next change. It must be called before
// the connections are inspected, so that no change in between is missed.
func (e *endpoint) waitChannel() chan struct{} {
	e.waitMutex.Lock()
	defer e.waitMutex.Unlock()
	return e.changed
}

// retire rejects new requests and closes each connection when it becomes idle.
func (e *endpoint) retire() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.isClosed = true
	e.limit = 0
	e.trim()
	e.notifyWaiters(nil)
}

// close closes all connections immediately.
func (e *endpoint) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.isClosed = true
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
	e.notifyWaiters(nil)
}

// closeExcess closes idle connections above the limit. It is called when a request has ended.
func (e *endpoint) closeExcess() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.conns) > e.limit {
		e.trim()
	}
}

// prune removes broken connections. The caller must hold the mutex.
func (e *endpoint) prune() {
	e.conns = slices.DeleteFunc(e.conns, func(c *http.ClientConn) bool { return c.Err() != nil })
}

// trim closes idle connections above the limit. The caller must hold the mutex.
func (e *endpoint) trim() {
	e.prune()
	for i := len(e.conns) - 1; i >= 0 && len(e.conns) > e.limit; i-- {
		if e.conns[i].InFlight() == 0 {
			_ = e.conns[i].Close()
			e.conns = slices.Delete(e.conns, i, i+1)
		}
	}
}
