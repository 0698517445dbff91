package forwarder_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
)

// TestRequestsDoNotFindOutWhetherServersAreBack has an answer that needs each of five shards, one of which
// has lost its server for 1.5 s. Its callers are refused at once, and the other servers do no work for
// answers that cannot be complete. When the server is back, requests are answered.
func TestRequestsDoNotFindOutWhetherServersAreBack(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addShards(5, nil)
	d.setRoute(scatterRoute(5, 3, 0.9, time.Second))
	expect[forwarder.Gathered](t, d.get())
	lost := d.servers[encoder.ServerID("server-2")]
	address := lost.server.Listener.Addr().String()
	lost.server.CloseClientConnections()
	lost.server.Close()
	before := d.totalRequests()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, ok := d.get().(forwarder.Gathered); ok {
			t.Fatal("an answer without the lost shard")
		}
	}
	assert.Assert(t, d.totalRequests()-before <= 12, "%d requests at the other servers", d.totalRequests()-before)
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	lost.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: lost, ReadHeaderTimeout: time.Second}}
	lost.server.Start()
	began := time.Now()
	waitFor(t, func() bool { _, ok := d.get().(forwarder.Gathered); return ok })
	assert.Assert(t, time.Since(began) < 2500*time.Millisecond)
}
