// Package router implements the root of a query, the dock that receives it from the caller. It
// checks the contract, chooses one index version, scatters the query to the owners of the shards,
// bypasses owners that stall, gathers the replies and returns an outcome that reports whether the
// query may have run.
package router

import (
	"context"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/admitter"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/planner"
	"banyandock.example/banyandock/internal/quarantiner"
	"banyandock.example/banyandock/internal/timekeeper"
	"banyandock.example/banyandock/internal/tracer"
)

// Snapshot is the control state that one query works with. It is immutable.
type Snapshot struct {
	View      *encoder.View
	Placement *placer.Placement
	Plans     *planner.Plans
	// Manifest is nil until the dock has received a committed one.
	Manifest *manifestreader.Manifest
	// IsFresh reports whether the manifest is confirmed to be in force.
	IsFresh bool
	// ReadyDocks is the number of docks that share the contracts' rates.
	ReadyDocks int
}

// SnapshotProvider returns the newest control state.
type SnapshotProvider interface {
	Snapshot() Snapshot
}

// OwnerClient sends requests to the docks that own shards, including this dock. Errors wrap those
// of package linker.
type OwnerClient interface {
	// Query sends a batch of shards to an owner and returns its reply.
	Query(ctx context.Context, host encoder.Host, batch encoder.ShardBatch) (encoder.BatchReply, error)
	// Canary sends a canary to the dock that its fingerprint is assigned to.
	Canary(ctx context.Context, host encoder.Host, request encoder.CanaryRequest) (encoder.CanaryReply, error)
	// Probe requests an echo from a dock and returns nil if it answers.
	Probe(ctx context.Context, host encoder.Host) error
}

// Ledger records claims and outcomes of requests that must run at most once.
type Ledger interface {
	// Claim requests the exclusive right to dispatch a request. Only the outcome ClaimGranted
	// grants it. After an error nothing may be dispatched.
	Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error)
	// Settle records the outcome of a claim. If it returns an error, it continues in the
	// background.
	Settle(ctx context.Context, request encoder.SettleRequest) error
}

// Query is one request of a caller.
type Query struct {
	Request   identifier.RequestID
	Caller    identifier.CallerName
	Service   identifier.ServiceName
	Operation identifier.OperationName
	// Timeout is the caller's timeout. Zero means the contract's deadline.
	Timeout time.Duration
	// Key is the idempotency key, a version 7 UUID. It is required for requests that are not
	// idempotent.
	Key string
	// RoutingKey selects the shard of a request that is sent to one shard. If it is empty, Key
	// does.
	RoutingKey string
	Body       []byte
}

// Router answers queries. It is safe for concurrent use.
type Router struct {
	// Set at creation.
	clock           timekeeper.Clock
	self            identifier.HostName
	incarnation     identifier.Incarnation
	control         SnapshotProvider
	owners          OwnerClient
	ledger          Ledger
	admitter        *admitter.Admitter
	quarantine      *quarantiner.Quarantiner
	detector        *detector
	recentSuccesses *successCache
	// tasks counts the goroutines of queries: batches, canaries and probes.
	tasks       sync.WaitGroup
	events      *tracer.Tracer
	metricSet   metricSet
	observe     func(c manifestreader.Contract, o Outcome, elapsed time.Duration)
	onViolation func(name, detail string)
}

// Option configures a Router at its creation.
type Option func(*Router)

// WithClock replaces the system's clock.
func WithClock(c timekeeper.Clock) Option {
	return func(r *Router) { r.clock = c }
}

// WithTracer sets the tracer that records the events of requests.
func WithTracer(t *tracer.Tracer) Option {
	return func(r *Router) { r.events = t }
}

// WithRegistry sets the registry of the root's counters.
func WithRegistry(m *measurer.Registry) Option {
	return func(r *Router) { r.metricSet = newMetricSet(m) }
}

// WithObserver sets the function that is called with the outcome and latency of each admitted
// request.
func WithObserver(f func(c manifestreader.Contract, o Outcome, elapsed time.Duration)) Option {
	return func(r *Router) { r.observe = f }
}

// WithViolations sets the function that is called when an invariant is violated.
func WithViolations(f func(name, detail string)) Option {
	return func(r *Router) { r.onViolation = f }
}

// New returns a router for the dock of the given name and incarnation.
func New(self identifier.HostName, incarnation identifier.Incarnation, control SnapshotProvider, owners OwnerClient, ledger Ledger, quarantine *quarantiner.Quarantiner, options ...Option) *Router {
	r := &Router{
		clock:       timekeeper.System{},
		self:        self,
		incarnation: incarnation,
		control:     control,
		owners:      owners,
		ledger:      ledger,
		quarantine:  quarantine,
		metricSet:   newMetricSet(nil),
		observe:     func(manifestreader.Contract, Outcome, time.Duration) {},
		onViolation: func(string, string) {},
	}
	for _, o := range options {
		o(r)
	}
	r.admitter = admitter.New(r.clock)
	r.detector = newDetector(r.clock, owners, r.metricSet.stalls)
	r.recentSuccesses = newSuccessCache(r.clock)
	return r
}

// Close waits for probes and cancelled batches in progress and ends the probing of suspect docks.
// Route must not be called any more. The error is always nil.
func (r *Router) Close() error {
	r.tasks.Wait()
	r.detector.close()
	return nil
}

// Route answers a query. It returns by the deadline, or earlier if the contract's coverage can no
// longer be reached.
func (r *Router) Route(ctx context.Context, q Query) Outcome {
	snapshot := r.control.Snapshot()
	contract, refusal := r.checkContract(snapshot, q)
	if refusal != nil {
		return refusal
	}
	timeout := contract.Deadline
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	decision, retryAfter := r.admitter.Admit(contract, snapshot.ReadyDocks, timeout)
	if decision != admitter.Admitted {
		return refuse(codeOfDecision(decision), "the request was refused before it was dispatched", retryAfter)
	}
	defer r.admitter.Release(contract)
	if !contract.Idempotent {
		// If the caller disconnects, the request continues, because cancelling it would leave it
		// in doubt.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	run := &queryRun{
		router:      r,
		query:       q,
		contract:    contract,
		manifest:    snapshot.Manifest.Number,
		deadline:    r.clock.Now().Add(timeout),
		fingerprint: identifier.NewFingerprint(q.Service, q.Operation, q.Body),
	}
	start := r.clock.Now()
	r.events.Record(tracer.RequestReceived, q.Request, "admitted", tracer.F("service", q.Service), tracer.F("operation", q.Operation))
	var outcome Outcome
	if contract.Idempotent {
		outcome = run.runIdempotent(ctx)
	} else {
		outcome = run.runAtMostOnce(ctx)
	}
	r.events.Record(tracer.RequestAnswered, q.Request, describe(outcome))
	r.observe(contract, outcome, r.clock.Now().Sub(start))
	return outcome
}

// checkContract returns the contract of the query, or the outcome of a query that must be refused:
// no contract covers it, the manifest is missing or unconfirmed, or its idempotency key is missing.
func (r *Router) checkContract(s Snapshot, q Query) (manifestreader.Contract, Outcome) {
	var none manifestreader.Contract
	if s.Manifest == nil {
		return none, refuse(CodeNoManifest, "this dock has not learnt the manifest in force yet", controlRetryAfter)
	}
	contract, ok := s.Manifest.Contract(q.Caller, q.Service, q.Operation)
	if !ok {
		return none, refuse(CodeUndeclared, "no contract declares this operation for this caller", 0)
	}
	if !s.IsFresh && contract.WhenStale == manifestreader.StaleRefuse {
		return none, refuse(CodeManifestUnconfirmed, "this dock cannot confirm that its manifest is in force", controlRetryAfter)
	}
	if !contract.Idempotent && q.Key == "" {
		return none, refuse(CodeKeyMissing, "a request that is not idempotent needs an Idempotency-Key", 0)
	}
	return contract, nil
}

// codeOfDecision returns the code of a refusal by admission control.
func codeOfDecision(d admitter.Decision) Code {
	switch d {
	case admitter.RateLimited:
		return CodeRateLimited
	case admitter.ConcurrencyLimited:
		return CodeConcurrencyLimited
	default:
		return CodeOverloaded
	}
}
