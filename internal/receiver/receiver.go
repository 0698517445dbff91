// Package receiver serves HTTP to clients that the deployment does not control. It limits their connections, the
// memory that is held for them, and the time that their bodies and their reading of responses may take.
package receiver

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// requestBytes is what a request without a body holds: headers, goroutine and buffers.
	requestBytes = 8 << 10
	// headsDivisor is the part of the memory for clients that the large heads may use besides while they are received, and
	// minHeads has room for some of them on any machine.
	headsDivisor = 4
	minHeads     = 2 << 20
	// reportInterval is the least time between two log lines on clients that were refused or closed.
	reportInterval = 10 * time.Second
	// lingerTime is how long a refused client may go on sending, so that it reads the refusal before the connection is
	// reset.
	lingerTime = 250 * time.Millisecond
	// retryAfter is the Retry-After of refusals, in seconds.
	retryAfter = "1"
)

// Receiver limits the clients of one address. It is safe for concurrent use.
type Receiver struct {
	// Set at creation.
	limits      Limits
	clock       timekeeper.Clock
	log         zerolog.Logger
	account     *reserver.Account
	connections *connections
	// refused counts requests without room, and slow those of clients that sent or read too slowly.
	refused metrics.Counter
	slow    metrics.Counter

	// writeRefusal responds with 503.
	writeRefusal func(w http.ResponseWriter)

	stop  chan struct{}
	tasks sync.WaitGroup
}

// New returns a Receiver and registers its metrics, whose names start with name. Close must be called to stop it.
func New(name string, limits Limits, clock timekeeper.Clock, log zerolog.Logger, registry *measurer.Registry) *Receiver {
	registry.Remove([]string{name + "."})
	r := &Receiver{
		limits: limits, clock: clock, log: log.With().Str(recorder.FieldClients, name).Logger(),
		account:      reserver.New(limits.Memory, clock),
		connections:  newConnections(limits.Connections, max(minHeads, limits.Memory/headsDivisor), clock),
		refused:      metrics.GetOrRegisterCounter(name+".refused", registry.Metrics()),
		slow:         metrics.GetOrRegisterCounter(name+".slow", registry.Metrics()),
		stop:         make(chan struct{}),
		writeRefusal: func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
	r.register(name, registry)
	r.tasks.Add(1)
	go r.loop()
	return r
}

// register adds the metrics. Those of a Receiver before, as in a keeper that has started again within its process, are replaced.
func (r *Receiver) register(name string, registry *measurer.Registry) {
	registry.Describe(name+".refused", measurer.Count, "Requests refused because no memory was left for clients.")
	registry.Describe(name+".slow", measurer.Count, "Clients closed because they sent a body or read a response too slowly.")
	registry.Computed(name+".memory", measurer.Bytes, "Bytes held for clients.", r.account.Used)
	registry.Computed(name+".memory_limit", measurer.Bytes, "Bytes that may be held for clients.", r.account.Total)
	registry.Computed(name+".evicted", measurer.Count, "Stalled bodies and responses that were ended to make room.", r.account.Evictions)
	registry.Computed(name+".connections", measurer.Count, "Open connections of clients.", r.connections.open)
	registry.Computed(name+".connections_limit", measurer.Count, "Connections that clients may have open.", func() int64 { return int64(r.limits.Connections) })
	registry.Computed(name+".connections_refused", measurer.Count, "Connections of clients refused or closed because there were too many.", r.connections.refusals)
}

// Account returns the account of the memory that is held for clients.
func (r *Receiver) Account() *reserver.Account { return r.account }

// Serve serves a listener until the server is closed. The server's handler is called with the limits in force.
func (r *Receiver) Serve(server *http.Server, listener net.Listener) error {
	server.Handler = &handler{receiver: r, next: server.Handler}
	server.ConnState = r.connections.observe
	server.ConnContext = withConnection
	if server.ErrorLog == nil {
		server.ErrorLog = log.New(r.log, "", 0)
	}
	return server.Serve(&limitedListener{Listener: listener, connections: r.connections})
}

// OnRefusal sets the function that responds to a request with 503 because no memory is left. It must be set before Serve.
func (r *Receiver) OnRefusal(write func(w http.ResponseWriter)) { r.writeRefusal = write }

// Close stops the log lines. The server must be closed before.
func (r *Receiver) Close() {
	close(r.stop)
	r.tasks.Wait()
	r.connections.tasks.Wait()
}

// loop logs how many clients were refused or closed, at most every reportInterval.
func (r *Receiver) loop() {
	defer r.tasks.Done()
	ticker := r.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	var before counts
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		if now := r.counts(); now != before {
			r.log.Warn().Int64(recorder.FieldRefused, now.refused-before.refused).Int64(recorder.FieldSlow, now.slow-before.slow).
				Int64(recorder.FieldEvicted, now.evicted-before.evicted).Int64(recorder.FieldConnections, now.connections-before.connections).
				Msg(recorder.EventClientsRefused)
			before = now
		}
	}
}

// counts are the numbers of clients that were refused or closed since the start.
type counts struct {
	refused, slow, evicted, connections int64
}

// counts returns the present numbers.
func (r *Receiver) counts() counts {
	return counts{refused: r.refused.Count(), slow: r.slow.Count(), evicted: r.account.Evictions(), connections: r.connections.refusals()}
}

// handler calls the next handler with a Hold of the account, and with transfers that are limited in time.
type handler struct {
	receiver *Receiver
	next     http.Handler
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r := h.receiver
	endHeadOf(request)
	from, _ := netip.ParseAddrPort(request.RemoteAddr)
	t := &transfer{receiver: r, controller: http.NewResponseController(w), writer: w}
	t.hold = r.account.Open(from, t.evict)
	defer t.hold.Close()
	// The deadline of the response before may have passed.
	_ = t.controller.SetWriteDeadline(time.Time{})
	if request.ContentLength != 0 {
		// The server reads what the handler leaves of a body, and would wait for a client that never sends it.
		_ = t.controller.SetReadDeadline(time.Now().Add(r.limits.Stall))
	}
	if err := t.hold.Reserve(request.Context(), requestBytes+headBytes(request.Header), reserver.Request); err != nil {
		t.refuse()
		return
	}
	ctx := context.WithValue(reserver.WithHold(request.Context(), t.hold), transferKey{}, t)
	h.next.ServeHTTP(&pacedWriter{ResponseWriter: w, transfer: t}, request.WithContext(ctx))
}

// transferKey is the key of a request's transfer in its context.
type transferKey struct{}

// transferOf returns the transfer of a request, or nil if its server has no Receiver.
func transferOf(request *http.Request) *transfer {
	t, _ := request.Context().Value(transferKey{}).(*transfer)
	return t
}
