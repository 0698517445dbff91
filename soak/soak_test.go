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
	// programsFlag allows to compare releases.
	programsFlag = flag.String("soak.programs", "", "the folder of built programs that run instead of those of the working tree")
	faultTime    = flag.Duration("soak.time", 8*time.Second, "how long each seed disturbs the deployment")
)

// regressions lists the seeds that run by default. Those that failed before have the cause.
var regressions = []uint64{
	1,
	114, // The probes of the soak before and after the faults had the same request identifiers.
}

const (
	// recoveryTimeout is the time after the last fault within which the deployment must have
	// recovered.
	recoveryTimeout = 12 * time.Second
	// steadyTime is how long the share of served requests is measured after the recovery.
	steadyTime = 2 * time.Second
	// lateCrashTime is how long requests that crash servers are sent after the deployment must refuse
	// them.
	lateCrashTime = 3 * time.Second
	// soakCrashDivisor is how often requests that crash servers are sent while a crashed server is
	// down.
	soakCrashDivisor = 10
	// minimumServedShare is the share of requests that must succeed after the recovery.
	minimumServedShare = 0.9
)

// programs is the path of the folder with the built programs.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if *programsFlag != "" {
		programs = *programsFlag
		return m.Run()
	}
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

// reserveAddresses returns octets of loopback addresses that no other soak on this machine uses. It
// reserves them by a listener that stays open until the test ends.
func reserveAddresses(t *testing.T) (secondOctet, thirdOctet int) {
	t.Helper()
	for secondOctet := 20; secondOctet < 90; secondOctet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", secondOctet))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return secondOctet, 10
		}
	}
	t.Fatal("no free loopback addresses")
	return 0, 0
}

// TestSoak injects faults into a deployment of processes and checks the guarantees for callers,
// backend servers and the operator.
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
	startedAt  time.Time
	served     atomic.Int64
	sent       atomic.Int64
	// probesSent counts the requests with which awaitServing probes the docks. probesServed stays 0,
	// because hasFullCoverage does not count successes.
	probesSent, probesServed atomic.Int64
}

// run starts a deployment and callers, injects faults, waits for the recovery and checks the
// history.
func (s *soak) run() {
	secondOctet, thirdOctet := reserveAddresses(s.t)
	s.folder = s.t.TempDir()
	s.startedAt = time.Now()
	d, err := startDeployment(s.folder, programs, secondOctet, thirdOctet, standardLayout())
	s.deployment = d
	s.t.Cleanup(func() {
		d.close()
		s.keepLogs()
	})
	assert.NilError(s.t, err)
	random := rand.New(rand.NewPCG(s.seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	d.submit(start, random)
	s.awaitServing(ctx, startTimeout)

	var callers sync.WaitGroup
	for i := range callerCount {
		own := rand.New(rand.NewPCG(s.seed, uint64(i+1)))
		callers.Go(func() { (&caller{deployment: d, random: own, number: i, served: &s.served, sent: &s.sent}).run(ctx) })
	}
	crashers := []*crasher{}
	for i, path := range []string{crashPath + "-all/x", crashPath + "-single/x"} {
		c := &crasher{deployment: d, random: rand.New(rand.NewPCG(s.seed, uint64(callerCount+i+1))), path: path, patience: callerDeadline + callerGracePeriod}
		crashers = append(crashers, c)
		callers.Go(func() { c.send(ctx, time.Minute, longCrashPause/soakCrashDivisor) })
	}
	faultInjector := &faultInjector{deployment: d, log: s.log, down: map[int]bool{}, busy: map[int]bool{}}
	faultInjector.run(ctx, random, *faultTime)
	s.log("all faults have ended")
	faultsEnded := time.Now()
	s.awaitServing(ctx, recoveryTimeout)
	s.awaitReadBack(ctx, time.Until(faultsEnded.Add(recoveryTimeout)))
	s.expectSteadyService(ctx)
	sleep(ctx, time.Until(faultsEnded.Add(stabilityWindow+lateCrashTime)))
	cancel()
	callers.Wait()
	s.checkCrashes(crashers, faultsEnded)
	for host, p := range d.processes {
		d.history.expect(!p.hasExitedUnexpectedly(), "host %d exited unexpectedly", host)
	}
	// Requests that were sent before the cancellation may still run.
	time.Sleep(cancellationTime)
	d.history.check()
	s.log("%d requests, %d served, version %d", s.sent.Load(), s.served.Load(), d.history.acceptedVersion())
	assert.Equal(s.t, d.history.violationCount, 0, "%s", strings.Join(d.history.violations, "\n"))
}

// checkCrashes checks that requests which had crashed toleratedCrashes servers before the faults ended
// reached few servers later than stabilityWindow after that.
func (s *soak) checkCrashes(crashers []*crasher, faultsEnded time.Time) {
	for _, c := range crashers {
		list := c.crashes()
		early := len(list) - len(executionsAfter(list, faultsEnded))
		late := len(executionsAfter(list, faultsEnded.Add(stabilityWindow)))
		s.log("%s: sent %d times, refused %d times, %d crashes, %d of them late", c.path, c.sent, c.refused, len(list), late)
		s.deployment.history.expect(early < toleratedCrashes || late <= maximumLateCrashes, "%s crashed %d servers, then %d more", c.path, early, late)
	}
}

// log logs a message with the time since the start.
func (s *soak) log(format string, arguments ...any) {
	s.t.Logf("%6.2f s  %s", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// awaitServing waits until every dock has returned an answer that covers all shards.
func (s *soak) awaitServing(ctx context.Context, timeout time.Duration) {
	s.t.Helper()
	probe := &caller{deployment: s.deployment, served: &s.probesServed, sent: &s.probesSent}
	waiting := []int{}
	for i := range dockCount {
		waiting = append(waiting, keeperCount+1+i)
	}
	end := time.Now().Add(timeout)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(host int) bool { return probe.hasFullCoverage(ctx, host) })
		if time.Now().After(end) {
			s.t.Fatalf("docks %v did not serve within %s", waiting, timeout)
		}
		sleep(ctx, pollInterval)
	}
}

// awaitReadBack waits until every keeper has returned a configuration, which must be the newest.
func (s *soak) awaitReadBack(ctx context.Context, timeout time.Duration) {
	s.t.Helper()
	end := time.Now().Add(timeout)
	for host := 1; host <= keeperCount; host++ {
		for !s.deployment.readBack(ctx, host) {
			if time.Now().After(end) {
				s.t.Fatalf("keeper %d did not return the configuration within %s", host, recoveryTimeout)
			}
			sleep(ctx, pollInterval)
		}
	}
}

// expectSteadyService checks the share of requests that the recovered deployment serves.
func (s *soak) expectSteadyService(ctx context.Context) {
	served, sent := s.served.Load(), s.sent.Load()
	sleep(ctx, steadyTime)
	served, sent = s.served.Load()-served, s.sent.Load()-sent
	s.log("%d of %d requests served after the recovery", served, sent)
	s.deployment.history.expect(float64(served) >= minimumServedShare*float64(sent), "only %d of %d requests were served after the recovery", served, sent)
}

// keepLogs copies the settings, logs and data folders of a failed seed to out/soak.
func (s *soak) keepLogs() {
	if !s.t.Failed() {
		return
	}
	test := strings.ReplaceAll(s.t.Name(), "/", "-")
	to := filepath.Join("..", "out", "soak", fmt.Sprintf("%s-%d-%d", test, s.seed, s.startedAt.Unix()))
	if err := os.CopyFS(to, os.DirFS(s.folder)); err != nil {
		s.t.Logf("logs: %v", err)
		return
	}
	s.t.Logf("logs are in %s", to)
}
