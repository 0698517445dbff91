package scatterer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/announcer"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// maximumBody is the maximum size of a request body in bytes.
	maximumBody     = 1 << 20
	shutdownLimit   = 5 * time.Second
	maximumTimeout  = time.Minute
	idleConnections = 100
)

// host is one emulated entry host.
type host struct {
	scatterer *Scatterer
	log       zerolog.Logger
	server    *http.Server
	// http1 and http2 are the host's own clients for backend servers.
	http1 *http.Client
	http2 *http.Client
	done  chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
}

func startHost(scatterer *Scatterer, address netip.AddrPort, random *rand.Rand, log zerolog.Logger) (*host, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	unencrypted := new(http.Protocols)
	unencrypted.SetUnencryptedHTTP2(true)
	h := &host{
		scatterer: scatterer,
		log:       log,
		http1:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		http2:     &http.Client{Transport: &http.Transport{Protocols: unencrypted}},
		done:      make(chan struct{}),
		random:    random,
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/announce", h.handleAnnounce)
	m.HandleFunc("POST /v1/query/{service}/{operation}", h.handleQuery)
	m.HandleFunc("GET /livez", handleAlive)
	m.HandleFunc("GET /readyz", handleAlive)
	h.server = &http.Server{Handler: m, ReadHeaderTimeout: maximumTimeout}
	go h.run(l)
	return h, nil
}

func (h *host) run(l net.Listener) {
	defer close(h.done)
	if err := h.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		h.log.Error().Err(err).Msg("serving ended")
	}
}

func (h *host) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := h.server.Shutdown(ctx); err != nil {
		_ = h.server.Close()
	}
	<-h.done
	h.http1.CloseIdleConnections()
	h.http2.CloseIdleConnections()
}

func handleAlive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *host) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcer.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBody)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.scatterer.directory.record(a)
	w.WriteHeader(http.StatusNoContent)
}

func (h *host) handleQuery(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	milliseconds, err := strconv.ParseInt(r.Header.Get("Banyandock-Timeout-Ms"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := min(time.Duration(milliseconds)*time.Millisecond, maximumTimeout)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	q := &query{
		host:           h,
		id:             identifier.NewRequestID(),
		service:        identifier.ServiceName(r.PathValue("service")),
		operation:      identifier.OperationName(r.PathValue("operation")),
		idempotencyKey: r.Header.Get("Idempotency-Key"),
		deadline:       deadline,
		body:           body,
	}
	writeAnswer(w, q.execute(ctx))
}

func writeAnswer(w http.ResponseWriter, a merger.Answer) {
	w.Header().Set("Content-Type", "application/json")
	switch a.Outcome {
	case merger.OutcomeComplete, merger.OutcomePartial:
	case merger.OutcomeNotRun, merger.OutcomeFailed, merger.OutcomeInDoubt, merger.OutcomeNoAnswer:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A write error means that the caller has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(a)
}

// operation returns how the results of an operation are merged. The default for operations without
// settings is to keep the rows with the highest scores.
func (h *host) operation(name identifier.OperationName) settingsreader.Operation {
	for _, o := range h.scatterer.settings.Operations {
		if o.Name == name {
			return o
		}
	}
	return settingsreader.Operation{Name: name, RowLimit: defaultRowLimit}
}

// shuffle returns replicas in random order.
func (h *host) shuffle(replicas []announcer.Announcement) []announcer.Announcement {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	shuffled := make([]announcer.Announcement, len(replicas))
	for to, from := range h.random.Perm(len(replicas)) {
		shuffled[to] = replicas[from]
	}
	return shuffled
}

// client returns the client for the protocol that a server announced.
func (h *host) client(p encoder.ServerProtocol) *http.Client {
	if p == encoder.ProtocolHTTP1 {
		return h.http1
	}
	return h.http2
}
