package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
	"banyandock.example/banyandock/internal/placer"
)

// faultyBackend is a Backend that fails in all ways and records the subrequests that it
// executed.
type faultyBackend struct {
	faultRate float64

	mutex    sync.Mutex
	random   *rand.Rand
	executed map[runKey]int
	running  map[identifier.Incarnation]int
	problems []string
}

// Run executes a subrequest, or fails before, during or after the execution.
func (c *faultyBackend) Run(ctx context.Context, server encoder.Server, s Subrequest) (Result, error) {
	before, after, duration := c.drawOutcome(server, s)
	defer c.end(server)
	if before != nil {
		return Result{}, before
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return Result{}, &Failure{Cause: CauseCancelled, Started: true}
	}
	if after != nil {
		return Result{}, after
	}
	return Result{Rows: []encoder.Row{{Shard: s.Shard.Number, Value: []byte(s.Request.String())}}, Total: 1}, nil
}

// drawOutcome draws the outcome of a subrequest and counts it as executed unless it is refused.
func (c *faultyBackend) drawOutcome(server encoder.Server, s Subrequest) (before, after *Failure, duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[server.Incarnation]++
	if n := c.running[server.Incarnation]; n > server.Slots {
		c.problems = append(c.problems, fmt.Sprintf("%d subrequests in %d slots", n, server.Slots))
	}
	duration = time.Duration(c.random.ExpFloat64() * float64(8*time.Millisecond))
	if c.random.IntN(20) == 0 {
		duration *= 20
	}
	if c.random.Float64() < c.faultRate {
		refusals := []FailureCause{CauseNotSent, CauseShed, CauseDraining, CauseVersionGone, CauseServerError}
		return &Failure{Cause: refusals[c.random.IntN(len(refusals))]}, nil, 0
	}
	c.executed[runKey{s.Request, s.Shard.Number}]++
	if c.random.Float64() < c.faultRate {
		failures := []FailureCause{CauseConnectionLost, CauseServerError, CauseBadReply}
		after = &Failure{Cause: failures[c.random.IntN(len(failures))], Started: true}
	}
	return nil, after, duration
}

func (c *faultyBackend) end(server encoder.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[server.Incarnation]--
}

// checkReply compares a reply with the executed subrequests.
func (c *faultyBackend) checkReply(batch encoder.ShardBatch, reply encoder.BatchReply, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	problem := func(format string, arguments ...any) {
		c.problems = append(c.problems, fmt.Sprintf(format, arguments...))
	}
	if took > batch.Timeout {
		problem("answered after %v of %v", took, batch.Timeout)
	}
	answered := map[identifier.ShardNumber]int{}
	for _, n := range reply.Covered {
		answered[n]++
		if c.executed[runKey{batch.Request, n}] == 0 {
			problem("shard %d covered without a run", n)
		}
	}
	for _, m := range reply.Missing {
		answered[m.Shard]++
		if runs := c.executed[runKey{batch.Request, m.Shard}]; !m.Started && runs > 0 {
			problem("shard %d reported as not started after %d runs (%s)", m.Shard, runs, m.Reason)
		}
	}
	for _, n := range batch.Shards {
		if answered[n] != 1 {
			problem("shard %d answered %d times", n, answered[n])
		}
		if runs := c.executed[runKey{batch.Request, n}]; !batch.Idempotent && runs > 1 {
			problem("%d runs of a request that is not idempotent", runs)
		}
	}
	for _, row := range reply.Rows {
		if string(row.Value) != batch.Request.String() {
			problem("reply contains a row of another request")
		}
	}
}

// changeView returns a newer view in which one server is restarted, draining, ready or has
// another index version, or in which ownership moves away or back.
func changeView(random *rand.Rand, view *encoder.View) *encoder.View {
	next := &encoder.View{Epoch: view.Epoch + 1, Hosts: view.Hosts}
	next.Servers = append(next.Servers, view.Servers...)
	sv := &next.Servers[random.IntN(len(next.Servers))]
	switch random.IntN(5) {
	case 0:
		sv.Incarnation = identifier.Incarnation(random.Uint64())
		sv.State = encoder.ServerCold
	case 1:
		sv.State = encoder.ServerDraining
	case 2:
		sv.State = encoder.ServerReady
	case 3:
		sv.Holdings = append([]encoder.Holding{{Version: 2, Shard: sv.Holdings[0].Shard, ShardCount: sv.Holdings[0].ShardCount}}, sv.Holdings...)
	case 4:
		next.Hosts = []encoder.Host{{Name: "dock_1", State: encoder.HostReady}}
		if len(view.Hosts) == 1 {
			next.Hosts = append(next.Hosts, encoder.Host{Name: "dock_2", State: encoder.HostReady}, encoder.Host{Name: "dock_3", State: encoder.HostReady})
		}
	}
	return next
}

// TestRandomFaults runs random batches on servers that fail in all ways while the view changes,
// and compares each reply with the executed subrequests.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		shards := rapid.IntRange(1, 5).Draw(rt, "shards")
		replicas := rapid.IntRange(1, 3).Draw(rt, "replicas")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		faultRate := rapid.Float64Range(0, 0.2).Draw(rt, "faults")
		rate := rapid.Float64Range(20, 800).Draw(rt, "rate")
		synctest.Test(t, func(t *testing.T) {
			c := &faultyBackend{
				faultRate: faultRate, random: rand.New(rand.NewPCG(seed, 1)),
				executed: map[runKey]int{}, running: map[identifier.Incarnation]int{},
			}
			runFaultyBackend(t, c, rand.New(rand.NewPCG(seed, 2)), makeView(shards, replicas, slots), shards, rate)
			assert.Equal(t, len(c.problems), 0, "seed %d: %v", seed, c.problems)
		})
		if t.Failed() {
			rt.Fatalf("seed %d", seed)
		}
	})
}

// runFaultyBackend sends random batches for two seconds of fake time.
func runFaultyBackend(t *testing.T, c *faultyBackend, random *rand.Rand, view *encoder.View, shards int, rate float64) {
	for i := range view.Servers {
		view.Servers[i].Incarnation = identifier.Incarnation(i + 1)
	}
	o := newOwner(t, c, view)
	end := time.Now().Add(2 * time.Second)
	var wait sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if random.IntN(20) == 0 {
			view = changeView(random, view)
			o.Update(view, placer.Place(view))
		}
		batch := randomBatch(random, shards)
		callerTimeout := time.Duration(1+random.IntN(400)) * time.Millisecond
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			start := time.Now()
			reply := o.Handle(ctx, batch)
			c.checkReply(batch, reply, time.Since(start))
		})
	}
	wait.Wait()
}

func randomBatch(random *rand.Rand, shards int) encoder.ShardBatch {
	batch := makeBatch(manifestreader.Urgency(random.IntN(2)), shards)
	batch.Idempotent = random.IntN(4) > 0
	batch.Timeout = time.Duration(1+random.IntN(300)) * time.Millisecond
	batch.Version = identifier.IndexVersion(1 + random.IntN(20)/18)
	batch.Alone = random.IntN(50) == 0
	batch.Fingerprint = identifier.Fingerprint(1 + random.IntN(40))
	return batch
}
