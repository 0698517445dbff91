package loader

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/cmd/standin/internal/checker"
	"banyandock.example/banyandock/cmd/standin/internal/controller"
	"banyandock.example/banyandock/cmd/standin/internal/merger"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeDock answers queries and control requests according to its fields.
type fakeDock struct {
	answer  merger.Answer
	started map[string]int
	// blocked delays all answers until it is closed.
	blocked chan struct{}
	arrived atomic.Int64
}

func (d *fakeDock) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/counters":
		_ = json.NewEncoder(w).Encode(controller.Report{})
	case r.URL.Path == "/v1/executions":
		_ = json.NewEncoder(w).Encode(controller.ExecutionsReply{Started: d.started})
	case strings.HasPrefix(r.URL.Path, "/v1/query/desk/lookup"):
		d.arrived.Add(1)
		if d.blocked != nil {
			<-d.blocked
		}
		_ = json.NewEncoder(w).Encode(d.answer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// runAgainst performs a short run against a fake dock.
func runAgainst(t *testing.T, d *fakeDock) *Result {
	t.Helper()
	server := httptest.NewServer(d)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).AddrPort().String())
	settings := &settingsreader.Load{
		Seed:               1,
		Docks:              []netip.AddrPort{address},
		Controls:           []netip.AddrPort{address},
		Service:            "desk",
		Rate:               200,
		Duration:           200 * time.Millisecond,
		ConnectionsPerDock: 10,
		Classes:            []settingsreader.Class{{Name: "urgent", Caller: "c", Operation: "lookup", Share: 1, Timeout: 10 * time.Second}},
	}
	r, err := New(settings).Run(context.Background())
	assert.NilError(t, err)
	return r
}

// TestSlowAnswersDoNotSlowTheLoad checks that the load generator is open-loop: it sends every query
// although none is answered yet, and the latency includes the whole time until the answer.
func TestSlowAnswersDoNotSlowTheLoad(t *testing.T) {
	immediate := runAgainst(t, &fakeDock{answer: merger.Answer{Outcome: merger.OutcomeFailed}})
	d := &fakeDock{answer: merger.Answer{Outcome: merger.OutcomeFailed}, blocked: make(chan struct{})}
	go func() {
		for d.arrived.Load() < int64(immediate.Classes[0].Sent) {
			time.Sleep(time.Millisecond)
		}
		close(d.blocked)
	}()
	blocked := runAgainst(t, d)
	assert.Equal(t, blocked.Classes[0].Sent, immediate.Classes[0].Sent)
	assert.Equal(t, blocked.Classes[0].Answered.TotalCount(), int64(blocked.Classes[0].Sent))
}

func TestRefusedButStartedRequestsAreViolations(t *testing.T) {
	refusal := merger.Answer{Request: "r", Outcome: merger.OutcomeNotRun, Code: "overloaded"}
	notStarted := runAgainst(t, &fakeDock{answer: refusal})
	assert.Equal(t, len(notStarted.Violations), 0)
	assert.Equal(t, notStarted.Classes[0].Codes["overloaded"], notStarted.Classes[0].Sent)
	wasStarted := runAgainst(t, &fakeDock{answer: refusal, started: map[string]int{"r": 1}})
	assert.Equal(t, wasStarted.Violations[checker.ViolationWasRun], 1)
}

func TestWrongAnswersAreCounted(t *testing.T) {
	r := runAgainst(t, &fakeDock{answer: merger.Answer{Outcome: merger.OutcomeComplete}})
	assert.Equal(t, r.Violations[checker.ViolationCoverage], r.Classes[0].Sent)
}
