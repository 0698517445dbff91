package receiver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// smallHeadLines is the number of lines of a head whose memory requestBytes covers.
	smallHeadLines = 32
	// lineBytes is the memory of a further line: an entry in the map of headers, its name, its value and the list that
	// holds it, however short they are. The map is copied once while a request is handled.
	lineBytes = 256
	// http2Preface is how a connection begins that speaks HTTP/2, whose heads are not lines.
	http2Preface = "PRI "
)

// errHeads ends a connection whose head does not fit into the memory for heads.
var errHeads = eris.New("no memory is left for the heads of requests")

// head follows the head of the request that a connection receives. Only one goroutine at a time reads the connection.
type head struct {
	// isReceived is set while the connection carries no head: a handler has the request, or is about to.
	isReceived atomic.Bool
	// lines counts the lines of the head so far, and hasText is set if there are bytes of the next one.
	lines   atomic.Int64
	hasText atomic.Bool
	// preface counts the bytes of http2Preface that the connection began with.
	preface   int
	isHTTP1   bool
	isRefused atomic.Bool
}

// observePreface compares the first bytes of a connection with those of HTTP/2. It reports whether the connection speaks
// HTTP/2.
func (h *head) observePreface(b []byte) bool {
	for _, c := range b {
		if h.isHTTP1 || h.preface == len(http2Preface) {
			break
		}
		h.isHTTP1 = c != http2Preface[h.preface]
		h.preface++
	}
	return !h.isHTTP1 && h.preface == len(http2Preface)
}

// countLines counts the lines of the head among some bytes. An empty line ends the head, and what follows is a body.
func (h *head) countLines(b []byte) {
	for {
		line, rest, isWhole := bytes.Cut(b, []byte{'\n'})
		if len(line) > 0 && (h.hasText.Load() || !bytes.Equal(line, []byte{'\r'})) {
			h.hasText.Store(true)
		}
		if !isWhole {
			return
		}
		if !h.hasText.Swap(false) {
			h.isReceived.Store(true)
			return
		}
		h.lines.Add(1)
		b = rest
	}
}

// Read reads from the connection. The parser of heads keeps each line of a head, also while a client sends it slowly, so
// that the lines are counted as they come. A client whose head does not fit is refused.
func (l *limitedConn) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	h := &l.head
	if n == 0 || h.observePreface(b[:n]) || h.isReceived.Load() {
		return n, err
	}
	h.countLines(b[:n])
	if l.reserveHead((h.lines.Load() - smallHeadLines) * lineBytes) {
		return n, err
	}
	h.isRefused.Store(true)
	l.connections.refuse(l.Conn)
	// The server closes a connection without a response of its own after an error of the network.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeads}
}

// reserveHead lets the connection's head use some bytes. It returns false if there is no room.
func (l *limitedConn) reserveHead(size int64) bool {
	c := l.connections
	if size <= 0 {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	more := size - l.headBytes
	if more <= 0 || l.isRemoved {
		return true
	}
	if c.heads+more > c.headLimit {
		c.refused++
		return false
	}
	c.heads += more
	l.headBytes += more
	return true
}

// beginHead awaits the head of the next request. The caller holds the lock.
func (l *limitedConn) beginHead() {
	l.releaseHead()
	l.head.lines.Store(0)
	l.head.hasText.Store(false)
	l.head.isReceived.Store(false)
}

// endHead records that the head has been received. Its memory is part of its request from now on.
func (l *limitedConn) endHead() {
	l.head.isReceived.Store(true)
	l.connections.mutex.Lock()
	defer l.connections.mutex.Unlock()
	l.releaseHead()
}

// releaseHead releases the memory of a head. The caller holds the lock.
func (l *limitedConn) releaseHead() {
	l.connections.heads -= l.headBytes
	l.headBytes = 0
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests. It is the server's ConnContext hook.
func withConnection(ctx context.Context, socket net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, socket)
}

// endHeadOf records that the head of a request has been received.
func endHeadOf(request *http.Request) {
	if l, ok := request.Context().Value(connectionKey{}).(*limitedConn); ok {
		l.endHead()
	}
}

// headBytes returns the memory of a request's head and its copy, besides what requestBytes covers.
func headBytes(header http.Header) int64 {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return 2 * lineBytes * int64(max(0, lines-smallHeadLines))
}
