package forwarder_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/matcher"
)

// record returns a record of 16 bytes. Records sort by their numbers.
func record(n int) string { return fmt.Sprintf("%016d", n) }

// scatterRoute returns a route to the first shards.
func scatterRoute(shards, rows int, coverage float64, target time.Duration) matcher.Route {
	return matcher.Route{
		Idempotent: true, LatencyTarget: target,
		Destination: matcher.Scatter{Services: services(shards), RowLimit: rows, MinimumCoverage: coverage},
	}
}

// addShards starts one server for each of n shards. Shard i returns record i and an incomplete
// record, unless special has a handler for it.
func (d *deployment) addShards(n int, special map[int]handler) {
	for i, s := range services(n) {
		h := answers(record(i) + "rest")
		if special[i] != nil {
			h = special[i]
		}
		d.addServer(string(s), fmt.Sprintf("server-%d", i), h)
	}
}

func TestGreatestRecordsAreGathered(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addShards(6, nil)
	d.setRoute(scatterRoute(6, 3, 0.5, time.Second))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, string(g.Body), record(5)+record(4)+record(3))
	assert.Equal(t, g.Missing, 0)
	slices.Sort(g.Stamps)
	assert.Equal(t, len(slices.Compact(g.Stamps)), 6)
}

func TestEqualRecordsAllCount(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	same := answers(record(7) + record(1) + record(7))
	d.addShards(2, map[int]handler{0: same, 1: same})
	d.setRoute(scatterRoute(2, 3, 1, time.Second))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, string(g.Body), record(7)+record(7)+record(7))
}

func TestSlowShardIsLeftOutAtTheTarget(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(5, map[int]handler{2: after(time.Minute, answers(record(2)))})
	d.setRoute(scatterRoute(5, 5, 0.8, 200*time.Millisecond))
	began := time.Now()
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 1)
	assert.Equal(t, len(g.Stamps), 4)
	assert.Equal(t, string(g.Body), record(4)+record(3)+record(1)+record(0))
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestAnswerBelowCoverageWaitsPastTheTarget(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	late := after(400*time.Millisecond, answers(record(9)))
	d.addShards(5, map[int]handler{2: late, 3: late})
	d.setRoute(scatterRoute(5, 5, 0.8, 100*time.Millisecond))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Assert(t, len(g.Stamps) >= 4)
}

// TestRouteWithoutTargetWaitsForAllShards guards against answers on routes without a latency target
// that leave at once, with only the parts received so far.
func TestRouteWithoutTargetWaitsForAllShards(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(5, map[int]handler{2: after(300*time.Millisecond, answers(record(2)))})
	d.setRoute(scatterRoute(5, 5, 0.2, 0))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 0)
}

func TestFailedShardCountsAsMissing(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(5, map[int]handler{1: fails})
	d.setRoute(scatterRoute(5, 5, 0.8, time.Second))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 1)
	assert.Assert(t, !strings.Contains(strings.Join(g.Stamps, ","), "failure"))
}

func TestTooLittleCoverageFailsAtOnce(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	slow := after(time.Minute, answers(record(0)))
	// The failures come late enough that the slow server has certainly received its request.
	d.addShards(5, map[int]handler{0: slow, 1: after(100*time.Millisecond, fails), 2: after(100*time.Millisecond, dropsConnection)})
	d.setRoute(scatterRoute(5, 5, 0.8, 500*time.Millisecond))
	began := time.Now()
	f := expect[forwarder.Failed](t, d.get())
	assert.Equal(t, f.Reason, forwarder.ReasonCoverage)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
	waitFor(t, func() bool { _, cancelled := d.servers["server-0"].count(); return cancelled == 1 })
}

func TestTooFewKnownShardsAreRefusedBeforeSending(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(3, nil)
	d.setRoute(scatterRoute(5, 5, 0.8, time.Second))
	expect[forwarder.Refused](t, d.get())
	for _, s := range d.servers {
		n, _ := s.count()
		assert.Equal(t, n, 0)
	}
}

func TestSlowServerIsHedged(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addShards(3, map[int]handler{1: after(time.Minute, answers(record(1)))})
	d.addServer(string(services(3)[1]), "second", answers(record(1)))
	d.setRoute(scatterRoute(3, 3, 1, 300*time.Millisecond))
	for range 3 {
		g := expect[forwarder.Gathered](t, d.get())
		assert.Equal(t, g.Missing, 0)
	}
}

// TestUnneededRequestRunsToItsEnd checks that the request to a slow shard is not cancelled when the
// answer leaves without that shard's part, so that its connection can be reused.
func TestUnneededRequestRunsToItsEnd(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	slow := d.addServer("shard-a", "loser", after(150*time.Millisecond, answers(record(1))))
	d.addServer("shard-b", "other", answers(record(2)))
	d.setRoute(scatterRoute(2, 3, 0.5, 50*time.Millisecond))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 1)
	time.Sleep(300 * time.Millisecond)
	requests, cancelled := slow.count()
	assert.Equal(t, requests, 1)
	assert.Equal(t, cancelled, 0)
}

func TestCallerDisconnectCancelsAllShardRequests(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	slow := after(time.Minute, answers(record(0)))
	d.addShards(3, map[int]handler{0: slow, 1: slow, 2: slow})
	d.setRoute(scatterRoute(3, 3, 1, time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	f := expect[forwarder.Failed](t, d.send(ctx, "GET", "", time.Minute))
	assert.Equal(t, f.Reason, forwarder.ReasonCallerLeft)
	for _, s := range d.servers {
		waitFor(t, func() bool { _, cancelled := s.count(); return cancelled == 1 })
	}
}

func TestLogListsTheMissingShards(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(5, map[int]handler{2: after(time.Minute, answers(record(2)))})
	d.addServer(string(services(5)[2]), "second", after(time.Minute, answers(record(2))))
	d.setRoute(scatterRoute(5, 5, 0.8, 200*time.Millisecond))
	expect[forwarder.Gathered](t, d.get())
	line := d.requestLog()
	for _, part := range []string{`"outcome":"partial"`, `"missing":1`, `"service":"shard-c"`, `"denied":"budget"`, `"outcome":"running"`} {
		assert.Assert(t, strings.Contains(line, part), "%s does not contain %s", line, part)
	}
	assert.Assert(t, !strings.Contains(line, "shard-a"), "shards answered by their first attempt are not logged")
}
