package responder

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/cmd/standin/internal/rowmaker"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// maximumStreams is the maximum number of concurrent requests on one HTTP/2 connection.
	maximumStreams = 1000
	// readTimeout is the maximum time for reading one request.
	readTimeout = 30 * time.Second
	// maximumBody is the maximum size of a request body in bytes.
	maximumBody = 1 << 20
)

var (
	errCancelled = eris.New("the sender cancelled the subrequest")
	errDeadline  = eris.New("the sender's deadline passed")
)

// attemptKey identifies a subrequest at one server.
type attemptKey struct {
	request string
	attempt uint32
}

// subrequest is a parsed POST /v1/subrequest.
type subrequest struct {
	key            attemptKey
	idempotencyKey string
	timeout        time.Duration

	Service   identifier.ServiceName   `json:"service"`
	Operation identifier.OperationName `json:"operation"`
	Version   identifier.IndexVersion  `json:"version"`
	Shard     identifier.ShardNumber   `json:"shard"`
	Request   json.RawMessage          `json:"request"`
}

// reply is the body of the response to a successful subrequest.
type reply struct {
	Request string                  `json:"request"`
	Attempt uint32                  `json:"attempt"`
	Version identifier.IndexVersion `json:"version"`
	Shard   identifier.ShardNumber  `json:"shard"`
	Rows    []rowmaker.Row          `json:"rows"`
	Total   float64                 `json:"total"`
}

// refusal is the body of every other response.
type refusal struct {
	Code    string `json:"code"`
	Started bool   `json:"started"`
	status  int
}

func (i *incarnation) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/subrequest", i.handleSubrequest)
	m.HandleFunc("POST /v1/cancel", i.handleCancel)
	m.HandleFunc("GET /v1/health", i.handleHealth)
	m.HandleFunc("GET /v1/load", i.handleLoad)
	return m
}

func (i *incarnation) handleSubrequest(w http.ResponseWriter, r *http.Request) {
	i.server.counters.update(func(n *Counts) { n.Received++ })
	s, err := parseSubrequest(r)
	if err != nil {
		i.server.counters.update(func(n *Counts) { n.Malformed++ })
		writeJSON(w, http.StatusBadRequest, refusal{Code: "malformed"})
		return
	}
	ctx, cancel := i.track(r.Context(), s)
	defer cancel()
	answer, refused := i.process(ctx, s)
	if errors.Is(context.Cause(i.context), errCrashed) {
		panic(http.ErrAbortHandler)
	}
	// The response is also sent after a cancellation, because the sender still waits for the status
	// over HTTP/1.1.
	_ = wait(context.WithoutCancel(ctx), i.server.clock, i.server.settings.OneWayDelay)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	i.writeReply(w, answer)
}

// track derives a context that ends at the first of these events: the stream ends, the deadline
// passes, a cancel request arrives or the incarnation ends.
func (i *incarnation) track(parent context.Context, s *subrequest) (context.Context, context.CancelFunc) {
	timed, stopTimer := context.WithTimeoutCause(parent, s.timeout, errDeadline)
	ctx, cancel := context.WithCancelCause(timed)
	unregister := context.AfterFunc(i.context, func() { cancel(errCrashed) })
	i.mutex.Lock()
	i.running[s.key] = cancel
	i.mutex.Unlock()
	return ctx, func() {
		i.mutex.Lock()
		delete(i.running, s.key)
		i.mutex.Unlock()
		unregister()
		cancel(nil)
		stopTimer()
	}
}

// process applies the network delay and the checks, waits for a slot and executes the subrequest.
func (i *incarnation) process(ctx context.Context, s *subrequest) (reply, *refusal) {
	if err := wait(ctx, i.server.clock, i.server.settings.OneWayDelay); err != nil {
		return reply{}, i.countUnfinished(err, false)
	}
	if refused := i.checkSubrequest(s); refused != nil {
		return reply{}, refused
	}
	if err := i.slots.acquire(ctx); err != nil {
		return reply{}, i.countUnfinished(err, false)
	}
	err := i.execute(ctx, s)
	i.slots.release()
	if err != nil {
		return reply{}, i.countUnfinished(err, true)
	}
	i.server.counters.update(func(n *Counts) { n.Completed++ })
	result := rowmaker.Make(s.Version, s.Shard, s.Request, i.server.settings.Rows)
	return reply{
		Request: s.key.request,
		Attempt: s.key.attempt,
		Version: s.Version,
		Shard:   s.Shard,
		Rows:    result.Rows,
		Total:   result.Total,
	}, nil
}

func (i *incarnation) checkSubrequest(s *subrequest) *refusal {
	draining, graceOver := i.server.drainStatus()
	if draining {
		i.server.counters.update(func(n *Counts) {
			n.RefusedDraining++
			if graceOver {
				n.LateAfterDrain++
			}
		})
		return &refusal{Code: "draining", status: http.StatusServiceUnavailable}
	}
	if s.Service != i.server.settings.Name || !i.server.hasShard(s.Version, s.Shard) {
		i.server.counters.update(func(n *Counts) { n.VersionGone++ })
		return &refusal{Code: "version_gone", status: http.StatusConflict}
	}
	return nil
}

// execute runs the subrequest for its service time. The caller must hold a slot.
func (i *incarnation) execute(ctx context.Context, s *subrequest) error {
	i.server.counters.update(func(n *Counts) { n.Started++ })
	i.server.executions.record(s)
	slowdown := i.server.Faults().slowdown()
	if i.isCold() {
		slowdown *= i.server.settings.ColdFactor
	}
	duration := i.server.sampler.drawServiceTime(slowdown)
	hasCrashMarker := i.hasCrashMarker(s)
	if hasCrashMarker {
		duration /= 2
	}
	startedAt := i.server.clock.Now()
	err := wait(ctx, i.server.clock, duration)
	busy := i.server.clock.Now().Sub(startedAt)
	i.server.counters.update(func(n *Counts) { n.BusyNanoseconds += uint64(busy) })
	if err == nil && hasCrashMarker {
		i.server.executions.recordCrash(s)
		i.crash()
		return errCrashed
	}
	return err
}

func (i *incarnation) hasCrashMarker(s *subrequest) bool {
	marker := i.server.settings.CrashMarker
	return marker != "" && strings.Contains(string(s.Request), marker)
}

// countUnfinished counts a subrequest that was not completed and returns its refusal.
func (i *incarnation) countUnfinished(err error, started bool) *refusal {
	switch {
	case errors.Is(err, errShed):
		i.server.counters.update(func(n *Counts) { n.Shed++ })
		return &refusal{Code: "overloaded", status: http.StatusServiceUnavailable}
	case errors.Is(err, errDeadline):
		i.server.counters.update(func(n *Counts) { countEither(started, &n.DeadlineRunning, &n.DeadlineWaiting) })
		return &refusal{Code: "deadline", Started: started, status: http.StatusGatewayTimeout}
	}
	i.server.counters.update(func(n *Counts) { countEither(started, &n.CancelledRunning, &n.CancelledWaiting) })
	return &refusal{Code: "cancelled", Started: started, status: statusCancelled}
}

func countEither(started bool, ifStarted, ifNot *uint64) {
	if started {
		*ifStarted++
		return
	}
	*ifNot++
}

func parseSubrequest(r *http.Request) (*subrequest, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maximumBody))
	if err != nil {
		return nil, err
	}
	s := &subrequest{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, err
	}
	attempt, err := strconv.ParseUint(r.Header.Get("Banyandock-Attempt"), 10, 32)
	if err != nil {
		return nil, err
	}
	timeout, err := strconv.ParseInt(r.Header.Get("Banyandock-Timeout-Ms"), 10, 64)
	if err != nil {
		return nil, err
	}
	s.key = attemptKey{request: r.Header.Get("Banyandock-Request"), attempt: uint32(attempt)}
	s.idempotencyKey = r.Header.Get("Idempotency-Key")
	s.timeout = time.Duration(timeout) * time.Millisecond
	return s, nil
}
