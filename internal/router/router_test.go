package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
	"banyandock.example/banyandock/internal/planner"
	"banyandock.example/banyandock/internal/quarantiner"
	"banyandock.example/banyandock/internal/seeder"
	"banyandock.example/banyandock/internal/timekeeper"
)

func init() {
	seeder.Fix()
}

// fixedControl is a SnapshotProvider whose snapshot a test sets.
type fixedControl struct{ snapshot Snapshot }

func (c *fixedControl) Snapshot() Snapshot { return c.snapshot }

// makeControl builds a view of docks and of servers for the given versions.
func makeControl(docks, shards int, versions ...identifier.IndexVersion) *fixedControl {
	v := &encoder.View{Epoch: identifier.NewEpoch(1, 1)}
	for i := range docks {
		v.Hosts = append(v.Hosts, encoder.Host{
			Name:   identifier.HostName(fmt.Sprintf("dock_%d", i)),
			Domain: identifier.DomainName(fmt.Sprintf("domain_%d", i%3)),
			State:  encoder.HostReady,
		})
	}
	for n := range shards {
		s := encoder.Server{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(n)}), uint16(n>>8)+1), Service: "plates", State: encoder.ServerReady, Slots: 2}
		for _, version := range versions {
			s.Holdings = append(s.Holdings, encoder.Holding{Version: version, Shard: identifier.ShardNumber(n), ShardCount: uint32(shards)})
		}
		v.Servers = append(v.Servers, s)
	}
	contracts := []manifestreader.Contract{
		makeContract("lookup", true, 1), makeContract("browse", true, 0.5), makeContract("reorder", false, 1),
	}
	return &fixedControl{Snapshot{
		View: v, Placement: placer.Place(v), Plans: planner.NewPlans(v), IsFresh: true, ReadyDocks: docks,
		Manifest: &manifestreader.Manifest{Number: 5, Contracts: contracts},
	}}
}

func makeContract(operation identifier.OperationName, isIdempotent bool, coverage float64) manifestreader.Contract {
	c := manifestreader.Contract{
		Caller: "desk", Service: "plates", Operation: operation, Idempotent: isIdempotent,
		Merge: manifestreader.MergeConcatenate, Deadline: 300 * time.Millisecond, RatePerSecond: 1e6, Concurrency: 1000,
		MinimumCoverage: coverage, Canary: manifestreader.CanaryNever,
	}
	if !isIdempotent {
		c.Scope = manifestreader.ScopeOne
	}
	return c
}

// fakeOwners answers batches according to its script and counts the runs of each shard.
type fakeOwners struct {
	script func(host encoder.Host, b encoder.ShardBatch) behaviour

	mutex        sync.Mutex
	ran          map[identifier.ShardNumber]int
	batches      int
	unresponsive map[identifier.HostName]bool
	// successor is the owner in refusals of docks that do not own a shard.
	successor *encoder.Host
}

// behaviour is how a fake owner processes a batch.
type behaviour struct {
	delay time.Duration
	// fault is "", "not_sent", "lost_before", "lost_after", "stall", "version", "shed",
	// "crash", "moved", "unknown", "foreign", "truncated" or "half". With "half" all shards of the
	// batch but the first lack the version.
	fault string
}

func (f *fakeOwners) Query(ctx context.Context, host encoder.Host, b encoder.ShardBatch) (encoder.BatchReply, error) {
	f.mutex.Lock()
	f.batches++
	behave := f.script(host, b)
	f.mutex.Unlock()
	switch behave.fault {
	case "not_sent":
		return encoder.BatchReply{}, linker.ErrNotSent
	case "lost_before":
		return encoder.BatchReply{}, linker.ErrLost
	case "stall":
		<-ctx.Done()
		return encoder.BatchReply{}, ctx.Err()
	}
	select {
	case <-time.After(min(behave.delay, b.Timeout)):
	case <-ctx.Done():
		return encoder.BatchReply{}, ctx.Err()
	}
	reply := encoder.BatchReply{Request: b.Request, Attempt: b.Attempt, Version: b.Version}
	reason, ran := map[string]encoder.MissingReason{
		"version": encoder.MissingVersion, "shed": encoder.MissingOverload, "crash": encoder.MissingCrash, "moved": encoder.MissingOwner, "unknown": encoder.MissingNoReplica,
	}[behave.fault], behave.fault == "crash"
	switch behave.fault {
	case "version", "shed", "crash", "moved", "unknown":
		for _, n := range b.Shards {
			f.countRun(n, ran)
			reply.Missing = append(reply.Missing, encoder.MissingShard{Shard: n, Reason: reason, Started: ran, Owner: f.successor})
		}
		return reply, nil
	}
	for _, n := range b.Shards {
		f.countRun(n, true)
		reply.Covered = append(reply.Covered, n)
		reply.Totals = append(reply.Totals, 1)
		reply.Rows = append(reply.Rows, encoder.Row{Shard: n, Value: fmt.Appendf(nil, "%s/%d/%d", b.Body, b.Version, n)})
	}
	switch behave.fault {
	case "half":
		for _, n := range reply.Covered[1:] {
			reply.Missing = append(reply.Missing, encoder.MissingShard{Shard: n, Reason: encoder.MissingVersion})
		}
		reply.Covered, reply.Totals, reply.Rows = reply.Covered[:1], reply.Totals[:1], reply.Rows[:1]
	case "lost_after":
		return encoder.BatchReply{}, linker.ErrLost
	case "foreign":
		reply.Request = identifier.RequestID{1}
	case "truncated":
		reply.Covered = reply.Covered[1:]
	}
	return reply, nil
}

func (f *fakeOwners) countRun(n identifier.ShardNumber, ran bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ran {
		f.ran[n]++
	}
}

func (f *fakeOwners) Canary(ctx context.Context, host encoder.Host, r encoder.CanaryRequest) (encoder.CanaryReply, error) {
	reply, err := f.Query(ctx, host, r.Batch)
	return encoder.CanaryReply{Reply: reply}, err
}

func (f *fakeOwners) Probe(ctx context.Context, host encoder.Host) error {
	f.mutex.Lock()
	isUnresponsive := f.unresponsive[host.Name]
	f.mutex.Unlock()
	if isUnresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return nil
}

// fakeLedger grants every key once.
type fakeLedger struct {
	mutex   sync.Mutex
	settled map[string]encoder.ClaimReply
}

func (l *fakeLedger) Claim(_ context.Context, r encoder.ClaimRequest) (encoder.ClaimReply, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if reply, ok := l.settled[r.Key]; ok {
		return reply, nil
	}
	l.settled[r.Key] = encoder.ClaimReply{Outcome: encoder.ClaimHeld}
	return encoder.ClaimReply{Outcome: encoder.ClaimGranted}, nil
}

func (l *fakeLedger) Settle(_ context.Context, r encoder.SettleRequest) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case r.Released:
		delete(l.settled, r.Key)
	case r.InDoubt:
		l.settled[r.Key] = encoder.ClaimReply{Outcome: encoder.ClaimInDoubt}
	default:
		l.settled[r.Key] = encoder.ClaimReply{Outcome: encoder.ClaimSettled, Result: r.Result}
	}
	return nil
}

// harness is a router with its fake dependencies.
type harness struct {
	control *fixedControl
	owners  *fakeOwners
	router  *Router
}

func newHarness(control *fixedControl, script func(encoder.Host, encoder.ShardBatch) behaviour, violation func(string, string)) *harness {
	owners := &fakeOwners{script: script, ran: map[identifier.ShardNumber]int{}, unresponsive: map[identifier.HostName]bool{}}
	ledger := &fakeLedger{settled: map[string]encoder.ClaimReply{}}
	r := New("dock_0", 1, control, owners, ledger, quarantiner.New(timekeeper.System{}), WithViolations(violation))
	return &harness{control: control, owners: owners, router: r}
}

func query(operation identifier.OperationName) Query {
	return Query{Request: identifier.NewRequestID(), Caller: "desk", Service: "plates", Operation: operation, Key: "k", Body: []byte(`"q"`)}
}

func healthyOwners(encoder.Host, encoder.ShardBatch) behaviour {
	return behaviour{delay: 5 * time.Millisecond}
}

// expectOutcome runs one query in a synctest bubble and checks the description of its outcome.
func expectOutcome(t *testing.T, operation identifier.OperationName, script func(encoder.Host, encoder.ShardBatch) behaviour, want ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(6, 20, 7), script, func(name, detail string) {
			if name != "reply_matches_batch" {
				t.Errorf("%s: %s", name, detail)
			}
		})
		start := time.Now()
		got := b.router.Route(t.Context(), query(operation))
		assert.Assert(t, slices.Contains(want, describe(got)), "%s, want %v", describe(got), want)
		assert.Assert(t, time.Since(start) <= 301*time.Millisecond)
		assert.NilError(t, b.router.Close())
	})
}

func TestOutcomes(t *testing.T) {
	always := func(fault string) func(encoder.Host, encoder.ShardBatch) behaviour {
		return func(encoder.Host, encoder.ShardBatch) behaviour { return behaviour{fault: fault} }
	}
	once := func(fault string) func(encoder.Host, encoder.ShardBatch) behaviour {
		failed := false
		return func(encoder.Host, encoder.ShardBatch) behaviour {
			if failed {
				return behaviour{}
			}
			failed = true
			return behaviour{fault: fault}
		}
	}
	expectOutcome(t, "lookup", healthyOwners, "complete")
	expectOutcome(t, "reorder", healthyOwners, "complete")
	expectOutcome(t, "missing_operation", healthyOwners, "not run: undeclared")
	expectOutcome(t, "lookup", once("not_sent"), "complete")
	expectOutcome(t, "lookup", once("lost_before"), "complete")
	expectOutcome(t, "lookup", once("lost_after"), "complete")
	expectOutcome(t, "lookup", once("foreign"), "complete")
	expectOutcome(t, "lookup", once("truncated"), "complete")
	expectOutcome(t, "lookup", once("moved"), "complete")
	// A query ends at the first reply after which its coverage can no longer be reached. Whether
	// the other owners have run anything by then is unknown.
	expectOutcome(t, "lookup", always("not_sent"), "not run: coverage", "failed: coverage")
	expectOutcome(t, "lookup", always("shed"), "not run: overloaded", "failed: overloaded")
	expectOutcome(t, "lookup", once("shed"), "failed: overloaded")
	expectOutcome(t, "browse", once("shed"), "partial")
	expectOutcome(t, "lookup", always("crash"), "failed: crashed")
	expectOutcome(t, "lookup", always("stall"), "failed: deadline")
	expectOutcome(t, "lookup", always("version"), "not run: coverage", "failed: coverage")
	expectOutcome(t, "reorder", always("not_sent"), "not run: coverage")
	expectOutcome(t, "reorder", once("not_sent"), "complete")
	expectOutcome(t, "reorder", once("lost_before"), "in doubt: in_doubt")
	expectOutcome(t, "reorder", once("lost_after"), "in doubt: in_doubt")
	expectOutcome(t, "reorder", once("stall"), "in doubt: in_doubt")
	expectOutcome(t, "reorder", always("shed"), "not run: overloaded")
}

func TestStalledOwnerIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := makeControl(6, 20, 7)
		unresponsive := identifier.HostName("")
		b := newHarness(control, func(h encoder.Host, _ encoder.ShardBatch) behaviour {
			if h.Name == unresponsive {
				return behaviour{fault: "stall"}
			}
			return behaviour{delay: 5 * time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		a, _ := control.snapshot.Placement.Assignment("plates", 3)
		unresponsive = a.Owner.Name
		if unresponsive == "dock_0" {
			a, _ = control.snapshot.Placement.Assignment("plates", 4)
			unresponsive = a.Owner.Name
		}
		b.owners.unresponsive[unresponsive] = true
		start := time.Now()
		_, isComplete := b.router.Route(t.Context(), query("lookup")).(Complete)
		assert.Assert(t, isComplete)
		assert.Assert(t, time.Since(start) < 100*time.Millisecond, "%s", time.Since(start))
		// The next query avoids the stalled dock from the start.
		start = time.Now()
		_, isComplete = b.router.Route(t.Context(), query("lookup")).(Complete)
		assert.Assert(t, isComplete)
		assert.Assert(t, time.Since(start) < 10*time.Millisecond, "%s", time.Since(start))
		assert.NilError(t, b.router.Close())
	})
}

func TestQueryIsReplannedWhenVersionVanishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(makeControl(6, 20, 7, 8), func(_ encoder.Host, batch encoder.ShardBatch) behaviour {
			if batch.Version == 8 && batch.Shards[0] < 10 {
				return behaviour{fault: "version"}
			}
			return behaviour{delay: time.Millisecond}
		}, func(name, detail string) { t.Errorf("%s: %s", name, detail) })
		o, isComplete := b.router.Route(t.Context(), query("lookup")).(Complete)
		assert.Assert(t, isComplete)
		assert.Equal(t, o.Answer.Coverage.Version, identifier.IndexVersion(7))
		expectRows(t, o.Answer, 20)
		assert.NilError(t, b.router.Close())
	})
}

// expectRows checks that an answer contains the row of each shard once, all of one version.
func expectRows(t interface {
	Helper()
	Fatalf(string, ...any)
}, a Answer, shards int,
) {
	t.Helper()
	if len(a.Rows) != shards {
		t.Fatalf("%d rows for %d shards", len(a.Rows), shards)
	}
	seen := map[identifier.ShardNumber]bool{}
	for _, row := range a.Rows {
		want := fmt.Sprintf(`"q"/%d/%d`, a.Coverage.Version, row.Shard)
		if string(row.Value) != want || seen[row.Shard] {
			t.Fatalf("row %q of shard %d, want %q once", row.Value, row.Shard, want)
		}
		seen[row.Shard] = true
	}
}

func TestDockWithStaleManifestRefuses(t *testing.T) {
	control := makeControl(3, 4, 1)
	control.snapshot.IsFresh = false
	b := newHarness(control, healthyOwners, func(string, string) {})
	assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "not run: manifest_unconfirmed")
	assert.Equal(t, b.owners.batches, 0)
	control.snapshot.Manifest.Contracts[0].WhenStale = manifestreader.StaleServe
	assert.Equal(t, describe(b.router.Route(t.Context(), query("lookup"))), "complete")
}

func TestRepeatedRequestReturnsFirstAnswer(t *testing.T) {
	b := newHarness(makeControl(3, 4, 1), healthyOwners, func(string, string) {})
	first, isComplete := b.router.Route(t.Context(), query("reorder")).(Complete)
	assert.Assert(t, isComplete)
	again, isComplete := b.router.Route(t.Context(), query("reorder")).(Complete)
	assert.Assert(t, isComplete)
	assert.Assert(t, again.Answer.IsRepeated)
	assert.DeepEqual(t, again.Answer.Rows, first.Answer.Rows)
	assert.Equal(t, b.owners.batches, 1)
}

// TestRandomFaults runs queries against owners with random faults and compares each outcome with
// the runs that the owners counted.
func TestRandomFaults(t *testing.T) {
	faults := []string{"", "", "", "", "not_sent", "lost_before", "lost_after", "stall", "version", "shed", "crash", "moved", "unknown", "foreign", "truncated"}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		operation := rapid.SampledFrom([]identifier.OperationName{"lookup", "browse", "reorder"}).Draw(rt, "operation")
		shards := rapid.IntRange(1, 24).Draw(rt, "shards")
		faultShare := rapid.Float64Range(0, 0.5).Draw(rt, "fault_share")
		var problem error
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newHarness(makeControl(5, shards, 7, 8), func(encoder.Host, encoder.ShardBatch) behaviour {
				d := time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
				if random.Float64() > faultShare {
					return behaviour{delay: d}
				}
				return behaviour{delay: d, fault: faults[random.IntN(len(faults))]}
			}, func(name, detail string) {
				if name != "reply_matches_batch" {
					problem = fmt.Errorf("%s: %s", name, detail)
				}
			})
			for i := range 5 {
				b.owners.unresponsive[identifier.HostName(fmt.Sprintf("dock_%d", i))] = random.Float64() < faultShare
			}
			start := time.Now()
			o := b.router.Route(t.Context(), query(operation))
			elapsed := time.Since(start)
			_ = b.router.Close()
			problem = errors.Join(problem, checkOutcome(o, b.owners, operation, shards, elapsed))
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

// checkOutcome compares an outcome with the runs that the owners counted.
func checkOutcome(o Outcome, owners *fakeOwners, operation identifier.OperationName, shards int, elapsed time.Duration) error {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	if elapsed > 301*time.Millisecond {
		return fmt.Errorf("answered after %s", elapsed)
	}
	if operation == "reorder" {
		for n, count := range owners.ran {
			if count > 1 {
				return fmt.Errorf("shard %d ran a request %d times that is not idempotent", n, count)
			}
		}
	}
	switch o := o.(type) {
	case Complete:
		if operation != "reorder" && len(o.Answer.Rows) != shards {
			return fmt.Errorf("complete with %d rows of %d shards", len(o.Answer.Rows), shards)
		}
		return checkAnswer(o.Answer)
	case Partial:
		if operation != "browse" {
			return errors.New("partial although the contract requires all shards")
		}
		return checkAnswer(o.Answer)
	case NotRun:
		if len(owners.ran) > 0 {
			return fmt.Errorf("outcome is not run, but %d shards ran", len(owners.ran))
		}
	case InDoubt:
		if operation != "reorder" {
			return errors.New("in doubt although idempotent")
		}
	}
	return nil
}

// checkAnswer checks an answer's rows against its coverage.
func checkAnswer(a Answer) error {
	if len(a.Rows) != int(a.Coverage.Covered) {
		return fmt.Errorf("%d rows, %d shards covered", len(a.Rows), a.Coverage.Covered)
	}
	missing := map[identifier.ShardNumber]bool{}
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	for _, row := range a.Rows {
		if missing[row.Shard] {
			return fmt.Errorf("shard %d is missing and has a row", row.Shard)
		}
		missing[row.Shard] = true
		if want := fmt.Sprintf(`"q"/%d/%d`, a.Coverage.Version, row.Shard); string(row.Value) != want {
			return fmt.Errorf("row %q, want %q", row.Value, want)
		}
	}
	return nil
}
