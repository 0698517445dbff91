package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/sender"
	"banyandock.example/banyandock/internal/timekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// plain names the headers of the tests.
type plain struct{}

func (plain) IsAttemptHeader(string) bool { return false }

func (plain) AppendAttemptHeaders(lines []byte, a sender.Attempt) []byte {
	return fmt.Appendf(lines, "Remaining: %s\r\nServer: %s\r\n", a.Remaining, a.Server)
}

func (plain) ParseMetadata(_ int, header http.Header) sender.ReplyMetadata {
	return sender.ReplyMetadata{Request: header.Get("Request"), Stamp: header.Get("Stamp"), NotRun: header.Get("Not-Run") != ""}
}

// standIn is a server whose answers are written by a function that gets the connection, the
// number of the request on it and the request.
type standIn struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	answer      func(c net.Conn, n int, r *http.Request)
}

func newStandIn(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &standIn{listener: listener, answer: answer}
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *standIn) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go (&standInConnection{s, c}).run()
	}
}

// standInConnection serves one connection.
type standInConnection struct {
	*standIn
	net.Conn
}

func (c *standInConnection) run() {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c.Conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		c.requests.Add(1)
		c.answer(c.Conn, n, r)
	}
}

func (s *standIn) destination() sender.Destination {
	return sender.Destination{Address: netip.MustParseAddrPort(s.listener.Addr().String()), ID: "s1", Connections: 2}
}

// reply writes an answer to a request.
func reply(c net.Conn, id, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest: %s\r\nStamp: x\r\nContent-Length: %d\r\n%s\r\n%s",
		id, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

func newSender(t *testing.T) *sender.Sender {
	s := sender.New(plain{}, timekeeper.System{}, metrics.NewRegistry())
	t.Cleanup(s.Close)
	return s
}

// send sends a request with a timeout.
func send(s *sender.Sender, to sender.Destination, id string, timeout time.Duration) (sender.Reply, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Send(ctx, to, s.Prepare(&sender.Request{ID: id, Method: "GET", Target: "//odd/../path?q=%2f", Host: "a.example", Header: http.Header{"Request": {id}}}), deadline)
}

func TestRequestArrivesUnchanged(t *testing.T) {
	var seen *http.Request
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) {
		seen = r
		reply(c, r.Header.Get("Request"), "answer")
	})
	s := newSender(t)
	r, err := send(s, server.destination(), "one", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(r.Body), "answer")
	assert.Equal(t, seen.RequestURI, "//odd/../path?q=%2f")
	assert.Equal(t, seen.Host, "a.example")
	assert.Equal(t, seen.Header.Get("Server"), "s1")
	assert.Equal(t, seen.Header.Get("User-Agent")+seen.Header.Get("Accept-Encoding"), "")
}

func TestConnectionsAreKept(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) { reply(c, r.Header.Get("Request"), "answer") })
	s := newSender(t)
	for range 5 {
		_, err := send(s, server.destination(), "one", time.Second)
		assert.NilError(t, err)
	}
	assert.Equal(t, server.connections.Load(), int32(1))
}

// TestLostKeptConnectionIsNotRetried closes a kept connection when the second request has been
// read: it may have run, and must not be sent again.
func TestLostKeptConnectionIsNotRetried(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, n int, r *http.Request) {
		if n == 2 {
			_ = c.Close()
			return
		}
		reply(c, r.Header.Get("Request"), "answer")
	})
	s := newSender(t)
	_, err := send(s, server.destination(), "one", time.Second)
	assert.NilError(t, err)
	_, err = send(s, server.destination(), "two", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrLost), "%v", err)
	assert.Equal(t, server.requests.Load(), int32(2))
}

// TestClosedIdleConnectionIsNotUsed has the server close its idle connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("Request"), "answer")
		_ = c.Close()
	})
	s := newSender(t)
	for range 3 {
		_, err := send(s, server.destination(), "one", time.Second)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, server.connections.Load(), int32(3))
}

func TestKeepAliveTimeIsKept(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("Request"), "answer", "Keep-Alive: timeout=1, max=100")
	})
	s := newSender(t)
	for range 2 {
		_, err := send(s, server.destination(), "one", time.Second)
		assert.NilError(t, err)
	}
	assert.Equal(t, server.connections.Load(), int32(2), "a connection is given up a second before its end")
}

func TestRepliesOfOthersAreSkipped(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, n int, r *http.Request) {
		if n == 2 {
			reply(c, "one", "late and again")
		}
		reply(c, r.Header.Get("Request"), "answer to "+r.Header.Get("Request"))
	})
	s := newSender(t)
	for _, id := range []string{"one", "two", "three"} {
		r, err := send(s, server.destination(), id, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, string(r.Body), "answer to "+id)
	}
}

func TestBytesBehindAReplyEndTheConnection(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("Request"), "answer")
		reply(c, r.Header.Get("Request"), "answer")
	})
	s := newSender(t)
	for _, id := range []string{"one", "two"} {
		_, err := send(s, server.destination(), id, time.Second)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, server.connections.Load(), int32(2))
}

func TestBrokenRepliesAreLost(t *testing.T) {
	broken := func(text string) {
		t.Helper()
		server := newStandIn(t, func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		_, err := send(newSender(t), server.destination(), "one", time.Second)
		assert.Assert(t, errors.Is(err, sender.ErrLost), "%q: %v", text, err)
	}
	broken("")
	broken("garbage\r\n\r\n")
	broken("HTTP/1.1 200 OK\r\nRequest: one\r\nContent-Length: 10\r\n\r\nshort")
	broken("HTTP/1.1 200 OK\r\nRequest: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	broken("HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 2\r\n\r\nok")
}

func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest: one\r\n\r\nall of it")
		_ = c.Close()
	})
	r, err := send(newSender(t), server.destination(), "one", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(r.Body), "all of it")
}

func TestReplyThatIsResetIsLost(t *testing.T) {
	server := newStandIn(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest: one\r\n\r\nnot all of it")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := send(newSender(t), server.destination(), "one", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrLost), "%v", err)
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	server := newStandIn(t, nil)
	to := server.destination()
	assert.NilError(t, server.listener.Close())
	_, err := send(newSender(t), to, "one", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrNotSent), "%v", err)
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	server := newStandIn(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	began := time.Now()
	_, err := send(newSender(t), server.destination(), "one", 50*time.Millisecond)
	assert.Assert(t, errors.Is(err, sender.ErrLost), "%v", err)
	<-closed
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

func TestConnectionsStayBelowTheLimit(t *testing.T) {
	release := make(chan struct{})
	server := newStandIn(t, func(c net.Conn, _ int, r *http.Request) {
		<-release
		reply(c, r.Header.Get("Request"), "answer")
	})
	s := newSender(t)
	ends := make(chan error)
	for i := range 5 {
		go func() {
			_, err := send(s, server.destination(), fmt.Sprint(i), 10*time.Second)
			ends <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, server.connections.Load(), int32(2))
	close(release)
	for range 5 {
		assert.NilError(t, <-ends)
	}
	assert.Equal(t, server.connections.Load(), int32(2))
}

// TestConnectionsToServersThatLeftAreClosed keeps one of two servers, and then has another
// server at the address of the first.
func TestConnectionsToServersThatLeftAreClosed(t *testing.T) {
	answer := func(c net.Conn, _ int, r *http.Request) { reply(c, r.Header.Get("Request"), "answer") }
	stays, leaves := newStandIn(t, answer), newStandIn(t, answer)
	s := newSender(t)
	ask := func(to sender.Destination) {
		t.Helper()
		_, err := send(s, to, "one", time.Second)
		assert.NilError(t, err)
	}
	ask(stays.destination())
	ask(leaves.destination())
	s.Retain(map[netip.AddrPort]encoder.ServerID{stays.destination().Address: "s1"})
	ask(stays.destination())
	ask(leaves.destination())
	assert.Equal(t, stays.connections.Load(), int32(1))
	assert.Equal(t, leaves.connections.Load(), int32(2), "a new connection to a server that left and is back")
	s.Retain(map[netip.AddrPort]encoder.ServerID{stays.destination().Address: "s2"})
	to := stays.destination()
	to.ID = "s2"
	ask(to)
	assert.Equal(t, stays.connections.Load(), int32(2), "a new connection to another server at the address")
}
