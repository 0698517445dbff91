package forwarder_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
)

// crashesServer closes the server that runs the request.
func crashesServer(_ http.ResponseWriter, r *http.Request, _ int) {
	server, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if ok {
		_ = server.Close()
	}
}

// newCrashingDeployment returns a deployment whose servers crash when they run a request. They all
// belong to one service. A server of another service stays, because a dock that reaches no server at
// all cannot tell whether they have crashed.
func newCrashingDeployment(t *testing.T, ids ...string) *deployment {
	t.Helper()
	d := newDeployment(t, ampleBudget)
	for _, id := range ids {
		d.addServer("plates", id, crashesServer)
	}
	d.addServer("other", "other", answers("ok"))
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	return d
}

// crashes returns the crashes that the dock reports for one of the request's two fingerprints.
func (d *deployment) crashes() []encoder.Crash {
	report, _ := d.forwarder.CrashReport()
	if len(report.Crashes) == 0 {
		return nil
	}
	isOther := func(c encoder.Crash) bool { return c.Fingerprint != report.Crashes[0].Fingerprint }
	return slices.DeleteFunc(slices.Clone(report.Crashes), isOther)
}

func TestCrashesAreReportedAndQuarantinedRequestIsRefused(t *testing.T) {
	d := newCrashingDeployment(t, "a", "b")
	d.get()
	waitFor(t, func() bool { return len(d.crashes()) == 2 })
	reported := d.crashes()
	// The two crashes are confirmed independently of each other.
	slices.SortFunc(reported, func(a, b encoder.Crash) int { return cmp.Compare(a.Server, b.Server) })
	assert.Equal(t, reported[0].Fingerprint, reported[1].Fingerprint)
	for i, server := range []encoder.ServerID{"a", "b"} {
		assert.Equal(t, reported[i].Request, "id-1")
		assert.Equal(t, reported[i].Server, server)
		assert.Equal(t, reported[i].IsRepeat, i > 0)
	}

	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: reported[0].Fingerprint, Remaining: time.Minute}})
	before, _ := d.servers["a"].count()
	refused := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, refused.Reason, forwarder.ReasonQuarantined)
	assert.Assert(t, refused.After > 50*time.Second && refused.After <= time.Minute, "%s", refused.After)
	after, _ := d.servers["a"].count()
	assert.Equal(t, after, before, "it did not run")
	assert.Assert(t, strings.Contains(d.requestLog(), `"reason":"quarantined"`), d.requestLog())
}

// TestDockWithoutLinksAccusesARequest cuts the dock off from all servers while it runs requests: their
// losses must not count as crashes, and nothing that it observed of the servers may reach other docks.
func TestDockWithoutLinksAccusesARequest(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	s, l := newLinkedSender()
	d.forwarder = d.newForwarderWith(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1}, s)
	t.Cleanup(func() {
		d.forwarder.Close()
		s.Close()
	})
	for _, id := range []string{"a", "b", "c", "d"} {
		d.addServer("plates", id, answers("ok"))
	}
	d.setRoute(matcher.Route{Idempotent: true, Destination: toPlates, LatencyTarget: 50 * time.Millisecond})
	for range 50 {
		expect[forwarder.Answer](t, d.get())
	}
	d.forwarder.TakeObservations()
	var requests sync.WaitGroup
	for _, server := range d.servers {
		server.mutex.Lock()
		server.handle = after(time.Second, answers("late"))
		server.mutex.Unlock()
	}
	for range 6 {
		requests.Go(func() { d.get() })
	}
	time.Sleep(20 * time.Millisecond)
	l.set(linkReset)
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		d.get()
		assert.Equal(t, len(d.forwarder.TakeObservations()), 0)
		assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
	}
	requests.Wait()
	assert.Assert(t, d.forwarder.IsDetached())
	for _, server := range d.servers {
		server.mutex.Lock()
		server.handle = answers("ok")
		server.mutex.Unlock()
	}
	l.set(linkUp)
	waitFor(t, func() bool { return !d.forwarder.IsDetached() })
	expect[forwarder.Answer](t, d.get())
	// What was observed while the links were down must not count once they are up.
	time.Sleep(time.Second)
	assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
}

func TestLostAnswerIsNotReportedAsCrash(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	for _, id := range []string{"a", "b"} {
		d.addServer("plates", id, dropsConnection)
	}
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	d.get()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(d.crashes()), 0)
}

func TestAnswerAfterACrashClearsTheRequest(t *testing.T) {
	d := newCrashingDeployment(t, "a")
	d.get()
	waitFor(t, func() bool { return len(d.crashes()) == 1 })
	_, version := d.forwarder.CrashReport()
	d.addServer("plates", "b", answers("ok"))
	waitFor(t, func() bool {
		_, isAnswer := d.get().(forwarder.Answer)
		return isAnswer
	})
	assert.Equal(t, len(d.crashes()), 0)
	_, newVersion := d.forwarder.CrashReport()
	assert.Assert(t, newVersion > version, "the withdrawal must be reported")
}

// TestRequestCrashesServersUnderOtherQueries guards against a request that comes again with the same
// path and another query.
func TestRequestCrashesServersUnderOtherQueries(t *testing.T) {
	d := newCrashingDeployment(t, "a", "b", "c", "d", "e", "f")
	send := func(n int) forwarder.Outcome {
		return d.sendTo(context.Background(), "GET", fmt.Sprintf("/x/y?n=%d", n), "", time.Second)
	}
	send(1)
	waitFor(t, func() bool { return len(d.crashes()) == 2 })
	send(2)
	waitFor(t, func() bool {
		report, _ := d.forwarder.CrashReport()
		return len(report.Quarantines) > 0
	})
	expect[forwarder.Refused](t, send(3))
	expect[forwarder.Refused](t, d.sendTo(context.Background(), "GET", "/x/y", "", time.Second))
	// The third crash is noticed before or after the second request is sent to its second server.
	assert.Assert(t, d.totalRequests() <= 4, "%d executions", d.totalRequests())
}

// crashingShards is the number of shards of the tests below. Each shard has two servers.
const crashingShards = 8

// newScatteredDeployment returns a deployment whose servers handle a scattered request with two
// handlers: the first server of each shard that gets it with one, and the second with the other.
func newScatteredDeployment(t *testing.T, first, second handler) *deployment {
	t.Helper()
	d := newDeployment(t, ampleBudget)
	for _, s := range services(crashingShards) {
		arrived := atomic.Int32{}
		for _, id := range []string{"a", "b"} {
			d.addServer(string(s), string(s)+id, func(w http.ResponseWriter, r *http.Request, n int) {
				if arrived.Add(1) == 1 {
					first(w, r, n)
					return
				}
				second(w, r, n)
			})
		}
	}
	d.setRoute(scatterRoute(crashingShards, 5, 0.5, time.Second))
	return d
}

// TestScatteredRequestCrashesAllServersOfAllShards guards against repeats of a request to all shards
// after it has crashed a server of each.
func TestScatteredRequestCrashesAllServersOfAllShards(t *testing.T) {
	d := newScatteredDeployment(t, crashesServer, crashesServer)
	expect[forwarder.Failed](t, d.get())
	assert.Equal(t, d.totalRequests(), crashingShards+1, "one repeat shows that the request is the cause")
	waitFor(t, func() bool {
		report, _ := d.forwarder.CrashReport()
		return len(report.Quarantines) == 2
	})
	assert.Equal(t, expect[forwarder.Refused](t, d.get()).Reason, forwarder.ReasonQuarantined)
	assert.Equal(t, d.totalRequests(), crashingShards+1)
}

// TestHarmlessRequestIsAnsweredAfterAllItsServersCrashed replays servers that fail together while a
// harmless request runs on all of them.
func TestHarmlessRequestIsAnsweredAfterAllItsServersCrashed(t *testing.T) {
	d := newScatteredDeployment(t, crashesServer, answers(record(1)))
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 0)
	assert.Equal(t, d.totalRequests(), 2*crashingShards)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(d.crashes()), 0)
}

// TestLostShardIsRetriedAfterTheFirstAnswer has one server that answers late and seven that lose the
// request at once.
func TestLostShardIsRetriedAfterTheFirstAnswer(t *testing.T) {
	late := atomic.Bool{}
	first := func(w http.ResponseWriter, r *http.Request, n int) {
		if late.CompareAndSwap(false, true) {
			after(20*time.Millisecond, answers(record(9)))(w, r, n)
			return
		}
		dropsConnection(w, r, n)
	}
	d := newScatteredDeployment(t, first, answers(record(1)))
	began := time.Now()
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 0)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

func TestSuspectRequestRunsOnOneServerFirst(t *testing.T) {
	d := newScatteredDeployment(t, crashesServer, crashesServer)
	other := newCrashingDeployment(t, "a")
	other.get()
	waitFor(t, func() bool { return len(other.crashes()) == 1 })
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: other.crashes()[0].Fingerprint}})
	expect[forwarder.Failed](t, d.get())
	assert.Equal(t, d.totalRequests(), 1)
}

// TestOwnerRunsAQuarantinedRequest guards against an owner that trusts a dock which does not know of
// the quarantine yet.
func TestOwnerRunsAQuarantinedRequest(t *testing.T) {
	d := newScatteredDeployment(t, answers(record(1)), answers(record(2)))
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: 5, Remaining: time.Minute}})
	reply, err := d.forwarder.Gather(context.Background(), 1, encoder.GatherRequest{
		Query: 1, Request: "id-1", Fingerprint: 5, Method: "GET", Services: services(crashingShards), Remaining: time.Second,
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.IsDone)
	assert.Equal(t, len(reply.Parts), crashingShards)
	for _, part := range reply.Parts {
		assert.Equal(t, part.Stamp, "")
		assert.Assert(t, !part.HasRun)
	}
	assert.Equal(t, d.totalRequests(), 0)
}

func TestSuspectRequestThatIsAnsweredRunsOnAllShards(t *testing.T) {
	d := newScatteredDeployment(t, answers(record(1)), answers(record(2)))
	other := newCrashingDeployment(t, "a")
	other.get()
	waitFor(t, func() bool { return len(other.crashes()) == 1 })
	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: other.crashes()[0].Fingerprint}})
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 0)
	assert.Equal(t, d.totalRequests(), crashingShards)
}

func TestCrashIsMissedWhileAnotherRequestRuns(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	started := make(chan struct{})
	finish := make(chan struct{})
	d.addServer("plates", "a", func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			close(started)
			<-finish
			answers("ok")(w, r, n)
			return
		}
		_ = d.servers["a"].server.Listener.Close()
		dropsConnection(w, r, n)
	})
	d.addServer("other", "other", answers("ok"))
	d.setRoute(matcher.Route{Idempotent: true, Attempts: 1, Destination: matcher.Single{Service: "plates"}})
	var other sync.WaitGroup
	other.Go(func() { d.send(context.Background(), "POST", "harmless", 2*time.Second) })
	defer other.Wait()
	defer close(finish)
	<-started
	d.get()
	waitFor(t, func() bool { return len(d.crashes()) == 1 })
}

// TestRequestCrashesServersOfOneShardWhileOthersAnswer guards against an answer of one shard that clears
// the request of the crashes of another.
func TestRequestCrashesServersOfOneShardWhileOthersAnswer(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	all := services(crashingShards)
	for i, s := range all {
		h := answers(record(1))
		if i == 0 {
			h = crashesServer
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			d.addServer(string(s), string(s)+id, h)
		}
	}
	d.setRoute(scatterRoute(crashingShards, 5, 0.5, time.Second))
	for turn := range 3 {
		expect[forwarder.Gathered](t, d.get())
		waitFor(t, func() bool { return d.forwarder.CrashStats().Crashes > 2*turn })
		d.forgetCrashed(all[0])
		// A request that comes later than the end of a server is held responsible for the next one.
		time.Sleep(600 * time.Millisecond)
	}
	assert.Equal(t, expect[forwarder.Refused](t, d.get()).Reason, forwarder.ReasonQuarantined)
}

// TestRequestThatOthersAnswerIsIsolatedAfterServersOfOneShardFailed guards against a harmless request that
// comes often, while all servers of a shard fail at once.
func TestRequestThatOthersAnswerIsIsolatedAfterServersOfOneShardFailed(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	all := services(crashingShards)
	for i, s := range all {
		h := answers(record(1))
		if i == 0 {
			h = crashesServerLater
		}
		for _, id := range []string{"a", "b"} {
			d.addServer(string(s), string(s)+id, h)
		}
	}
	d.setRoute(scatterRoute(crashingShards, 5, 0.5, time.Second))
	var requests sync.WaitGroup
	for range 10 {
		requests.Go(func() { expect[forwarder.Gathered](t, d.get()) })
	}
	requests.Wait()
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, d.forwarder.CrashStats().Crashes > 0)
	for range 10 {
		expect[forwarder.Gathered](t, d.get())
	}
}

// forgetCrashed removes the servers of a service that have got a request, as the keepers do some time
// after a crash.
func (d *deployment) forgetCrashed(service identifier.ServiceName) {
	d.services[service] = slices.DeleteFunc(d.services[service], func(s locator.Server) bool {
		n, _ := d.servers[s.ID].count()
		return n > 0
	})
	d.forwarder.UpdateServers(d.services)
}

// TestSuspectedRequestIsTriedOnTheSameServersByAllDocks guards against trials of several docks on a server
// each. One further server is tried if the first one is down.
func TestSuspectedRequestIsTriedOnTheSameServersByAllDocks(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	ids := []string{"a", "b", "c", "d", "e"}
	for _, id := range ids {
		d.addServer("plates", id, crashesServer)
	}
	d.addServer("other", "other", answers("ok"))
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	first := d.forwarder
	second := d.newForwarder(forwarder.Settings{Domain: "two", Budget: ampleBudget, Seed: 2})
	t.Cleanup(second.Close)
	second.UpdateServers(d.services)
	second.Configure(first.Table())
	list := []encoder.Quarantine{{Fingerprint: fingerprintOf(t), Service: "plates"}}
	first.SetQuarantines(list)
	second.SetQuarantines(list)
	for _, dock := range []*forwarder.Forwarder{first, second, first, second} {
		d.forwarder = dock
		d.get()
	}
	assert.Equal(t, d.totalRequests(), 2)
	assert.Equal(t, expect[forwarder.Refused](t, d.get()).Reason, forwarder.ReasonSuspected)
}

// TestInnocentRequestIsRefusedAfterOneCrash guards against a request that is tried on certain servers only
// because a single server of its service has crashed.
func TestInnocentRequestIsRefusedAfterOneCrash(t *testing.T) {
	// The servers on which a request is tried depend on its path.
	for i := range 8 {
		d := newCrashingDeployment(t, "a")
		get := func() forwarder.Outcome {
			return d.sendTo(context.Background(), "GET", fmt.Sprintf("/x/%d", i), "", time.Second)
		}
		get()
		waitFor(t, func() bool { return len(d.crashes()) == 1 })
		d.addServer("plates", "b", answers("ok"))
		expect[forwarder.Answer](t, get())
	}
}

// TestSuspectedRequestIsTriedWhereItCrashedServers guards against a request that is tried at a shard that
// answers it, and then sent to the one whose servers it crashes.
func TestSuspectedRequestIsTriedWhereItCrashedServers(t *testing.T) {
	for _, s := range services(crashingShards) {
		d := newScatteredDeployment(t, crashesServer, crashesServer)
		d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: fingerprintOf(t), Service: s}})
		expect[forwarder.Failed](t, d.get())
		assert.Equal(t, d.totalRequests(), 1)
		a, _ := d.servers[encoder.ServerID(string(s)+"a")].count()
		b, _ := d.servers[encoder.ServerID(string(s)+"b")].count()
		assert.Equal(t, a+b, 1)
	}
}

// TestInnocentRequestsCrowdOutTheOneThatCrashesServers guards against a table of suspects that is full of
// requests which ran beside others when servers ended.
func TestInnocentRequestsCrowdOutTheOneThatCrashesServers(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.servedBy(after(5*time.Second, answers("late")), "a")
	for round := range 8 {
		var requests sync.WaitGroup
		for i := range 40 {
			requests.Go(func() {
				d.sendTo(context.Background(), "GET", fmt.Sprintf("/x/%d/%d", round, i), "", 100*time.Millisecond)
			})
		}
		requests.Wait()
	}
	d.forwarder.SetEndedServers([]locator.End{{Start: locator.Start{Server: "a", Born: 1}, Latest: time.Now()}})
	suspects := d.forwarder.CrashStats().Suspects
	assert.Assert(t, suspects >= 64 && suspects <= 256, "%d", suspects)
	d.services["plates"] = nil
	d.addServer("plates", "b", crashesServer)
	d.get()
	waitFor(t, func() bool {
		report, _ := d.forwarder.CrashReport()
		return slices.ContainsFunc(report.Crashes, func(c encoder.Crash) bool { return c.Server == "b" })
	})
}
