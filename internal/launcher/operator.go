package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/receiver"
)

const (
	// headerTimeout bounds how long a client of the operator's server may take to send the headers
	// of a request.
	headerTimeout = 5 * time.Second
	// answerTimeout bounds how long writing a response may take.
	answerTimeout = 30 * time.Second
	// idleTimeout bounds how long an idle connection stays open.
	idleTimeout = time.Minute
	// closeTimeout bounds how long Close waits for requests in progress.
	closeTimeout = 2 * time.Second
	// maxOperatorHeaderBytes bounds the headers of a request.
	maxOperatorHeaderBytes = 16 << 10
	// metricsBytes and eventBytes are the memory of a page of metrics and of one event of a page.
	metricsBytes = 128 << 10
	eventBytes   = 128
	// recentEvents is the default number of events on /events.
	recentEvents = 200
	// maxRecentEvents is the largest number of events on /events.
	maxRecentEvents = 10_000
)

// Check returns the reason why a process is not ready, or nil if it is ready.
type Check func() error

// namedCheck is a Check with the name that /readyz shows.
type namedCheck struct {
	name  string
	check Check
}

// Operator is the HTTP server for operators: /livez, /readyz, /metrics and /events.
type Operator struct {
	// Set at creation.
	process *Process
	mux     *http.ServeMux
	started time.Time
	// isStopping is set at the first signal.
	isStopping atomic.Bool

	// Set by open.
	server  *http.Server
	clients *receiver.Receiver
	tasks   sync.WaitGroup

	// Guarded by mutex.
	mutex  sync.Mutex
	checks []namedCheck
}

// newOperator returns a server that does not listen yet.
func newOperator(p *Process) *Operator {
	o := &Operator{process: p, mux: http.NewServeMux(), started: p.Clock.Now()}
	o.mux.HandleFunc("GET /livez", o.livez)
	o.mux.HandleFunc("GET /readyz", o.readyz)
	o.mux.HandleFunc("GET /metrics", o.metrics)
	o.mux.HandleFunc("GET /events", o.events)
	o.describeProcess()
	return o
}

// describeProcess registers the metrics common to all programs.
func (o *Operator) describeProcess() {
	p := o.process
	p.Metrics.Computed("process_uptime", measurer.Seconds, "Seconds since the process's start.", func() int64 {
		return int64(p.Clock.Now().Sub(o.started).Seconds())
	})
	p.Metrics.Computed("process_goroutines", measurer.Count, "Goroutines. A number that only grows means a leak.", func() int64 {
		return int64(runtime.NumGoroutine())
	})
	p.Metrics.Computed("process_heap", measurer.Bytes, "Bytes of live and unswept objects.", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
	p.Metrics.Computed("clock_readings_ignored", measurer.Count, "Clock readings of other hosts that were more than a minute ahead.", func() int64 {
		return int64(p.Events.Clock().Ignored())
	})
}

// Handle registers a handler for an additional page.
func (o *Operator) Handle(pattern string, h http.Handler) { o.mux.Handle(pattern, h) }

// AddCheck adds a readiness check. A process without checks is not ready, so that it cannot become
// ready before its program has registered one.
func (o *Operator) AddCheck(name string, check Check) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.checks = append(o.checks, namedCheck{name: name, check: check})
}

// open starts to listen at the address and to serve.
func (o *Operator) open(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return eris.Wrapf(err, "operator_address %s", address)
	}
	o.server = &http.Server{
		Handler:           o.mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxOperatorHeaderBytes,
	}
	p := o.process
	o.clients = receiver.New("operators", receiver.Support(), p.Clock, p.Log, p.Metrics)
	o.tasks.Add(1)
	go o.run(listener)
	return nil
}

// run serves until Close.
func (o *Operator) run(listener net.Listener) {
	defer o.tasks.Done()
	err := o.clients.Serve(o.server, listener)
	if !eris.Is(err, http.ErrServerClosed) {
		o.process.Log.Error().Err(err).Msg("operator HTTP server stopped")
	}
}

// Close closes the port. It waits for requests in progress for up to closeTimeout and then closes
// all connections.
func (o *Operator) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := o.server.Shutdown(ctx)
	if err != nil {
		err = o.server.Close()
	}
	o.tasks.Wait()
	o.clients.Close()
	if err != nil {
		return eris.Wrap(err, "close operator HTTP server")
	}
	return nil
}

// markStopping turns readiness off permanently.
func (o *Operator) markStopping() { o.isStopping.Store(true) }

// Reasons returns the reasons why the process is not ready. It is empty for a ready process.
func (o *Operator) Reasons() []Reason {
	reasons := []Reason{}
	if o.isStopping.Load() {
		reasons = append(reasons, Reason{Check: "process", Text: "stopping"})
	}
	o.mutex.Lock()
	checks := o.checks
	o.mutex.Unlock()
	if len(checks) == 0 {
		reasons = append(reasons, Reason{Check: "process", Text: "starting"})
	}
	for _, c := range checks {
		if err := c.check(); err != nil {
			reasons = append(reasons, Reason{Check: c.name, Text: err.Error()})
		}
	}
	return reasons
}

// Reason is the name of a failed readiness check with the text of its error.
type Reason struct {
	Check string `json:"check"`
	Text  string `json:"text"`
}

// readiness is the response body of /readyz.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []Reason `json:"reasons"`
}

// liveness is the response body of /livez.
type liveness struct {
	Program       string `json:"program"`
	Version       string `json:"version"`
	Host          string `json:"host"`
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	Incarnation   string `json:"incarnation"`
	UptimeSeconds int64  `json:"uptime_seconds"`
}

// livez always responds with 200.
func (o *Operator) livez(w http.ResponseWriter, _ *http.Request) {
	s := o.process.Settings
	writeJSON(w, http.StatusOK, liveness{
		Program:       o.process.Program,
		Version:       Version,
		Host:          string(s.Host),
		Domain:        string(s.Domain),
		Region:        string(s.Region),
		Incarnation:   fmt.Sprintf("%016x", uint64(o.process.Incarnation)),
		UptimeSeconds: int64(o.process.Clock.Now().Sub(o.started).Seconds()),
	})
}

// readyz responds with 200 if the process is ready, and otherwise with 503 and the reasons.
func (o *Operator) readyz(w http.ResponseWriter, _ *http.Request) {
	reasons := o.Reasons()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

// metrics writes the page of all metrics.
func (o *Operator) metrics(w http.ResponseWriter, r *http.Request) {
	if receiver.Reserve(r, metricsBytes) {
		o.process.Metrics.ServeHTTP(w, r)
	}
}

// events writes the newest events, one per line. The query parameter limit is their maximum number.
func (o *Operator) events(w http.ResponseWriter, r *http.Request) {
	limit := recentEvents
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxRecentEvents {
			http.Error(w, fmt.Sprintf("limit must be a number from 1 to %d", maxRecentEvents), http.StatusBadRequest)
			return
		}
		limit = n
	}
	if !receiver.Reserve(r, int64(limit)*eventBytes) {
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, e := range o.process.Events.Recent(limit) {
		_, _ = fmt.Fprintln(w, e)
	}
}

// writeJSON responds with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client closed its connection.
	_ = json.NewEncoder(w).Encode(body)
}
