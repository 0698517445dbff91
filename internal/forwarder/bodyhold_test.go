package forwarder_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

// TestBodyCountsWhileServersGetIt guards against bodies that are held in no account, because their callers were
// answered, or the docks that sent them, without the shards that still get them.
func TestBodyCountsWhileServersGetIt(t *testing.T) {
	const size = 100 << 10
	body := strings.Repeat("x", size)
	for name, run := range map[string]func(ctx context.Context, d *deployment){
		"caller": func(ctx context.Context, d *deployment) {
			assert.Equal(t, expect[forwarder.Gathered](t, d.send(ctx, "POST", body, time.Second)).Missing, 1)
		},
		"handed over": func(ctx context.Context, d *deployment) {
			reply, err := d.forwarder.HandleRelayed(ctx, encoder.RelayRequest{
				Request: "id-1", Method: "POST", Target: "/x/y", Path: "/x/y", Host: "a.example", Body: []byte(body),
				Header: map[string][]string{"Request": {"id-1"}}, Remaining: time.Second, Configuration: 1,
			})
			assert.NilError(t, err)
			assert.Equal(t, reply.Missing, 1)
		},
		"delegated": func(ctx context.Context, d *deployment) {
			reply, err := d.forwarder.Gather(ctx, 1, encoder.GatherRequest{
				Query: 1, Request: "id-1", Method: "POST", Head: []byte("POST /x/y HTTP/1.1\r\nHost: a\r\nRequest: id-1\r\nContent-Length: 102400\r\n"),
				Body: []byte(body), Services: services(2), Rows: 3, Remaining: 200 * time.Millisecond, Attempts: 1,
			})
			assert.NilError(t, err)
			assert.Assert(t, reply.IsDone)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ampleBudget)
			d.addShards(2, map[int]handler{1: after(400*time.Millisecond, answers(record(1)))})
			d.setRoute(scatterRoute(2, 3, 0.5, 100*time.Millisecond))
			account := reserver.New(1<<20, timekeeper.System{})
			hold := account.Open(netip.AddrPort{}, func() {})
			assert.NilError(t, hold.Reserve(t.Context(), size, reserver.Request))
			run(reserver.WithHold(context.Background(), hold), d)
			hold.Close()
			assert.Equal(t, account.Used(), int64(size))
			waitFor(t, func() bool { return account.Used() == 0 })
		})
	}
}
