package sender

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"banyandock.example/banyandock/internal/encoder"
)

var (
	// errRetired reports connections to a server that has left.
	errRetired = eris.New("the server has left")
	// errBusy reports that all connections to a server are in use.
	errBusy = eris.New("all connections to the server are in use")
)

// connection is one kept connection. It belongs to one request at a time.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
	// usableUntil is when an idle connection is too old to be used.
	usableUntil time.Time
}

// pool holds the connections to one address.
type pool struct {
	// Set at creation.
	sender  *Sender
	address netip.AddrPort

	// Guarded by mutex.
	mutex    sync.Mutex
	server   encoder.ServerID
	isClosed bool
	open     int
	idle     []*connection
	// freed is closed and replaced when a connection becomes idle or ends.
	freed chan struct{}
}

// acquire takes an idle connection, opens one, or waits until it may.
func (p *pool) acquire(ctx context.Context, to Destination) (*connection, error) {
	for {
		c, mayOpen, freed, err := p.reserve(to)
		if c != nil || err != nil {
			return c, err
		}
		if mayOpen {
			return p.dial(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errBusy
		}
	}
}

// reserve takes the idle connection that was used last, counts one as being opened, or
// returns the channel to wait on.
func (p *pool) reserve(to Destination) (c *connection, mayOpen bool, freed chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed {
		return nil, false, nil, errRetired
	}
	p.server = to.ID
	now := p.sender.clock.Now()
	for len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.isUsable(now) {
			return c, false, nil, nil
		}
		_ = c.socket.Close()
		p.open--
	}
	if p.open < max(1, to.Connections) {
		p.open++
		return nil, true, nil, nil
	}
	return nil, false, p.freed, nil
}

// dial opens a connection that is already counted.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	socket, err := p.sender.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.release(nil, false)
		return nil, err
	}
	p.sender.opened.Inc(1)
	return &connection{socket: socket, reader: bufio.NewReaderSize(socket, readerBytes)}, nil
}

// release returns a connection, or ends it if it must not be kept.
func (p *pool) release(c *connection, keep bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if keep && !p.isClosed {
		p.idle = append(p.idle, c)
	} else {
		p.open--
		if c != nil {
			_ = c.socket.Close()
		}
	}
	close(p.freed)
	p.freed = make(chan struct{})
}

// prune closes the idle connections that cannot be used any more.
func (p *pool) prune() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.sender.clock.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		if c.isUsable(now) {
			return false
		}
		_ = c.socket.Close()
		p.open--
		return true
	})
}

// warm opens connections until there are as many as wanted, and returns how many it opened.
func (p *pool) warm(ctx context.Context, to Destination, wanted int) (int, error) {
	opened := 0
	for p.wants(to, wanted) {
		c, err := p.dial(ctx)
		if err != nil {
			return opened, err
		}
		c.usableUntil = p.sender.clock.Now().Add(defaultIdleLimit - idleMargin)
		p.release(c, true)
		opened++
	}
	return opened, nil
}

// wants counts a further connection as open if there are fewer than wanted.
func (p *pool) wants(to Destination, wanted int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed || p.open >= min(wanted, max(1, to.Connections)) {
		return false
	}
	p.server = to.ID
	p.open++
	return true
}

// belongs tells whether the connections go to a server.
func (p *pool) belongs(id encoder.ServerID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.server == "" || p.server == id
}

// close ends the idle connections and refuses new ones.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isClosed = true
	for _, c := range p.idle {
		_ = c.socket.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	close(p.freed)
	p.freed = make(chan struct{})
}

// isUsable tells whether an idle connection can carry a request.
func (c *connection) isUsable(now time.Time) bool {
	return now.Before(c.usableUntil) && c.isQuiet()
}

// isQuiet tells whether an idle connection is open and has delivered nothing. Bytes that
// arrive while no request is outstanding belong to no request.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		isQuiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// setUserTimeout bounds how long a connection waits for acknowledgements of sent bytes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
