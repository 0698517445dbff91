package manifestreader

import "banyandock.example/banyandock/internal/tomlreader"

// checkContracts reports contracts whose keys contradict each other or another contract.
func checkContracts(tables []*tomlreader.Table, contracts []Contract) {
	firstLine := map[contractKey]int{}
	// operations holds the index of the first contract of each operation of a service.
	operations := map[operationKey]int{}
	for i, t := range tables {
		c := contracts[i]
		checkRowLimit(t, c)
		checkAtMostOnce(t, c)
		if t.HasValid("caller", "service", "operation") {
			if line, exists := firstLine[c.key()]; exists {
				t.Report("caller", "%s, %s, %s: the contract on line %d has the same caller, service and operation",
					c.Caller, c.Service, c.Operation, line)
			} else {
				firstLine[c.key()] = t.Line
			}
		}
		if !t.HasValid("service", "operation", "idempotent") {
			continue
		}
		o := operationKey{service: c.Service, operation: c.Operation}
		first, exists := operations[o]
		if !exists {
			operations[o] = i
			continue
		}
		if contracts[first].Idempotent != c.Idempotent {
			t.Report("idempotent", "differs from the contract on line %d for the same operation", tables[first].Line)
		}
	}
}

// checkRowLimit reports a missing row_limit if merge is "top_k", and a row_limit with any other
// merge rule.
func checkRowLimit(t *tomlreader.Table, c Contract) {
	if !t.HasValid("merge") {
		return
	}
	if c.Merge == MergeTopK && !t.Has("row_limit") {
		t.Report("merge", `"top_k" needs row_limit`)
	}
	if c.Merge != MergeTopK && t.Has("row_limit") {
		t.Report("row_limit", `applies only to merge = "top_k"`)
	}
}

// checkAtMostOnce checks the contract of an operation that is not idempotent. Such a request must
// run on a single shard, because a failure on one of several shards could leave it partly done and
// it must not be retried.
func checkAtMostOnce(t *tomlreader.Table, c Contract) {
	if !t.HasValid("idempotent") || c.Idempotent {
		return
	}
	if c.Scope != ScopeOne {
		t.Report("idempotent", `false needs scope = "one"`)
	}
	if t.HasValid("minimum_coverage") && c.MinimumCoverage != 1 {
		t.Report("minimum_coverage", "must be 1 where idempotent is false")
	}
	// A stale dock cannot reach the majority of keepers that has to grant the claim.
	if t.HasValid("when_stale") && c.WhenStale != StaleRefuse {
		t.Report("when_stale", `must be "refuse" where idempotent is false`)
	}
}
