// Package linker connects banyandock's processes over TCP. A Link sends requests to another
// process and receives the replies. A Server answers requests through a Mux of typed handlers.
// Each connection starts with a handshake that exchanges host, incarnation and protocol
// versions. Heartbeats detect a connection that was cut without a reset.
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
	// OldestVersion is the oldest protocol version that this release supports.
	OldestVersion = 1
	// NewestVersion is the newest protocol version that this release supports.
	NewestVersion = 1

	// heartbeatInterval is the interval of heartbeats on a connection that sends no other frames.
	heartbeatInterval = time.Second
	// peerTimeout is how long a connection may receive nothing, and how long a write may block,
	// before the connection is treated as broken.
	peerTimeout = 3 * time.Second
	// connectTimeout is the maximum time to open a TCP connection. TCP retransmits the SYN to an
	// unreachable host only after a second, so a new attempt detects its return sooner.
	connectTimeout = 250 * time.Millisecond
	// dialTimeout is the maximum duration of the handshake.
	dialTimeout = time.Second
	// redialInterval is the minimum time between a failed attempt to connect and the next one.
	redialInterval = 100 * time.Millisecond
	// sendQueueFrames is the capacity of a connection's send queue in frames.
	sendQueueFrames = 1024
	// bufferBytes is the size in bytes of a connection's read and write buffers. It is small,
	// because a keeper holds a connection to every dock and larger frames bypass the buffers.
	bufferBytes = 8 << 10
)

var (
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = eris.New("request not sent")
	// ErrLost reports that the connection broke after the request may have been sent.
	ErrLost = eris.New("connection lost while waiting for the reply")
	// ErrFrameTooLarge reports a payload beyond MaxFrameBytes.
	ErrFrameTooLarge = eris.New("frame too large")
	// ErrHandshake reports a peer that is not a banyandock process of a supported version.
	ErrHandshake = eris.New("handshake failed")
	// ErrRemote reports an error that the peer's handler returned.
	ErrRemote = eris.New("peer reported an error")
	// ErrFull reports, besides ErrNotSent, ErrRemote or ErrLost, that there was no memory for a message. A peer sends
	// its text.
	ErrFull = eris.New("no memory is left for messages")
)

// Hello is the handshake message that each side sends first.
type Hello struct {
	Magic         string
	Host          identifier.HostName
	Incarnation   identifier.Incarnation
	OldestVersion int
	NewestVersion int
}

// helloMagic distinguishes banyandock's links from other protocols.
const helloMagic = "banyandock"

// Peer is the process at the other end of a connection.
type Peer struct {
	Host        identifier.HostName
	Incarnation identifier.Incarnation
	// Version is the newest protocol version that both sides support.
	Version int
}

// LogicalClock is a clock whose stamps are sent ahead of all frames. A stamp is a number that
// increases with each event of the process.
type LogicalClock interface {
	// Stamp returns the next stamp.
	Stamp() uint64
	// ObserveStamp advances the clock to a peer's stamp, so that later stamps are greater.
	ObserveStamp(stamp uint64)
}

// Self identifies this process in handshakes.
type Self struct {
	Host        identifier.HostName
	Incarnation identifier.Incarnation
	// LogicalClock is nil for a process without a logical clock.
	LogicalClock LogicalClock
	// Bind is the local address at which the process listens and from which it connects, if it
	// differs from the address that other processes use. It is the zero Addr otherwise.
	Bind netip.Addr
}

// listenAddress returns the local address at which this process listens for connections to an
// address.
func (s Self) listenAddress(address netip.AddrPort) netip.AddrPort {
	if !s.Bind.IsValid() {
		return address
	}
	return netip.AddrPortFrom(s.Bind, address.Port())
}

// dialer returns a dialer that connects from the bind address, if there is one.
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

// acceptHello validates a peer's handshake message and selects the protocol version. Its errors
// wrap ErrHandshake.
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
		return Peer{}, eris.Wrapf(ErrHandshake, "peer supports versions %d to %d", h.OldestVersion, h.NewestVersion)
	}
	return Peer{Host: h.Host, Incarnation: h.Incarnation, Version: version}, nil
}
