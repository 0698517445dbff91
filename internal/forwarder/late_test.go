package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/timekeeper"
)

// clockLag is how far a lateClock is behind. It exceeds the time from giving a query up to its deadline.
const clockLag = 60 * time.Millisecond

// lateClock is behind the time of deadlines, so that a query notices its deadline first, as on a host that had no
// processor time when the query was to be given up.
type lateClock struct{ timekeeper.System }

func (lateClock) Now() time.Time { return time.Now().Add(-clockLag) }

// TestTimeoutThatIsNoticedLateIsAnswered guards against a caller whose connection is closed without an answer at the end
// of the route's timeout, as if the caller had left, because the host had no processor time before.
func TestTimeoutThatIsNoticedLateIsAnswered(t *testing.T) {
	for name, route := range map[string]matcher.Route{
		"single": {Destination: toPlates}, "idempotent": {Destination: toPlates, Idempotent: true}, "shards": scatterRoute(2, 3, 0.9, 0),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ampleBudget)
			d.forwarder = forwarder.New(forwarder.Settings{Domain: "one", Budget: ampleBudget, Seed: 1}, d.sender, lateClock{}, zerolog.New(d), measurer.New())
			silent := func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
			d.addServer("plates", "a", silent)
			d.addShards(2, map[int]handler{0: silent, 1: silent})
			route.Timeout = 150 * time.Millisecond
			d.setRoute(route)
			for range 5 {
				failed := expect[forwarder.Failed](t, d.send(context.Background(), http.MethodGet, "", time.Second))
				assert.Assert(t, failed.Reason != forwarder.ReasonCallerLeft)
			}
		})
	}
}
