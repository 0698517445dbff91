// Package soak runs the programs of a routed deployment as processes of one machine, disturbs them
// from outside in ways that a seed draws, and checks what callers, backend servers and the operator
// see against what is promised.
package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// outside names everybody who is no host: callers, backend servers, the operator.
const outside = 0

// link is the way from one host to another.
type link struct {
	from, to int
}

// weather is what is wrong with a link.
type weather struct {
	// isCut says that nothing arrives, and nobody hears of it.
	isCut bool
	// delay is how long bytes take.
	delay time.Duration
}

// network carries the connections between hosts, and disturbs them. It is safe for concurrent use.
type network struct {
	// Set at creation.
	hostOf func(netip.Addr) int
	closed chan struct{}
	tasks  sync.WaitGroup

	// Guarded by mutex.
	mutex     sync.Mutex
	links     map[link]weather
	changed   chan struct{}
	pairs     map[*pair]struct{}
	listeners []net.Listener
}

// newNetwork returns a network in fair weather. HostOf tells who connects from an address.
func newNetwork(hostOf func(netip.Addr) int) *network {
	return &network{
		hostOf: hostOf, closed: make(chan struct{}), links: map[link]weather{},
		changed: make(chan struct{}), pairs: map[*pair]struct{}{},
	}
}

// relay carries connections to a public address on to the address where a host listens.
func (n *network) relay(host int, public, private netip.AddrPort) error {
	listener, err := net.Listen("tcp", public.String())
	if err != nil {
		return eris.Wrapf(err, "listen at %s", public)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners = append(n.listeners, listener)
	n.tasks.Add(1)
	go (&relay{network: n, listener: listener, host: host, private: private}).run()
	return nil
}

// set changes the weather of a link.
func (n *network) set(l link, w weather) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[l] = w
	close(n.changed)
	n.changed = make(chan struct{})
}

// reset breaks all connections of a host.
func (n *network) reset(host int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for p := range n.pairs {
		if p.caller == host || p.callee == host {
			p.abort()
		}
	}
}

// look returns a link's weather, and a channel that is closed when any weather changes.
func (n *network) look(l link) (weather, chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links[l], n.changed
}

// close ends everything.
func (n *network) close() {
	close(n.closed)
	n.mutex.Lock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for p := range n.pairs {
		p.abort()
	}
	n.mutex.Unlock()
	n.tasks.Wait()
}

// relay accepts the connections to one address.
type relay struct {
	network  *network
	listener net.Listener
	host     int
	private  netip.AddrPort
}

// run accepts connections until the listener closes.
func (r *relay) run() {
	defer r.network.tasks.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		from, ok := netip.AddrFromSlice(c.RemoteAddr().(*net.TCPAddr).IP.To4())
		p := &pair{network: r.network, near: c, private: r.private, callee: r.host}
		if ok {
			p.caller = r.network.hostOf(from)
		}
		r.network.tasks.Add(1)
		go p.run()
	}
}

// pair is one connection and its continuation.
type pair struct {
	network *network
	near    net.Conn
	private netip.AddrPort
	caller  int
	callee  int

	// far is guarded by mutex.
	mutex     sync.Mutex
	far       net.Conn
	isAborted bool
}

// run carries bytes both ways until one side closes.
func (p *pair) run() {
	n := p.network
	defer n.tasks.Done()
	n.mutex.Lock()
	n.pairs[p] = struct{}{}
	n.mutex.Unlock()
	defer func() {
		n.mutex.Lock()
		delete(n.pairs, p)
		n.mutex.Unlock()
		p.abort()
	}()
	forth, back := link{p.caller, p.callee}, link{p.callee, p.caller}
	if !p.await(forth) || !p.await(back) {
		return
	}
	far, err := net.DialTimeout("tcp", p.private.String(), time.Second)
	if err != nil || !p.connect(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(p.near, far, forth) })
	both.Go(func() { p.carry(far, p.near, back) })
	both.Wait()
}

// connect notes the continuation. It returns false if the connection was reset meanwhile.
func (p *pair) connect(far net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.far = far
	if p.isAborted {
		_ = far.Close()
	}
	return !p.isAborted
}

// carry copies bytes one way, and breaks the connection at the end.
func (p *pair) carry(from, to net.Conn, l link) {
	defer p.abort()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !p.await(l) {
			return
		}
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// await waits until bytes may pass a link. It returns false if the network closes first.
func (p *pair) await(l link) bool {
	for {
		w, changed := p.network.look(l)
		if !w.isCut {
			return p.pause(w.delay)
		}
		select {
		case <-changed:
		case <-p.network.closed:
			return false
		}
	}
}

// pause waits unless the network closes.
func (p *pair) pause(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-p.network.closed:
		return false
	}
}

// abort resets both connections.
func (p *pair) abort() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isAborted = true
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
