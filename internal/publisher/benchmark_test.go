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

// filled returns a leader with many docks and about seven servers for each.
func filled(b *testing.B, docks int) (*Publisher, *client, time.Time) {
	b.Helper()
	p := New()
	p.Lead(start, 1)
	var first *client
	for i := range docks {
		c := newClient(p, fmt.Sprintf("dock-%04d", i), fmt.Sprintf("domain-%d", i%domains))
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

// BenchmarkWholeView measures the encoding of a whole view and reports its size, and what
// a dock holds for it.
func BenchmarkWholeView(b *testing.B) {
	for _, docks := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, _, _ := filled(b, docks)
			size := 0
			for b.Loop() {
				encoded, err := encoder.Encode(p.whole())
				assert.NilError(b, err)
				size = len(encoded)
			}
			encoded, err := encoder.Encode(p.whole())
			assert.NilError(b, err)
			before := heap()
			d, err := encoder.Decode[encoder.ViewDelta](encoded)
			assert.NilError(b, err)
			v, _ := (&encoder.View{}).Apply(&d)
			placement := placer.Place(v)
			held := heap() - before
			runtime.KeepAlive(encoded)
			runtime.KeepAlive(v)
			runtime.KeepAlive(placement)
			b.ReportMetric(float64(size), "wire_B")
			b.ReportMetric(held/1024, "held_KiB")
		})
	}
}

// heap is what the process holds. The second collection empties the pools that the first
// one marked.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPoll measures the leader's part of a poll that brings nothing new.
func BenchmarkPoll(b *testing.B) {
	for _, docks := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			_, c, now := filled(b, docks)
			for b.Loop() {
				c.send(now, encoder.PollRequest{KnownEpoch: c.view.Epoch, Heard: []encoder.AnnouncementAge{{Address: address(0)}}})
			}
		})
	}
}

// BenchmarkAdvance measures the leader's check for silent members, ten times a second.
func BenchmarkAdvance(b *testing.B) {
	for _, docks := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, _, now := filled(b, docks)
			for b.Loop() {
				p.Advance(now)
			}
		})
	}
}

// BenchmarkViewChange measures what one change of a server costs a dock, and its size.
func BenchmarkViewChange(b *testing.B) {
	for _, docks := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("docks=%d", docks), func(b *testing.B) {
			p, c, now := filled(b, docks)
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
