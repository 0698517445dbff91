package dockrunner

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/timekeeper"
)

// TestQuarantineIsLostDuringALongElection guards against notices that are given up while no keeper
// leads.
func TestQuarantineIsLostDuringALongElection(t *testing.T) {
	const refusals = 7
	calls := atomic.Int32{}
	mux := linker.NewMux()
	linker.Handle(mux, encoder.KindQuarantine, func(context.Context, linker.Peer, encoder.QuarantineNotice) (encoder.QuarantineReply, error) {
		return encoder.QuarantineReply{Accepted: calls.Add(1) > refusals}, nil
	})
	server, err := linker.Listen(netip.MustParseAddrPort("127.0.0.1:0"), linker.Self{Host: "keeper", Incarnation: 1}, mux, timekeeper.System{})
	assert.NilError(t, err)
	pool := linker.NewPool(linker.Self{Host: "dock", Incarnation: 2}, timekeeper.System{})
	s := newNoticeSender(pool, server.Address)
	s.send(encoder.QuarantineNotice{Fingerprint: 1, Crashes: 2})
	for range 500 {
		if calls.Load() > refusals {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.Close()
	assert.NilError(t, pool.Close())
	assert.NilError(t, server.Close())
	assert.Equal(t, calls.Load(), int32(refusals+1))
}
