package forwarder_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
)

// ample is a budget that is never used up.
var ample = selector.BudgetLimits{Ratio: 1, Slack: 100}

// tight is a budget without repeats.
var tight = selector.BudgetLimits{}

// single sends all requests to the service "plates".
var single = matcher.Single{Service: "plates"}

func TestAnswerIsPassedOn(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", answers("whole answer"))
	d.route(matcher.Route{Destination: single, Idempotent: true})
	a := expect[forwarder.Answer](t, d.get())
	assert.Equal(t, string(a.Reply.Body), "whole answer")
	assert.Equal(t, a.Reply.Header.Get("Stamp"), "stamp of a")
}

func TestRequestsOutsideTheConfiguration(t *testing.T) {
	d := newDeployment(t, ample)
	r := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, r.Reason, forwarder.ReasonNoConfiguration)
	assert.Assert(t, r.After > 0)
	d.route(matcher.Route{Destination: single})
	o := d.forwarder.Handle(context.Background(), &forwarder.Request{Path: "/other/", Arrived: time.Now()})
	expect[forwarder.NoRoute](t, o)
}

func TestNoServerIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t, ample)
	d.route(matcher.Route{Destination: single, Idempotent: true})
	began := time.Now()
	r := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, r.Reason, forwarder.ReasonNoServer)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, failure := range map[string]handler{"fails": fails, "breaks": breaks, "rejects": rejects} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ample)
			bad := d.add("plates", "a", failure)
			d.add("plates", "b", answers("good"))
			d.route(matcher.Route{Destination: single, Idempotent: true})
			for range 10 {
				a := expect[forwarder.Answer](t, d.get())
				assert.Equal(t, string(a.Reply.Body), "good")
			}
			n, _ := bad.count()
			assert.Assert(t, n <= 5, "the failing server was asked %d times", n)
		})
	}
}

func TestServersOwnFailureIsPassedOn(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", fails)
	d.add("plates", "b", fails)
	d.route(matcher.Route{Destination: single, Idempotent: true})
	a := expect[forwarder.Answer](t, d.get())
	assert.Equal(t, a.Reply.Status, http.StatusInternalServerError)
}

func TestBudgetStopsRetries(t *testing.T) {
	d := newDeployment(t, tight)
	a := d.add("plates", "a", breaks)
	b := d.add("plates", "b", breaks)
	d.route(matcher.Route{Destination: single, Idempotent: true})
	f := expect[forwarder.Failed](t, d.get())
	assert.Equal(t, f.Reason, forwarder.ReasonLost)
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

// TestOtherRequestsRunOnce breaks the connection of a request that may run once: it may have
// run, and no other server gets it.
func TestOtherRequestsRunOnce(t *testing.T) {
	d := newDeployment(t, ample)
	a := d.add("plates", "a", breaks)
	b := d.add("plates", "b", breaks)
	d.route(matcher.Route{Destination: single})
	expect[forwarder.Failed](t, d.ask(context.Background(), "POST", "body", time.Second))
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

func TestOtherRequestsAreNotHedged(t *testing.T) {
	d := newDeployment(t, ample)
	a := d.add("plates", "a", after(200*time.Millisecond, answers("slow")))
	b := d.add("plates", "b", after(200*time.Millisecond, answers("slow")))
	d.route(matcher.Route{Destination: single, LatencyTarget: 50 * time.Millisecond})
	expect[forwarder.Answer](t, d.ask(context.Background(), "POST", "body", time.Second))
	requestsA, _ := a.count()
	requestsB, _ := b.count()
	assert.Equal(t, requestsA+requestsB, 1)
}

// TestRejectedRequestRunsElsewhere lets a server say that it did not run a request that may
// run once. Another server may then get it.
func TestRejectedRequestRunsElsewhere(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", rejects)
	d.add("plates", "b", answers("good"))
	d.route(matcher.Route{Destination: single})
	for range 4 {
		expect[forwarder.Answer](t, d.ask(context.Background(), "POST", "body", time.Second))
	}
}

func TestRejectedEverywhereIsRefused(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", rejects)
	d.add("plates", "b", rejects)
	d.route(matcher.Route{Destination: single})
	r := expect[forwarder.Refused](t, d.ask(context.Background(), "POST", "body", time.Second))
	assert.Equal(t, r.Reason, forwarder.ReasonNotRun)
}

func TestSilentServerEndsAtTheTimeout(t *testing.T) {
	d := newDeployment(t, tight)
	a := d.add("plates", "a", after(time.Minute, answers("late")))
	d.route(matcher.Route{Destination: single})
	began := time.Now()
	f := expect[forwarder.Failed](t, d.ask(context.Background(), "POST", "body", 200*time.Millisecond))
	assert.Equal(t, f.Reason, forwarder.ReasonTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second)
	waitFor(t, func() bool { _, left := a.count(); return left == 1 })
}

func TestServerLearnsOfACallerWhoLeft(t *testing.T) {
	d := newDeployment(t, tight)
	a := d.add("plates", "a", after(time.Minute, answers("late")))
	d.route(matcher.Route{Destination: single, Idempotent: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	f := expect[forwarder.Failed](t, d.ask(ctx, "GET", "", time.Minute))
	assert.Equal(t, f.Reason, forwarder.ReasonCallerLeft)
	waitFor(t, func() bool { _, left := a.count(); return left == 1 })
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition does not come to hold")
}

func TestUnreachableServerIsPassedOver(t *testing.T) {
	d := newDeployment(t, tight)
	d.register("plates", "gone", netip.MustParseAddrPort("127.0.0.1:1"))
	d.add("plates", "b", answers("good"))
	d.route(matcher.Route{Destination: single})
	for range 5 {
		expect[forwarder.Answer](t, d.ask(context.Background(), "POST", "body", time.Second))
	}
}

func TestWeightsAreKept(t *testing.T) {
	d := newDeployment(t, ample)
	a := d.add("plates", "a", answers("a"))
	b := d.add("tickets", "b", answers("b"))
	d.route(matcher.Route{Idempotent: true, Destination: matcher.Weighted{Shares: []matcher.Share{
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

// TestLogTellsTheStoryOfAFailure finds in the log, by the request's id, which servers were
// asked and what became of it.
func TestLogTellsTheStoryOfAFailure(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", breaks)
	d.add("plates", "b", breaks)
	d.route(matcher.Route{Destination: single, Idempotent: true})
	expect[forwarder.Failed](t, d.get())
	line := d.logged()
	for _, part := range []string{
		`"request":"id-1"`, `"configuration":1`, `"outcome":"failed"`, `"reason":"lost"`,
		`"cause":"first"`, `"cause":"retry"`, `"server":"a"`, `"server":"b"`, `"outcome":"lost"`,
	} {
		assert.Assert(t, strings.Contains(line, part), "%s lacks %s", line, part)
	}
}

// services names numbered shards.
func services(n int) []identifier.ServiceName {
	names := []identifier.ServiceName{}
	for i := range n {
		names = append(names, identifier.ServiceName("shard-"+string(rune('a'+i))))
	}
	return names
}

// TestRefusalLogsWhatItRestedOn: a refusal for congestion names the state of the servers and the
// share that is let in, since both have changed by the time anyone asks.
func TestRefusalLogsWhatItRestedOn(t *testing.T) {
	d := newDeployment(t, ample)
	d.add("plates", "a", fullyLoaded)
	d.route(matcher.Route{Destination: single, Idempotent: true})
	// The share falls ten times a second at most.
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, ok := d.get().(forwarder.Refused); ok {
			break
		}
	}
	line := d.logged()
	for _, part := range []string{`"outcome":"refused"`, `"reason":"congested"`, `"congested":true`, `"returned":`, `"admitted_percent":`} {
		assert.Assert(t, strings.Contains(line, part), "%s lacks %s", line, part)
	}
}
