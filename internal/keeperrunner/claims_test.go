package keeperrunner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/claimer"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

// claimTimeout bounds one claim with its settlement. It is much longer than they take.
const claimTimeout = 10 * time.Second

// claimOnce claims and settles a new key, and returns the latency of the claim.
func claimOnce(b *testing.B, c *claimer.Claimer) time.Duration {
	ctx, cancel := context.WithTimeout(b.Context(), claimTimeout)
	defer cancel()
	q := encoder.ClaimRequest{Caller: "auktionsrum", Key: uuid.Must(uuid.NewV7()).String(), Holder: 1, Request: identifier.NewRequestID()}
	startedAt := time.Now()
	a, err := c.Claim(ctx, q)
	elapsed := time.Since(startedAt)
	assert.Check(b, err == nil && a.Outcome == encoder.ClaimGranted, "%v %v", a.Outcome, err)
	err = c.Settle(ctx, encoder.SettleRequest{Caller: q.Caller, Key: q.Key, Holder: q.Holder, Request: q.Request, Result: make([]byte, 200)})
	assert.Check(b, err)
	return elapsed
}

// BenchmarkClaims measures claims through one dock against three keeper processes that sync to
// disk. One operation is a claim with its settlement.
func BenchmarkClaims(b *testing.B) {
	keepers := startKeepers(b, 3)
	d := startCostDock(0, keepers)
	defer func() {
		d.poller.Close()
		_ = d.pool.Close()
	}()
	for !d.poller.Leader().IsValid() {
		time.Sleep(100 * time.Millisecond)
	}
	c := claimer.New(claimer.LinkClient{Pool: d.pool}, d.poller.Leader, timekeeper.System{})
	defer c.Close()
	for _, clients := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			var mutex sync.Mutex
			var latencies []time.Duration
			var running sync.WaitGroup
			next := make(chan struct{}, b.N)
			for range b.N {
				next <- struct{}{}
			}
			close(next)
			for range clients {
				running.Go(func() {
					for range next {
						elapsed := claimOnce(b, c)
						mutex.Lock()
						latencies = append(latencies, elapsed)
						mutex.Unlock()
					}
				})
			}
			running.Wait()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50_ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99_ms")
		})
	}
}
