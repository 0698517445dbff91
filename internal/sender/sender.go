// Package sender passes opaque HTTP/1.1 requests to backend servers, each over a kept
// connection that carries one request at a time. It never sends a request twice, and it
// tells a request that certainly did not leave from one that may have run.
package sender

import (
	"bytes"
	"context"
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
	// dialTimeout bounds opening one connection.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleLimit is how long a connection stays usable if the server names no time.
	defaultIdleLimit = 10 * time.Second
	// idleMargin is how much before a server's idle timeout a connection is given up, so
	// that no request crosses the server's close.
	idleMargin = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts
	// as lost.
	userTimeout = 2 * time.Second
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 4 << 20
	// maxForeignReplies is how many replies to other requests are skipped on a connection.
	maxForeignReplies = 2
	// stampBytes is room for the headers of an attempt.
	stampBytes = 160
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 8 << 10
)

var (
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = eris.New("request not sent")
	// ErrLost reports that the request may have run and its reply is lost.
	ErrLost = eris.New("reply lost")
)

// Protocol names what travels in headers beside the request itself.
type Protocol interface {
	// IsAttemptHeader tells whether a header is written for each attempt anew.
	IsAttemptHeader(name string) bool
	// AppendAttemptHeaders appends the lines of an attempt's own headers.
	AppendAttemptHeaders(lines []byte, attempt Attempt) []byte
	// ParseMetadata reads what a server says of itself and of the request in a reply's headers.
	ParseMetadata(status int, header http.Header) ReplyMetadata
}

// Attempt is what one server is told besides the request.
type Attempt struct {
	// Remaining is how much longer the caller waits. Zero means no bound.
	Remaining time.Duration
	// Server is the only server that may run the request.
	Server encoder.ServerID
}

// ReplyMetadata are what a reply's headers tell.
type ReplyMetadata struct {
	// Request is the identifier of the request that the reply answers. It is empty if the
	// server does not say.
	Request string
	// Stamp is the server's signature of its answer.
	Stamp string
	// NotRun says that the server did not run the request.
	NotRun bool
	// IsWrongServer says that the address belongs to another server.
	IsWrongServer bool
	// HasLoad says that Running, Waiting and Slots are known.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
}

// Request is a caller's request as it is passed on.
type Request struct {
	// ID is the caller's identifier, which the reply echoes.
	ID     string
	Method string
	// Target is the path and query as they arrived.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// PreparedRequest is a request whose lines are rendered, but for each attempt's own.
type PreparedRequest struct {
	ID     string
	Method string
	// Head ends before the own headers of an attempt.
	Head []byte
	Body []byte
}

// Prepare renders a request that may be sent several times.
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
			b.WriteString(lineBreaks.Replace(v))
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return &PreparedRequest{ID: r.ID, Method: r.Method, Head: b.Bytes(), Body: r.Body}
}

// lineBreaks keeps a header's value from ending its line.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// Reply is a server's whole answer.
type Reply struct {
	Status   int
	Header   http.Header
	Body     []byte
	Metadata ReplyMetadata
}

// Destination is the server that a request goes to.
type Destination struct {
	Address netip.AddrPort
	ID      encoder.ServerID
	// Connections bounds the connections that this process holds to the server.
	Connections int
}

// Sender keeps the connections. It is safe for concurrent use.
type Sender struct {
	// Set at creation.
	clock    timekeeper.Clock
	protocol Protocol
	dialer   net.Dialer
	opened   metrics.Counter
	foreign  metrics.Counter

	// Guarded by mutex.
	mutex    sync.Mutex
	isClosed bool
	pools    map[netip.AddrPort]*pool
}

// New returns a Sender without connections.
func New(protocol Protocol, clock timekeeper.Clock, registry metrics.Registry) *Sender {
	return &Sender{
		clock:    clock,
		protocol: protocol,
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
			Control:         setUserTimeout,
		},
		opened:  metrics.GetOrRegisterCounter("sender.connections_opened", registry),
		foreign: metrics.GetOrRegisterCounter("sender.foreign_replies", registry),
		pools:   map[netip.AddrPort]*pool{},
	}
}

// Send passes a request to a server and returns its whole reply. Its errors wrap ErrNotSent
// or ErrLost. The end of the context closes the connection.
func (s *Sender) Send(ctx context.Context, to Destination, request *PreparedRequest, deadline time.Time) (Reply, error) {
	p := s.pool(to.Address)
	if p == nil {
		return Reply{}, eris.Wrap(ErrNotSent, "the sender is closed")
	}
	c, err := p.acquire(ctx, to)
	if err != nil {
		return Reply{}, eris.Wrapf(ErrNotSent, "%v", err)
	}
	x := &exchange{sender: s, connection: c, to: to, request: request, deadline: deadline}
	reply, keep, err := x.run(ctx)
	p.release(c, keep)
	return reply, err
}

// Warm closes the idle connections to a server that have ended, opens others until there are as
// many as wanted, and returns how many it opened.
func (s *Sender) Warm(ctx context.Context, to Destination, wanted int) (int, error) {
	p := s.pool(to.Address)
	if p == nil {
		return 0, eris.Wrap(ErrNotSent, "the sender is closed")
	}
	p.prune()
	return p.warm(ctx, to, wanted)
}

// Retain closes the idle connections to all other addresses.
func (s *Sender) Retain(addresses map[netip.AddrPort]encoder.ServerID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a, p := range s.pools {
		id, ok := addresses[a]
		if !ok || !p.belongs(id) {
			p.close()
			delete(s.pools, a)
		}
	}
}

// Close closes the idle connections. Those in use close when their requests end.
func (s *Sender) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed = true
	for _, p := range s.pools {
		p.close()
	}
	clear(s.pools)
}

// pool returns the connections to an address, or nil after Close.
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
