package registrar

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// newFilledRegistrar returns a registrar whose ledger has settled entries with results of 200
// bytes.
func newFilledRegistrar(b *testing.B, entries int) *Registrar {
	b.Helper()
	r := New(nil)
	limits := DefaultLimits()
	for i := range entries {
		key := makeKey(testNow.UnixMilli(), i)
		id := identifier.RequestID{byte(i), byte(i >> 8), byte(i >> 16)}
		c := NewClaimCommand(encoder.ClaimRequest{Caller: "auktionsrum", Key: key, Body: 7, Dock: "skog-01", Holder: 9, Request: id}, testNow, limits)
		assert.Equal(b, apply[encoder.ClaimReply](b, r, c).Outcome, encoder.ClaimGranted)
		s := SettleCommand{encoder.SettleRequest{Caller: "auktionsrum", Key: key, Holder: 9, Request: id, Result: make([]byte, 200)}}
		assert.Equal(b, apply[encoder.SettleReply](b, r, s).Outcome, encoder.SettleAccepted)
	}
	return r
}

// BenchmarkSnapshot measures how long a snapshot occupies the state machine, and its size per
// entry.
func BenchmarkSnapshot(b *testing.B) {
	for _, entries := range []int{10_000, 30_000, 100_000} {
		r := newFilledRegistrar(b, entries)
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			size := 0
			for b.Loop() {
				s, err := r.Snapshot()
				assert.NilError(b, err)
				size = len(s)
			}
			b.ReportMetric(float64(size)/float64(entries), "B/entry")
		})
	}
}

// BenchmarkRestore measures how long a restart takes to restore the state from a snapshot, and the
// memory per entry.
func BenchmarkRestore(b *testing.B) {
	for _, entries := range []int{10_000, 30_000, 100_000} {
		s, err := newFilledRegistrar(b, entries).Snapshot()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, New(nil).Restore(s))
			}
			before := heapBytes()
			r := New(nil)
			assert.NilError(b, r.Restore(s))
			b.ReportMetric((heapBytes()-before)/float64(entries), "held_B/entry")
			runtime.KeepAlive(r)
		})
	}
}

// heapBytes returns the size of the live heap in bytes. Pools are freed only by the second garbage
// collection after their last use.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkClaim measures how long the state machine takes to apply a claim and its settlement.
func BenchmarkClaim(b *testing.B) {
	r := New(nil)
	limits := DefaultLimits()
	limits.Entries = 1 << 30
	i := 0
	for b.Loop() {
		i++
		q := claim(makeKey(testNow.UnixMilli(), i), 1, 1)
		c, err := EncodeCommand(NewClaimCommand(q, testNow, limits))
		assert.NilError(b, err)
		r.Apply(1, c)
		s, err := EncodeCommand(SettleCommand{settle(q.Key, 1)})
		assert.NilError(b, err)
		r.Apply(1, s)
	}
}
