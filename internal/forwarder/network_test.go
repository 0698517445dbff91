package forwarder_test

import (
	"context"
	"net"
	"sync"
	"syscall"

	"banyandock.example/banyandock/internal/sender"
)

// linkState is the state of the links between one dock and all servers.
type linkState int

const (
	// linkUp delivers everything.
	linkUp linkState = iota
	// linkSilent delivers nothing, and new connections hang.
	linkSilent
	// linkReset resets connections and refuses new ones.
	linkReset
	// linkRefusing refuses new connections, while those that are open work.
	linkRefusing
)

// links are the links between one dock and all servers.
type links struct {
	mutex sync.Mutex
	state linkState
	// open are the connections that are open.
	open map[*linkConnection]bool
}

func newLinks() *links { return &links{open: map[*linkConnection]bool{}} }

// get returns the state.
func (l *links) get() linkState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// set changes the state. With linkReset, it resets all connections.
func (l *links) set(s linkState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = s
	for c := range l.open {
		if s == linkReset {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// dial opens a connection as the state permits.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.get() {
	case linkSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkReset, linkRefusing:
		return nil, syscall.ECONNREFUSED
	case linkUp:
	}
	var d net.Dialer
	socket, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConnection{TCPConn: socket.(*net.TCPConn), links: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[c] = true
	return c, nil
}

// linkConnection is a connection that loses what is sent in either direction while its links are
// silent.
type linkConnection struct {
	*net.TCPConn
	links *links
}

func (c *linkConnection) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.links.get() != linkSilent {
			return n, err
		}
	}
}

func (c *linkConnection) Write(b []byte) (int, error) {
	if c.links.get() == linkSilent {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (c *linkConnection) Close() error {
	c.links.mutex.Lock()
	delete(c.links.open, c)
	c.links.mutex.Unlock()
	return c.TCPConn.Close()
}

// newLinkedSender returns a sender whose connections use links, and these links.
func newLinkedSender() (*sender.Sender, *links) {
	l := newLinks()
	return newTestSender(sender.WithDial(l.dial)), l
}
