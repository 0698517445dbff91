// Package linker connects banyandock's processes over TCP. A Link carries requests from
// one process to another and their replies back; a Server answers them through a Mux of
// typed handlers. Each connection opens with a handshake that names host, incarnation and
// protocol versions, and heartbeats notice a connection that was cut without a reset.
package linker

import (
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// OldestVersion is the oldest protocol version that this release speaks.
	OldestVersion = 1
	// NewestVersion is the newest protocol version that this release speaks.
	NewestVersion = 1

	// heartbeatInterval is how often a quiet connection sends a heartbeat.
	heartbeatInterval = time.Second
	// silenceLimit is how long a connection may deliver nothing before it counts as cut.
	silenceLimit = 3 * time.Second
	// connectTimeout bounds opening a TCP connection. A host that was dark when the first packet
	// came gets the next one only after a second, so a new attempt is quicker.
	connectTimeout = 250 * time.Millisecond
	// dialTimeout bounds the handshake.
	dialTimeout = time.Second
	// redialInterval is the least time between two attempts to connect.
	redialInterval = 100 * time.Millisecond
	// sendQueueFrames is the number of frames that may wait for one connection's writer.
	sendQueueFrames = 1024
	// bufferBytes is the size of a connection's read and write buffers. A keeper holds a connection
	// to every dock, and larger frames pass the buffers by.
	bufferBytes = 8 << 10
)

var (
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = eris.New("request not sent")
	// ErrLost reports that the connection broke after the request may have been sent.
	ErrLost = eris.New("connection lost while waiting for the reply")
	// ErrFrameTooLarge reports a payload beyond MaxFrameBytes.
	ErrFrameTooLarge = eris.New("frame too large")
	// ErrHandshake reports a peer that is not a banyandock process of a known version.
	ErrHandshake = eris.New("handshake failed")
	// ErrRemote reports an error that the peer's handler returned.
	ErrRemote = eris.New("peer reported an error")
)

// Hello is the handshake message that each side sends first.
type Hello struct {
	Magic         string
	Host          identifier.HostName
	Incarnation   identifier.Incarnation
	OldestVersion int
	NewestVersion int
}

// helloMagic tells banyandock's links from other protocols.
const helloMagic = "banyandock"

// Peer is the process at the other end of a connection.
type Peer struct {
	Host        identifier.HostName
	Incarnation identifier.Incarnation
	// Version is the newest protocol version that both sides speak.
	Version int
}

// LogicalClock is the logical clock whose readings travel ahead of all frames. A reading is a
// number that grows with each event of the process.
type LogicalClock interface {
	// Stamp returns the next reading.
	Stamp() uint64
	// ObserveStamp takes in a peer's reading.
	ObserveStamp(stamp uint64)
}

// Self names this process in handshakes.
type Self struct {
	Host        identifier.HostName
	Incarnation identifier.Incarnation
	// LogicalClock is nil for a process without a logical clock.
	LogicalClock LogicalClock
	// Bind is where the process listens, and connects from, instead of at the addresses that
	// others know. It is not valid if these are the same.
	Bind netip.Addr
}

// listenAddress is where this process listens for connections to an address.
func (s Self) listenAddress(address netip.AddrPort) netip.AddrPort {
	if !s.Bind.IsValid() {
		return address
	}
	return netip.AddrPortFrom(s.Bind, address.Port())
}

// dialer opens connections from where this process is.
func (s Self) dialer() net.Dialer {
	d := net.Dialer{Timeout: connectTimeout}
	if s.Bind.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Bind, 0))
	}
	return d
}

// hello builds the handshake message of this process.
func (s Self) hello() Hello {
	return Hello{
		Magic:         helloMagic,
		Host:          s.Host,
		Incarnation:   s.Incarnation,
		OldestVersion: OldestVersion,
		NewestVersion: NewestVersion,
	}
}

// acceptHello checks a peer's handshake message and agrees on a version.
func acceptHello(f frame) (Peer, error) {
	if f.typ != frameHello {
		return Peer{}, eris.Wrapf(ErrHandshake, "first frame has type %d", f.typ)
	}
	h, err := encoder.Decode[Hello](f.payload)
	if err != nil {
		return Peer{}, eris.Wrapf(ErrHandshake, "%v", err)
	}
	if h.Magic != helloMagic {
		return Peer{}, eris.Wrapf(ErrHandshake, "magic is %q", h.Magic)
	}
	version := min(h.NewestVersion, NewestVersion)
	if version < max(h.OldestVersion, OldestVersion) {
		return Peer{}, eris.Wrapf(ErrHandshake, "peer speaks versions %d to %d", h.OldestVersion, h.NewestVersion)
	}
	return Peer{Host: h.Host, Incarnation: h.Incarnation, Version: version}, nil
}
