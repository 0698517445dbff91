package forwarder_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
)

// maxEndDelay bounds how long after the end of a dock's time its requests are answered.
const maxEndDelay = 200 * time.Millisecond

// endAfter makes the deployment's dock end its requests after a time.
func (d *deployment) endAfter(wait time.Duration) time.Time {
	at := time.Now().Add(wait)
	d.forwarder.EndAt(at)
	return at
}

// TestRequestInProgressIsAnsweredAtTheEnd guards against requests that are cut off without an answer when a
// dock stops, whether they came before or after it began to stop, and may run once or several times.
func TestRequestInProgressIsAnsweredAtTheEnd(t *testing.T) {
	for _, isLate := range []bool{false, true} {
		for _, isIdempotent := range []bool{false, true} {
			d := newDeployment(t, ampleBudget)
			a := d.addServer("plates", "a", after(time.Minute, answers("a")))
			d.setRoute(matcher.Route{Destination: toPlates, Idempotent: isIdempotent})
			at := time.Now().Add(300 * time.Millisecond)
			if isLate {
				d.forwarder.EndAt(at)
			}
			outcomes := make(chan forwarder.Outcome, 1)
			go func() { outcomes <- d.send(context.Background(), "POST", "", time.Second) }()
			waitFor(t, func() bool { n, _ := a.count(); return n > 0 })
			if !isLate {
				d.forwarder.EndAt(at)
			}
			failed := expect[forwarder.Failed](t, <-outcomes)
			assert.Equal(t, failed.Reason, forwarder.ReasonTimeout)
			assert.Assert(t, time.Until(at).Abs() < maxEndDelay, "%s", time.Until(at))
		}
	}
}

// TestGatheredPartsAreDeliveredAtTheEnd guards against parts that are dropped when a dock stops, though they
// reach the required coverage.
func TestGatheredPartsAreDeliveredAtTheEnd(t *testing.T) {
	d := newDeployment(t, noRepeatBudget)
	d.addShards(5, map[int]handler{2: after(time.Minute, answers(record(2)))})
	d.setRoute(scatterRoute(5, 5, 0.8, 0))
	at := d.endAfter(300 * time.Millisecond)
	g := expect[forwarder.Gathered](t, d.get())
	assert.Equal(t, g.Missing, 1)
	assert.Assert(t, time.Until(at).Abs() < maxEndDelay, "%s", time.Until(at))
}

// TestDelegatedPartsAreDeliveredAtTheEnd guards against an owner that stops and does not pass on the parts
// that it has received.
func TestDelegatedPartsAreDeliveredAtTheEnd(t *testing.T) {
	slow := map[int]handler{}
	for i := range ownedShards {
		slow[i] = answers(record(i))
		if i%10 == 0 {
			slow[i] = after(time.Minute, answers(record(i)))
		}
	}
	c := newCluster(t, slow, scatterRoute(ownedShards, 3, 0.9, 0))
	for _, f := range c.docks {
		f.EndAt(time.Now().Add(300 * time.Millisecond))
	}
	g := expect[forwarder.Gathered](t, c.get())
	assert.Equal(t, g.Missing, ownedShards/10)
}

// TestDelegatedPartsAreDeliveredAtTheDeadline guards against owners that pass on the parts which came since
// their last reply when the root has given the request up.
func TestDelegatedPartsAreDeliveredAtTheDeadline(t *testing.T) {
	handlers := map[int]handler{}
	for i := range ownedShards {
		switch i % 10 {
		case 0:
			handlers[i] = after(time.Minute, answers(record(i)))
		case 1:
			// Its owner asks at once for the permission to repeat it.
			handlers[i] = fails
		default:
			handlers[i] = after(400*time.Millisecond, answers(record(i)))
		}
	}
	c := newCluster(t, handlers, scatterRoute(ownedShards, 3, 0.8, 0))
	g := expect[forwarder.Gathered](t, c.send(context.Background(), "GET", "", time.Second))
	assert.Equal(t, g.Missing, 2*ownedShards/10)
}

// silentDocks are other docks that take requests and do not answer.
type silentDocks struct {
	forwarder.Peers
}

func (silentDocks) Relay(ctx context.Context, _ netip.AddrPort, _ encoder.RelayRequest) (encoder.RelayReply, error) {
	<-ctx.Done()
	return encoder.RelayReply{}, linker.ErrLost
}

// TestHandedOverRequestIsAnsweredAtTheEnd guards against a request that was handed over to another dock, and
// whose caller's connection is cut off when the first dock stops.
func TestHandedOverRequestIsAnsweredAtTheEnd(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	other := encoder.Dock{Host: "dock-0", Domain: "one", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	d.forwarder = d.newForwarder(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1, Host: "dock-new", Peers: silentDocks{}})
	d.forwarder.SetDocks(manyDocks, manyDomains)
	d.forwarder.SetDomainDocks([]encoder.Dock{other})
	d.addServer("plates", "a", answers("a"))
	d.setRoute(matcher.Route{Destination: toPlates})
	at := time.Now().Add(300 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() { d.forwarder.EndAt(at) })
	failed := expect[forwarder.Failed](t, d.get())
	assert.Equal(t, failed.Reason, forwarder.ReasonStopping)
	assert.Assert(t, time.Until(at).Abs() < maxEndDelay, "%s", time.Until(at))
}

// TestRequestThatCannotEndIsRefused guards against requests that a stopping dock takes and sends, though it
// will have ended before they are usually answered.
func TestRequestThatCannotEndIsRefused(t *testing.T) {
	const latency = 150 * time.Millisecond
	d := newDeployment(t, ampleBudget)
	a := d.addServer("plates", "a", after(latency, answers("a")))
	d.setRoute(matcher.Route{Destination: toPlates})
	for range 10 {
		d.get()
	}
	before, _ := a.count()
	d.endAfter(latency / 2)
	refused := expect[forwarder.Refused](t, d.get())
	assert.Equal(t, refused.Reason, forwarder.ReasonStopping)
	assert.Assert(t, refused.After > 0)
	count, _ := a.count()
	assert.Equal(t, count, before)
}

// TestRequestThatCanEndIsServed guards against a stopping dock that refuses what it can still answer, while
// the load balancer sends requests to it.
func TestRequestThatCanEndIsServed(t *testing.T) {
	d := newDeployment(t, ampleBudget)
	d.addServer("plates", "a", answers("a"))
	d.setRoute(matcher.Route{Destination: toPlates, LatencyTarget: 100 * time.Millisecond})
	d.endAfter(time.Second)
	for range 10 {
		answer := expect[forwarder.Answer](t, d.get())
		assert.Equal(t, answer.Reply.Status, http.StatusOK)
	}
}
