package receiver

import (
	"container/list"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// addressShare is the part of the connections that one address may have. It is large, because one address may stand
	// for all callers.
	addressShare = 0.75
	// idleTime is how long a connection must have carried no request before it is closed to make room.
	idleTime = time.Second
	// bufferBytes is the size of the system's buffers of a connection in each direction. The system would let them grow
	// to several MB, and a response in its buffer would hide that the client does not read.
	bufferBytes = 256 << 10
	// refusalTime bounds how long a refused connection stays open, and maxRefusing how many do.
	refusalTime = 100 * time.Millisecond
	maxRefusing = 8
	// refusal is the response on a refused connection.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// connections are the open connections of clients. It answers the load of many clients that
// connect and send nothing.
type connections struct {
	// Set at creation. headLimit bounds heads.
	limit     int
	headLimit int64
	clock     timekeeper.Clock
	// refusing limits the refused connections that are still open.
	refusing chan struct{}
	tasks    sync.WaitGroup

	// Guarded by mutex. idle holds the connections that carry no request, the longest idle first.
	mutex     sync.Mutex
	count     int
	addresses map[netip.Addr]int
	idle      list.List
	refused   int64
	// heads is the memory in bytes of the large heads that are being received.
	heads int64
}

// newConnections returns connections with a limit.
func newConnections(limit int, headLimit int64, clock timekeeper.Clock) *connections {
	return &connections{limit: limit, headLimit: headLimit, clock: clock, refusing: make(chan struct{}, maxRefusing), addresses: map[netip.Addr]int{}}
}

// open returns the number of open connections.
func (c *connections) open() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return int64(c.count)
}

// refusals returns the number of connections that were refused or closed to make room.
func (c *connections) refusals() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.refused
}

// admit decides on a new connection. It returns the connection to serve, or nil, and one to close in exchange, or nil.
func (c *connections) admit(socket net.Conn) (admitted, closing *limitedConn) {
	from, _ := netip.ParseAddrPort(socket.RemoteAddr().String())
	address := from.Addr()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isAddressFull := float64(c.addresses[address]) >= max(1, addressShare*float64(c.limit))
	if c.count >= c.limit || isAddressFull {
		c.refused++
		if closing = c.takeIdle(address, isAddressFull); closing == nil {
			return nil, nil
		}
	}
	c.count++
	c.addresses[address]++
	admitted = &limitedConn{Conn: socket, connections: c, address: address}
	admitted.setIdle(c.clock.Now())
	return admitted, closing
}

// takeIdle removes the connection that has been idle for longest, if that is long enough. With isOfAddress it must come
// from the address. The mutex must be held.
func (c *connections) takeIdle(address netip.Addr, isOfAddress bool) *limitedConn {
	before := c.clock.Now().Add(-idleTime)
	for e := c.idle.Front(); e != nil; e = e.Next() {
		l, _ := e.Value.(*limitedConn)
		if l.idleSince.After(before) {
			return nil
		}
		if !isOfAddress || l.address == address {
			l.remove()
			return l
		}
	}
	return nil
}

// observe follows the states of connections. It is the server's ConnState hook.
func (c *connections) observe(socket net.Conn, state http.ConnState) {
	l, ok := socket.(*limitedConn)
	if !ok {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		l.endIdle()
	case http.StateIdle:
		l.setIdle(c.clock.Now())
	default:
	}
}

// refuse responds to a connection that is not admitted, and closes it.
func (c *connections) refuse(socket net.Conn) {
	select {
	case c.refusing <- struct{}{}:
		c.tasks.Add(1)
		go c.linger(socket)
	default:
		_ = socket.Close()
	}
}

// linger reads what the client sends until it closes the connection, so that the refusal is not lost by a reset.
func (c *connections) linger(socket net.Conn) {
	defer c.tasks.Done()
	defer func() { <-c.refusing }()
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(time.Now().Add(refusalTime))
	if _, err := socket.Write([]byte(refusal)); err != nil {
		return
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for scratch := make([]byte, 4<<10); ; {
		if _, err := socket.Read(scratch); err != nil {
			return
		}
	}
}

// limitedConn is one connection of a client.
type limitedConn struct {
	net.Conn
	connections *connections
	address     netip.Addr

	// Guarded by the mutex of connections. place is nil while the connection carries a request.
	place     *list.Element
	idleSince time.Time
	isRemoved bool
	// headBytes is the part of heads that the connection's head uses.
	headBytes int64

	head head
}

// Close closes the connection and makes room for another.
func (l *limitedConn) Close() error {
	l.connections.mutex.Lock()
	l.remove()
	l.connections.mutex.Unlock()
	if l.head.isRefused.Load() {
		// The refusal is still being sent.
		return nil
	}
	return l.Conn.Close()
}

// setIdle, endIdle and remove need the mutex of connections.
func (l *limitedConn) setIdle(now time.Time) {
	if l.isRemoved || l.place != nil {
		return
	}
	l.idleSince = now
	l.beginHead()
	l.place = l.connections.idle.PushBack(l)
}

func (l *limitedConn) endIdle() {
	if l.place != nil {
		l.connections.idle.Remove(l.place)
		l.place = nil
	}
}

func (l *limitedConn) remove() {
	if l.isRemoved {
		return
	}
	l.isRemoved = true
	l.endIdle()
	l.releaseHead()
	l.connections.count--
	if l.connections.addresses[l.address]--; l.connections.addresses[l.address] == 0 {
		delete(l.connections.addresses, l.address)
	}
}

// limitedListener accepts the connections that are admitted.
type limitedListener struct {
	net.Listener
	connections *connections
}

// Accept returns the next connection that is admitted.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		admitted, closing := l.connections.admit(socket)
		if closing != nil {
			_ = closing.Conn.Close()
		}
		if admitted == nil {
			l.connections.refuse(socket)
			continue
		}
		if tcp, ok := socket.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(bufferBytes)
			_ = tcp.SetWriteBuffer(bufferBytes)
		}
		return admitted, nil
	}
}
