package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("soak.seed", 0, "the first seed instead of the fixed ones")
	seeds     = flag.Int("soak.seeds", 1, "how many seeds to run from the first one on")
	disturbed = flag.Duration("soak.time", 8*time.Second, "how long each seed disturbs the deployment")
)

// regressions are the seeds that failed once, each with the cause.
var regressions = []uint64{
	1,
	114, // The soak's probes before and after the disturbances had the same identifiers.
}

const (
	// recoveryTime is how long after the last disturbance all must be as before.
	recoveryTime = 12 * time.Second
	// calmTime is how long the deployment is watched after that.
	calmTime = 2 * time.Second
	// leastServed is the share of requests that a calm deployment serves.
	leastServed = 0.9
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "banyandock-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	for _, name := range []string{"routedock", "routekeeper"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(folder, name), "../cmd/"+name).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// reserve finds loopback addresses that no other soak on this machine uses. A port that is held open
// keeps others away.
func reserve(t *testing.T) (second, third int) {
	t.Helper()
	for second := 20; second < 90; second++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", second))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return second, 10
		}
	}
	t.Fatal("no free loopback addresses")
	return 0, 0
}

// TestSoak disturbs a deployment of processes and checks what those around it see.
func TestSoak(t *testing.T) {
	list := regressions
	if *firstSeed > 0 {
		list = nil
		for i := range *seeds {
			list = append(list, *firstSeed+uint64(i))
		}
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { (&soak{t: t, seed: seed}).run() })
	}
}

// soak is the run of one seed.
type soak struct {
	t          *testing.T
	seed       uint64
	deployment *deployment
	folder     string
	began      time.Time
	served     atomic.Int64
	sent       atomic.Int64
	// probes are requests of the soak itself.
	probes, probed atomic.Int64
}

// run starts a deployment, disturbs it, lets it heal and checks.
func (s *soak) run() {
	second, third := reserve(s.t)
	s.folder = s.t.TempDir()
	s.began = time.Now()
	d, err := open(s.folder, programs, second, third)
	s.deployment = d
	s.t.Cleanup(func() {
		d.close()
		s.keepLogs()
	})
	assert.NilError(s.t, err)
	random := rand.New(rand.NewPCG(s.seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start, stopWaiting := context.WithTimeout(ctx, startTimeout)
	defer stopWaiting()
	d.submit(start, random)
	s.awaitServing(ctx, startTimeout)

	var callers sync.WaitGroup
	for i := range callerCount {
		own := rand.New(rand.NewPCG(s.seed, uint64(i+1)))
		callers.Go(func() { (&caller{deployment: d, random: own, number: i, served: &s.served, sent: &s.sent}).run(ctx) })
	}
	disturber := &disturber{deployment: d, log: s.log, down: map[int]bool{}, busy: map[int]bool{}}
	disturber.run(ctx, random, *disturbed)
	s.log("calm")
	healed := time.Now()
	s.awaitServing(ctx, recoveryTime)
	s.awaitCertainty(ctx, time.Until(healed.Add(recoveryTime)))
	s.expectCalm(ctx)
	cancel()
	callers.Wait()
	for host, p := range d.processes {
		d.history.expect(!p.hasFailed(), "host %d has ended by itself", host)
	}
	// What was sent before the end may still run.
	time.Sleep(leaveTime)
	d.history.check()
	s.log("%d requests, %d served, version %d", s.sent.Load(), s.served.Load(), d.history.newest())
	assert.Equal(s.t, d.history.count, 0, "%s", strings.Join(d.history.violations, "\n"))
}

// log tells what happens, with the time since the start.
func (s *soak) log(format string, arguments ...any) {
	s.t.Logf("%6.2f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// awaitServing waits until every dock gathers whole answers.
func (s *soak) awaitServing(ctx context.Context, limit time.Duration) {
	s.t.Helper()
	probe := &caller{deployment: s.deployment, served: &s.probed, sent: &s.probes}
	waiting := []int{}
	for i := range dockCount {
		waiting = append(waiting, keeperCount+1+i)
	}
	end := time.Now().Add(limit)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(host int) bool { return probe.isWhole(ctx, host) })
		if time.Now().After(end) {
			s.t.Fatalf("docks %v do not serve within %s", waiting, limit)
		}
		sleep(ctx, pollInterval)
	}
}

// awaitCertainty waits until every keeper reads the newest configuration back.
func (s *soak) awaitCertainty(ctx context.Context, limit time.Duration) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for host := 1; host <= keeperCount; host++ {
		for !s.deployment.readBack(ctx, host) {
			if time.Now().After(end) {
				s.t.Fatalf("keeper %d does not know the configuration within %s", host, recoveryTime)
			}
			sleep(ctx, pollInterval)
		}
	}
}

// expectCalm watches the healed deployment: callers are served, and the newest version's route is.
func (s *soak) expectCalm(ctx context.Context) {
	served, sent := s.served.Load(), s.sent.Load()
	sleep(ctx, calmTime)
	served, sent = s.served.Load()-served, s.sent.Load()-sent
	s.log("%d of %d served when calm", served, sent)
	s.deployment.history.expect(float64(served) >= leastServed*float64(sent), "%d of %d requests are served when calm", served, sent)
}

// keepLogs keeps the logs of a failed seed in out/soak.
func (s *soak) keepLogs() {
	if !s.t.Failed() {
		return
	}
	to := filepath.Join("..", "out", "soak", fmt.Sprintf("%d-%d", s.seed, s.began.Unix()))
	if err := os.CopyFS(to, os.DirFS(s.folder)); err != nil {
		s.t.Logf("logs: %v", err)
		return
	}
	s.t.Logf("logs are in %s", to)
}
