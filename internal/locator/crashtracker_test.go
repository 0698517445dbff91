package locator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
)

// suspect is the fingerprint of the tests' requests.
const suspect identifier.Fingerprint = 7

// crashesOf returns crashes of as many servers during one request. The last ones are repeats.
func crashesOf(request string, servers, repeats int) []encoder.Crash {
	crashes := []encoder.Crash{}
	for i := range servers {
		crashes = append(crashes, encoder.Crash{
			Fingerprint: suspect, Request: request, Server: encoder.ServerID(fmt.Sprint(request, i)), IsRepeat: i >= servers-repeats,
		})
	}
	return crashes
}

// expectQuarantine checks that the suspect is the only fingerprint on the list, and how long it is
// quarantined.
func expectQuarantine(t *testing.T, c *locator.CrashTracker, now time.Time, remaining time.Duration) {
	t.Helper()
	list := c.Quarantines(now)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0], encoder.Quarantine{Fingerprint: suspect, Remaining: remaining})
}

// TestOneRequestCrashesServersOfAllShards guards against counting requests instead of servers.
func TestOneRequestCrashesServersOfAllShards(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Report(now, 1, crashesOf("a", 4, 1))
	expectQuarantine(t, c, now, locator.QuarantineTime)
}

func TestCrashesReportedByDifferentDocksAddUp(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Report(now, 1, crashesOf("a", 2, 1))
	assert.Equal(t, len(c.Quarantines(now)), 0)
	c.Report(now, 1, crashesOf("a", 2, 1))
	assert.Equal(t, len(c.Quarantines(now)), 0, "a repeated report adds nothing")
	findings := c.Report(now, 2, crashesOf("b", 1, 0))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Count, 3)
	assert.Assert(t, findings[0].IsQuarantined)
	expectQuarantine(t, c, now, locator.QuarantineTime)
}

// TestServersThatCrashTogetherIncriminateNoRequest replays the loss of many servers at once, on which
// harmless requests were running.
func TestServersThatCrashTogetherIncriminateNoRequest(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for dock := range 5 {
		c.Report(now, identifier.Incarnation(dock), crashesOf(fmt.Sprint("r", dock), 10, 0))
	}
	expectQuarantine(t, c, now, 0)
}

// TestRequestCrashesServersInTurnBeforeAnyCrashIsKnown guards against requests that come again before
// the crashes of the earlier ones are noticed, so that no dock marks them as repeats.
func TestRequestCrashesServersInTurnBeforeAnyCrashIsKnown(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	report := func(request string, sentAgo, endedAgo time.Duration) []encoder.Crash {
		crashes := crashesOf(request, 2, 0)
		for i := range crashes {
			crashes[i].SentAgo, crashes[i].EndedAgo = sentAgo, endedAgo
		}
		return crashes
	}
	c.Report(now, 1, report("a", 3*time.Second, 2*time.Second))
	c.Report(now, 2, report("b", 2200*time.Millisecond, time.Second))
	expectQuarantine(t, c, now, 0)
	c.Report(now.Add(time.Second), 1, report("a", 4*time.Second, 3*time.Second))
	expectQuarantine(t, c, now, 0)
	c.Report(now.Add(time.Second), 3, report("c", time.Second, time.Second/2))
	expectQuarantine(t, c, now.Add(time.Second), locator.QuarantineTime)
}

// TestRequestThatComesOftenIsQuarantinedWhenServersFailInTurn guards against a harmless request that runs
// on every server of a deployment at any time, while servers of one service after the other fail.
func TestRequestThatComesOftenIsQuarantinedWhenServersFailInTurn(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for dock := range 10 {
		now = now.Add(time.Second)
		crashes := crashesOf(fmt.Sprint("r", dock), 2, 0)
		for i := range crashes {
			crashes[i].Service = identifier.ServiceName(fmt.Sprint("shard-", dock))
			crashes[i].SentAgo, crashes[i].EndedAgo = 100*time.Millisecond, 50*time.Millisecond
			crashes[i].IsPartial = true
		}
		c.Report(now, identifier.Incarnation(dock), crashes)
	}
	assert.Equal(t, len(c.Quarantines(now)), 0)
}

// TestServersOfOneShardCrashInTurnWhileOthersAnswer guards against a request that crashes the servers of a
// single shard.
func TestServersOfOneShardCrashInTurnWhileOthersAnswer(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for dock := range 3 {
		assert.Equal(t, len(c.Quarantines(now)), 0)
		crashes := crashesOf(fmt.Sprint("r", dock), 1, 0)
		crashes[0].Service, crashes[0].IsPartial = "shard-1", true
		crashes[0].SentAgo, crashes[0].EndedAgo = 200*time.Millisecond, 50*time.Millisecond
		now = now.Add(time.Second)
		c.Report(now, identifier.Incarnation(dock), crashes)
	}
	expectQuarantine(t, c, now, locator.QuarantineTime)
}

func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Report(now, 1, crashesOf("a", 2, 1))
	c.Report(now, 1, nil)
	c.Report(now, 2, crashesOf("b", 2, 1))
	assert.Equal(t, len(c.Quarantines(now)), 0)
}

func TestOldReportsExpire(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Report(now, 1, crashesOf("a", 2, 1))
	later := now.Add(locator.CrashWindow + time.Second)
	c.Report(later, 2, crashesOf("b", 1, 0))
	assert.Equal(t, len(c.Quarantines(later)), 0)
}

func TestRequestIsQuarantinedAgainAfterOneCrash(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	c.Report(now, 1, crashesOf("a", 3, 1))
	c.Report(now, 1, nil)
	expectQuarantine(t, c, now, locator.QuarantineTime)
	later := now.Add(locator.QuarantineTime + time.Second)
	expectQuarantine(t, c, later, 0)
	c.Report(later, 1, crashesOf("b", 1, 0))
	expectQuarantine(t, c, later, 8*locator.QuarantineTime)
}

// TestQuarantineThatEndsAgainAndAgainAddsUp guards against a request that crashes a server at each end of
// its quarantine, more than three times in a day.
func TestQuarantineThatEndsAgainAndAgainAddsUp(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	start := now
	c.Report(now, 1, crashesOf("first", 3, 1))
	crashes := 0
	for ; now.Sub(start) < 24*time.Hour; now = now.Add(time.Minute) {
		list := c.Quarantines(now)
		if len(list) == 0 || list[0].Remaining == 0 {
			crashes++
			c.Report(now, 1, crashesOf(fmt.Sprint("later", crashes), 1, 0))
		}
	}
	assert.Assert(t, crashes <= 3, "%d", crashes)
}

func TestAdoptedQuarantineIsKept(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	list := []encoder.Quarantine{{Fingerprint: 7, Remaining: time.Minute}, {Fingerprint: 8}}
	assert.Equal(t, len(c.Adopt(now, list)), 1)
	assert.Equal(t, len(c.Adopt(now, list)), 0, "nothing is new")
	expectQuarantine(t, c, now, time.Minute)
}

func TestTrackedCrashesAreBounded(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	for i := range 10_000 {
		f := identifier.Fingerprint(i + 1)
		c.Adopt(now, []encoder.Quarantine{{Fingerprint: f, Remaining: time.Minute + time.Duration(i)}})
	}
	assert.Assert(t, len(c.Quarantines(now)) <= 4096)
	crashes := []locator.Crash{}
	for _, crash := range crashesOf("a", 50, 20) {
		crashes = locator.AppendCrash(crashes, locator.Received(now, crash))
	}
	assert.Equal(t, len(crashes), 7)
	assert.Equal(t, locator.Assess(crashes), locator.SuspicionQuarantined)
}

// TestIsolationIsLostWhenAllProcessesRestart guards against a request that has ended servers and may run
// everywhere again after a restart of all hosts, because it was not quarantined yet.
func TestIsolationIsLostWhenAllProcessesRestart(t *testing.T) {
	c := locator.NewCrashTracker()
	now := time.Unix(100, 0)
	crashes := crashesOf("a", 3, 0)
	for i := range crashes {
		crashes[i].Service = "plates"
	}
	c.Report(now, 1, crashes)
	saved := c.Quarantines(now)
	restarted := locator.NewCrashTracker()
	restarted.Restore(now, saved)
	isolated := encoder.Quarantine{Fingerprint: suspect, Service: "plates"}
	assert.DeepEqual(t, restarted.Quarantines(now), []encoder.Quarantine{isolated})
	later := now.Add(time.Minute)
	restarted.Report(later, 2, crashesOf("b", 1, 0))
	assert.Equal(t, restarted.Quarantines(later)[0].Remaining, locator.QuarantineTime)
	innocent := locator.NewCrashTracker()
	innocent.Restore(now, saved)
	assert.Equal(t, len(innocent.Quarantines(now.Add(locator.CrashWindow+time.Second))), 0)
}
