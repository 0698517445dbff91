// Package connector runs subrequests on backend servers over HTTP. It keeps a few warm
// connections to each server, never more than its limit. It cancels a subrequest without
// closing its connection, and verifies that each reply answers the subrequest that was sent.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/reserver"
)

const (
	// connectionsHTTP2 is the number of connections kept to an HTTP/2 server. With two of
	// them, requests do not have to wait for a new connection when one is lost.
	connectionsHTTP2 = 2
	// defaultConnections is the connection limit of a server for which Prepare has not been
	// called.
	defaultConnections = 4
	// dialTimeout is the maximum time to open one connection.
	dialTimeout = time.Second
	// cancelGrace is how long a cancelled HTTP/1.1 subrequest may take to end before its
	// connection is closed.
	cancelGrace = 250 * time.Millisecond
	// pingIdleTime is how long an HTTP/2 connection may receive nothing before a ping is sent.
	pingIdleTime = 5 * time.Second
	// pingTimeout is how long the answer to that ping may take.
	pingTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a reply's header in bytes.
	maxHeaderBytes = 64 << 10
	// receiveBufferBytes is what an HTTP/2 connection buffers of the replies that are not read yet, in bytes.
	receiveBufferBytes = 1 << 20
	// defaultMaxReplyBytes is the default maximum size of a reply's body in bytes.
	defaultMaxReplyBytes = 8 << 20
)

// Connector is an owner.Backend that uses HTTP. It is safe for concurrent use.
type Connector struct {
	// Set at creation.
	transports    map[encoder.ServerProtocol]*http.Transport
	dialer        net.Dialer
	maxReplyBytes int64
	// account accounts for the memory of replies while they are read. If it is nil, nothing does.
	account   *reserver.Account
	logger    zerolog.Logger
	metricSet metricSet

	// warmups counts the goroutines that open warm connections.
	warmups sync.WaitGroup

	// Guarded by mutex.
	mutex     sync.Mutex
	isClosed  bool
	endpoints map[netip.AddrPort]*endpoint
}

var (
	_ owner.Backend  = (*Connector)(nil)
	_ owner.Preparer = (*Connector)(nil)
)

// Option configures a Connector.
type Option func(*Connector)

// WithLogger sets the connector's logger. The default discards all messages.
func WithLogger(logger zerolog.Logger) Option {
	return func(c *Connector) { c.logger = logger }
}

// WithRegistry sets the registry for the connector's metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(c *Connector) { c.metricSet = newMetricSet(registry) }
}

// WithMaxReplyBytes sets the maximum size of a reply's body in bytes.
func WithMaxReplyBytes(limit int64) Option {
	return func(c *Connector) { c.maxReplyBytes = limit }
}

// WithAccount sets the account of the memory of replies. They wait for room in it.
func WithAccount(account *reserver.Account) Option {
	return func(c *Connector) { c.account = account }
}

// New returns a Connector without connections.
func New(options ...Option) *Connector {
	c := &Connector{
		maxReplyBytes: defaultMaxReplyBytes,
		logger:        zerolog.Nop(),
		endpoints:     map[netip.AddrPort]*endpoint{},
	}
	c.transports = map[encoder.ServerProtocol]*http.Transport{
		encoder.ProtocolHTTP1: c.newTransport(false),
		encoder.ProtocolHTTP2: c.newTransport(true),
	}
	for _, o := range options {
		o(c)
	}
	if c.metricSet.opened == nil {
		c.metricSet = newMetricSet(metrics.NewRegistry())
	}
	return c
}

// newTransport returns the transport that opens connections of one protocol.
func (c *Connector) newTransport(http2 bool) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Transport{
		DialContext:            c.dialer.DialContext,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,

			MaxReceiveBufferPerStream:     receiveBufferBytes,
			MaxReceiveBufferPerConnection: receiveBufferBytes,
		},
	}
}

// Update retires the connections to servers that are no longer in the view or have restarted.
func (c *Connector) Update(view *encoder.View) {
	present := make(map[netip.AddrPort]encoder.Server, len(view.Servers))
	for _, s := range view.Servers {
		present[s.Address] = s
	}
	var removed []*endpoint
	c.mutex.Lock()
	for address, e := range c.endpoints {
		s, ok := present[address]
		if ok && e.server.Incarnation == s.Incarnation && e.server.Protocol == s.Protocol {
			continue
		}
		delete(c.endpoints, address)
		removed = append(removed, e)
	}
	c.mutex.Unlock()
	for _, e := range removed {
		e.retire()
	}
}

// Prepare sets the limit of this process's connections to a server and opens the warm ones in
// the background, so that no subrequest has to wait for them.
func (c *Connector) Prepare(server encoder.Server, connections int) {
	e := c.endpoint(server)
	if e == nil {
		return
	}
	e.setLimit(connections)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed {
		return
	}
	c.warmups.Add(1)
	go e.warmUp()
}

// endpoint returns the endpoint of a server, or nil after Close. It replaces the endpoint of a
// server that restarted or changed its protocol.
func (c *Connector) endpoint(server encoder.Server) *endpoint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed {
		return nil
	}
	e := c.endpoints[server.Address]
	if e == nil || e.server.Incarnation != server.Incarnation || e.server.Protocol != server.Protocol {
		if e != nil {
			e.retire()
		}
		e = newEndpoint(c, server)
		c.endpoints[server.Address] = e
	}
	return e
}

// Connections returns the number of connections to a server that are open or being opened.
func (c *Connector) Connections(address netip.AddrPort) int {
	c.mutex.Lock()
	e := c.endpoints[address]
	c.mutex.Unlock()
	if e == nil {
		return 0
	}
	return e.count()
}

// Close closes all connections and waits for the goroutines that open warm connections.
// In-flight subrequests fail.
func (c *Connector) Close() error {
	c.mutex.Lock()
	c.isClosed = true
	endpoints := c.endpoints
	c.endpoints = map[netip.AddrPort]*endpoint{}
	c.mutex.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	c.warmups.Wait()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	return nil
}

// open opens one connection to a server.
func (c *Connector) open(server encoder.Server) (*http.ClientConn, error) {
	// The context is independent of the subrequest's. If the subrequest is cancelled, the
	// connection is still opened and can carry the next one.
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	transport, isKnown := c.transports[server.Protocol]
	if !isKnown {
		// A dock of a newer release may have accepted a server with a newer protocol.
		return nil, eris.Errorf("server %s uses protocol %s, which is not supported", server.Address, server.Protocol)
	}
	return transport.NewClientConn(ctx, "http", server.Address.String())
}
