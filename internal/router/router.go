// Package router is the root's part of a query: it checks the contract, plans on one index
// version, scatters to the owners of the shards, bypasses owners that stall, gathers the
// replies and states the outcome truthfully.
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
	// Manifest is nil until the dock has learnt a committed one.
	Manifest *manifestreader.Manifest
	// IsFresh tells whether the manifest is confirmed to be the one in force.
	IsFresh bool
	// ReadyDocks is the number of docks that share the contracts' rates.
	ReadyDocks int
}

// Control provides the newest control state.
type Control interface {
	Snapshot() Snapshot
}

// Owners reaches the docks that own shards, this dock included. Errors wrap the linker's.
type Owners interface {
	// Query asks an owner for a batch of shards.
	Query(ctx context.Context, host encoder.Host, batch encoder.ShardBatch) (encoder.BatchReply, error)
	// Canary asks the owner of a fingerprint to run its canary.
	Canary(ctx context.Context, host encoder.Host, request encoder.CanaryRequest) (encoder.CanaryReply, error)
	// Probe returns nil if the dock answers at all.
	Probe(ctx context.Context, host encoder.Host) error
}

// Ledger claims requests that run at most once.
type Ledger interface {
	// Claim asks for the sole right to dispatch a request. Only the outcome ClaimGranted
	// permits it; after an error nothing may be dispatched.
	Claim(ctx context.Context, request encoder.ClaimRequest) (encoder.ClaimReply, error)
	// Settle records an outcome. After an error it goes on in the background.
	Settle(ctx context.Context, request encoder.SettleRequest) error
}

// Query is one request of a caller.
type Query struct {
	Request   identifier.RequestID
	Caller    identifier.CallerName
	Service   identifier.ServiceName
	Operation identifier.OperationName
	// Timeout is the time that the caller gives. Zero means the contract's deadline.
	Timeout time.Duration
	// Key is the idempotency key, a version 7 UUID. It is required for what is not
	// idempotent.
	Key string
	// RoutingKey selects the shard of a request that goes to one shard.
	RoutingKey string
	Body       []byte
}

// Router is safe for concurrent use.
type Router struct {
	// Set at creation.
	clock       timekeeper.Clock
	self        identifier.HostName
	incarnation identifier.Incarnation
	control     Control
	owners      Owners
	ledger      Ledger
	admitter    *admitter.Admitter
	quarantine  *quarantiner.Quarantiner
	detector    *detector
	cleared     *clearedSet
	// tasks counts the goroutines of queries: batches and probes.
	tasks       sync.WaitGroup
	events      *tracer.Tracer
	meters      meters
	observe     func(c manifestreader.Contract, o Outcome, elapsed time.Duration)
	onViolation func(name, detail string)
}

// Option changes a Router at its creation.
type Option func(*Router)

// WithClock replaces the system's clock.
func WithClock(c timekeeper.Clock) Option {
	return func(r *Router) { r.clock = c }
}

// WithTracer records what happens to requests for the time line.
func WithTracer(t *tracer.Tracer) Option {
	return func(r *Router) { r.events = t }
}

// WithRegistry counts the root's decisions.
func WithRegistry(m *measurer.Registry) Option {
	return func(r *Router) { r.meters = newMeters(m) }
}

// WithObserver receives each admitted request's outcome and latency.
func WithObserver(f func(c manifestreader.Contract, o Outcome, elapsed time.Duration)) Option {
	return func(r *Router) { r.observe = f }
}

// WithViolations receives broken invariants.
func WithViolations(f func(name, detail string)) Option {
	return func(r *Router) { r.onViolation = f }
}

// New returns a router for the dock of the given name and incarnation.
func New(self identifier.HostName, incarnation identifier.Incarnation, control Control, owners Owners, ledger Ledger, quarantine *quarantiner.Quarantiner, options ...Option) *Router {
	r := &Router{
		clock:       timekeeper.System{},
		self:        self,
		incarnation: incarnation,
		control:     control,
		owners:      owners,
		ledger:      ledger,
		quarantine:  quarantine,
		meters:      newMeters(nil),
		observe:     func(manifestreader.Contract, Outcome, time.Duration) {},
		onViolation: func(string, string) {},
	}
	for _, o := range options {
		o(r)
	}
	r.admitter = admitter.New(r.clock)
	r.detector = newDetector(r.clock, owners, r.meters.stalls)
	r.cleared = newClearedSet(r.clock)
	return r
}

// Close waits for probes and cancelled batches in progress. No query may be
// routed any more.
func (r *Router) Close() error {
	r.tasks.Wait()
	r.detector.close()
	return nil
}

// Route answers a query. It returns at the deadline at the latest, and at once when the
// query is given up.
func (r *Router) Route(ctx context.Context, q Query) Outcome {
	snapshot := r.control.Snapshot()
	contract, refusal := r.check(snapshot, q)
	if refusal != nil {
		return refusal
	}
	timeout := contract.Deadline
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	verdict, retryAfter := r.admitter.Admit(contract, snapshot.ReadyDocks, timeout)
	if verdict != admitter.Admitted {
		return refuse(codeOfVerdict(verdict), "the request was refused before it was dispatched", retryAfter)
	}
	defer r.admitter.Release(contract)
	if !contract.Idempotent {
		// A caller that hangs up must not turn a request that is running into one in doubt.
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
		outcome = run.run(ctx)
	} else {
		outcome = run.runOnce(ctx)
	}
	r.events.Record(tracer.RequestAnswered, q.Request, describe(outcome))
	r.observe(contract, outcome, r.clock.Now().Sub(start))
	return outcome
}

// check refuses what no contract in force covers.
func (r *Router) check(s Snapshot, q Query) (manifestreader.Contract, Outcome) {
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

// codeOfVerdict maps a refusal by admission.
func codeOfVerdict(v admitter.Decision) Code {
	switch v {
	case admitter.RateLimited:
		return CodeRateLimited
	case admitter.ConcurrencyLimited:
		return CodeConcurrencyLimited
	default:
		return CodeOverloaded
	}
}
