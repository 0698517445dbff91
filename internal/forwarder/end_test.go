package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// crashesServerLater lets a request run for a while before it closes its server, also if the request
// is given up meanwhile.
func crashesServerLater(w http.ResponseWriter, r *http.Request, n int) {
	time.Sleep(50 * time.Millisecond)
	crashesServer(w, r, n)
}

// servedBy sets a route to one service whose requests have one handler.
func (d *deployment) servedBy(h handler, ids ...string) {
	for _, id := range ids {
		d.addServer("plates", id, h)
	}
	d.addServer("other", "other", answers("ok"))
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
}

func TestCrashIsMissedAfterTheCallerLeft(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.servedBy(crashesServerLater, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	d.send(ctx, "GET", "", time.Second)
	waitFor(t, func() bool { return d.forwarder.CrashStats().Crashes > 0 })
	assert.Equal(t, len(d.crashes()), 1)
	assert.Equal(t, d.crashes()[0].Server, encoder.ServerID("a"))
}

// TestCrashIsMissedAfterTheQueryFailed has so many shards without a server that the query fails while
// the others run the request.
func TestCrashIsMissedAfterTheQueryFailed(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	for i, s := range services(crashingShards) {
		h := crashesServerLater
		if i >= crashingShards/2 {
			h = after(20*time.Millisecond, fails)
		}
		d.addServer(string(s), string(s)+"a", h)
	}
	d.addServer("other", "other", answers("ok"))
	d.setRoute(scatterRoute(crashingShards, 5, 0.9, time.Second))
	expect[forwarder.Failed](t, d.get())
	waitFor(t, func() bool { return d.forwarder.CrashStats().Suspects > 0 && len(d.crashes()) >= 3 })
}

func TestCrashIsMissedOfAServerThatHangs(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.servedBy(after(5*time.Second, answers("late")), "a", "b")
	sent := time.Now()
	d.send(context.Background(), "GET", "", 100*time.Millisecond)
	assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
	end := locator.End{Start: locator.Start{Server: "a", Born: 1}, Earliest: sent.Add(-time.Second), Latest: time.Now()}
	d.forwarder.SetEndedServers([]locator.End{end})
	d.forwarder.SetEndedServers([]locator.End{end})
	assert.Equal(t, len(d.crashes()), 1)
	assert.Equal(t, d.crashes()[0].Server, encoder.ServerID("a"))
}

// TestGivenUpRequestOfALivingServerIsAccused guards against requests that are held responsible for a
// server which ends long after, or leaves.
func TestGivenUpRequestOfALivingServerIsAccused(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.servedBy(after(50*time.Millisecond, answers("ok")), "a")
	d.send(context.Background(), "GET", "", 30*time.Millisecond)
	time.Sleep(1100 * time.Millisecond)
	expect[forwarder.Answer](t, d.sendTo(context.Background(), "GET", "/x/other", "", time.Second))
	d.forwarder.SetEndedServers([]locator.End{{Start: locator.Start{Server: "a", Born: 1}, Latest: time.Now()}})
	assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
	d.send(context.Background(), "GET", "", 30*time.Millisecond)
	d.forwarder.UpdateServers(map[identifier.ServiceName][]locator.Server{})
	time.Sleep(time.Second)
	assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
}

// TestRepeatAfterARetryThatWasNotSentIsFree guards against repeats beyond the budget when a server loses
// a request and the next one refuses connections.
func TestRepeatAfterARetryThatWasNotSentIsFree(t *testing.T) {
	const slack, sent = 20, 100
	d := newDeployment(t, selector.BudgetLimits{Slack: slack, Window: time.Minute})
	for _, id := range []string{"first", "refuses", "last"} {
		d.addServer("plates", id, dropsConnection)
	}
	d.servers["refuses"].server.Close()
	d.setRoute(matcher.Route{Idempotent: true, Attempts: 3, Destination: matcher.Single{Service: "plates"}})
	for n := range sent {
		// A later start of a server has no failures yet, so that it is chosen before the last one.
		list := d.services["plates"]
		list[0].Born, list[1].Born = int64(n+2), int64(n+2)
		list[1].ColdUntil = time.Now().Add(time.Minute)
		d.forwarder.UpdateServers(d.services)
		d.get()
	}
	assert.Assert(t, d.totalRequests() <= sent+slack, "%d", d.totalRequests())
}

// TestReplacedServerIsAskedAgainAndAgain guards against a dock that does not hear from the keepers and
// sends requests to the addresses of servers that others have taken over.
func TestReplacedServerIsAskedAgainAndAgain(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", isAnotherServer)
	d.addServer("plates", "b", after(20*time.Millisecond, answers("ok")))
	d.setRoute(matcher.Route{Idempotent: true, Destination: toPlates})
	const callers, each = 10, 10
	send := func() {
		var requests sync.WaitGroup
		for range callers {
			requests.Go(func() {
				for range each {
					expect[forwarder.Answer](t, d.get())
				}
			})
		}
		requests.Wait()
	}
	send()
	n, _ := d.servers["a"].count()
	assert.Assert(t, n <= callers, "%d of %d requests", n, callers*each)
	// A later start has the address again.
	d.servers["a"].mutex.Lock()
	d.servers["a"].handle = answers("ok")
	d.servers["a"].mutex.Unlock()
	d.services["plates"][0].Born++
	d.forwarder.UpdateServers(d.services)
	send()
	n, _ = d.servers["a"].count()
	assert.Assert(t, n > 2*callers, "%d", n)
}

// TestRequestThatWaitsForAConnectionIsAccused guards against requests that are held responsible for the
// end of a server before any byte of them was sent.
func TestRequestThatWaitsForAConnectionIsAccused(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	dialing := make(chan struct{})
	s := newTestSender(sender.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	d.forwarder = d.newForwarderWith(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1}, s)
	t.Cleanup(func() {
		d.forwarder.Close()
		s.Close()
	})
	d.addServer("plates", "a", answers("ok"))
	d.setRoute(matcher.Route{Idempotent: true, Attempts: 1, Destination: toPlates})
	var requests sync.WaitGroup
	requests.Go(func() { d.send(context.Background(), "GET", "", 200*time.Millisecond) })
	<-dialing
	d.forwarder.SetEndedServers([]locator.End{{Start: locator.Start{Server: "a", Born: 1}, Latest: time.Now()}})
	requests.Wait()
	assert.Equal(t, d.forwarder.CrashStats().Crashes, 0)
}
