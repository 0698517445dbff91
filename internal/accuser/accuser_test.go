package accuser_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/accuser"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/locator"
)

// epoch is the time at which the tests begin.
var epoch = time.Unix(1000, 0)

// at returns a time of a test.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// runOf returns the run of a request at a server.
func runOf(request, server string) accuser.Run {
	return accuser.Run{Start: locator.Start{Server: encoder.ServerID(server), Born: 1}, Request: request}
}

// endBetween returns the end of the server s between two times.
func endBetween(earliest, latest float64) locator.End {
	return locator.End{Start: locator.Start{Server: "s", Born: 1}, Earliest: at(earliest), Latest: at(latest)}
}

// requests returns the requests of runs.
func requests(runs []accuser.Run) string {
	text := ""
	for _, r := range runs {
		text += r.Request + " "
	}
	return text
}

func TestGivenUpRequestIsAccused(t *testing.T) {
	a := accuser.New()
	r := a.Begin(at(0), runOf("r", "s"))
	a.Left(at(0.02), r)
	assert.Equal(t, requests(a.Ended(endBetween(0, 0.5))), "r ")
	assert.Equal(t, len(a.Ended(endBetween(0, 0.5))), 0, "one end accuses once")
	assert.Assert(t, !a.Left(at(1), r))
}

func TestRequestIsAccusedWhileItWaits(t *testing.T) {
	a := accuser.New()
	a.Begin(at(0), runOf("r", "s"))
	assert.Equal(t, requests(a.Ended(endBetween(-0.3, 0.2))), "r ")
}

func TestOnlyRequestsAroundTheEndAreAccused(t *testing.T) {
	a := accuser.New()
	for request, sent := range map[string]float64{"long before": 0, "before": 4.5, "after": 6} {
		a.Left(at(sent+0.1), a.Begin(at(sent), runOf(request, "s")))
	}
	a.Begin(at(5), accuser.Run{Start: locator.Start{Server: "s", Born: 2}, Request: "later start"})
	a.NotRun(a.Begin(at(4.5), runOf("not sent", "s")))
	assert.Equal(t, requests(a.Ended(endBetween(4.9, 5.4))), "before ")
	assert.Assert(t, a.HasRuns(locator.Start{Server: "s", Born: 2}))
	assert.Assert(t, !a.HasRuns(locator.Start{Server: "s", Born: 1}))
}

func TestServerThatAnswersLaterClearsEarlierRequests(t *testing.T) {
	a := accuser.New()
	a.Left(at(0), a.Begin(at(0), runOf("outlived", "s")))
	a.Left(at(2.5), a.Begin(at(2.4), runOf("just left", "s")))
	a.Answered(at(3), a.Begin(at(2.9), runOf("answered", "s")))
	assert.Equal(t, requests(a.Ended(locator.End{Start: locator.Start{Server: "s", Born: 1}, Latest: at(4)})), "just left ")
}

func TestFewServersOfEachRequestAreChecked(t *testing.T) {
	a := accuser.New()
	for i := range 20 {
		a.Left(at(0), a.Begin(at(0), runOf("wide", fmt.Sprint("s", i))))
	}
	a.Left(at(0), a.Begin(at(0), runOf("other", "s0")))
	assert.Equal(t, len(a.TakeChecks(at(0.1), 100)), 0, "other traffic may show that the servers live")
	checks := a.TakeChecks(at(0.5), 100)
	assert.Equal(t, requests(checks), "wide wide wide ", "one check of a server serves all its requests")
	assert.Equal(t, requests(a.TakeChecks(at(0.7), 100)), "other ")
	assert.Equal(t, len(a.TakeChecks(at(1), 100)), 0)
}

func TestRunsAreBoundedInNumberAndTime(t *testing.T) {
	a := accuser.New()
	for i := range 20_000 {
		now := at(float64(i) / 20_000)
		a.Left(now, a.Begin(now, runOf(fmt.Sprint(i), fmt.Sprint("s", i%100))))
	}
	stats := a.Stats()
	assert.Assert(t, stats.Left <= 4096, "%d", stats.Left)
	assert.Assert(t, stats.Dropped >= 20_000-4096 && stats.Dropped <= 20_000-4096+512, "%d", stats.Dropped)
	assert.Equal(t, len(a.TakeChecks(at(20), 100)), 0)
	assert.Equal(t, a.Stats().Left, 0)
	assert.Assert(t, !a.HasRuns(locator.Start{Server: "s0", Born: 1}))
}
