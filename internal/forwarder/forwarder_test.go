package forwarder_test

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// ampleBudget is a repeat budget that the tests never use up.
var ampleBudget = selector.BudgetLimits{Ratio: 1, Slack: 100}

// noRepeatBudget is a repeat budget that allows no repeats.
var noRepeatBudget = selector.BudgetLimits{}

// toPlates sends all requests to the service "plates".
var toPlates = matcher.Single{Service: "plates"}

func TestAnswerIsPassedOn(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", answers("whole answer"))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	a := expect[forwarder.Answer](t, d.get())
	assert.Equal(t, string(a.Reply.Body), "whole answer")
	assert.Equal(t, a.Reply.Header.Get("Stamp"), "stamp-of-a")
}

func TestRequestWithoutConfigurationOrRouteIsNotSent(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	r := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, r.Reason, forwarder.ReasonNoConfiguration)
	assert.Assert(t, r.After > 0)
	d.setRoute(matcher.Route{Destination: toPlates})
	o := d.forwarder.Handle(context.Background(), &forwarder.Request{Path: "/other/", Arrived: time.Now()})
	expect[forwarder.NoRoute](t, o)
}

func TestNoServerIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	began := time.Now()
	r := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, r.Reason, forwarder.ReasonNoServer)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, failure := range map[string]handler{"fails": fails, "breaks": dropsConnection, "rejects": rejects} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ampleBudget)
			bad := d.addServer("plates", "a", failure)
			d.addServer("plates", "b", answers("good"))
			d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
			for range 10 {
				a := expect[forwarder.Answer](t, d.get())
				assert.Equal(t, string(a.Reply.Body), "good")
			}
			n, _ := bad.count()
			assert.Assert(t, n <= 5, "the failing server received %d requests", n)
		})
	}
}

func TestServerErrorIsPassedOnWhenAllServersFail(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", fails)
	d.addServer("plates", "b", fails)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	a := expect[forwarder.Answer](t, d.get())
	assert.Equal(t, a.Reply.Status, http.StatusInternalServerError)
}

func TestBudgetStopsRetries(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	a := d.addServer("plates", "a", dropsConnection)
	b := d.addServer("plates", "b", dropsConnection)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	f := expect[forwarder.Failed](t, d.get())
	assert.Equal(t, f.Reason, forwarder.ReasonLost)
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

// TestNonIdempotentRequestRunsOnce checks that a non-idempotent request is not sent to another
// server after its connection was dropped, because it may already have run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	a := d.addServer("plates", "a", dropsConnection)
	b := d.addServer("plates", "b", dropsConnection)
	d.setRoute(matcher.Route{Destination: toPlates})
	expect[forwarder.Failed](t, d.send(context.Background(), "POST", "body", time.Second))
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	a := d.addServer("plates", "a", after(200*time.Millisecond, answers("slow")))
	b := d.addServer("plates", "b", after(200*time.Millisecond, answers("slow")))
	d.setRoute(matcher.Route{Destination: toPlates, LatencyTarget: 50 * time.Millisecond})
	expect[forwarder.Answer](t, d.send(context.Background(), "POST", "body", time.Second))
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

// TestRejectedRequestIsSentToAnotherServer checks that a non-idempotent request is sent to another
// server if the first one replied that it did not run it.
func TestRejectedRequestIsSentToAnotherServer(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", rejects)
	d.addServer("plates", "b", answers("good"))
	d.setRoute(matcher.Route{Destination: toPlates})
	for range 4 {
		expect[forwarder.Answer](t, d.send(context.Background(), "POST", "body", time.Second))
	}
}

func TestRequestRejectedByAllServersIsRefused(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", rejects)
	d.addServer("plates", "b", rejects)
	d.setRoute(matcher.Route{Destination: toPlates})
	r := expect[forwarder.Refused](t, d.send(context.Background(), "POST", "body", time.Second))
	assert.Equal(t, r.Reason, forwarder.ReasonNotRun)
}

func TestUnresponsiveServerFailsAtTheTimeout(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	a := d.addServer("plates", "a", after(time.Minute, answers("late")))
	d.setRoute(matcher.Route{Destination: toPlates})
	began := time.Now()
	f := expect[forwarder.Failed](t, d.send(context.Background(), "POST", "body", 200*time.Millisecond))
	assert.Equal(t, f.Reason, forwarder.ReasonTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second)
	waitFor(t, func() bool { _, cancelled := a.count(); return cancelled == 1 })
}

func TestCallerDisconnectCancelsTheServerRequest(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	a := d.addServer("plates", "a", after(time.Minute, answers("late")))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	f := expect[forwarder.Failed](t, d.send(ctx, "GET", "", time.Minute))
	assert.Equal(t, f.Reason, forwarder.ReasonCallerLeft)
	waitFor(t, func() bool { _, cancelled := a.count(); return cancelled == 1 })
}

// waitFor waits until a condition holds, and fails the test after about 5 seconds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition does not hold after 5 seconds")
}

// TestUnansweredRequestIsNotKept guards against requests whose bodies stay in memory, uncounted, for as long as it is
// watched whether a server ends that has not answered them.
func TestUnansweredRequestIsNotKept(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", after(time.Minute, answers("late")))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	body := d.sendUnanswered()
	waitFor(t, func() bool { return d.forwarder.CrashStats().Unanswered.Left == 1 })
	for range 300 {
		runtime.GC()
		if body.Value() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the body is still in memory")
}

// sendUnanswered sends a request that no server answers in time. It returns a pointer to the body that does not keep it.
func (d *deployment) sendUnanswered() weak.Pointer[byte] {
	body := make([]byte, 1<<20)
	expect[forwarder.Failed](d.t, d.forwarder.Handle(context.Background(), &forwarder.Request{
		Request: sender.Request{
			ID: "id-1", Method: http.MethodPost, Target: "/x/y", Host: "a.example", Header: http.Header{"Request": {"id-1"}}, Body: body,
		},
		Path: "/x/y", Arrived: time.Now(), Timeout: 100 * time.Millisecond,
	}))
	return weak.Make(&body[0])
}

func TestUnreachableServerIsSkipped(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.register("plates", "gone", netip.MustParseAddrPort("127.0.0.1:1"))
	d.addServer("plates", "b", answers("good"))
	d.setRoute(matcher.Route{Destination: toPlates})
	for range 5 {
		expect[forwarder.Answer](t, d.send(context.Background(), "POST", "body", time.Second))
	}
}

func TestWeightedRouteFollowsTheWeights(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	a := d.addServer("plates", "a", answers("a"))
	b := d.addServer("tickets", "b", answers("b"))
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Weighted{Shares: []matcher.Share{
		{Service: "plates", Weight: 3}, {Service: "tickets", Weight: 1},
	}}})
	for range 40 {
		expect[forwarder.Answer](t, d.get())
	}
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA, 30)
	assert.Equal(t, requestsB, 10)
}

// TestLogListsTheAttemptsOfAFailedRequest checks that the log line with the request's ID lists the
// servers that were tried and the outcome of each attempt.
func TestLogListsTheAttemptsOfAFailedRequest(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", dropsConnection)
	d.addServer("plates", "b", dropsConnection)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	expect[forwarder.Failed](t, d.get())
	line := d.requestLog()
	for _, part := range []string{
		`"request":"id-1"`, `"configuration":1`, `"outcome":"failed"`, `"reason":"lost"`,
		`"cause":"first"`, `"cause":"retry"`, `"server":"a"`, `"server":"b"`, `"outcome":"lost"`,
	} {
		assert.Assert(t, strings.Contains(line, part), "%s does not contain %s", line, part)
	}
}

// services returns the names of the first n shards.
func services(n int) []identifier.ServiceName {
	names := []identifier.ServiceName{}
	for i := range n {
		names = append(names, identifier.ServiceName("shard-"+string(rune('a'+i))))
	}
	return names
}

// TestCongestionRefusalLogsTheAdmissionState checks that the log line of a refusal for congestion
// contains the state of the servers and the admitted share. Both change quickly, so they cannot be
// looked up later.
func TestCongestionRefusalLogsTheAdmissionState(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", fullyLoaded)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	// The admitted share falls at most ten times per second.
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, ok := d.get().(forwarder.Refused); ok {
			break
		}
	}
	line := d.requestLog()
	for _, part := range []string{`"outcome":"refused"`, `"reason":"congested"`, `"congested":true`, `"returned":`, `"admitted_percent":`} {
		assert.Assert(t, strings.Contains(line, part), "%s does not contain %s", line, part)
	}
}
