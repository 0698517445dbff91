package explainer_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/explainer"
)

const dockLog = `{"level":"info","program":"routedock","host":"d1","server":"s1","service":"plates","count":2,"time":"2026-01-01T10:00:00Z","message":"server unreachable"}
{"level":"info","program":"routedock","host":"d1","server":"s9","service":"tickets","count":2,"time":"2026-01-01T10:00:00Z","message":"server unreachable"}
{"level":"info","program":"routedock","host":"d1","server":"s2","service":"plates","time":"2026-01-01T09:00:00Z","message":"server gone"}
   12.3 d1 {"level":"warn","program":"routedock","host":"d1","request":"r7","route":"sweep","configuration":4,"outcome":"failed","reason":"lost","elapsed_ms":52,"timeout_ms":1000,"jobs":[{"service":"plates","denied":"budget","attempts":[{"cause":"first","server":"s1","score":1.5,"seen_ms_ago":70,"at_ms":1,"outcome":"lost","elapsed_ms":50,"detail":"read: EOF"}]}],"time":"2026-01-01T10:00:02Z","message":"request"}
{"level":"warn","program":"routedock","host":"d1","request":"r8","ro
not a log line
`

const keeperLog = `{"level":"info","program":"routekeeper","host":"k1","server":"s1","service":"plates","state":"draining","time":"2026-01-01T10:00:01Z","message":"server departs"}
`

func read(t *testing.T) *explainer.Log {
	t.Helper()
	l := explainer.NewLog()
	assert.NilError(t, l.Add("dock.log", strings.NewReader(dockLog)))
	assert.NilError(t, l.Add("keeper.log", strings.NewReader(keeperLog)))
	return l
}

func TestExplanationListsStateChangesAndAttempts(t *testing.T) {
	s, err := read(t).Explain("r7")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Equal(t, b.String(), `10:00:00.000 d1: server unreachable, server s1, service plates, count 2
10:00:01.000 k1: server departs, server s1, service plates
10:00:02.000 d1: request r7 failed (lost) after 52 of 1000 ms, route sweep of configuration 4
  plates: no further server was asked (budget)
    at 1 ms first to s1 (expected 1.5 times the usual latency, last seen 70 ms before): lost after 50 ms, read: EOF
`)
}

func TestUnreadableLinesAreCounted(t *testing.T) {
	l := read(t)
	_, err := l.Explain("r8")
	assert.Assert(t, errors.Is(err, explainer.ErrUnknownRequest), "%v", err)
	var b strings.Builder
	l.WriteUnreadable(&b)
	assert.Equal(t, b.String(), "dock.log: 2 lines could not be read\n")
}

// TestStateChangesOfOtherDocksAreListedOnce guards against an explanation that lists the same state
// change for every dock. In a simulated day, each of 20 docks logged that a server was slow.
func TestStateChangesOfOtherDocksAreListedOnce(t *testing.T) {
	l := read(t)
	for _, host := range []string{"d2", "d3", "d4"} {
		assert.NilError(t, l.Add(host, strings.NewReader(strings.ReplaceAll(otherDocksLog, "HOST", host))))
	}
	s, err := l.Explain("r7")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Equal(t, strings.Count(b.String(), "server unreachable"), 1, "the answering dock's own line only")
	assert.Equal(t, strings.Count(b.String(), "server slow"), 1, "one dock's line only")
}

const otherDocksLog = `{"level":"info","program":"routedock","host":"HOST","server":"s1","service":"plates","count":2,"time":"2026-01-01T10:00:00Z","message":"server unreachable"}
{"level":"info","program":"routedock","host":"HOST","server":"s1","service":"plates","slowness":8,"time":"2026-01-01T10:00:01Z","message":"server slow"}
`

func TestRefusalIsExplainedByItsAdmissionData(t *testing.T) {
	l := explainer.NewLog()
	assert.NilError(t, l.Add("dock", strings.NewReader(refusalLog)))
	s, err := l.Explain("r9")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Equal(t, b.String(), "10:00:02.000 d1: request r9 refused (congested) after 0 of 1000 ms, route sweep of configuration 4, "+
		"servers no longer congested, 70% of the route admitted, turned away before, told to come back after 700 ms\n")
}

const refusalLog = `{"level":"warn","program":"routedock","host":"d1","request":"r9","route":"sweep","configuration":4,"outcome":"refused","elapsed_ms":0,"timeout_ms":1000,"reason":"congested","retry_after_ms":700,"congested":false,"returned":true,"admitted_percent":70,"jobs":[],"time":"2026-01-01T10:00:02.000Z","message":"request"}
`

// ownedLog holds the lines of two docks about one request. The second dock owns ten of its shards.
const ownedLog = `{"level":"info","program":"routedock","host":"d1","request":"r9","route":"sweep","configuration":4,"outcome":"partial","elapsed_ms":67,"timeout_ms":1200,"shards":90,"missing":11,"owners":[{"owner":"d2","missing":1,"at_ms":60},{"owner":"d3","missing":10,"trouble":"silent"}],"jobs":[],"time":"2026-01-01T10:00:02.070Z","message":"request"}
{"level":"info","program":"routedock","host":"d2","request":"r9","route":"sweep","configuration":4,"elapsed_ms":64,"shards":10,"missing":1,"jobs":[{"service":"plates","attempts":[{"cause":"first","server":"s1","score":0.8,"seen_ms_ago":20,"at_ms":0,"outcome":"running"}]}],"time":"2026-01-01T10:00:02.068Z","message":"batch"}
`

// TestExplanationNamesTheDocksThatARequestWasHandedOverTo checks that the line of the other dock is
// explained with it, and the cut and the limits before it.
func TestExplanationNamesTheDocksThatARequestWasHandedOverTo(t *testing.T) {
	l := explainer.NewLog()
	assert.NilError(t, l.Add("d1", strings.NewReader(`{"host":"d1","count":5,"reached":0,"time":"2026-01-01T10:00:00Z","message":"cut off from the servers"}
{"host":"d1","request":"r1","route":"sweep","configuration":4,"outcome":"refused","reason":"limited","elapsed_ms":4,"timeout_ms":1000,"retry_after_ms":500,"relays":["d2","d3"],"time":"2026-01-01T10:00:02Z","message":"request"}
`)))
	assert.NilError(t, l.Add("d3", strings.NewReader(`{"host":"d3","server":"s1","service":"plates","limit":1.5,"time":"2026-01-01T10:00:01Z","message":"server limited"}
{"host":"d3","request":"r1","route":"sweep","configuration":4,"outcome":"refused","reason":"limited","elapsed_ms":1,"timeout_ms":990,"retry_after_ms":500,"jobs":[{"service":"plates","denied":"limited"}],"time":"2026-01-01T10:00:02Z","message":"request"}
`)))
	s, err := l.Explain("r1")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Assert(t, strings.Contains(b.String(), "refused (limited) after 4 of 1000 ms, route sweep of configuration 4, handed over to d2, d3, told to come back after 500 ms"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "d3: request r1 refused (limited) after 1 of 990 ms"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "cut off from the servers"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "server limited, server s1, service plates, requests a second 1.5"), b.String())
}

func TestExplanationIncludesOwnersOfShards(t *testing.T) {
	l := explainer.NewLog()
	assert.NilError(t, l.Add("docks.log", strings.NewReader(ownedLog)))
	s, err := l.Explain("r9")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Equal(t, b.String(), `10:00:02.068 d2: parts of request r9 for another dock, 1 of 10 missing after 64 ms
  plates:
    at 0 ms first to s1 (expected 0.8 times the usual latency, last seen 20 ms before): running when the request ended
10:00:02.070 d1: request r9 partial after 67 of 1200 ms, route sweep of configuration 4, 11 of 90 shards missing
  d2, which owns shards, left out 1, replied last at 60 ms
  d3, which owns shards, left out 10 (silent)
`)
}

// TestRefusalOfAQuarantinedRequestIsExplainedByTheCrashes has crashes long before the refusal, at
// another dock.
func TestRefusalOfAQuarantinedRequestIsExplainedByTheCrashes(t *testing.T) {
	l := explainer.NewLog()
	assert.NilError(t, l.Add("docks.log", strings.NewReader(`{"level":"warn","program":"routedock","host":"d2","request":"r1","fingerprint":7,"server":"s1","repeat":true,"time":"2026-01-01T10:00:00Z","message":"server crashed"}
{"level":"warn","program":"routedock","host":"d2","request":"r2","fingerprint":9,"server":"s2","time":"2026-01-01T10:00:01Z","message":"server crashed"}
{"level":"warn","program":"routedock","host":"d2","fingerprint":8,"retry_after_ms":600000,"time":"2026-01-01T10:00:02Z","message":"request quarantined"}
{"level":"warn","program":"routedock","host":"d1","request":"r3","fingerprint":7,"path_fingerprint":8,"route":"sweep","configuration":4,"outcome":"refused","reason":"quarantined","timeout_ms":1000,"retry_after_ms":500000,"time":"2026-01-01T10:01:40Z","message":"request"}
`)))
	s, err := l.Explain("r3")
	assert.NilError(t, err)
	var b strings.Builder
	s.Write(&b)
	assert.Equal(t, b.String(), `10:00:00.000 d2: server crashed, server s1, request r1, fingerprint 7, repeat true
10:00:02.000 d2: request quarantined, fingerprint 8
10:01:40.000 d1: request r3 refused (quarantined) after 0 of 1000 ms, route sweep of configuration 4, fingerprint 7, told to come back after 500000 ms
`)
}

// TestLongLineEndsTheExplanation guards against a file whose remaining lines are lost after one that is
// too long.
func TestLongLineEndsTheExplanation(t *testing.T) {
	l := explainer.NewLog()
	assert.NilError(t, l.Add("long.log", strings.NewReader(strings.Repeat("x", 3<<20)+"\n"+dockLog)))
	_, err := l.Explain("r7")
	assert.NilError(t, err)
	var b strings.Builder
	l.WriteUnreadable(&b)
	assert.Equal(t, b.String(), "long.log: 3 lines could not be read\n")
}
