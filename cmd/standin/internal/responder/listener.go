package responder

import (
	"net"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

// listener accepts connections up to a limit and immediately closes those above it. A connection
// can be read only after its set-up cost has passed.
type listener struct {
	net.Listener
	limit    int
	cost     time.Duration
	clock    timekeeper.Clock
	counters *Counters

	mutex sync.Mutex
	open  map[*connection]struct{}
}

func newListener(inner net.Listener, limit int, cost time.Duration, clock timekeeper.Clock, counters *Counters) *listener {
	return &listener{
		Listener: inner,
		limit:    limit,
		cost:     cost,
		clock:    clock,
		counters: counters,
		open:     make(map[*connection]struct{}),
	}
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: inner, listener: l, usableAt: l.clock.Now().Add(l.cost)}
		if l.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (l *listener) admit(c *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) >= l.limit {
		l.counters.update(func(n *Counts) { n.RefusedConnections++ })
		return false
	}
	l.open[c] = struct{}{}
	l.counters.update(func(n *Counts) {
		n.Connections++
		n.AcceptedTotal++
		n.MaximumConnections = max(n.MaximumConnections, n.Connections)
		if n.Connections > l.limit {
			n.Violations++
		}
	})
	return true
}

func (l *listener) remove(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	l.counters.update(func(n *Counts) { n.Connections-- })
}

// abort resets all connections, as the kernel may do after a process has crashed.
func (l *listener) abort() {
	_ = l.Close()
	l.mutex.Lock()
	open := make([]*connection, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mutex.Unlock()
	for _, c := range open {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// connection delays its first read until its set-up cost has passed.
type connection struct {
	net.Conn
	listener *listener
	usableAt time.Time
	setUp    sync.Once
	closed   sync.Once
}

// Read reads from the connection. The first call waits for the set-up cost.
func (c *connection) Read(b []byte) (int, error) {
	c.setUp.Do(c.waitUsable)
	return c.Conn.Read(b)
}

func (c *connection) waitUsable() {
	left := c.usableAt.Sub(c.listener.clock.Now())
	if left <= 0 {
		return
	}
	t := c.listener.clock.NewTimer(left)
	<-t.C
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.listener.remove(c) })
	return err
}
