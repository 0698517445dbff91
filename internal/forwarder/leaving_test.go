package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/matcher"
)

// leaving says that the server leaves and then calls the next handler.
func leaving(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Leaving", "1")
		next(w, r, n)
	}
}

// getFrom sends requests until a server has got one more.
func (d *deployment) getFrom(s *fakeServer) {
	d.t.Helper()
	before, _ := s.count()
	for range 200 {
		d.get()
		if n, _ := s.count(); n > before {
			return
		}
	}
	d.t.Fatalf("server %s got no request", s.id)
}

// expectNoRequest sends requests and expects that a server gets none of them.
func (d *deployment) expectNoRequest(s *fakeServer) {
	d.t.Helper()
	before, _ := s.count()
	for range 100 {
		d.get()
	}
	after, _ := s.count()
	assert.Equal(d.t, after, before)
}

// restart registers another start of a server.
func (d *deployment) restart(s *fakeServer, born int64) {
	for name, list := range d.services {
		for i := range list {
			if list[i].ID == s.id {
				d.services[name][i].Born = born
			}
		}
	}
	d.forwarder.UpdateServers(d.services)
}

// TestServerThatLeavesGetsNoMoreRequests guards against requests to a server that says in its replies,
// whatever their status, that it leaves: the keepers have not heard of it, and it ends with these requests
// at work. Its next start gets requests again, and an update of the keepers' list does not bring it back.
func TestServerThatLeavesGetsNoMoreRequests(t *testing.T) {
	for _, replies := range []handler{answers("a"), fails, rejects} {
		d := newDeployment(t, ampleBudget)
		// A hedge may have answered a request before the reply of the server that leaves is read.
		reports := make(chan encoder.Registration, 10)
		d.forwarder.OnLeaving(func(r encoder.Registration) { reports <- r })
		a := d.addServer("plates", "a", leaving(replies))
		d.addServer("plates", "b", answers("b"))
		d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
		d.getFrom(a)
		first := <-reports
		assert.Assert(t, first.ID == "a" && first.Born == 1)
		d.expectNoRequest(a)
		d.forwarder.UpdateServers(d.services)
		d.expectNoRequest(a)
		assert.Equal(t, len(reports), 0)
		assert.Equal(t, d.forwarder.Stats().Leaving, 1)
		d.restart(a, 2)
		d.getFrom(a)
		second := <-reports
		assert.Assert(t, second.ID == "a" && second.Born == 2)
		d.expectNoRequest(a)
	}
}

// TestReplyOfAnotherServerSaysNothingOfLeaving guards against a server that gets no more requests because
// another one at its address leaves.
func TestReplyOfAnotherServerSaysNothingOfLeaving(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.forwarder.OnLeaving(func(encoder.Registration) { t.Error("reported as leaving") })
	a := d.addServer("plates", "a", leaving(func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	d.addServer("plates", "b", answers("b"))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	d.getFrom(a)
	assert.Equal(t, d.forwarder.Stats().Servers, 2)
}

// TestRequestIsRefusedAtOnceIfAllServersLeave guards against a caller that waits, or against a request at
// a server that leaves, when no other server of the service is left.
func TestRequestIsRefusedAtOnceIfAllServersLeave(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	a := d.addServer("plates", "a", leaving(answers("a")))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	d.getFrom(a)
	began := time.Now()
	refused := expect[forwarder.Refused](t, d.get())
	assert.Assert(t, refused.After > 0)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s", time.Since(began))
}
