package differ

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/manifestreader"
)

// lookup is the contract that the tests change.
var lookup = manifestreader.Contract{
	Caller: "press-hall", Service: "pressroom_desk", Operation: "lookup",
	Urgency: manifestreader.Urgent, Idempotent: true, Merge: manifestreader.MergeTopK, RowLimit: 20,
	Deadline: 250 * time.Millisecond, RatePerSecond: 50, Concurrency: 8, MinimumCoverage: 0.95,
}

// expectTerm changes one term of the lookup contract and checks how the change is described. The
// reverse change must have another direction, unless the direction is Different.
func expectTerm(t *testing.T, alter func(c *manifestreader.Contract), want string) {
	t.Helper()
	altered := lookup
	alter(&altered)
	r := Compare(manifestreader.New(1, "a", lookup), manifestreader.New(2, "b", altered))
	assert.Equal(t, len(r.Changes), 1)
	lines := strings.Split(describe(r.Changes[0]), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, strings.TrimSpace(lines[1]), want)
	reverse := Compare(manifestreader.New(2, "b", altered), manifestreader.New(3, "c", lookup))
	forward, backward := r.Changes[0].(Altered).Terms[0], reverse.Changes[0].(Altered).Terms[0]
	assert.Assert(t, forward.Direction == Different || forward.Direction != backward.Direction, "%v %v", forward, backward)
}

func TestEachChangedTermIsDescribed(t *testing.T) {
	expectTerm(t, func(c *manifestreader.Contract) { c.Urgency = manifestreader.Routine },
		"urgency: urgent -> routine (tighter): requests wait behind all urgent ones")
	expectTerm(t, func(c *manifestreader.Contract) { c.Idempotent = false },
		"idempotent: true -> false (different): each request needs an Idempotency-Key and runs at most once, without hedges and retries")
	expectTerm(t, func(c *manifestreader.Contract) { c.Scope = manifestreader.ScopeOne },
		"scope: all -> one (different): requests go to other shards than before")
	expectTerm(t, func(c *manifestreader.Contract) { c.Merge = manifestreader.MergeSum },
		"merge: top_k -> sum (different): answers are put together in another way")
	expectTerm(t, func(c *manifestreader.Contract) { c.RowLimit = 10 },
		"row_limit: 20 -> 10 (tighter): answers hold fewer rows")
	expectTerm(t, func(c *manifestreader.Contract) { c.Deadline = time.Second },
		"deadline: 250ms -> 1s (looser): answers may take longer before they are given up")
	expectTerm(t, func(c *manifestreader.Contract) { c.RatePerSecond = 0.5 },
		"rate_per_second: 50 -> 0.5 (tighter): fewer requests are admitted; the rest is refused as not run")
	expectTerm(t, func(c *manifestreader.Contract) { c.Concurrency = 9 },
		"concurrency: 8 -> 9 (looser): more requests may be in flight at each dock")
	expectTerm(t, func(c *manifestreader.Contract) { c.MinimumCoverage = 1 },
		"minimum_coverage: 0.95 -> 1 (tighter): answers that cover less of the data become errors")
	expectTerm(t, func(c *manifestreader.Contract) { c.WhenStale = manifestreader.StaleServe },
		"when_stale: refuse -> serve (looser): docks that are cut off go on answering by the last manifest that they know")
	expectTerm(t, func(c *manifestreader.Contract) { c.Canary = manifestreader.CanaryNever },
		"canary: always -> never (looser): unknown requests reach all shards at once, also one that crashes servers")
}

func TestReportListsChangesAndRates(t *testing.T) {
	archive, reorder := lookup, lookup
	archive.Caller, archive.Service = "office", "archive_tickets"
	reorder.Operation, reorder.Idempotent, reorder.Scope = "reorder", false, manifestreader.ScopeOne
	faster := lookup
	faster.RatePerSecond = 60
	r := Compare(manifestreader.New(4, "a", lookup, archive), manifestreader.New(5, "b", faster, reorder))
	want := `manifest 4 -> 5
callers touched:  office, press-hall
services touched: archive_tickets, pressroom_desk
contracts: 1 added, 1 removed, 1 altered, 0 unchanged

- office asks archive_tickets for lookup
    removed: such requests are refused as undeclared, not run

~ press-hall asks pressroom_desk for lookup
    rate_per_second: 50 -> 60 (looser): more requests are admitted

+ press-hall asks pressroom_desk for reorder
    new: urgent, at most once, within 250ms, up to 50/s and 8 in flight at each dock, covering at least 0.95 of the data

requests a second that all contracts together admit:
  archive_tickets: 50 -> 0
  pressroom_desk: 50 -> 110
`
	assert.Equal(t, r.String(), want)
}

func TestReportWarnsOfNumbersThatKeepersRefuse(t *testing.T) {
	old := manifestreader.New(4, "a", lookup)
	assert.Assert(t, strings.Contains(Compare(old, old).String(), "submitting again is safe"))
	assert.Assert(t, strings.Contains(Compare(old, manifestreader.New(4, "b", lookup)).String(), "WARNING: the numbers are equal"))
	assert.Assert(t, strings.Contains(Compare(old, manifestreader.New(3, "b", lookup)).String(), "WARNING: the new number is lower"))
	assert.Equal(t, Compare(old, manifestreader.New(5, "b", lookup)).String(), "manifest 4 -> 5\nno caller and no service is touched\n")
}
