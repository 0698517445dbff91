package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/selector"
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
	f := sender.ReplyMetadata{Request: header.Get("Request"), Stamp: header.Get("Stamp"), NotRun: header.Get("Not-Run") != ""}
	if header.Get("Queue") == "full" {
		f.HasLoad, f.Running, f.Waiting, f.Slots = true, 2, 20, 2
	}
	return f
}

// handler answers one request at a stand-in. Its number counts from 1.
type handler func(w http.ResponseWriter, r *http.Request, number int)

// standIn is one server of a service.
type standIn struct {
	id     encoder.ServerID
	server *httptest.Server
	handle handler

	mutex    sync.Mutex
	requests int
	left     int
}

// ServeHTTP counts and answers.
func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.requests++
	n := s.requests
	s.mutex.Unlock()
	w.Header().Set("Request", r.Header.Get("Request"))
	s.handle(w, r, n)
	if r.Context().Err() != nil {
		s.mutex.Lock()
		s.left++
		s.mutex.Unlock()
	}
}

// count returns how many requests arrived, and from how many of them the sender left.
func (s *standIn) count() (requests, left int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests, s.left
}

// deployment is a forwarder with its servers.
type deployment struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
	sender    *sender.Sender
	standIns  map[encoder.ServerID]*standIn
	services  map[identifier.ServiceName][]locator.Server
	log       *strings.Builder
	logMutex  sync.Mutex
}

// Write collects the log.
func (d *deployment) Write(b []byte) (int, error) {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	return d.log.Write(b)
}

// logged returns the log's lines of requests so far.
func (d *deployment) logged() string {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	lines := ""
	for line := range strings.Lines(d.log.String()) {
		if strings.Contains(line, `"message":"request"`) {
			lines += line
		}
	}
	return lines
}

func newDeployment(t *testing.T, budget selector.BudgetLimits) *deployment {
	t.Helper()
	d := &deployment{
		t: t, standIns: map[encoder.ServerID]*standIn{}, services: map[identifier.ServiceName][]locator.Server{},
		log: &strings.Builder{},
	}
	d.sender = sender.New(plain{}, timekeeper.System{}, metrics.NewRegistry())
	d.forwarder = d.newForwarder(forwarder.Settings{Domain: "one", Budget: budget, Seed: 1})
	t.Cleanup(func() {
		for _, s := range d.standIns {
			s.server.CloseClientConnections()
		}
		d.forwarder.Close()
		d.sender.Close()
		for _, s := range d.standIns {
			s.server.Close()
		}
	})
	return d
}

// newForwarder returns a forwarder to the deployment's servers.
func (d *deployment) newForwarder(s forwarder.Settings) *forwarder.Forwarder {
	return forwarder.New(s, d.sender, timekeeper.System{}, zerolog.New(d), measurer.New())
}

// add starts a server of a service.
func (d *deployment) add(service, id string, h handler) *standIn {
	s := &standIn{id: encoder.ServerID(id), handle: h}
	s.server = httptest.NewServer(s)
	d.standIns[s.id] = s
	d.register(service, id, netip.MustParseAddrPort(s.server.Listener.Addr().String()))
	return s
}

// register makes an address known as a server.
func (d *deployment) register(service, id string, address netip.AddrPort) {
	name := identifier.ServiceName(service)
	d.services[name] = append(d.services[name], locator.Server{Registration: encoder.Registration{
		ID: encoder.ServerID(id), Service: name, Address: address, Domain: "one", Slots: 2, Born: 1,
	}})
	d.forwarder.UpdateServers(d.services)
}

// route puts the only route in force.
func (d *deployment) route(r matcher.Route) {
	d.t.Helper()
	r.Name, r.Host, r.Prefix = "r", "a.example", "/x/"
	if r.Timeout == 0 {
		r.Timeout = 2 * time.Second
	}
	if r.Attempts == 0 {
		r.Attempts = 2
	}
	c := matcher.Configuration{Number: 1, Routes: []matcher.Route{r}}
	for _, s := range matcher.Services(r.Destination) {
		c.Services = append(c.Services, matcher.Service{Name: s, Connections: 50})
	}
	table, err := matcher.Compile(c)
	assert.NilError(d.t, err)
	d.forwarder.Configure(table)
}

// ask sends a request and returns its outcome.
func (d *deployment) ask(ctx context.Context, method, body string, timeout time.Duration) forwarder.Outcome {
	return d.forwarder.Handle(ctx, &forwarder.Request{
		Request: sender.Request{
			ID: "id-1", Method: method, Target: "/x/y?z=1", Host: "a.example",
			Header: http.Header{"Request": {"id-1"}}, Body: []byte(body),
		},
		Path: "/x/y", Arrived: time.Now(), Timeout: timeout,
	})
}

// get asks with a GET.
func (d *deployment) get() forwarder.Outcome {
	return d.ask(context.Background(), "GET", "", time.Second)
}

// expect checks an outcome's type and returns it.
func expect[O forwarder.Outcome](t *testing.T, o forwarder.Outcome) O {
	t.Helper()
	typed, ok := o.(O)
	assert.Assert(t, ok, "%T %+v", o, o)
	return typed
}

// answers gives a body with a stamp.
func answers(body string) handler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Stamp", "stamp of "+r.Header.Get("Server"))
		_, _ = io.WriteString(w, body)
	}
}

// after waits before it goes on, unless the sender leaves.
func after(d time.Duration, next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		// A server notices that its client leaves only once it has read the body.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case <-time.After(d):
			next(w, r, n)
		case <-r.Context().Done():
		}
	}
}

// fullyLoaded answers, and reports more work than its slots can do.
func fullyLoaded(w http.ResponseWriter, r *http.Request, n int) {
	w.Header().Set("Queue", "full")
	answers("ok")(w, r, n)
}

// rejects says that the request did not run.
func rejects(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Run", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fails answers with a failure of its own.
func fails(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Stamp", "failure")
	w.WriteHeader(http.StatusInternalServerError)
}

// breaks closes the connection without an answer.
func breaks(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }
