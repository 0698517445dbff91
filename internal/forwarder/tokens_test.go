package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/limiter"
	"banyandock.example/banyandock/internal/matcher"
)

// leadingKeeper issues tokens as a leading keeper does.
type leadingKeeper struct {
	mutex    sync.Mutex
	issuer   *limiter.Issuer
	isDown   bool
	requests int
}

var errKeeperDown = errors.New("the keeper is down")

func (k *leadingKeeper) RequestTokens(_ context.Context, r encoder.TokenRequest) (encoder.TokenReply, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.requests++
	if k.isDown {
		return encoder.TokenReply{}, errKeeperDown
	}
	k.issuer.Report(time.Now(), r.Limits)
	return k.issuer.Issue(time.Now(), r), nil
}

// newLimitedDeployment returns a deployment whose tokens a keeper issues.
func newLimitedDeployment(t *testing.T) (*deployment, *leadingKeeper) {
	d := newDeployment(t, ampleBudget)
	k := &leadingKeeper{issuer: limiter.NewIssuer()}
	d.forwarder.SetTokenIssuer(k)
	return d, k
}

// limited names a limit and then calls the next handler.
func limited(rate float64, next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Limit", fmt.Sprint(rate))
		next(w, r, n)
	}
}

// learnLimit sends requests until a server with a limit has answered one.
func (d *deployment) learnLimit(s *fakeServer) {
	d.t.Helper()
	for range 100 {
		d.get()
		if n, _ := s.count(); n > 0 {
			return
		}
	}
	d.t.Fatal("the server got no request")
}

// TestSurplusGoesToTheOtherCopy checks that a server gets no more than its limit while another server
// of the service takes the rest.
func TestSurplusGoesToTheOtherCopy(t *testing.T) {
	d, _ := newLimitedDeployment(t)
	a := d.addServer("plates", "a", limited(4, answers("a")))
	b := d.addServer("plates", "b", answers("b"))
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	d.learnLimit(a)
	began := time.Now()
	before, _ := a.count()
	for time.Since(began) < 2*time.Second {
		expect[forwarder.Answer](t, d.get())
	}
	after, _ := a.count()
	elapsed := time.Since(began).Seconds()
	assert.Assert(t, float64(after-before) <= 4*elapsed+3, "%d requests in %.1f s", after-before, elapsed)
	assert.Assert(t, after-before >= 4, "%d requests in %.1f s", after-before, elapsed)
	n, _ := b.count()
	assert.Assert(t, n > 50, "the other server got only %d requests", n)
}

// TestRequestThatNoServerTakesIsHeld checks that a request is refused at once if all servers name
// limits and none has a token, whether or not the keepers answer.
func TestRequestThatNoServerTakesIsHeld(t *testing.T) {
	for _, isDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("keeper down %t", isDown), func(t *testing.T) {
			d, k := newLimitedDeployment(t)
			a := d.addServer("plates", "a", limited(0, answers("a")))
			d.setRoute(matcher.Route{Destination: toPlates})
			expect[forwarder.Answer](t, d.send(context.Background(), "POST", "", time.Second))
			k.mutex.Lock()
			k.isDown = isDown
			k.mutex.Unlock()
			began := time.Now()
			for range 20 {
				r := expect[forwarder.Refused](t, d.send(context.Background(), "POST", "", time.Second))
				assert.Equal(t, r.Reason, forwarder.ReasonLimited)
				assert.Assert(t, r.After > 0)
			}
			assert.Assert(t, time.Since(began) < 500*time.Millisecond)
			n, _ := a.count()
			assert.Equal(t, n, 1)
			k.mutex.Lock()
			defer k.mutex.Unlock()
			assert.Assert(t, k.requests < 10, "%d requests for tokens", k.requests)
		})
	}
}

// TestLimitedShardsAreSentTo checks that a scattered request leaves out a shard that lacks a token, and
// reaches no server at all if it cannot be answered without that shard.
func TestLimitedShardsAreSentTo(t *testing.T) {
	for _, needsAll := range []bool{false, true} {
		t.Run(fmt.Sprintf("needs all %t", needsAll), func(t *testing.T) {
			d, _ := newLimitedDeployment(t)
			d.addShards(4, map[int]handler{2: limited(0, answers(record(2)))})
			coverage := 0.75
			if needsAll {
				coverage = 1
			}
			d.setRoute(scatterRoute(4, 4, coverage, 200*time.Millisecond))
			expect[forwarder.Gathered](t, d.get())
			began := time.Now()
			for range 10 {
				o := d.get()
				if needsAll {
					assert.Equal(t, expect[forwarder.Refused](t, o).Reason, forwarder.ReasonLimited)
				} else {
					assert.Equal(t, expect[forwarder.Gathered](t, o).Missing, 1)
				}
			}
			assert.Assert(t, time.Since(began) < time.Second)
			limitedCount, _ := d.servers["server-2"].count()
			assert.Equal(t, limitedCount, 1)
			otherCount, _ := d.servers["server-0"].count()
			expected := map[bool]int{false: 11, true: 1}[needsAll]
			assert.Equal(t, otherCount, expected)
		})
	}
}

// TestLimitLastsLongerThanTheServerSays checks that an answer without a limit ends it, and that a new start
// of the server has none.
func TestLimitLastsLongerThanTheServerSays(t *testing.T) {
	d, _ := newLimitedDeployment(t)
	isLimited := atomic.Bool{}
	isLimited.Store(true)
	a := d.addServer("plates", "a", func(w http.ResponseWriter, r *http.Request, n int) {
		if isLimited.Load() {
			w.Header().Set("Limit", "2")
		}
		answers("a")(w, r, n)
	})
	d.setRoute(matcher.Route{Destination: toPlates, Idempotent: true})
	d.learnLimit(a)
	assert.Equal(t, d.forwarder.Stats().Limited, 1)
	isLimited.Store(false)
	deadline := time.Now().Add(3 * time.Second)
	for d.forwarder.Stats().Limited > 0 && time.Now().Before(deadline) {
		d.get()
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, d.forwarder.Stats().Limited, 0)
	before, _ := a.count()
	for range 20 {
		expect[forwarder.Answer](t, d.get())
	}
	after, _ := a.count()
	assert.Equal(t, after-before, 20)

	isLimited.Store(true)
	d.get()
	assert.Equal(t, d.forwarder.Stats().Limited, 1)
	d.services["plates"][0].Born = 2
	d.forwarder.UpdateServers(d.services)
	assert.Equal(t, d.forwarder.Stats().Limited, 0)
}
