package forwarder_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/identifier"
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
// belong to one service.
func newCrashingDeployment(t *testing.T, ids ...string) *deployment {
	t.Helper()
	d := newDeployment(t, ampleBudget)
	for _, id := range ids {
		d.addServer("plates", id, crashesServer)
	}
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	return d
}

func TestCrashesAreReportedAndQuarantinedRequestIsRefused(t *testing.T) {
	d := newCrashingDeployment(t, "a", "b")
	d.get()
	reported := encoder.ObserveNotice{}
	waitFor(t, func() bool {
		reported.Crashes = append(reported.Crashes, d.forwarder.TakeObservations().Crashes...)
		return len(reported.Crashes) == 2
	})
	assert.Equal(t, reported.Crashes[0].Fingerprint, reported.Crashes[1].Fingerprint)
	for i, server := range []encoder.ServerID{"a", "b"} {
		assert.Equal(t, reported.Crashes[i].Request, "id-1")
		assert.Equal(t, reported.Crashes[i].Server, server)
	}

	d.forwarder.SetQuarantines([]encoder.Quarantine{{Fingerprint: reported.Crashes[0].Fingerprint, Remaining: time.Minute}})
	before, _ := d.servers["a"].count()
	refused := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, refused.Reason, forwarder.ReasonQuarantined)
	assert.Assert(t, refused.After > 50*time.Second && refused.After <= time.Minute, "%s", refused.After)
	after, _ := d.servers["a"].count()
	assert.Equal(t, after, before, "it did not run")
	assert.Assert(t, strings.Contains(d.requestLog(), `"reason":"quarantined"`), d.requestLog())
}

func TestLostAnswerIsNotReportedAsCrash(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	for _, id := range []string{"a", "b"} {
		d.addServer("plates", id, dropsConnection)
	}
	d.setRoute(matcher.Route{Idempotent: true, Destination: matcher.Single{Service: "plates"}})
	d.get()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(d.forwarder.TakeObservations().Crashes), 0)
}

func TestAnswerAfterACrashClearsTheRequest(t *testing.T) {
	d := newCrashingDeployment(t, "a")
	d.get()
	crashed := identifier.Fingerprint(0)
	waitFor(t, func() bool {
		for _, c := range d.forwarder.TakeObservations().Crashes {
			crashed = c.Fingerprint
		}
		return crashed != 0
	})
	d.addServer("plates", "b", answers("ok"))
	waitFor(t, func() bool {
		_, isAnswer := d.get().(forwarder.Answer)
		return isAnswer
	})
	waitFor(t, func() bool {
		cleared := d.forwarder.TakeObservations().Innocent
		return len(cleared) == 1 && cleared[0] == crashed
	})
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
	d.setRoute(matcher.Route{Idempotent: true, Attempts: 1, Destination: matcher.Single{Service: "plates"}})
	var other sync.WaitGroup
	other.Go(func() { d.send(context.Background(), "POST", "harmless", 2*time.Second) })
	defer other.Wait()
	defer close(finish)
	<-started
	d.get()
	waitFor(t, func() bool { return len(d.forwarder.TakeObservations().Crashes) == 1 })
}
