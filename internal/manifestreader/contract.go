package manifestreader

import (
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// Urgency selects the queue in which a request waits.
type Urgency uint8

// Urgencies in order of precedence.
const (
	// Urgent requests are dispatched before all routine ones.
	Urgent Urgency = iota
	// Routine requests are dispatched after all urgent ones.
	Routine
)

// MergeRule defines how the results of several shards are merged into one result.
type MergeRule uint8

// Merge rules.
const (
	// MergeTopK keeps the rows with the highest scores.
	MergeTopK MergeRule = iota
	// MergeConcatenate appends rows in order of the shard numbers.
	MergeConcatenate
	// MergeSum adds up the totals.
	MergeSum
)

// Scope selects the shards to which a request is sent.
type Scope uint8

// Scopes.
const (
	// ScopeAll sends the request to every shard of the index version.
	ScopeAll Scope = iota
	// ScopeOne sends the request to the shard that its routing key selects.
	ScopeOne
)

// StalePolicy defines what a dock does with requests while it cannot confirm that its manifest is
// in force.
type StalePolicy uint8

// Stale policies.
const (
	// StaleRefuse refuses requests as not run.
	StaleRefuse StalePolicy = iota
	// StaleServe answers requests and names the applied manifest in the answer.
	StaleServe
)

// CanaryPolicy defines whether a request that has not succeeded recently runs on one shard before
// it runs on all shards.
type CanaryPolicy uint8

// Canary policies.
const (
	// CanaryAlways first sends a request that has not succeeded recently to one shard.
	CanaryAlways CanaryPolicy = iota
	// CanaryNever sends every request to all shards at the same time.
	CanaryNever
)

// Contract declares an operation of a service that a caller may use, and its limits.
type Contract struct {
	Caller    identifier.CallerName
	Service   identifier.ServiceName
	Operation identifier.OperationName

	Urgency    Urgency
	Idempotent bool
	Scope      Scope
	Merge      MergeRule
	// RowLimit is the maximum number of rows in a top-k answer. It is 0 for other merge rules.
	RowLimit int

	// Deadline is the maximum time from a request to its answer.
	Deadline time.Duration
	// RatePerSecond is the number of requests per second that all docks together admit.
	RatePerSecond float64
	// Concurrency is the maximum number of in-flight requests at one dock.
	Concurrency int
	// MinimumCoverage is the share of shards, from 0 to 1, that an answer must cover. An answer that
	// covers less is an error.
	MinimumCoverage float64
	WhenStale       StalePolicy
	Canary          CanaryPolicy
}

// Manifest is the configuration of a deployment, produced by the operators' pipeline.
type Manifest struct {
	// Number orders manifests. An accepted manifest is never replaced by one with a lower number.
	Number uint64
	// Digest is the SHA-256 of the manifest's text, in lower-case hexadecimal.
	Digest    string
	Contracts []Contract

	// index maps each contract's key to its position in Contracts. Parse and New build it. It is nil
	// in other manifests.
	index map[contractKey]int
}

// contractKey identifies a contract.
type contractKey struct {
	caller    identifier.CallerName
	service   identifier.ServiceName
	operation identifier.OperationName
}

// operationKey identifies an operation for all callers.
type operationKey struct {
	service   identifier.ServiceName
	operation identifier.OperationName
}

// key returns the contract's key in the index.
func (c Contract) key() contractKey {
	return contractKey{caller: c.Caller, service: c.Service, operation: c.Operation}
}

// New returns a manifest with the given contracts without parsing a text.
func New(number uint64, digest string, contracts ...Contract) *Manifest {
	m := &Manifest{Number: number, Digest: digest, Contracts: contracts}
	m.buildIndex()
	return m
}

// Contract returns the contract for a caller's use of an operation, and whether there is one. It
// searches linearly if the manifest has no index.
func (m *Manifest) Contract(caller identifier.CallerName, service identifier.ServiceName, operation identifier.OperationName) (Contract, bool) {
	key := contractKey{caller: caller, service: service, operation: operation}
	if m.index != nil {
		i, exists := m.index[key]
		if !exists {
			return Contract{}, false
		}
		return m.Contracts[i], true
	}
	for _, c := range m.Contracts {
		if c.key() == key {
			return c, true
		}
	}
	return Contract{}, false
}

// buildIndex builds the index, so that Contract needs no linear search.
func (m *Manifest) buildIndex() {
	m.index = make(map[contractKey]int, len(m.Contracts))
	for i, c := range m.Contracts {
		m.index[c.key()] = i
	}
}
