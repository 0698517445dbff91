package connector

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// endlessServers is the number of servers that send without end, and endlessRequests that of the subrequests that
	// each of them runs.
	endlessServers  = 12
	endlessRequests = 4
	// endlessAccount is the memory for replies, and endlessBound what the process may use beyond what it used before:
	// the account, one reply that may exceed it, and garbage of as much again.
	endlessAccount = 16 << 20
	endlessBound   = 2 * (endlessAccount + 2*defaultMaxReplyBytes)
)

// TestManyRepliesWithoutEndAreBounded guards against a dock that holds what many faulty servers send without end, each
// within the limit of a reply.
func TestManyRepliesWithoutEndAreBounded(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol encoder.ServerProtocol) {
		block := []byte(strings.Repeat("x", 64<<10))
		endless := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(block); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
		c := newConnector(t, WithAccount(reserver.New(endlessAccount, timekeeper.System{})))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var before runtime.MemStats
		runtime.ReadMemStats(&before)
		subrequests := sync.WaitGroup{}
		for range endlessServers {
			_, server := startBackend(t, protocol, endless)
			for n := range endlessRequests {
				subrequests.Go(func() {
					_, err := c.Run(ctx, server, makeSubrequest(uint32(n)+1))
					var failure *owner.Failure
					assert.Check(t, errors.As(err, &failure), "%v", err)
				})
			}
		}
		peak := uint64(0)
		for ctx.Err() == nil {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
			time.Sleep(20 * time.Millisecond)
		}
		subrequests.Wait()
		assert.Assert(t, peak <= before.HeapInuse+endlessBound, "%d MB", (peak-before.HeapInuse)>>20)
	})
}
