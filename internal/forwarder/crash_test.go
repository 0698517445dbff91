package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// crashes ends the server that runs the request.
func crashes(_ http.ResponseWriter, r *http.Request, _ int) {
	server, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if ok {
		_ = server.Close()
	}
}

// crashing has servers of one service, all of which end when they run a request.
func crashing(t *testing.T, ids ...string) *deployment {
	t.Helper()
	d := newDeployment(t, ample)
	for _, id := range ids {
		d.add("plates", id, crashes)
	}
	d.route(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	return d
}

func TestRequestThatEndsServersIsTold(t *testing.T) {
	d := crashing(t, "a", "b")
	d.get()
	told := encoder.ObserveNotice{}
	waitFor(t, func() bool {
		told.Crashes = append(told.Crashes, d.forwarder.TakeObservations().Crashes...)
		return len(told.Crashes) == 2
	})
	assert.Equal(t, told.Crashes[0], told.Crashes[1])
	assert.Equal(t, told.Crashes[0].Request, "id-1")

	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: told.Crashes[0].Fingerprint, Remaining: time.Minute}})
	before, _ := d.standIns["a"].count()
	refused := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, refused.Reason, forwarder.ReasonQuarantined)
	assert.Assert(t, refused.After > 50*time.Second && refused.After <= time.Minute, "%s", refused.After)
	after, _ := d.standIns["a"].count()
	assert.Equal(t, after, before, "it did not run")
	assert.Assert(t, strings.Contains(d.logged(), `"reason":"quarantined"`), d.logged())
}

func TestServerThatLosesAnswersHasNotCrashed(t *testing.T) {
	d := newDeployment(t, ample)
	for _, id := range []string{"a", "b"} {
		d.add("plates", id, breaks)
	}
	d.route(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	d.get()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(d.forwarder.TakeObservations().Crashes), 0)
}

func TestAnsweredRequestIsToldInnocent(t *testing.T) {
	d := crashing(t, "a")
	d.get()
	culprit := identifier.Fingerprint(0)
	waitFor(t, func() bool {
		for _, c := range d.forwarder.TakeObservations().Crashes {
			culprit = c.Fingerprint
		}
		return culprit != 0
	})
	d.add("plates", "b", answers("ok"))
	waitFor(t, func() bool {
		_, isAnswer := d.get().(forwarder.Answer)
		return isAnswer
	})
	waitFor(t, func() bool {
		innocent := d.forwarder.TakeObservations().Innocent
		return len(innocent) == 1 && innocent[0] == culprit
	})
}
