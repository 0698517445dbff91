package responder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/receiver"
	"banyandock.example/banyandock/internal/router"
	"banyandock.example/banyandock/internal/timekeeper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixedRouter returns the same outcome for every query. If started is set, it closes started and
// waits for release first.
type fixedRouter struct {
	outcome router.Outcome
	started chan struct{}
	release chan struct{}
	query   router.Query
}

func (r *fixedRouter) Route(_ context.Context, q router.Query) router.Outcome {
	r.query = q
	if r.started != nil {
		close(r.started)
		<-r.release
	}
	return r.outcome
}

func post(r Router, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	(&Responder{router: r, announce: func(encoder.Server) {}}).Handler().ServeHTTP(recorder, request)
	return recorder
}

// expectAnswer checks status, outcome, code and whether the request was run.
func expectAnswer(t *testing.T, w *httptest.ResponseRecorder, status int, outcome, code string, wasRun bool) answerBody {
	t.Helper()
	var body answerBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
	assert.Equal(t, w.Code, status)
	assert.Equal(t, body.Outcome, outcome)
	assert.Equal(t, body.Code, code)
	assert.Equal(t, body.WasRun, wasRun)
	return body
}

func TestMalformedRequestsAreNotRun(t *testing.T) {
	const path = "/v1/query/plates/lookup"
	caller := []string{HeaderCaller, "desk"}
	expectBad := func(w *httptest.ResponseRecorder, status int, code string) {
		t.Helper()
		expectAnswer(t, w, status, "not_run", code, false)
	}
	r := &fixedRouter{outcome: router.Complete{}}
	expectBad(post(r, path, `{}`), http.StatusBadRequest, "caller_missing")
	expectBad(post(r, path, `{"plate":`, caller...), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, ``, caller...), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, `{}`, HeaderCaller, "desk", HeaderTimeout, "soon"), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, `{}`, HeaderCaller, "desk", HeaderTimeout, "-5"), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, `{}`, HeaderCaller, "desk", HeaderTimeout, "99999999999999999999"), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, `{}`, HeaderCaller, "desk", HeaderKey, strings.Repeat("k", 200)), http.StatusBadRequest, "malformed")
	expectBad(post(r, path, `"`+strings.Repeat("x", MaxBodyBytes)+`"`, caller...), http.StatusRequestEntityTooLarge, "too_large")
	expectBad(post(r, "/v1/query/plates", `{}`, caller...), http.StatusNotFound, "unknown_path")
}

func TestOutcomesHaveStatusAndRetryAfter(t *testing.T) {
	answer := func(o router.Outcome) *httptest.ResponseRecorder {
		return post(&fixedRouter{outcome: o}, "/v1/query/plates/lookup", `{}`, HeaderCaller, "desk", HeaderTimeout, "250")
	}
	coverage := router.Coverage{Version: 4, Shards: 2, Covered: 1, Missing: []encoder.MissingShard{{Shard: 1, Reason: encoder.MissingOverload}}}
	expectAnswer(t, answer(router.Complete{}), http.StatusOK, "complete", "", true)
	body := expectAnswer(t, answer(router.Partial{Answer: router.Answer{Coverage: coverage}}), http.StatusOK, "partial", "", true)
	assert.Equal(t, body.Coverage.Missing[0].Reason, "overload")
	w := answer(router.NotRun{Code: router.CodeOverloaded, RetryAfter: 1200 * time.Millisecond})
	body = expectAnswer(t, w, http.StatusServiceUnavailable, "not_run", "overloaded", false)
	assert.Equal(t, body.RetryAfter, int64(1200))
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	expectAnswer(t, answer(router.NotRun{Code: router.CodeRateLimited}), http.StatusTooManyRequests, "not_run", "rate_limited", false)
	expectAnswer(t, answer(router.NotRun{Code: router.CodeUndeclared}), http.StatusForbidden, "not_run", "undeclared", false)
	expectAnswer(t, answer(router.Failed{Code: router.CodeDeadline}), http.StatusGatewayTimeout, "failed", "deadline", true)
	expectAnswer(t, answer(router.Failed{Code: router.CodeCrashed}), http.StatusBadGateway, "failed", "crashed", true)
	expectAnswer(t, answer(router.InDoubt{Code: router.CodeInDoubt}), http.StatusConflict, "in_doubt", "in_doubt", true)
}

func TestHeadersAreCopiedToQuery(t *testing.T) {
	r := &fixedRouter{outcome: router.Complete{}}
	post(r, "/v1/query/plates/lookup", `{"a":1}`, HeaderCaller, "desk", HeaderTimeout, "250", HeaderKey, "k", HeaderRoutingKey, "r")
	assert.Equal(t, string(r.query.Caller), "desk")
	assert.Equal(t, string(r.query.Service), "plates")
	assert.Equal(t, string(r.query.Operation), "lookup")
	assert.Equal(t, r.query.Timeout, 250*time.Millisecond)
	assert.Equal(t, r.query.Key, "k")
	assert.Equal(t, r.query.RoutingKey, "r")
	assert.Equal(t, string(r.query.Body), `{"a":1}`)
}

func TestCloseFinishesRequestInFlight(t *testing.T) {
	r := &fixedRouter{outcome: router.Complete{}, started: make(chan struct{}), release: make(chan struct{})}
	clients := receiver.New("callers", receiver.Support(), timekeeper.System{}, zerolog.Nop(), measurer.New())
	t.Cleanup(clients.Close)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), r, func(encoder.Server) {}, clients)
	assert.NilError(t, err)
	statuses := make(chan int, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+s.Address().String()+"/v1/query/plates/lookup", strings.NewReader(`{}`))
		request.Header.Set(HeaderCaller, "desk")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			statuses <- 0
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	<-r.started
	s.Drain()
	closed := make(chan error, 1)
	go func() { closed <- s.Close(context.Background()) }()
	close(r.release)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.NilError(t, <-closed)
	http.DefaultClient.CloseIdleConnections()
}

const announcement = `{"address":"127.0.1.7:7000","service":"plates","failure_domain":"one","incarnation":8,
"state":"ready","protocol":"http2","slots":2,"connections":55,"holdings":[{"version":41,"shard":3,"shard_count":20}]}`

func TestAnnouncementIsChecked(t *testing.T) {
	server, err := parseAnnouncement([]byte(announcement))
	assert.NilError(t, err)
	assert.Equal(t, server.State, encoder.ServerReady)
	assert.Equal(t, server.Holdings[0].ShardCount, uint32(20))
	expectRefused := func(old, replacement, fault string) {
		t.Helper()
		_, err := parseAnnouncement([]byte(strings.Replace(announcement, old, replacement, 1)))
		assert.ErrorContains(t, err, fault)
	}
	expectRefused(`127.0.1.7:7000`, `plates.example:7000`, "address")
	for _, address := range []string{"127.0.1.7:65536", "127.0.1.7:0", "0.0.0.0:7000", "[::]:7000", "224.0.0.1:7000", "[fe80::1%a]:7000"} {
		expectRefused(`127.0.1.7:7000`, address, "address")
	}
	expectRefused(`"slots":2`, `"slots":9223372036854775808`, "slots")
	expectRefused(`"holdings":[`, `"holdings":[`+strings.Repeat("[", 20_000), "")
	expectRefused(`"ready"`, `"bored"`, "state")
	expectRefused(`"http2"`, `"http9"`, "protocol")
	expectRefused(`"plates"`, `""`, "service")
	expectRefused(`"slots":2`, `"slots":0`, "slots")
	expectRefused(`"shard":3`, `"shard":20`, "holdings[0]")
	expectRefused(`"slots"`, `"slot"`, "slot")
	expectRefused(`"holdings":[`, `"holdings":[{"version":41,"shard":3,"shard_count":30},`, "holdings[1]")
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(announcement))
	f.Add([]byte(`{"holdings":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parseAnnouncement(text)
		if err == nil {
			assert.Assert(t, s.Address.IsValid())
			for _, h := range s.Holdings {
				assert.Assert(t, uint32(h.Shard) < h.ShardCount)
			}
		}
	})
}
