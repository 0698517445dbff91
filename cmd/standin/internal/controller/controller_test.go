package controller

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/cmd/standin/internal/responder"
	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/identifier"
)

// newController returns a controller of six servers in three replica groups. The servers are not
// started.
func newController() *Controller {
	settings := &settingsreader.Service{Name: "desk", Domains: []identifier.DomainName{"a", "b"}, Shards: 2, Version: 1, Slots: 1}
	c := &Controller{executions: responder.NewExecutions(), log: zerolog.Nop()}
	for i := range 6 {
		placement := responder.Placement{Index: i, ServerCount: 6, Replicas: 3}
		c.servers = append(c.servers, responder.New(settings, placement, netip.AddrPort{}, 1))
	}
	return c
}

func expectReply(t *testing.T, c *Controller, path, body string, status int, want string) {
	t.Helper()
	w := httptest.NewRecorder()
	c.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	assert.Equal(t, w.Code, status)
	assert.Assert(t, strings.Contains(w.Body.String(), want), w.Body.String())
}

func TestSelectorsMatchAllSetFields(t *testing.T) {
	c := newController()
	expectReply(t, c, "/v1/faults", `{"select":{},"faults":{"slowdown":3}}`, http.StatusOK, `"servers":6`)
	expectReply(t, c, "/v1/faults", `{"select":{"positions":[1]},"faults":{}}`, http.StatusOK, `"servers":3`)
	expectReply(t, c, "/v1/faults", `{"select":{"positions":[1],"replicas":[0,2]},"faults":{}}`, http.StatusOK, `"servers":2`)
	expectReply(t, c, "/v1/drain", `{"select":{"domain":"a"},"draining":true}`, http.StatusOK, `"servers":3`)
	expectReply(t, c, "/v1/drain", `{"select":{"service":"other"},"draining":true}`, http.StatusOK, `"servers":0`)
	assert.Equal(t, c.servers[0].Faults().Slowdown, 3.0)
	assert.Equal(t, c.servers[1].Faults().Slowdown, 0.0)
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	c := newController()
	expectReply(t, c, "/v1/faults", `{"selekt":{}}`, http.StatusBadRequest, "selekt")
	expectReply(t, c, "/v1/faults", `{"select":{},"faults":{"reply":"odd"}}`, http.StatusBadRequest, "odd")
	expectReply(t, c, "/v1/faults", `{`, http.StatusBadRequest, "")
}

func TestReportSumsCounters(t *testing.T) {
	r := newController().report()
	assert.Equal(t, len(r.Servers), 6)
	assert.Equal(t, r.Totals, responder.Counts{})
}
