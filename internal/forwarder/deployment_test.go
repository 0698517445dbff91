package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
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

// testProtocol defines the headers that the tests use.
type testProtocol struct{}

func (testProtocol) IsAttemptHeader(string) bool { return false }

func (testProtocol) TakeKey(header http.Header) string {
	key := header.Get("Key")
	header.Del("Key")
	return key
}

func (testProtocol) SetCustomer(header http.Header, name string) {
	header.Del("Customer")
	if name != "" {
		header.Set("Customer", name)
	}
}

func (testProtocol) AppendAttemptHeaders(lines []byte, a sender.Attempt) []byte {
	return fmt.Appendf(lines, "Remaining: %s\r\nServer: %s\r\n", a.Remaining, a.Server)
}

func (testProtocol) ParseMetadata(status int, header http.Header) sender.ReplyMetadata {
	f := sender.ReplyMetadata{Request: header.Get("Request"), Stamp: strings.Join(header["Stamp"], ", "), NotRun: header.Get("Not-Run") != ""}
	if status == http.StatusMisdirectedRequest {
		f.NotRun, f.IsWrongServer = true, true
	}
	f.IsLeaving = header.Get("Leaving") != ""
	if limit := header.Get("Limit"); limit != "" {
		f.LimitState = sender.LimitNamed
		f.Limit, _ = strconv.ParseFloat(limit, 64)
	}
	if header.Get("Queue") == "full" {
		f.HasLoad, f.Running, f.Waiting, f.Slots = true, 2, 20, 2
	}
	return f
}

// handler answers one request at a fake server. The server's requests are numbered from 1.
type handler func(w http.ResponseWriter, r *http.Request, number int)

// fakeServer is a backend server of a service that answers with its handler.
type fakeServer struct {
	id     encoder.ServerID
	server *httptest.Server
	handle handler

	mutex     sync.Mutex
	requests  int
	cancelled int
}

// ServeHTTP counts the request, answers it, and counts whether it was cancelled meanwhile.
func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.requests++
	n := s.requests
	handle := s.handle
	s.mutex.Unlock()
	w.Header().Set("Request", r.Header.Get("Request"))
	handle(w, r, n)
	if r.Context().Err() != nil {
		s.mutex.Lock()
		s.cancelled++
		s.mutex.Unlock()
	}
}

// count returns the number of requests that arrived, and how many of them the sender cancelled.
func (s *fakeServer) count() (requests, cancelled int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests, s.cancelled
}

// deployment is a forwarder with its backend servers.
type deployment struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
	sender    *sender.Sender
	servers   map[encoder.ServerID]*fakeServer
	services  map[identifier.ServiceName][]locator.Server
	log       *strings.Builder
	logMutex  sync.Mutex
}

// Write appends to the log.
func (d *deployment) Write(b []byte) (int, error) {
	d.logMutex.Lock()
	defer d.logMutex.Unlock()
	return d.log.Write(b)
}

// requestLog returns the log lines of requests so far.
func (d *deployment) requestLog() string {
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
		t: t, servers: map[encoder.ServerID]*fakeServer{}, services: map[identifier.ServiceName][]locator.Server{},
		log: &strings.Builder{},
	}
	d.sender = newTestSender()
	first := d.newForwarder(forwarder.Settings{Domain: "one", Budget: budget, Seed: 1, QuotaWindow: quota.Window})
	d.forwarder = first
	t.Cleanup(func() {
		for _, s := range d.servers {
			s.server.CloseClientConnections()
		}
		first.Close()
		d.forwarder.Close()
		d.sender.Close()
		for _, s := range d.servers {
			s.server.Close()
		}
	})
	return d
}

// newTestSender returns a sender that speaks testProtocol.
func newTestSender(options ...sender.Option) *sender.Sender {
	return sender.New(testProtocol{}, timekeeper.System{}, metrics.NewRegistry(), options...)
}

// newForwarder returns a forwarder that uses the deployment's sender and log.
func (d *deployment) newForwarder(s forwarder.Settings) *forwarder.Forwarder {
	return d.newForwarderWith(s, d.sender)
}

// newForwarderWith returns a forwarder that uses a sender and the deployment's log.
func (d *deployment) newForwarderWith(s forwarder.Settings, with *sender.Sender) *forwarder.Forwarder {
	return forwarder.New(s, with, timekeeper.System{}, zerolog.New(d), measurer.New())
}

// serverHost is the loopback address of the fake servers of this process. With one address for all, test
// processes that run at the same time could take the port of a server that has ended, and reply in its place.
var serverHost = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%200, os.Getpid()/200%250)

// addServer starts and registers a server of a service.
func (d *deployment) addServer(service, id string, h handler) *fakeServer {
	s := &fakeServer{id: encoder.ServerID(id), handle: h}
	s.server = httptest.NewUnstartedServer(s)
	_ = s.server.Listener.Close()
	listener, err := net.Listen("tcp", serverHost+":0")
	assert.NilError(d.t, err)
	s.server.Listener = listener
	s.server.Start()
	d.servers[s.id] = s
	d.register(service, id, netip.MustParseAddrPort(s.server.Listener.Addr().String()))
	return s
}

// register adds a server with an address to the forwarder.
func (d *deployment) register(service, id string, address netip.AddrPort) {
	name := identifier.ServiceName(service)
	d.services[name] = append(d.services[name], locator.Server{Registration: encoder.Registration{
		ID: encoder.ServerID(id), Service: name, Address: address, Domain: "one", Slots: 2, Born: 1,
	}})
	d.forwarder.UpdateServers(d.services)
}

// totalRequests returns the number of requests that arrived at all servers.
func (d *deployment) totalRequests() int {
	sum := 0
	for _, s := range d.servers {
		n, _ := s.count()
		sum += n
	}
	return sum
}

// setRoute applies a configuration with a single route.
func (d *deployment) setRoute(r matcher.Route) {
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

// send sends a request and returns its outcome.
func (d *deployment) send(ctx context.Context, method, body string, timeout time.Duration) forwarder.Outcome {
	return d.sendTo(ctx, method, "/x/y?z=1", body, timeout)
}

// sendTo sends a request with a target and returns its outcome.
func (d *deployment) sendTo(ctx context.Context, method, target, body string, timeout time.Duration) forwarder.Outcome {
	return d.forwarder.Handle(ctx, &forwarder.Request{
		Request: sender.Request{
			ID: "id-1", Method: method, Target: target, Host: "a.example",
			Header: http.Header{"Request": {"id-1"}}, Body: []byte(body),
		},
		Path: "/x/y", Arrived: time.Now(), Timeout: timeout,
	})
}

// get sends a GET request with a timeout of one second.
func (d *deployment) get() forwarder.Outcome {
	return d.send(context.Background(), "GET", "", time.Second)
}

// expect checks the type of an outcome and returns the outcome as that type.
func expect[O forwarder.Outcome](t *testing.T, o forwarder.Outcome) O {
	t.Helper()
	typed, ok := o.(O)
	assert.Assert(t, ok, "%T %+v", o, o)
	return typed
}

// answers replies with a body and a stamp.
func answers(body string) handler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Stamp", "stamp-of-"+r.Header.Get("Server"))
		_, _ = io.WriteString(w, body)
	}
}

// after waits before it calls the next handler. It returns if the sender cancels the request.
func after(d time.Duration, next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		// A server detects that its client has disconnected only after it has read the body.
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

// fullyLoaded replies with success and reports more waiting requests than slots.
func fullyLoaded(w http.ResponseWriter, r *http.Request, n int) {
	w.Header().Set("Queue", "full")
	answers("ok")(w, r, n)
}

// rejects replies that the server did not run the request.
func rejects(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Run", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isAnotherServer replies that the address belongs to another server.
func isAnotherServer(w http.ResponseWriter, _ *http.Request, _ int) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// fails replies with a server error.
func fails(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Stamp", "failure")
	w.WriteHeader(http.StatusInternalServerError)
}

// dropsConnection closes the connection without a reply.
func dropsConnection(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }
