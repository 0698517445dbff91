package publisher

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/placer"
)

// domains is the number of failure domains in benchmarks.
const domains = 8

// newFilledLeader returns a leader with a settled view of many docks and seven servers for each,
// the client of its first dock, and the current time.
func newFilledLeader(b *testing.B, docks int) (*Publisher, *dockClient, time.Time) {
	b.Helper()
	p := New()
	p.Lead(start, 1)
	var first *dockClient
	for i := range docks {
		c := newDockClient(p, fmt.Sprintf("dock-%04d", i), fmt.Sprintf("domain-%d", i%domains))
		var servers []encoder.Server
		for n := range 7 {
			s := backend(i*7+n, fmt.Sprintf("domain-%d", i%domains), encoder.ServerReady)
			s.Holdings[0].ShardCount = 1200
			servers = append(servers, s)
		}
		c.poll(start, servers...)
		if first == nil {
			first = c
		}
	}
	now := start.Add(1700 * time.Millisecond)
	p.Advance(now)
	assert.Assert(b, first.poll(now).Ready)
	return p, first, now
}

// BenchmarkWholeView measures the encoding of a full view. It reports the size of the view and the
// heap that a dock needs for it.
func BenchmarkWholeView(b *testing.B) {
	for _, docks := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, _, _ := newFilledLeader(b, docks)
			size := 0
			for b.Loop() {
				encoded, err := encoder.Encode(p.fullView())
				assert.NilError(b, err)
				size = len(encoded)
			}
			encoded, err := encoder.Encode(p.fullView())
			assert.NilError(b, err)
			before := heapBytes()
			d, err := encoder.Decode[encoder.ViewDelta](encoded)
			assert.NilError(b, err)
			v, _ := (&encoder.View{}).Apply(&d)
			placement := placer.Place(v)
			retained := heapBytes() - before
			runtime.KeepAlive(encoded)
			runtime.KeepAlive(v)
			runtime.KeepAlive(placement)
			b.ReportMetric(float64(size), "wire_B")
			b.ReportMetric(retained/1024, "held_KiB")
		})
	}
}

// heapBytes returns the heap in use, in bytes. The second collection empties the pools that the
// first one marked.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPoll measures the leader's handling of a poll that reports no change.
func BenchmarkPoll(b *testing.B) {
	for _, docks := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			_, c, now := newFilledLeader(b, docks)
			for b.Loop() {
				c.send(now, encoder.PollRequest{KnownEpoch: c.view.Epoch, Heard: []encoder.AnnouncementAge{{Address: address(0)}}})
			}
		})
	}
}

// BenchmarkAdvance measures the leader's check for silent members, which runs ten times a second.
func BenchmarkAdvance(b *testing.B) {
	for _, docks := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, _, now := newFilledLeader(b, docks)
			for b.Loop() {
				p.Advance(now)
			}
		})
	}
}

// BenchmarkViewChange measures the cost of one changed server for a dock and reports the size of
// the delta.
func BenchmarkViewChange(b *testing.B) {
	for _, docks := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, c, now := newFilledLeader(b, docks)
			before := c.view
			s := backend(0, "domain-0", encoder.ServerDraining)
			s.Holdings[0].ShardCount = 1200
			c.poll(now, s)
			p.Advance(now)
			delta := p.Delta(before.Epoch)
			encoded, err := encoder.Encode(delta)
			assert.NilError(b, err)
			for b.Loop() {
				v, _ := before.Apply(delta)
				placer.Place(v)
			}
			b.ReportMetric(float64(len(encoded)), "wire_B")
		})
	}
}
