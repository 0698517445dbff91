package manifestreader

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"time"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tomlreader"
)

const (
	// MaxBytes limits the size of a manifest's text.
	MaxBytes = 4 << 20
	// maxContracts limits the number of contracts of a manifest.
	maxContracts = 10_000
	// maxRows limits row_limit.
	maxRows = 10_000
	// maxDeadline limits deadline.
	maxDeadline = time.Minute
	// minRate is the smallest rate_per_second, which is one request per hour.
	minRate = 1.0 / 3600
	// maxRate limits rate_per_second.
	maxRate = 10_000_000
	// maxConcurrency limits concurrency.
	maxConcurrency = 1_000_000
)

// Problem is one error in a manifest's text.
type Problem = tomlreader.Problem

// Problems is the error that Parse returns. It lists all problems in the order of their lines.
type Problems = tomlreader.Problems

// Parse parses a manifest from TOML. The error is of type Problems.
func Parse(text []byte) (*Manifest, error) {
	d := tomlreader.Read(text, MaxBytes)
	m := &Manifest{
		Number: uint64(tomlreader.Required(d.Root, "number", tomlreader.Integer(1, math.MaxInt64))),
		Digest: Digest(text),
	}
	tables := d.Root.Tables("contract")
	if len(tables) > maxContracts {
		d.Report(tables[maxContracts].Line, "contract", "is beyond the limit of %d contracts", maxContracts)
		tables = tables[:maxContracts]
	}
	for _, t := range tables {
		m.Contracts = append(m.Contracts, readContract(t))
	}
	checkContracts(tables, m.Contracts)
	if err := d.Finish(); err != nil {
		return nil, err
	}
	m.buildIndex()
	return m, nil
}

// Number parses a manifest and returns its number. The error is of type Problems.
func Number(text []byte) (uint64, error) {
	m, err := Parse(text)
	if err != nil {
		return 0, err
	}
	return m.Number, nil
}

// Digest returns the SHA-256 of a manifest's text in lower-case hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// readContract reads one contract and validates each key independently of the others.
func readContract(t *tomlreader.Table) Contract {
	return Contract{
		Caller:          tomlreader.Required(t, "caller", tomlreader.Name[identifier.CallerName]),
		Service:         tomlreader.Required(t, "service", tomlreader.Name[identifier.ServiceName]),
		Operation:       tomlreader.Required(t, "operation", tomlreader.Name[identifier.OperationName]),
		Urgency:         tomlreader.Required(t, "urgency", tomlreader.OneOf(UrgencyValues())),
		Idempotent:      tomlreader.Required(t, "idempotent", tomlreader.Flag),
		Scope:           tomlreader.Optional(t, "scope", ScopeAll, tomlreader.OneOf(ScopeValues())),
		Merge:           tomlreader.Required(t, "merge", tomlreader.OneOf(MergeRuleValues())),
		RowLimit:        int(tomlreader.Optional(t, "row_limit", 0, tomlreader.Integer(1, maxRows))),
		Deadline:        tomlreader.Required(t, "deadline", tomlreader.Duration(time.Millisecond, maxDeadline)),
		RatePerSecond:   tomlreader.Required(t, "rate_per_second", tomlreader.Number(minRate, maxRate)),
		Concurrency:     int(tomlreader.Required(t, "concurrency", tomlreader.Integer(1, maxConcurrency))),
		MinimumCoverage: tomlreader.Required(t, "minimum_coverage", tomlreader.Number(0, 1)),
		WhenStale:       tomlreader.Optional(t, "when_stale", StaleRefuse, tomlreader.OneOf(StalePolicyValues())),
		Canary:          tomlreader.Optional(t, "canary", CanaryAlways, tomlreader.OneOf(CanaryPolicyValues())),
	}
}
