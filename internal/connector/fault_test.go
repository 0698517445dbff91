package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/owner"
)

// reply returns a handler that answers with a fixed status and body.
func reply(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

func TestMismatchedRepliesAreRejected(t *testing.T) {
	const request = "01000000-0000-0000-0000-000000000000"
	expectBadReply := func(name, body string) {
		t.Run(name, func(t *testing.T) {
			_, server := startBackend(t, encoder.ProtocolHTTP2, reply(http.StatusOK, body))
			c := newConnector(t, WithMaxReplyBytes(1000))
			_, err := c.Run(context.Background(), server, makeSubrequest(7))
			expectFailure(t, err, owner.CauseBadReply, true)
			assert.Equal(t, c.metricSet.badReplies.Count(), int64(1))
		})
	}
	row := `,"rows":[{"score":1,"value":1}],"total":1}`
	expectBadReply("other request", `{"request":"02000000-0000-0000-0000-000000000000","attempt":7,"version":41,"shard":3`+row)
	expectBadReply("other attempt", `{"request":"`+request+`","attempt":6,"version":41,"shard":3`+row)
	expectBadReply("other version", `{"request":"`+request+`","attempt":7,"version":42,"shard":3`+row)
	expectBadReply("other shard", `{"request":"`+request+`","attempt":7,"version":41,"shard":4`+row)
	expectBadReply("shard left out", `{"request":"`+request+`","attempt":7,"version":41`+row)
	expectBadReply("truncated", `{"request":"`+request+`","attempt":7,"version":41,"shard":3,"rows":[{"sc`)
	expectBadReply("too large", `{"request":"`+strings.Repeat("x", 2000))
}

func TestFailuresByStatus(t *testing.T) {
	expect := func(status int, body string, cause owner.FailureCause, started bool) {
		t.Run(fmt.Sprintf("%d %s", status, body), func(t *testing.T) {
			_, server := startBackend(t, encoder.ProtocolHTTP1, reply(status, body))
			_, err := newConnector(t).Run(context.Background(), server, makeSubrequest(1))
			expectFailure(t, err, cause, started)
		})
	}
	expect(409, `{"code":"version_gone","started":false}`, owner.CauseVersionGone, false)
	expect(503, `{"code":"overloaded","started":false}`, owner.CauseShed, false)
	expect(503, `{"code":"overloaded"}`, owner.CauseShed, true)
	expect(503, `from a proxy`, owner.CauseServerError, true)
	expect(499, `{"code":"cancelled","started":true}`, owner.CauseCancelled, true)
	expect(504, `{"code":"deadline","started":false}`, owner.CauseCancelled, false)
	expect(500, `{"code":"internal","started":true}`, owner.CauseServerError, true)
	expect(500, `{}`, owner.CauseServerError, true)
}

func TestUnreachableServerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	for _, p := range encoder.ServerProtocolValues() {
		_, err = newConnector(t).Run(context.Background(), encoder.Server{Address: address, Protocol: p}, makeSubrequest(1))
		expectFailure(t, err, owner.CauseNotSent, false)
	}
}

func TestBrokenConnectionMayHaveRun(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		var b *backend
		b, server := startBackend(t, protocol, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			b.server.CloseClientConnections()
		}))
		_, err := newConnector(t).Run(context.Background(), server, makeSubrequest(1))
		expectFailure(t, err, owner.CauseConnectionLost, true)
	})
}

// cancellableHandler serves a subrequest's first attempt until it is cancelled in the way of its
// protocol, and answers all other subrequests at once.
type cancellableHandler struct {
	waiting   chan struct{}
	cancelled atomic.Int64

	mutex  sync.Mutex
	cancel map[uint32]chan struct{}
}

func (s *cancellableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/cancel" {
		var body cancelBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		close(s.channel(body.Attempt))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if r.Header.Get(headerAttempt) != "1" {
		echo(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.waiting <- struct{}{}
	select {
	case <-r.Context().Done():
		s.cancelled.Add(1)
	case <-s.channel(1):
		s.cancelled.Add(1)
		w.WriteHeader(statusCancelled)
		_, _ = io.WriteString(w, `{"code":"cancelled","started":true}`)
	}
}

func (s *cancellableHandler) channel(attempt uint32) chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cancel[attempt] == nil {
		s.cancel[attempt] = make(chan struct{})
	}
	return s.cancel[attempt]
}

func TestCancelKeepsConnections(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		handler := &cancellableHandler{waiting: make(chan struct{}, 1), cancel: map[uint32]chan struct{}{}}
		b, server := startBackend(t, protocol, handler)
		c := newConnector(t)
		c.Prepare(server, 2)
		for c.Connections(server.Address) < 2 || c.metricSet.opened.Count() < 2 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error)
		go func() {
			_, err := c.Run(ctx, server, makeSubrequest(1))
			failed <- err
		}()
		<-handler.waiting
		cancel()
		expectFailure(t, <-failed, owner.CauseCancelled, true)
		for attempt := range uint32(10) {
			_, err := c.Run(context.Background(), server, makeSubrequest(attempt+2))
			assert.NilError(t, err)
		}
		assert.Equal(t, handler.cancelled.Load(), int64(1))
		assert.Equal(t, b.opened.Load(), int64(2))
	})
}

func TestConnectionLimitHolds(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		b, server := startBackend(t, protocol, http.HandlerFunc(echo))
		c := newConnector(t)
		c.Prepare(server, 2)
		var wait sync.WaitGroup
		for i := range uint32(50) {
			wait.Go(func() {
				_, err := c.Run(context.Background(), server, makeSubrequest(i))
				assert.Check(t, err)
			})
		}
		wait.Wait()
		assert.Assert(t, b.opened.Load() <= 2, "%d connections", b.opened.Load())
	})
}

func TestUpdateDropsGoneServers(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		_, server := startBackend(t, protocol, http.HandlerFunc(echo))
		c := newConnector(t)
		_, err := c.Run(context.Background(), server, makeSubrequest(1))
		assert.NilError(t, err)
		c.Update(&encoder.View{Servers: []encoder.Server{server}})
		assert.Equal(t, c.Connections(server.Address), 1)
		c.Update(&encoder.View{})
		assert.Equal(t, c.Connections(server.Address), 0)
	})
}
