package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

const (
	// initialPause is how long no further connection is opened after a server has reset a new one. It
	// doubles with each reset up to maxPause, which maxPauseShift doublings exceed.
	initialPause  = 250 * time.Millisecond
	maxPause      = 4 * time.Second
	maxPauseShift = 5
)

var (
	// errServerLeft reports a closed pool, whose server has left.
	errServerLeft = eris.New("the server has left")
	// errBusy reports that all connections to a server are in use.
	errBusy = eris.New("all connections to the server are in use")
)

// connection is one keep-alive connection. It carries one request at a time.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
	// limiter is below the reader.
	limiter *replyLimiter
	// isNew is set until a reply was read.
	isNew bool
	// usableUntil is the time after which an idle connection must not be reused.
	usableUntil time.Time
}

// pool manages the connections to one address.
type pool struct {
	// Set at creation.
	sender  *Sender
	address netip.AddrPort

	// Guarded by mutex.
	mutex    sync.Mutex
	server   encoder.ServerID
	isClosed bool
	open     int
	// limit is the number of open connections above which none is kept for later requests.
	limit int
	idle  []*connection
	// freed is closed and replaced when a connection becomes idle or ends.
	freed chan struct{}
	// resets counts the new connections that were reset since one was used. No further one is opened
	// before pausedUntil.
	resets      int
	pausedUntil time.Time
}

// acquire returns an idle connection or opens one. If the limit is reached, it waits for a connection
// until the context ends and then returns errBusy, or until the request is no longer needed. While the
// server resets new connections, it waits for one of those that are open, and returns ErrOverCap if none
// is.
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
		case <-to.Unneeded:
			return nil, ErrUnneeded
		case <-ctx.Done():
			return nil, errBusy
		}
	}
}

// reserve takes the most recently used idle connection and closes those that cannot be reused.
// If there is none, it either counts a new connection as open and returns mayOpen, or returns
// the channel to wait on.
func (p *pool) reserve(to Destination) (c *connection, mayOpen bool, freed chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed {
		return nil, false, nil, errServerLeft
	}
	p.server, p.limit = to.ID, max(1, to.Connections)
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
	isPaused := now.Before(p.pausedUntil)
	switch {
	case isPaused && p.open == 0:
		return nil, false, nil, ErrOverCap
	case !isPaused && p.open < p.limit:
		p.open++
		return nil, true, nil, nil
	default:
		return nil, false, p.freed, nil
	}
}

// dial opens a connection that is already counted as open.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	socket, err := p.sender.open(ctx, p.address)
	if err != nil {
		err = p.observeReset(err)
		p.release(nil, false)
		return nil, err
	}
	p.sender.opened.Inc(1)
	limiter := &replyLimiter{source: socket}
	return &connection{
		socket: socket, reader: bufio.NewReaderSize(limiter, readerBytes), limiter: limiter, isNew: true,
		usableUntil: p.sender.clock.Now().Add(defaultIdleTimeout - idleMargin),
	}, nil
}

// observe evaluates the error of an exchange, or its success. If a reply was read from a new connection,
// the server accepts connections again.
func (p *pool) observe(c *connection, err error) error {
	switch {
	case !c.isNew:
		return err
	case err != nil:
		return p.observeReset(err)
	}
	c.isNew = false
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.resets, p.pausedUntil = 0, time.Time{}
	return nil
}

// observeReset evaluates the error of a new connection. If the server has reset it, it adds ErrOverCap to
// the error and pauses the opening of others, for a time that doubles with each of them.
func (p *pool) observeReset(err error) error {
	if !errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sender.overCap.Inc(1)
	pause := min(maxPause, initialPause<<min(p.resets, maxPauseShift))
	p.resets++
	p.pausedUntil = p.sender.clock.Now().Add(pause)
	return fmt.Errorf("%w: %w", err, ErrOverCap)
}

// release returns a connection to the pool, or closes it if keep is false or the pool is closed.
// A nil connection releases the count of one that could not be opened.
func (p *pool) release(c *connection, keep bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if keep && !p.isClosed && p.open <= p.limit {
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

// prune closes the idle connections that cannot be reused.
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

// trim closes the idle connections that were not used for longest, as long as more than a number of
// connections are open.
func (p *pool) trim(connections int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = connections
	for p.open > connections && len(p.idle) > 0 {
		_ = p.idle[0].socket.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// warm opens connections until the pool has the wanted number, within the server's limit. It
// returns the number of connections that it opened.
func (p *pool) warm(ctx context.Context, to Destination, wanted int) (int, error) {
	opened := 0
	for p.reserveWarm(to, wanted) {
		c, err := p.dial(ctx)
		if err != nil {
			return opened, err
		}
		p.release(c, true)
		opened++
	}
	return opened, nil
}

// probe opens one connection, however many are open. It keeps the connection if the server's limit
// allows it.
func (p *pool) probe(ctx context.Context, to Destination) error {
	if !p.reserveWarm(to, to.Connections) {
		socket, err := p.sender.open(ctx, p.address)
		if err != nil {
			return err
		}
		return socket.Close()
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.release(c, true)
	return nil
}

// reserveWarm counts one more connection as open if the pool has fewer than wanted and fewer than
// the server's limit. It returns false otherwise.
func (p *pool) reserveWarm(to Destination, wanted int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isClosed || p.open >= min(wanted, max(1, to.Connections)) || p.sender.clock.Now().Before(p.pausedUntil) {
		return false
	}
	p.server, p.limit = to.ID, max(1, to.Connections)
	p.open++
	return true
}

// isForServer reports whether the pool's connections belong to the server with the ID, or have
// not been used for any server yet.
func (p *pool) isForServer(id encoder.ServerID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.server == "" || p.server == id
}

// close closes the idle connections and rejects new ones.
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

// isUsable reports whether an idle connection can carry a request.
func (c *connection) isUsable(now time.Time) bool {
	return now.Before(c.usableUntil) && c.isClean()
}

// isClean reports whether an idle connection is open and has received no bytes. Bytes that
// arrive while no request is in flight belong to no request.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isClean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		isClean = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && isClean
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent bytes may stay
// unacknowledged.
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
