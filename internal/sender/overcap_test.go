package sender_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/sender"
)

// cappedServer accepts a number of connections and resets the further ones.
type cappedServer struct {
	*fakeServer
	listener net.Listener
	accepted atomic.Int32
	resets   atomic.Int32
	limit    atomic.Int32
	// resetDelay is the time from the accept of a connection over the limit to its reset.
	resetDelay time.Duration
}

func newCappedServer(t *testing.T, limit int, resetDelay time.Duration) *cappedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cappedServer{listener: listener, resetDelay: resetDelay}
	s.fakeServer = &fakeServer{listener: listener, answer: func(c net.Conn, _ int, r *http.Request) {
		reply(c, r.Header.Get("Request"), "ok")
	}}
	s.limit.Store(int32(limit))
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *cappedServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.accepted.Load() < s.limit.Load() {
			s.accepted.Add(1)
			go (&fakeConnection{s.fakeServer, c}).run()
			continue
		}
		s.resets.Add(1)
		time.Sleep(s.resetDelay)
		// Without a linger time, Close resets the connection.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestResetOfANewConnectionIsNotAnsweredByAnother sends requests to a server that resets all new
// connections. Most of them must not open a connection, and are certainly not sent.
func TestResetOfANewConnectionIsNotAnsweredByAnother(t *testing.T) {
	server := newCappedServer(t, 0, 0)
	s := newSender(t)
	notSent := 0
	for range 50 {
		_, err := send(s, server.destination(), "a", time.Second)
		assert.Assert(t, err != nil)
		assert.Assert(t, errors.Is(err, sender.ErrOverCap), "%v", err)
		if errors.Is(err, sender.ErrNotSent) {
			notSent++
		}
	}
	assert.Assert(t, server.resets.Load() <= 2, "%d connections were reset", server.resets.Load())
	assert.Assert(t, notSent >= 48)
	opened, _ := s.Warm(context.Background(), server.destination(), 2)
	assert.Equal(t, opened, 0)
	assert.Assert(t, server.resets.Load() <= 2)
}

// TestConnectionIsOpenedAgainAfterAPause lets the server accept connections after it has reset one.
func TestConnectionIsOpenedAgainAfterAPause(t *testing.T) {
	server := newCappedServer(t, 0, 0)
	s := newSender(t)
	_, err := send(s, server.destination(), "a", time.Second)
	assert.Assert(t, errors.Is(err, sender.ErrOverCap), "%v", err)
	server.limit.Store(1)
	began := time.Now()
	for err != nil && time.Since(began) < 3*time.Second {
		_, err = send(s, server.destination(), "a", time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond, "the pause ended after %s", time.Since(began))
}

// TestRequestsWaitForTheConnectionThatTheServerAccepts sends requests at the same time to a server that
// accepts one connection, with a limit of two.
func TestRequestsWaitForTheConnectionThatTheServerAccepts(t *testing.T) {
	server := newCappedServer(t, 1, 0)
	s := newSender(t)
	_, err := send(s, server.destination(), "a", time.Second)
	assert.NilError(t, err)
	results := make(chan error, 20)
	for range cap(results) {
		go (&simultaneous{s, server.destination(), "a", results}).run()
	}
	lost := 0
	for range cap(results) {
		if err := <-results; err != nil {
			assert.Assert(t, errors.Is(err, sender.ErrOverCap), "%v", err)
			lost++
		}
	}
	assert.Assert(t, lost <= 1, "%d requests failed", lost)
	assert.Assert(t, server.resets.Load() <= 1)
}

// simultaneous is one of several requests at the same time.
type simultaneous struct {
	sender  *sender.Sender
	to      sender.Destination
	id      string
	results chan error
}

func (r *simultaneous) run() {
	_, err := send(r.sender, r.to, r.id, time.Second)
	r.results <- err
}

// TestConnectionsAboveALowerLimitAreClosed opens two connections and lowers the limit to one and zero.
func TestConnectionsAboveALowerLimitAreClosed(t *testing.T) {
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) { reply(c, r.Header.Get("Request"), "ok") })
	s := newSender(t)
	to := server.destination()
	opened, err := s.Warm(context.Background(), to, 2)
	assert.NilError(t, err)
	assert.Equal(t, opened, 2)
	s.Trim(to.Address, 1)
	opened, err = s.Warm(context.Background(), to, 2)
	assert.NilError(t, err)
	assert.Equal(t, opened, 1)
	s.Trim(to.Address, 0)
	opened, err = s.Warm(context.Background(), to, 2)
	assert.NilError(t, err)
	assert.Equal(t, opened, 2)
}

// TestConnectionInUseIsClosedAboveALowerLimit lowers the limit while a request is in progress. Its
// connection is not kept.
func TestConnectionInUseIsClosedAboveALowerLimit(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := newFakeServer(t, func(c net.Conn, _ int, r *http.Request) {
		if r.Header.Get("Request") == "slow" {
			close(started)
			<-finish
		}
		reply(c, r.Header.Get("Request"), "ok")
	})
	s := newSender(t)
	results := make(chan error, 1)
	go (&simultaneous{s, server.destination(), "slow", results}).run()
	<-started
	s.Trim(server.destination().Address, 0)
	close(finish)
	assert.NilError(t, <-results)
	opened, err := s.Warm(context.Background(), server.destination(), 1)
	assert.NilError(t, err)
	assert.Equal(t, opened, 1, "the former connection was not kept")
}
