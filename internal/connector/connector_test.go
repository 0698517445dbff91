package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/owner"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// backend is a backend server on a loopback port.
type backend struct {
	server *httptest.Server
	opened atomic.Int64
}

// startBackend serves a handler over one protocol.
func startBackend(t *testing.T, protocol encoder.ServerProtocol, handler http.Handler) (*backend, encoder.Server) {
	t.Helper()
	b := &backend{}
	b.server = httptest.NewUnstartedServer(handler)
	var protocols http.Protocols
	protocols.SetHTTP1(protocol == encoder.ProtocolHTTP1)
	protocols.SetUnencryptedHTTP2(protocol == encoder.ProtocolHTTP2)
	b.server.Config.Protocols = &protocols
	b.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			b.opened.Add(1)
		}
	}
	b.server.Start()
	t.Cleanup(b.server.Close)
	address := netip.MustParseAddrPort(b.server.Listener.Addr().String())
	return b, encoder.Server{Address: address, Service: "plates", Protocol: protocol, Slots: 2, Connections: 55, Incarnation: 1}
}

// newConnector returns a connector that is closed at the end of the test.
func newConnector(t *testing.T, options ...Option) *Connector {
	t.Helper()
	c := New(options...)
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return c
}

func makeSubrequest(attempt uint32) owner.Subrequest {
	return owner.Subrequest{
		Request:   identifier.RequestID{1},
		Attempt:   attempt,
		Shard:     identifier.Shard{Service: "plates", Version: 41, Number: 3},
		Operation: "lookup",
		Timeout:   time.Second,
		Body:      []byte(`{"plate":"K-1138"}`),
	}
}

// echo answers a subrequest with one row that contains the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	var body subrequestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, `{"request":%q,"attempt":%s,"version":%d,"shard":%d,"rows":[{"score":0.5,"value":%s}],"total":1}`,
		r.Header.Get(headerRequest), r.Header.Get(headerAttempt), body.Version, body.Shard, body.Request)
}

// forEachProtocol runs a test over each protocol.
func forEachProtocol(t *testing.T, test func(t *testing.T, protocol encoder.ServerProtocol)) {
	for _, p := range encoder.ServerProtocolValues() {
		t.Run(p.String(), func(t *testing.T) { test(t, p) })
	}
}

func expectFailure(t *testing.T, err error, cause owner.FailureCause, started bool) {
	t.Helper()
	var f *owner.Failure
	assert.Assert(t, errors.As(err, &f), "%v", err)
	assert.Equal(t, f.Cause, cause, f.Detail)
	assert.Equal(t, f.Started, started, f.Detail)
}

func TestRunReturnsRows(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		_, server := startBackend(t, protocol, http.HandlerFunc(echo))
		result, err := newConnector(t).Run(context.Background(), server, makeSubrequest(1))
		assert.NilError(t, err)
		assert.Equal(t, len(result.Rows), 1)
		assert.Equal(t, result.Rows[0].Shard, identifier.ShardNumber(3))
		assert.Equal(t, string(result.Rows[0].Value), `{"plate":"K-1138"}`)
		assert.Equal(t, result.Total, 1.0)
	})
}

func TestRefusalIsNotStarted(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		_, server := startBackend(t, protocol, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code": "draining", "started": false}`))
		}))
		_, err := newConnector(t).Run(context.Background(), server, makeSubrequest(1))
		expectFailure(t, err, owner.CauseDraining, false)
	})
}

func TestCancellationKeepsConnection(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		running := make(chan struct{}, 1)
		cancelled := make(chan struct{}, 1)
		b, server := startBackend(t, protocol, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/v1/cancel":
				cancelled <- struct{}{}
				w.WriteHeader(http.StatusNoContent)
			case r.Header.Get(headerAttempt) == "1":
				// net/http ends the request's context only after the whole body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				select {
				case <-cancelled:
				case <-r.Context().Done():
				}
				w.WriteHeader(499)
				_, _ = w.Write([]byte(`{"code": "cancelled", "started": true}`))
			default:
				echo(w, r)
			}
		}))
		c := newConnector(t)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := c.Run(ctx, server, makeSubrequest(1))
			ended <- err
		}()
		<-running
		// Over HTTP/1.1 the cancel request needs a connection of its own, which may be opened
		// in addition.
		opened := b.opened.Load()
		cancel()
		expectFailure(t, <-ended, owner.CauseCancelled, true)
		_, err := c.Run(t.Context(), server, makeSubrequest(2))
		assert.NilError(t, err)
		extra := int64(0)
		if protocol == encoder.ProtocolHTTP1 {
			extra = 1
		}
		assert.Assert(t, b.opened.Load() <= opened+extra, "%d connections opened, %d before the cancellation", b.opened.Load(), opened)
	})
}
