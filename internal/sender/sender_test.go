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

// plainProtocol is the Protocol of the tests.
type plainProtocol struct{}

func (plainProtocol) IsAttemptHeader(string) bool { return false }

func (plainProtocol) TakeKey(header http.Header) string {
	key := header.Get("Key")
	header.Del("Key")
	return key
}

func (plainProtocol) SetCustomer(header http.Header, name string) {
	header.Del("Customer")
	if name != "" {
		header.Set("Customer", name)
	}
}

func (plainProtocol) AppendAttemptHeaders(lines []byte, a sender.Attempt) []byte {
	return fmt.Appendf(lines, "Remaining: %s\r\nServer: %s\r\n", a.Remaining, a.Server)
}

func (plainProtocol) ParseMetadata(_ int, header http.Header) sender.ReplyMetadata {
	return sender.ReplyMetadata{
		Request: header.Get("Request"), Stamp: header.Get("Stamp"), NotRun: header.Get("Not-Run") != "", IsLeaving: header.Get("Leaving") != "",
	}
}

// fakeServer is a server whose replies are written by the function answer. It receives the
// connection, the number of the request on that connection, starting at 1, and the request.
type fakeServer struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
	answer      func(c net.Conn, n int, r *http.Request)
}

func newFakeServer(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeServer{listener: listener, answer: answer}
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *fakeServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go (&fakeConnection{s, c}).run()
	}
}

// fakeConnection is the server side of one connection.
type fakeConnection struct {
	*fakeServer
	net.Conn
}

func (c *fakeConnection) run() {
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

func (s *fakeServer) destination() sender.Destination {
	return sender.Destination{Address: netip.MustParseAddrPort(s.listener.Addr().String()), ID: "s1", Connections: 2}
}

// reply writes a reply to the request with the ID.
func reply(c net.Conn, id, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest: %s\r\nStamp: x\r\nContent-Length: %d\r\n%s\r\n%s",
		id, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

func newSender(t *testing.T) *sender.Sender {
	s := sender.New(plainProtocol{}, timekeeper.System{}, metrics.NewRegistry())
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
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
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
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) { reply(c, r.Header.Get("Request"), "answer") })
	s := newSender(t)
	for range 5 {
		_, err := send(s, server.destination(), "one", time.Second)
		assert.NilError(t, err)
	}
	assert.Equal(t, server.connections.Load(), int32(1))
}

// TestRequestOnLostConnectionIsNotRetried has the server close a reused connection after it has
// read the second request. That request may have run, so it must not be sent again.
func TestRequestOnLostConnectionIsNotRetried(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, n int, r *http.Request) {
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

// TestClosedIdleConnectionIsNotUsed has the server close each connection after its reply, so that
// a request on the idle connection would be lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
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

func TestKeepAliveTimeoutIsHonoured(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("Request"), "answer", "Keep-Alive: timeout=1, max=100")
	})
	s := newSender(t)
	for range 2 {
		_, err := send(s, server.destination(), "one", time.Second)
		assert.NilError(t, err)
	}
	assert.Equal(t, server.connections.Load(), int32(2), "an idle connection must not be reused within a second of its server's timeout")
}

func TestRepliesToOtherRequestsAreSkipped(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, n int, r *http.Request) {
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

func TestExtraBytesAfterReplyCloseTheConnection(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
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
	expectLost := func(text string) {
		t.Helper()
		server := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		_, err := send(newSender(t), server.destination(), "one", time.Second)
		assert.Assert(t, errors.Is(err, sender.ErrLost), "%q: %v", text, err)
	}
	expectLost("")
	expectLost("garbage\r\n\r\n")
	expectLost("HTTP/1.1 200 OK\r\nRequest: one\r\nContent-Length: 10\r\n\r\nshort")
	expectLost("HTTP/1.1 200 OK\r\nRequest: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
	expectLost("HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 2\r\n\r\nok")
}

func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest: one\r\n\r\nall of it")
		_ = c.Close()
	})
	r, err := send(newSender(t), server.destination(), "one", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(r.Body), "all of it")
}

func TestReplyThatIsResetIsLost(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest: one\r\n\r\nnot all of it")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := send(newSender(t), server.destination(), "one", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrLost), "%v", err)
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	server := newFakeServer(t, nil)
	to := server.destination()
	assert.NilError(t, server.listener.Close())
	_, err := send(newSender(t), to, "one", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrNotSent), "%v", err)
}

func TestContextEndClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	server := newFakeServer(t, func(c net.Conn, _ int, _ *http.Request) {
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
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
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

// TestConnectionsToServersThatLeftAreClosed retains one of two servers, and then replaces it by
// a different server at the same address.
// TestUnneededRequestIsNotSent guards against requests that go on waiting for a connection, and are sent, after
// their callers were answered.
func TestUnneededRequestIsNotSent(t *testing.T) {
	hasArrived := make(chan struct{})
	f := newFakeServer(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			close(hasArrived)
			time.Sleep(200 * time.Millisecond)
		}
		reply(c, r.Header.Get("Request"), "x")
	})
	s := newSender(t)
	to := f.destination()
	to.Connections = 1
	go func() { _, _ = send(s, to, "1", time.Second) }()
	<-hasArrived
	unneeded := make(chan struct{})
	to.Unneeded = unneeded
	time.AfterFunc(20*time.Millisecond, func() { close(unneeded) })
	began := time.Now()
	_, err := send(s, to, "2", time.Second)
	assert.ErrorIs(t, err, sender.ErrUnneeded)
	assert.ErrorIs(t, err, sender.ErrNotSent)
	assert.Assert(t, time.Since(began) < 150*time.Millisecond, "%s", time.Since(began))
	_, err = send(s, to, "3", time.Second)
	assert.ErrorIs(t, err, sender.ErrUnneeded)
	to.Unneeded = nil
	_, err = send(s, to, "4", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, f.requests.Load(), int32(2))
	assert.Equal(t, f.connections.Load(), int32(1))
}

func TestConnectionsToServersThatLeftAreClosed(t *testing.T) {
	answer := func(c net.Conn, _ int, r *http.Request) { reply(c, r.Header.Get("Request"), "answer") }
	stays, leaves := newFakeServer(t, answer), newFakeServer(t, answer)
	s := newSender(t)
	expectSent := func(to sender.Destination) {
		t.Helper()
		_, err := send(s, to, "one", time.Second)
		assert.NilError(t, err)
	}
	expectSent(stays.destination())
	expectSent(leaves.destination())
	s.Retain(map[netip.AddrPort]encoder.ServerID{stays.destination().Address: "s1"})
	expectSent(stays.destination())
	expectSent(leaves.destination())
	assert.Equal(t, stays.connections.Load(), int32(1))
	assert.Equal(t, leaves.connections.Load(), int32(2), "a server that left and returned must get a new connection")
	s.Retain(map[netip.AddrPort]encoder.ServerID{stays.destination().Address: "s2"})
	to := stays.destination()
	to.ID = "s2"
	expectSent(to)
	assert.Equal(t, stays.connections.Load(), int32(2), "a different server at the same address must get a new connection")
}
