package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/matcher"
)

// signs replies with a record and a signature, which may be none.
func signs(i int, stamps ...string) handler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header()["Stamp"] = stamps
		_, _ = io.WriteString(w, record(i))
	}
}

// expectList checks that an answer names each of its parts once, that no signature breaks the list, and that its
// records are of these parts. The shards 38 and 39 may have the same signature.
func expectList(t *testing.T, g forwarder.Gathered, shards int) {
	t.Helper()
	list := strings.Split(strings.Join(g.Stamps, ", "), ", ")
	assert.Equal(t, len(list), len(g.Stamps), "%q", g.Stamps)
	assert.Equal(t, g.Missing, shards-len(g.Stamps))
	slices.Sort(list)
	assert.Equal(t, len(slices.Compact(list)), len(g.Stamps), "%q", g.Stamps)
	isNamed := map[string]bool{}
	for i := range shards {
		isNamed[record(i)] = slices.Contains(g.Stamps, fmt.Sprintf("stamp-of-server-%d", i))
	}
	for part := range slices.Chunk(g.Body, len(record(0))) {
		isOfTwins := string(part) == record(38) || string(part) == record(39)
		assert.Assert(t, isNamed[string(part)] || isOfTwins && isNamed[record(38)], "%s of no part: %q", part, g.Stamps)
	}
}

// TestSpoiltSignaturesOfShardsLeaveThemOut guards against merged answers whose list of signatures is wrong because of
// one server: it holds a signature that is none, or one twice. The parts come from owners and from this dock itself.
func TestSpoiltSignaturesOfShardsLeaveThemOut(t *testing.T) {
	for name, stamps := range map[string][]string{
		"none": nil, "empty": {""}, "comma": {"a,b"}, "space": {"a b"}, "two lines": {"a", "b"}, "of another shard": {"stamp-of-server-38"},
	} {
		t.Run(name, func(t *testing.T) {
			// The first dock owns a group, and the second one none.
			for dock := range 2 {
				c := newCluster(t, map[int]handler{39: signs(39, stamps...)}, scatterRoute(ownedShards, 3, 0.7, time.Second))
				c.forwarder = c.docks[dock]
				g := expect[forwarder.Gathered](t, c.get())
				expectList(t, g, ownedShards)
				assert.Assert(t, g.Missing >= 1)
			}
		})
	}
}

// TestPartsOfAnEarlierReleaseAreChecked guards against the same by a dock of the release before, which merges the
// parts of a group and passes on any signature.
func TestPartsOfAnEarlierReleaseAreChecked(t *testing.T) {
	for _, stamp := range []string{"a,b", "a b", "a\tb", "stamp-of-server-1"} {
		t.Run(stamp, func(t *testing.T) {
			c := newCluster(t, nil, scatterRoute(ownedShards, 3, 0.1, time.Second))
			c.rewrite = func(r *encoder.GatherReply) {
				if len(r.Parts) > 0 {
					r.Parts[len(r.Parts)-1].Stamp = stamp
				}
			}
			g := expect[forwarder.Gathered](t, c.get())
			expectList(t, g, ownedShards)
			assert.Assert(t, g.Missing > 0)
		})
	}
}

// TestRelayedAnswersAreChecked guards against a dock of the release before, which takes a request over and passes on
// a reply that is no answer.
func TestRelayedAnswersAreChecked(t *testing.T) {
	signed := map[string][]string{"Stamp": {"a"}}
	answered := func(status int, header map[string][]string) encoder.RelayReply {
		return encoder.RelayReply{Outcome: encoder.RelayAnswered, Status: status, Header: header, Body: []byte("text"), Stamp: "a"}
	}
	for name, reply := range map[string]encoder.RelayReply{
		"no signature":         answered(200, nil),
		"two signatures":       answered(200, map[string][]string{"Stamp": {"a", "b"}}),
		"unreadable signature": answered(200, map[string][]string{"Stamp": {"a,b"}}),
		"encoded":              answered(200, map[string][]string{"Stamp": {"a"}, "Content-Encoding": {"gzip"}}),
		"not run":              answered(503, map[string][]string{"Not-Run": {"1"}}),
		"contradiction":        answered(200, map[string][]string{"Stamp": {"a"}, "Not-Run": {"1"}}),
		"promise":              answered(503, signed),
		"no status":            answered(0, signed),
		"list without parts":   {Outcome: encoder.RelayGathered, Body: []byte(record(1))},
		"list with a comma":    {Outcome: encoder.RelayGathered, Stamps: []string{"a", "b,c"}},
		"list with a part twice": {
			Outcome: encoder.RelayGathered, Stamps: []string{"a", "b", "a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDetachment(t, 2)
			d.refusal = &reply
			f := d.relayingDock()
			assert.Equal(t, expect[forwarder.Failed](t, f()).Reason, forwarder.ReasonInvalid)
		})
	}
	for name, reply := range map[string]encoder.RelayReply{"success": answered(200, signed), "failure": answered(500, nil)} {
		t.Run(name, func(t *testing.T) {
			d := newDetachment(t, 2)
			d.refusal = &reply
			assert.Equal(t, expect[forwarder.Answer](t, d.relayingDock()()).Reply.Status, reply.Status)
		})
	}
}

// relayingDock returns a function that sends a request to a dock that may not connect to servers, so that it hands
// the request over.
func (d *detachment) relayingDock() func() forwarder.Outcome {
	f := d.newForwarder(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1, Host: "dock-new", Peers: d})
	d.t.Cleanup(f.Close)
	f.SetDocks(manyDocks, manyDomains)
	f.SetDomainDocks(d.allDocks())
	f.UpdateServers(d.services)
	d.configure(f, 2)
	d.docks = append(d.docks, f)
	return func() forwarder.Outcome { return d.handle(len(d.docks)-1, "/one/", fmt.Sprintf("id-%d", len(d.docks))) }
}

// allDocks returns the docks that know each other.
func (d *detachment) allDocks() []encoder.Dock {
	all := []encoder.Dock{}
	for i := range detachedDocks {
		all = append(all, encoder.Dock{Host: detachedHost(i), Domain: "one", Address: detachedAddress(i)})
	}
	return all
}

// TestInvalidReplyIsNoSignOfACrash guards against a request that runs isolated, or is quarantined, because a server's
// reply to it is invalid.
func TestInvalidReplyIsNoSignOfACrash(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	unsigned := func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "text") }
	foreign := func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Del("Request") }
	d.addServer("plates", "a", unsigned)
	d.addServer("plates", "b", foreign)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	for range 20 {
		began := time.Now()
		assert.Equal(t, expect[forwarder.Failed](t, d.get()).Reason, forwarder.ReasonInvalid)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "a reply without an identifier is not waited out")
	}
	stats := d.forwarder.CrashStats()
	assert.Equal(t, stats.Quarantined+stats.Suspects+stats.Crashes, 0)
	assert.Assert(t, !d.forwarder.IsDetached())
}

// TestNothingOfAnInvalidReplyIsBelieved guards against a limit or a notice of leaving that comes with a reply which is no
// answer, and against repeats of such a request beyond the repeat budget.
func TestNothingOfAnInvalidReplyIsBelieved(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	isLeaving := false
	d.forwarder.OnLeaving(func(encoder.Registration) { isLeaving = true })
	unsigned := func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Limit", "0")
		w.Header().Set("Leaving", "1")
		_, _ = io.WriteString(w, "text")
	}
	d.addServer("plates", "a", unsigned)
	d.addServer("plates", "b", unsigned)
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	const requests = 10
	for range requests {
		assert.Equal(t, expect[forwarder.Failed](t, d.get()).Reason, forwarder.ReasonInvalid)
	}
	assert.Equal(t, d.totalRequests(), requests)
	assert.Assert(t, !isLeaving)
}
