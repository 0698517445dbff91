package differ

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"banyandock.example/banyandock/internal/manifestreader"
)

// Direction classifies what a changed term means for the caller.
type Direction uint8

//go:generate ../../bin/enumer -type Direction -transform snake -output direction_enumer.go

// Directions.
const (
	// Looser terms allow the caller more requests, or answers in more cases.
	Looser Direction = iota
	// Tighter terms allow the caller fewer requests, or answers in fewer cases.
	Tighter
	// Different terms change the content of answers or how requests are run.
	Different
)

// Term is one key of a contract that changes.
type Term struct {
	Key       string
	Old       string
	New       string
	Direction Direction
	// Effect describes what the caller will notice.
	Effect string
}

// compareTerms returns the keys that differ between two contracts.
func compareTerms(old, new manifestreader.Contract) []Term {
	var terms []Term
	add := func(t Term) {
		if t.Old != t.New {
			terms = append(terms, t)
		}
	}
	add(compareUrgency(old, new))
	add(compareIdempotent(old, new))
	add(Term{
		Key: "scope", Old: old.Scope.String(), New: new.Scope.String(), Direction: Different,
		Effect: "requests go to other shards than before",
	})
	add(Term{
		Key: "merge", Old: old.Merge.String(), New: new.Merge.String(), Direction: Different,
		Effect: "answers are put together in another way",
	})
	add(compareLimit("row_limit", old.RowLimit, new.RowLimit, strconv.Itoa,
		"answers may hold more rows", "answers hold fewer rows"))
	add(compareLimit("deadline", old.Deadline, new.Deadline, time.Duration.String,
		"answers may take longer before they are given up", "slow answers are given up earlier"))
	add(compareLimit("rate_per_second", old.RatePerSecond, new.RatePerSecond, formatNumber,
		"more requests are admitted", "fewer requests are admitted; the rest is refused as not run"))
	add(compareLimit("concurrency", old.Concurrency, new.Concurrency, strconv.Itoa,
		"more requests may be in flight at each dock", "fewer requests may be in flight at each dock"))
	add(compareLimit("minimum_coverage", -old.MinimumCoverage, -new.MinimumCoverage, func(c float64) string { return formatNumber(-c) },
		"answers that cover less of the data are given out", "answers that cover less of the data become errors"))
	add(compareStale(old, new))
	add(compareCanary(old, new))
	return terms
}

// compareLimit compares a limit whose larger value is looser.
func compareLimit[V cmp.Ordered](key string, old, new V, format func(V) string, looser, tighter string) Term {
	t := Term{Key: key, Old: format(old), New: format(new), Direction: Looser, Effect: looser}
	if new < old {
		t.Direction, t.Effect = Tighter, tighter
	}
	return t
}

// formatNumber renders a number with as few digits as represent it exactly.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// compareUrgency compares the queues in which requests wait.
func compareUrgency(old, new manifestreader.Contract) Term {
	t := Term{Key: "urgency", Old: old.Urgency.String(), New: new.Urgency.String()}
	if new.Urgency == manifestreader.Urgent {
		t.Direction, t.Effect = Looser, "requests no longer wait behind urgent ones; routine callers of the service wait behind them"
	} else {
		t.Direction, t.Effect = Tighter, "requests wait behind all urgent ones"
	}
	return t
}

// compareIdempotent compares whether requests may be run more than once.
func compareIdempotent(old, new manifestreader.Contract) Term {
	t := Term{Key: "idempotent", Old: fmt.Sprint(old.Idempotent), New: fmt.Sprint(new.Idempotent), Direction: Different}
	if new.Idempotent {
		t.Effect = "DANGER: requests may run more than once from now on"
	} else {
		t.Effect = "each request needs an Idempotency-Key and runs at most once, without hedges and retries"
	}
	return t
}

// compareStale compares what a dock does with requests while it is disconnected from the keepers.
func compareStale(old, new manifestreader.Contract) Term {
	t := Term{Key: "when_stale", Old: old.WhenStale.String(), New: new.WhenStale.String()}
	if new.WhenStale == manifestreader.StaleServe {
		t.Direction, t.Effect = Looser, "docks that are cut off go on answering by the last manifest that they know"
	} else {
		t.Direction, t.Effect = Tighter, "docks that are cut off refuse requests as not run"
	}
	return t
}

// compareCanary compares whether a request that has not succeeded recently first runs on one shard.
func compareCanary(old, new manifestreader.Contract) Term {
	t := Term{Key: "canary", Old: old.Canary.String(), New: new.Canary.String()}
	if new.Canary == manifestreader.CanaryNever {
		t.Direction, t.Effect = Looser, "unknown requests reach all shards at once, also one that crashes servers"
	} else {
		t.Direction, t.Effect = Tighter, "unknown requests run on one shard first and so take longer"
	}
	return t
}
