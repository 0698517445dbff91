// Package controller serves the control port of a stand-in process. Its HTTP and JSON interface
// changes the servers' fault switches and returns their counters.
package controller

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/responder"
)

const (
	// maximumBody is the maximum size of a request body in bytes.
	maximumBody = 8 << 20
	readTimeout = 10 * time.Second
)

// Controller serves the control port of one process.
type Controller struct {
	servers    []*responder.Server
	executions *responder.Executions
	log        zerolog.Logger
	http       *http.Server
	done       chan struct{}
}

// Start opens the control port.
func Start(address netip.AddrPort, servers []*responder.Server, executions *responder.Executions, log zerolog.Logger) (*Controller, error) {
	c := &Controller{servers: servers, executions: executions, log: log, done: make(chan struct{})}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	c.http = &http.Server{Handler: c.routes(), ReadTimeout: readTimeout}
	go c.run(l)
	return c, nil
}

// Close closes the control port.
func (c *Controller) Close() {
	_ = c.http.Close()
	<-c.done
}

func (c *Controller) run(l net.Listener) {
	defer close(c.done)
	if err := c.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error().Err(err).Msg("control port failed")
	}
}

func (c *Controller) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /livez", handleAlive)
	m.HandleFunc("GET /readyz", handleAlive)
	m.HandleFunc("GET /v1/counters", c.handleCounters)
	m.Handle("POST /v1/faults", endpoint[FaultsRequest]{c, c.setFaults})
	m.Handle("POST /v1/crash", endpoint[CrashRequest]{c, c.crash})
	m.Handle("POST /v1/drain", endpoint[DrainRequest]{c, c.drain})
	m.Handle("POST /v1/versions", endpoint[VersionsRequest]{c, c.changeVersions})
	m.Handle("POST /v1/executions", endpoint[ExecutionsRequest]{c, c.countExecutions})
	return m
}

func handleAlive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (c *Controller) handleCounters(w http.ResponseWriter, _ *http.Request) {
	c.writeReply(w, c.report())
}

// endpoint decodes a JSON request of type R, calls the handler and writes its reply as JSON.
type endpoint[R any] struct {
	controller *Controller
	handle     func(R) any
}

// ServeHTTP serves one request. It responds with status 400 if the body is not valid.
func (e endpoint[R]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBody))
	d.DisallowUnknownFields()
	var request R
	if err := d.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.controller.writeReply(w, e.handle(request))
}

func (c *Controller) writeReply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		c.log.Warn().Err(err).Msg("failed to write control reply")
	}
}
