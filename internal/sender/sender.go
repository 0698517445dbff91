// Package sender passes opaque HTTP/1.1 requests to backend servers over keep-alive connections
// that carry one request at a time. It never sends a request twice. Its errors distinguish a
// request that was certainly not sent from one that may have run.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// dialTimeout is the maximum time to open one connection.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is the assumed idle timeout of a server that announces none.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is no longer used, so
	// that no request is sent while the server closes the connection.
	idleMargin = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the connection is
	// treated as lost.
	userTimeout = 2 * time.Second
	// maxReplyBytes is the maximum size of a reply's body in bytes.
	maxReplyBytes = 4 << 20
	// maxEncodedBytes is the maximum size in bytes of a reply's body as it is sent, chunk headers
	// included.
	maxEncodedBytes = 2 * maxReplyBytes
	// maxHeadBytes is the maximum size in bytes of a reply's status line and headers, together with
	// those of the informational replies before it.
	maxHeadBytes = 64 << 10
	// smallHeadBytes is the size of the heads whose memory is not reserved. Most are below.
	smallHeadBytes = 4 << 10
	// headMemory is the memory in bytes that a larger head may use. Many short lines use most, as each of them has
	// an entry in the map of headers.
	headMemory = 16 * maxHeadBytes
	// maxDeadConnections is the number of kept connections that may turn out to have ended before a
	// request is given up as not sent.
	maxDeadConnections = 2
	// maxForeignReplies is the maximum number of replies to other requests that are skipped
	// while waiting for a reply.
	maxForeignReplies = 2
	// maxInformationalReplies is the maximum number of informational replies before a reply. A server
	// sends one or two.
	maxInformationalReplies = 5
	// attemptHeaderBytes is the buffer space reserved for the headers of an attempt.
	attemptHeaderBytes = 160
	// copiedBytes is the size of the bodies that are copied behind the head, so that one write sends both.
	copiedBytes = 4 << 10
	// readerBytes is the size of a connection's read buffer in bytes.
	readerBytes = 8 << 10
)

var (
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = eris.New("request not sent")
	// ErrLost reports that the request may have run, but no valid reply was received.
	ErrLost = eris.New("reply lost")
	// ErrUnneeded reports, besides ErrNotSent, that no answer was needed any more.
	ErrUnneeded = eris.New("no longer needed")
	// ErrInvalid reports, besides ErrLost, that the server sent bytes that are no reply to the request. The server
	// was reached and has not ended.
	ErrInvalid = eris.New("invalid reply")
	// ErrOverCap reports, besides ErrNotSent or ErrLost, that the server reset a new connection, as it
	// does with those beyond the number that it accepts. It says nothing of the server's health.
	ErrOverCap = eris.New("the server resets new connections")
)

// Protocol defines the headers that are exchanged with servers in addition to the request's own.
type Protocol interface {
	// IsAttemptHeader reports whether a header is set separately for each attempt. Such headers
	// of the caller's request are not passed on. The name is a key of Request.Header.
	IsAttemptHeader(name string) bool
	// AppendAttemptHeaders appends the header lines of an attempt.
	AppendAttemptHeaders(lines []byte, attempt Attempt) []byte
	// ParseMetadata returns the metadata in a reply's status and headers.
	ParseMetadata(status int, header http.Header) ReplyMetadata
	// TakeKey removes the key of a customer from a caller's headers and returns it. It is empty if
	// there is none.
	TakeKey(header http.Header) string
	// SetCustomer replaces the name of the customer in a request's headers. An empty name removes it.
	SetCustomer(header http.Header, name string)
}

// Attempt is the information for the headers of one attempt to send a request.
type Attempt struct {
	// Remaining is the time until the caller's deadline. Zero means no deadline.
	Remaining time.Duration
	// Server is the only server that may run the request.
	Server encoder.ServerID
}

// ReplyMetadata is the information in a reply's status and headers about the request and the
// server.
type ReplyMetadata struct {
	// Request is the identifier of the request that the reply answers. It is empty if the
	// reply contains none or several.
	Request string
	// Stamp is the server's signature of its answer. Several are separated by commas, so that they are no
	// signature.
	Stamp string
	// NotRun is true if the reply states that the server did not run the request.
	NotRun bool
	// IsWrongServer is true if the address belongs to a different server.
	IsWrongServer bool
	// IsLeaving is true if the server that sent the reply is shutting down and must get no more requests.
	IsLeaving bool
	// LimitState tells whether the reply names a limit of the requests that the server takes from all
	// docks together, and Limit is that limit in requests per second.
	LimitState LimitState
	Limit      float64
	// HasLoad is true if Running, Waiting and Slots are set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the server now, as a multiple of the usual time. It is zero if the
	// server did not tell.
	Pace float64
}

// Request is a caller's request that is passed on to a server.
type Request struct {
	// ID is the caller's identifier of the request, which the reply must repeat.
	ID     string
	Method string
	// Target is the unmodified path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// PreparedRequest is an encoded request without the headers of an attempt.
type PreparedRequest struct {
	ID     string
	Method string
	// Head contains the request line and the headers. The headers of an attempt and the empty
	// line are appended to it.
	Head []byte
	Body []byte
}

// Prepare encodes a request once, so that several attempts can send it.
func (s *Sender) Prepare(r *Request) *PreparedRequest {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		if s.protocol.IsAttemptHeader(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(lineBreakReplacer.Replace(v))
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return &PreparedRequest{ID: r.ID, Method: r.Method, Head: b.Bytes(), Body: r.Body}
}

// TakeKey removes the key of a customer from a request and returns it, so that the key is never passed
// on. It is empty if there is none.
func (s *Sender) TakeKey(r *Request) string { return s.protocol.TakeKey(r.Header) }

// SetCustomer replaces the name of the customer that a server is told. An empty name removes it.
func (s *Sender) SetCustomer(r *Request, name string) {
	if r.Header == nil {
		r.Header = http.Header{}
	}
	s.protocol.SetCustomer(r.Header, name)
}

// lineBreakReplacer replaces line breaks in a header's value, so that it cannot start another
// header.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// Reply is a complete reply of a server.
type Reply struct {
	Status   int
	Header   http.Header
	Body     []byte
	Metadata ReplyMetadata
	// WireBytes is the number of bytes of the reply on the connection.
	WireBytes int64
}

// Interpret returns the reply of a server that another dock has received and passed on.
func (s *Sender) Interpret(status int, header http.Header, body []byte) Reply {
	return Reply{Status: status, Header: header, Body: body, Metadata: s.protocol.ParseMetadata(status, header)}
}

// Destination is the server to which a request is sent.
type Destination struct {
	Address netip.AddrPort
	ID      encoder.ServerID
	// Connections is the maximum number of connections of this process to the server. Values
	// below 1 count as 1.
	Connections int
	// Unneeded, unless it is nil, is closed when no answer is needed any more. A request that is not being
	// written by then is not sent.
	Unneeded <-chan struct{}
	// OnWrite is called, unless it is nil, before the first byte of a request is written.
	OnWrite func()
}

// isUnneeded reports whether no answer is needed any more.
func (d *Destination) isUnneeded() bool {
	select {
	case <-d.Unneeded:
		return true
	default:
		return false
	}
}

// Sender sends requests and manages the connections to servers. It is safe for concurrent use.
type Sender struct {
	// Set at creation.
	clock          timekeeper.Clock
	protocol       Protocol
	dial           Dial
	opened         metrics.Counter
	overCap        metrics.Counter
	foreignReplies metrics.Counter
	// onOpened is called with the time that it took to open a connection.
	onOpened func(address netip.AddrPort, elapsed time.Duration)

	// Guarded by mutex.
	mutex    sync.Mutex
	isClosed bool
	pools    map[netip.AddrPort]*pool
}

// Dial opens a connection, as net.Dialer.DialContext does. The connection must implement
// syscall.Conn.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Sender.
type Option func(*Sender)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(s *Sender) { s.dial = dial } }

// New returns a Sender without connections.
func New(protocol Protocol, clock timekeeper.Clock, registry metrics.Registry, options ...Option) *Sender {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control:         setUserTimeout,
	}
	s := &Sender{
		clock:          clock,
		protocol:       protocol,
		dial:           dialer.DialContext,
		opened:         metrics.GetOrRegisterCounter("sender.connections_opened", registry),
		overCap:        metrics.GetOrRegisterCounter("sender.connections_over_cap", registry),
		foreignReplies: metrics.GetOrRegisterCounter("sender.foreign_replies", registry),
		pools:          map[netip.AddrPort]*pool{},
		onOpened:       func(netip.AddrPort, time.Duration) {},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// OnOpened sets the function that is called after a connection was opened, with the time that it took. The
// function must not block. It must be set before the first request.
func (s *Sender) OnOpened(onOpened func(address netip.AddrPort, elapsed time.Duration)) {
	s.onOpened = onOpened
}

// open opens a connection to an address within dialTimeout.
func (s *Sender) open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := s.clock.Now()
	socket, err := s.dial(ctx, "tcp", address.String())
	if err == nil {
		s.onOpened(address, s.clock.Now().Sub(began))
	}
	return socket, err
}

// Send sends a request to a server and returns its complete reply. Its errors wrap ErrNotSent or
// ErrLost. The end of the context closes the connection. The deadline determines the remaining
// time that is sent to the server. A zero deadline means none.
func (s *Sender) Send(ctx context.Context, to Destination, request *PreparedRequest, deadline time.Time) (Reply, error) {
	p := s.pool(to.Address)
	if p == nil {
		return Reply{}, eris.Wrap(ErrNotSent, "the sender is closed")
	}
	for deadConnections := 0; ; deadConnections++ {
		c, err := p.acquire(ctx, to)
		if err != nil {
			return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if to.isUnneeded() {
			p.release(c, true)
			return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, ErrUnneeded)
		}
		x := &exchange{sender: s, connection: c, to: to, request: request, deadline: deadline, ctx: ctx}
		reply, keep, err := x.run(ctx)
		err = p.observe(c, err)
		if err == nil && reply.Metadata.IsLeaving && !reply.Metadata.IsWrongServer && reply.Kind() != ReplyInvalid {
			// Otherwise a request that waits for the connection would be sent over it.
			s.remove(p)
		}
		p.release(c, keep)
		// A kept connection that had ended says nothing of the next one.
		isDead := errors.Is(err, ErrNotSent) && !c.isNew && ctx.Err() == nil
		if !isDead || deadConnections >= maxDeadConnections {
			return reply, err
		}
	}
}

// Warm closes the idle connections to a server that cannot be reused and opens new ones until
// there are as many as wanted, within the server's limit. It returns the number of connections
// that it opened.
func (s *Sender) Warm(ctx context.Context, to Destination, wanted int) (int, error) {
	p := s.pool(to.Address)
	if p == nil {
		return 0, eris.Wrap(ErrNotSent, "the sender is closed")
	}
	p.prune()
	return p.warm(ctx, to, wanted)
}

// Probe opens one more connection to a server, however many are open, and returns the error if that
// fails. The connection is kept if the server's limit allows it.
func (s *Sender) Probe(ctx context.Context, to Destination) error {
	p := s.pool(to.Address)
	if p == nil {
		return eris.Wrap(ErrNotSent, "the sender is closed")
	}
	return p.probe(ctx, to)
}

// Retain closes the idle connections to addresses that are not listed or are listed with the ID
// of a different server.
func (s *Sender) Retain(addresses map[netip.AddrPort]encoder.ServerID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a, p := range s.pools {
		id, ok := addresses[a]
		if !ok || !p.isForServer(id) {
			p.close()
			delete(s.pools, a)
		}
	}
}

// remove closes the pool of a server that leaves. The next server at the address gets a pool of its own.
func (s *Sender) remove(p *pool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.close()
	if s.pools[p.address] == p {
		delete(s.pools, p.address)
	}
}

// Trim closes idle connections to an address as long as more than a number of connections are open.
func (s *Sender) Trim(address netip.AddrPort, connections int) {
	s.mutex.Lock()
	p := s.pools[address]
	s.mutex.Unlock()
	if p != nil {
		p.trim(connections)
	}
}

// Close closes the idle connections. Connections in use are closed when their requests end.
func (s *Sender) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed = true
	for _, p := range s.pools {
		p.close()
	}
	clear(s.pools)
}

// pool returns the pool of an address, which it creates if necessary, or nil after Close.
func (s *Sender) pool(address netip.AddrPort) *pool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		return nil
	}
	p := s.pools[address]
	if p == nil {
		p = &pool{sender: s, address: address, freed: make(chan struct{})}
		s.pools[address] = p
	}
	return p
}
