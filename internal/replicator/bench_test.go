package replicator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/journaler"
	"banyandock.example/banyandock/internal/replicator"
)

// commandBytes is the size of a command in bytes, about that of a ledger entry.
const commandBytes = 200

// table is a state machine with one row per command.
type table struct {
	Rows map[uint64][]byte
}

func (m *table) Apply(index uint64, command []byte) []byte {
	m.Rows[index] = command
	return nil
}

func (m *table) Snapshot() ([]byte, error) { return encoder.Encode(m) }

func (m *table) Restore(b []byte) error {
	restored, err := encoder.Decode[table](b)
	m.Rows = restored.Rows
	return err
}

// caller proposes commands and records the latency of each.
type caller struct {
	leader    *replicator.Replicator
	commands  int
	latencies *hdrhistogram.Histogram
	err       error
}

func (c *caller) run(tasks *sync.WaitGroup) {
	defer tasks.Done()
	command := make([]byte, commandBytes)
	for range c.commands {
		start := time.Now()
		if _, err := c.leader.Propose(context.Background(), command); err != nil {
			c.err = err
			return
		}
		_ = c.latencies.RecordValue(time.Since(start).Microseconds())
	}
}

// BenchmarkPropose measures proposals to a group of three members in one process that sync real
// files, with several numbers of concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkPropose(b, callers) })
	}
}

func benchmarkPropose(b *testing.B, callers int) {
	g := newGroup(b, 3)
	g.startAll()
	defer g.stopAll()
	g.propose("first")
	lead := g.leader()
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	all := []*caller{}
	tasks := sync.WaitGroup{}
	b.ResetTimer()
	for range callers {
		c := &caller{leader: lead, commands: b.N/callers + 1, latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		all = append(all, c)
		tasks.Add(1)
		go c.run(&tasks)
	}
	tasks.Wait()
	b.StopTimer()
	for _, c := range all {
		assert.NilError(b, c.err)
		latencies.Merge(c.latencies)
	}
	b.ReportMetric(float64(latencies.TotalCount())/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkRestart measures the time that Open takes to restore the state.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { benchmarkRestart(b, entries) })
	}
}

func benchmarkRestart(b *testing.B, entries int) {
	path := b.TempDir()
	r, m := openSingle(b, path)
	waitForLeader(b, r)
	tasks := sync.WaitGroup{}
	const callers = 250
	for range callers {
		tasks.Add(1)
		go (&caller{leader: r, commands: entries / callers, latencies: hdrhistogram.New(1, 1e9, 1)}).run(&tasks)
	}
	tasks.Wait()
	assert.NilError(b, r.Close())
	assert.Equal(b, len(m.Rows), entries)
	for b.Loop() {
		r, _ = openSingle(b, path)
		b.StopTimer()
		assert.Assert(b, r.Status().LastLogIndex >= uint64(entries))
		assert.NilError(b, r.Close())
		b.StartTimer()
	}
}

// openSingle starts a group of one member on real files.
func openSingle(b *testing.B, path string) (*replicator.Replicator, *table) {
	b.Helper()
	j, err := journaler.Open(path)
	assert.NilError(b, err)
	self := replicator.Member{Name: "a"}
	m := &table{Rows: map[uint64][]byte{}}
	s := replicator.Settings{Self: self, Initial: []replicator.Member{self}}
	r, err := replicator.Open(s, m, j, groupTransport{})
	assert.NilError(b, err)
	return r, m
}

func waitForLeader(b *testing.B, r *replicator.Replicator) {
	b.Helper()
	for range 1_000 {
		if r.Status().IsLeader {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
}

// BenchmarkSnapshot measures the time to take a snapshot of 100,000 rows. Only its first part,
// encoding the state, blocks the control goroutine.
func BenchmarkSnapshot(b *testing.B) {
	j, err := journaler.Open(b.TempDir())
	assert.NilError(b, err)
	self := replicator.Member{Name: "a"}
	m := &table{Rows: map[uint64][]byte{}}
	s := replicator.Settings{Self: self, Initial: []replicator.Member{self}, FormationTicks: 1}
	e, err := replicator.OpenEngine(s, m, j, groupTransport{})
	assert.NilError(b, err)
	for !e.Status().IsLeader {
		assert.NilError(b, e.Tick())
	}
	for i := range uint64(100_000) {
		m.Rows[i] = make([]byte, commandBytes)
	}
	_, err = e.Propose(make([]byte, commandBytes))
	assert.NilError(b, err)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			assert.NilError(b, e.StartSnapshot())
		}
	})
	b.Run("encode and write", func(b *testing.B) {
		for b.Loop() {
			assert.NilError(b, e.StartSnapshot())
			assert.NilError(b, e.Tick())
		}
	})
	assert.NilError(b, j.Close())
}
