// Package soak runs the programs of a routed deployment as processes on one machine, injects faults
// from a seeded random sequence, and checks the guarantees for callers, backend servers and the
// operator against what they observe.
package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// externalHost is the host number of every client that is not a host of the deployment: callers,
// backend servers and the operator.
const externalHost = 0

// link is the traffic in one direction between two hosts.
type link struct {
	from, to int
}

// linkConditions describes the faults of a link. The zero value has none.
type linkConditions struct {
	// isBlocked reports whether bytes are held back without an error at either end.
	isBlocked bool
	// delay is the time that bytes are held before they are passed on.
	delay time.Duration
}

// network relays the connections between hosts and injects faults into them. It is safe for
// concurrent use.
type network struct {
	// Set at creation.
	hostOf func(netip.Addr) int
	closed chan struct{}
	tasks  sync.WaitGroup

	// Guarded by mutex. changed is closed and replaced at each change of links.
	mutex       sync.Mutex
	links       map[link]linkConditions
	changed     chan struct{}
	connections map[*connection]struct{}
	listeners   []net.Listener
}

// newNetwork returns a network without faults. hostOf returns the host number of an address, or
// externalHost.
func newNetwork(hostOf func(netip.Addr) int) *network {
	return &network{
		hostOf: hostOf, closed: make(chan struct{}), links: map[link]linkConditions{},
		changed: make(chan struct{}), connections: map[*connection]struct{}{},
	}
}

// relay starts to relay connections from a public address to the target address, at which a host
// listens.
func (n *network) relay(host int, public, target netip.AddrPort) error {
	listener, err := net.Listen("tcp", public.String())
	if err != nil {
		return eris.Wrapf(err, "listen at %s", public)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners = append(n.listeners, listener)
	n.tasks.Add(1)
	go (&relay{network: n, listener: listener, host: host, target: target}).run()
	return nil
}

// setConditions sets the conditions of a link.
func (n *network) setConditions(l link, c linkConditions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[l] = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// reset resets all connections from and to a host.
func (n *network) reset(host int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.connections {
		if c.clientHost == host || c.serverHost == host {
			c.abort()
		}
	}
}

// conditionsOf returns the conditions of a link, and a channel that is closed when the conditions
// of any link change.
func (n *network) conditionsOf(l link) (linkConditions, chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links[l], n.changed
}

// close closes all listeners, resets all connections and waits for their goroutines.
func (n *network) close() {
	close(n.closed)
	n.mutex.Lock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.connections {
		c.abort()
	}
	n.mutex.Unlock()
	n.tasks.Wait()
}

// relay accepts the connections to one public address.
type relay struct {
	network  *network
	listener net.Listener
	host     int
	target   netip.AddrPort
}

// run accepts connections until the listener closes.
func (r *relay) run() {
	defer r.network.tasks.Done()
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		from, ok := netip.AddrFromSlice(accepted.RemoteAddr().(*net.TCPAddr).IP.To4())
		c := &connection{network: r.network, clientConn: accepted, target: r.target, serverHost: r.host}
		if ok {
			c.clientHost = r.network.hostOf(from)
		}
		r.network.tasks.Add(1)
		go c.run()
	}
}

// connection is a relayed connection: one from a client, and one to the host that serves it.
type connection struct {
	network    *network
	clientConn net.Conn
	target     netip.AddrPort
	clientHost int
	serverHost int

	// Guarded by mutex. serverConn is nil until the host is connected.
	mutex      sync.Mutex
	serverConn net.Conn
	isAborted  bool
}

// run connects to the host and copies bytes in both directions until one side closes.
func (c *connection) run() {
	n := c.network
	defer n.tasks.Done()
	n.mutex.Lock()
	n.connections[c] = struct{}{}
	n.mutex.Unlock()
	defer func() {
		n.mutex.Lock()
		delete(n.connections, c)
		n.mutex.Unlock()
		c.abort()
	}()
	toServer, toClient := link{c.clientHost, c.serverHost}, link{c.serverHost, c.clientHost}
	if !c.awaitLink(toServer) || !c.awaitLink(toClient) {
		return
	}
	serverConn, err := net.DialTimeout("tcp", c.target.String(), time.Second)
	if err != nil || !c.setServerConn(serverConn) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.copyBytes(c.clientConn, serverConn, toServer) })
	both.Go(func() { c.copyBytes(serverConn, c.clientConn, toClient) })
	both.Wait()
}

// setServerConn sets the connection to the host. If the relayed connection was reset in the
// meantime, it closes serverConn and returns false.
func (c *connection) setServerConn(serverConn net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serverConn = serverConn
	if c.isAborted {
		_ = serverConn.Close()
	}
	return !c.isAborted
}

// copyBytes copies bytes over a link until an error or the end of the stream, and then resets both
// connections.
func (c *connection) copyBytes(from, to net.Conn, l link) {
	defer c.abort()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !c.awaitLink(l) {
			return
		}
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// awaitLink waits until a link is not blocked, and then for its delay. It returns false if the
// network is closed first.
func (c *connection) awaitLink(l link) bool {
	for {
		conditions, changed := c.network.conditionsOf(l)
		if !conditions.isBlocked {
			return c.wait(conditions.delay)
		}
		select {
		case <-changed:
		case <-c.network.closed:
			return false
		}
	}
}

// wait waits for a duration. It returns false if the network is closed first.
func (c *connection) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.network.closed:
		return false
	}
}

// abort resets the connections to the client and to the host.
func (c *connection) abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isAborted = true
	for _, conn := range []net.Conn{c.clientConn, c.serverConn} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
