package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// waitLimit bounds the wait for events that must happen. Test results do not depend on its length.
const waitLimit = 30 * time.Second

// fixture is one server with a client for each protocol.
type fixture struct {
	t      *testing.T
	server *Server
	http1  *http.Client
	http2  *http.Client
}

func newFixture(t *testing.T, change func(*settingsreader.Service)) *fixture {
	t.Helper()
	settings := &settingsreader.Service{
		Name:         "desk",
		Domains:      []identifier.DomainName{"a"},
		Shards:       1,
		Version:      1,
		Slots:        2,
		Connections:  4,
		WaitingLimit: 10,
		ServiceTime:  time.Millisecond,
		SlowFactor:   1,
		ColdFactor:   1,
		Rows:         1,
		CrashMarker:  "crash",
	}
	change(settings)
	unencrypted := new(http.Protocols)
	unencrypted.SetUnencryptedHTTP2(true)
	f := &fixture{
		t:      t,
		server: New(settings, Placement{ServerCount: 1, Replicas: 1}, freeAddress(t), 1),
		http1:  &http.Client{Transport: &http.Transport{}},
		http2:  &http.Client{Transport: &http.Transport{Protocols: unencrypted}},
	}
	assert.NilError(t, f.server.Start())
	t.Cleanup(f.close)
	return f
}

func (f *fixture) close() {
	f.http1.CloseIdleConnections()
	f.http2.CloseIdleConnections()
	f.server.Close()
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// send sends one subrequest and returns its status and refusal.
func (f *fixture) send(ctx context.Context, client *http.Client, body string, timeout time.Duration) (int, refusal, error) {
	text := `{"service":"desk","operation":"lookup","version":1,"shard":0,"request":{"plate":"` + body + `"}}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url("/v1/subrequest"), bytes.NewBufferString(text))
	assert.NilError(f.t, err)
	r.Header.Set("Banyandock-Request", body)
	r.Header.Set("Banyandock-Attempt", "1")
	r.Header.Set("Banyandock-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(r)
	if err != nil {
		return 0, refusal{}, err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, refusal{}, err
	}
	var refused refusal
	assert.NilError(f.t, json.Unmarshal(reply, &refused))
	return response.StatusCode, refused, nil
}

func (f *fixture) url(path string) string {
	return "http://" + f.server.Address().String() + path
}

func (f *fixture) expect(client *http.Client, body string, timeout time.Duration, status int, code string, started bool) {
	f.t.Helper()
	got, refused, err := f.send(context.Background(), client, body, timeout)
	assert.NilError(f.t, err)
	assert.Equal(f.t, got, status)
	assert.Equal(f.t, refused.Code, code)
	assert.Equal(f.t, refused.Started, started)
}

// await waits until the server's counts satisfy a condition.
func (f *fixture) await(condition func(Counts) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition(f.server.Counts()) {
			return poll.Success()
		}
		return poll.Continue("%+v", f.server.Counts())
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
}

func withLongServiceTime(s *settingsreader.Service) { s.ServiceTime = time.Hour }

func TestBothProtocolsAreAnswered(t *testing.T) {
	f := newFixture(t, func(*settingsreader.Service) {})
	f.expect(f.http1, "K", waitLimit, http.StatusOK, "", false)
	f.expect(f.http2, "K", waitLimit, http.StatusOK, "", false)
	assert.Equal(t, f.server.Counts().Completed, uint64(2))
}

func TestDeadlineEndsRunningWork(t *testing.T) {
	f := newFixture(t, withLongServiceTime)
	f.expect(f.http2, "K", time.Millisecond*20, http.StatusGatewayTimeout, "deadline", true)
}

func TestUnknownVersionIsRefused(t *testing.T) {
	f := newFixture(t, func(s *settingsreader.Service) { s.Version = 2 })
	f.expect(f.http2, "K", waitLimit, http.StatusConflict, "version_gone", false)
	f.server.AddVersion(1, 1)
	f.expect(f.http2, "K", waitLimit, http.StatusOK, "", false)
}

func TestDrainingServerRefuses(t *testing.T) {
	f := newFixture(t, func(*settingsreader.Service) {})
	f.server.SetDraining(true)
	f.expect(f.http2, "K", waitLimit, http.StatusServiceUnavailable, "draining", false)
	description, up := f.server.Describe()
	assert.Assert(t, up)
	assert.Equal(t, description.State, encoder.ServerDraining)
}

// TestStreamResetFreesTheSlot checks that cancelling a subrequest over HTTP/2 frees its slot and
// keeps the connection open.
func TestStreamResetFreesTheSlot(t *testing.T) {
	f := newFixture(t, withLongServiceTime)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.send(ctx, f.http2, "K", waitLimit)
		ended <- err
	}()
	f.await(func(c Counts) bool { return c.Started == 1 })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	f.await(func(c Counts) bool { return c.CancelledRunning == 1 })
	f.expect(f.http2, "L", time.Millisecond*20, http.StatusGatewayTimeout, "deadline", true)
	assert.Equal(t, f.server.Counts().AcceptedTotal, uint64(1))
}

func TestCancelRequestEndsWork(t *testing.T) {
	f := newFixture(t, withLongServiceTime)
	ended := make(chan refusal, 1)
	go func() {
		_, refused, _ := f.send(context.Background(), f.http1, "K", waitLimit)
		ended <- refused
	}()
	f.await(func(c Counts) bool { return c.Started == 1 })
	response, err := f.http1.Post(f.url("/v1/cancel"), "application/json", bytes.NewBufferString(`{"request":"K","attempt":1}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	refused := <-ended
	assert.Equal(t, refused.Code, "cancelled")
	assert.Assert(t, refused.Started)
}

// TestCrashedServerRestartsAsNewIncarnation checks that a request with the crash marker breaks its
// connection, and that the server then serves again as a new incarnation.
func TestCrashedServerRestartsAsNewIncarnation(t *testing.T) {
	f := newFixture(t, func(s *settingsreader.Service) { s.RestartTime = time.Millisecond })
	before, _ := f.server.Describe()
	_, _, err := f.send(context.Background(), f.http2, "crash", waitLimit)
	assert.Assert(t, err != nil)
	var after encoder.Server
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var up bool
		if after, up = f.server.Describe(); up && after.Incarnation != before.Incarnation {
			return poll.Success()
		}
		return poll.Continue("server has not restarted")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
	f.expect(f.http2, "K", waitLimit, http.StatusOK, "", false)
	assert.Equal(t, f.server.Counts().Crashes, uint64(1))
	assert.Equal(t, len(f.server.executions.Report().Crashes), 1)
}

func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	f := newFixture(t, func(s *settingsreader.Service) { s.Connections = 1 })
	first, err := net.Dial("tcp", f.server.Address().String())
	assert.NilError(t, err)
	defer func() { _ = first.Close() }()
	f.await(func(c Counts) bool { return c.Connections == 1 })
	second, err := net.Dial("tcp", f.server.Address().String())
	assert.NilError(t, err)
	defer func() { _ = second.Close() }()
	_, err = second.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, f.server.Counts().RefusedConnections, uint64(1))
	assert.Equal(t, f.server.Counts().Violations, uint64(0))
}

func TestReplyFaultsAreApplied(t *testing.T) {
	f := newFixture(t, func(*settingsreader.Service) {})
	f.server.SetFaults(Faults{Reply: ReplyTruncated, ReplyShare: 1})
	_, _, err := f.send(context.Background(), f.http2, "K", waitLimit)
	assert.Assert(t, err != nil)
	f.server.SetFaults(Faults{Reply: ReplyError, ReplyShare: 1})
	f.expect(f.http2, "K", waitLimit, http.StatusInternalServerError, "internal", true)
}

func TestRepeatedKeyIsCounted(t *testing.T) {
	e := NewExecutions()
	for _, shard := range []identifier.ShardNumber{0, 1, 1} {
		e.record(&subrequest{key: attemptKey{request: "r"}, idempotencyKey: "k", Shard: shard})
	}
	assert.Equal(t, e.Report().Repeated, 1)
	assert.Equal(t, e.Started([]string{"r", "s"})["r"], 3)
}
