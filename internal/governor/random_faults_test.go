package governor_test

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
	"banyandock.example/banyandock/internal/registrar"
)

const (
	// faultTime is how long faults are injected in a run.
	faultTime = 40 * time.Second
	// dockCount is the number of docks.
	dockCount = 4
	// maxDelay is the longest delay of messages that are not late.
	maxDelay = 200 * time.Millisecond
	// releaseTime is how long a claim that no request holds may stay in the ledger without faults.
	releaseTime = 5 * time.Second
	// probeRequest is the number of the request that asks for the state of a key after the run.
	probeRequest = 60
)

// faultRun is one random run: operators submit competing manifests and callers send requests with
// the same key through several docks, while hosts are partitioned, stopped, restarted and lose
// their data.
type faultRun struct {
	cluster   *cluster
	random    *rand.Rand
	register  history
	ledger    history
	clients   sync.WaitGroup
	stopping  chan struct{}
	mutex     sync.Mutex
	executed  map[string]int
	granted   map[claimOfKey]bool
	keys      map[string]bool
	stopped   map[identifier.HostName]bool
	maxNumber uint64
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		keepers := rapid.SampledFrom([]int{3, 5}).Draw(rt, "keepers")
		if !t.Run(fmt.Sprintf("seed_%d_keepers_%d", seed, keepers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, keepers) })
		}) {
			rt.Fatalf("seed %d", seed)
		}
	})
}

// TestRandomFaultsOfFailedSeeds replays the seeds of runs that failed. In the first one that was traced,
// the reply that granted a claim was lost with the leader, another claim put the key in doubt
// because the dock of the first one seemed to be gone, and the retry of the first claim returned
// "in doubt". The model treated a claim and its retries as one operation and rejected this history.
// In 2, and probably in 1 and 172, a late attempt of a refused claim was granted. In 1051 and 60407
// five claims of a key were released and a late attempt of the first one was granted.
func TestRandomFaultsOfFailedSeeds(t *testing.T) {
	for _, run := range []struct {
		seed    uint64
		keepers int
	}{{60407, 3}, {1, 5}, {172, 5}, {2, 3}, {1051, 3}} {
		t.Run(fmt.Sprintf("seed_%d_keepers_%d", run.seed, run.keepers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, run.seed, run.keepers) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64, keepers int) {
	cl := newCluster(t, seed, keepers, dockCount)
	defer cl.close()
	f := &faultRun{
		cluster:  cl,
		random:   rand.New(rand.NewPCG(seed, 2)),
		stopping: make(chan struct{}),
		executed: map[string]int{},
		granted:  map[claimOfKey]bool{},
		keys:     map[string]bool{},
		stopped:  map[identifier.HostName]bool{},
	}
	f.register.start = time.Now()
	f.ledger.start = time.Now()
	for i := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(10+i)))
		f.clients.Go(func() { f.runOperator(r, i) })
	}
	for i := range 3 {
		r := rand.New(rand.NewPCG(seed, uint64(20+i)))
		f.clients.Go(func() { f.runCaller(r, i) })
	}
	for began := time.Now(); time.Since(began) < faultTime; {
		f.injectFault()
		cl.advance(time.Duration(f.random.IntN(1200)) * time.Millisecond)
	}
	close(f.stopping)
	cl.network.heal()
	for name := range f.stopped {
		cl.startKeeper(name)
	}
	f.clients.Wait()
	cl.expectConverged()
	cl.expect("the last manifest is in force", 8*time.Second, func() bool { return cl.isInForce(cl.highestAccepted(time.Now())) })
	t.Logf("%d manifests accepted; submissions %v; ledger %v", len(cl.accepted), f.register.countOutputs(), f.ledger.countOutputs())
	f.expectNoForgottenHolders(t)
	f.register.expectLinearizable(t, registerModel)
	if !f.ledger.isLinearizable(ledgerModel) {
		reportKeys(t, ledgerModel, f.ledger.operations, &cl.commands)
		t.Error("the ledger's history is not linearizable")
	}
	for key, n := range f.executed {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
}

// expectNoForgottenHolders asserts that each key that is held after the run is held by a request to
// which it was granted. A request that was refused does not know that it holds the key, so nothing
// would ever free it.
func (f *faultRun) expectNoForgottenHolders(t *testing.T) {
	t.Helper()
	f.cluster.advance(lateFactor*maxDelay + releaseTime)
	d := f.cluster.docks[dockName(0)]
	for key := range f.keys {
		ctx, cancel := context.WithTimeout(t.Context(), releaseTime)
		reply, err := d.claimer.Claim(ctx, newClaimRequest(d, key, probeRequest))
		cancel()
		assert.NilError(t, err)
		holder := claimOfKey{key, registrar.Claimant{Holder: reply.Holder, Request: reply.HolderRequest}}
		if reply.Outcome == encoder.ClaimHeld && !f.granted[holder] {
			t.Errorf("%s is held by request %d at %s, which was not granted it; commands:\n%s", key, requestNumber(reply.HolderRequest), reply.HolderDock, f.cluster.commands.ofKey(key))
		}
	}
}

// injectFault causes a random fault or ends some earlier faults.
func (f *faultRun) injectFault() {
	cl := f.cluster
	m := cl.members[f.random.IntN(len(cl.members))].Name
	d := dockName(f.random.IntN(dockCount))
	switch f.random.IntN(12) {
	case 0, 1:
		f.cutLinks(m)
	case 2:
		cl.network.setCut(d, m, true)
	case 3:
		for _, other := range cl.members {
			cl.isolate(d, other.Name)
		}
	case 4, 5:
		cl.network.heal()
	case 6:
		cl.network.mutex.Lock()
		cl.network.loss = []float64{0, 0.05, 0.2}[f.random.IntN(3)]
		cl.network.late = 0.1
		cl.network.delay = []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, maxDelay}[f.random.IntN(3)]
		cl.network.mutex.Unlock()
	case 7, 8:
		if !f.stopped[m] {
			cl.stopKeeper(m)
			f.stopped[m] = true
		}
	case 9:
		f.restartStopped()
	case 10:
		cl.stopDock(d)
		cl.startDock(d)
	case 11:
		f.loseDisk(m)
	}
}

// cutLinks cuts the links between a keeper and some of the others, in one or both directions.
func (f *faultRun) cutLinks(m identifier.HostName) {
	for _, other := range f.cluster.others(m) {
		if f.random.IntN(2) == 0 {
			f.cluster.network.setCut(m, other, true)
		}
		if f.random.IntN(2) == 0 {
			f.cluster.network.setCut(other, m, true)
		}
	}
}

func (f *faultRun) restartStopped() {
	for name := range f.stopped {
		f.cluster.startKeeper(name)
		delete(f.stopped, name)
	}
}

// loseDisk erases a keeper's storage and restarts the keeper, but only if all keepers run, are
// voters, have a leader and have committed their whole log. So only a minority of the voters loses
// its data at a time.
func (f *faultRun) loseDisk(m identifier.HostName) {
	if len(f.stopped) > 0 {
		return
	}
	for _, member := range f.cluster.members {
		if status := f.cluster.keeper(member.Name).replicator.Status(); !status.IsVoter || status.Leader.Name == "" || status.CommitIndex != status.LastLogIndex {
			return
		}
	}
	f.cluster.loseDisk(m)
	f.cluster.startKeeper(m)
}

func (f *faultRun) isStopping() bool {
	select {
	case <-f.stopping:
		return true
	default:
		return false
	}
}

// runOperator submits manifests whose numbers compete with those of the other operator.
func (f *faultRun) runOperator(r *rand.Rand, operator int) {
	for !f.isStopping() {
		f.mutex.Lock()
		number := f.maxNumber + 1
		if r.IntN(4) == 0 && number > 1 {
			number--
		}
		f.maxNumber = max(f.maxNumber, number)
		f.mutex.Unlock()
		variant := fmt.Sprintf("%c", 'a'+operator)
		for range 1 + r.IntN(2) {
			call := f.register.begin()
			outcome := f.cluster.submit(manifest(number, variant), 3*time.Second)
			output := outcome.String()
			if outcome == encoder.SubmitUnknown {
				output = unknownOutput
			}
			f.register.end(call, submission{number, variant}, output)
		}
		time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	}
}
