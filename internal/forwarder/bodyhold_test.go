package forwarder_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/forwarder"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

// TestBodyCountsWhileServersGetIt guards against bodies that are held in no account, because their callers were
// answered without the shards that still get them.
func TestBodyCountsWhileServersGetIt(t *testing.T) {
	const size = 100 << 10
	d := newDeployment(t, ampleBudget)
	d.addShards(2, map[int]handler{1: after(400*time.Millisecond, answers(record(1)))})
	d.setRoute(scatterRoute(2, 3, 0.5, 100*time.Millisecond))
	account := reserver.New(1<<20, timekeeper.System{})
	hold := account.Open(netip.AddrPort{}, func() {})
	assert.NilError(t, hold.Reserve(t.Context(), size, reserver.Request))
	ctx := reserver.WithHold(context.Background(), hold)
	assert.Equal(t, expect[forwarder.Gathered](t, d.send(ctx, "POST", strings.Repeat("x", size), time.Second)).Missing, 1)
	hold.Close()
	assert.Equal(t, account.Used(), int64(size))
	waitFor(t, func() bool { return account.Used() == 0 })
}
