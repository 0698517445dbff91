package tracer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/seeder"
	"banyandock.example/banyandock/internal/timekeeper"
)

func init() { seeder.Fix() }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// skewed is a clock with a fixed offset.
type skewed struct {
	timekeeper.System
	by time.Duration
}

func (s skewed) Now() time.Time { return time.Now().Add(s.by) }

// TestStampsOrderMessagesByCause sends messages between hosts with skewed clocks in random order
// and checks that each reading is greater than all readings that happened before it.
func TestStampsOrderMessagesByCause(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clocks := make([]*HybridClock, 4)
		for i := range clocks {
			by := rapid.Int64Range(-20_000, 20_000).Draw(rt, "skew")
			clocks[i] = NewHybridClock(skewed{by: time.Duration(by) * time.Millisecond})
		}
		// causes holds the greatest reading that each host has taken or received.
		causes := make([]Timestamp, len(clocks))
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			from := rapid.IntRange(0, len(clocks)-1).Draw(rt, "from")
			to := rapid.IntRange(0, len(clocks)-1).Draw(rt, "to")
			sent := clocks[from].Now()
			assert.Assert(rt, sent > causes[from])
			clocks[to].Observe(sent)
			received := clocks[to].Now()
			assert.Assert(rt, received > sent && received > causes[to])
			causes[from] = max(causes[from], sent)
			causes[to] = received
		}
	})
}

func TestClockIgnoresReadingsFarAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewHybridClock(timekeeper.System{})
		c.Observe(NewTimestamp(time.Now().Add(maxAhead + time.Second)))
		assert.Equal(t, c.Ignored(), uint64(1))
		assert.Equal(t, c.Now().Time(), time.Now().UTC().Truncate(time.Millisecond))
		c.Observe(NewTimestamp(time.Now().Add(maxAhead)))
		assert.Equal(t, c.Ignored(), uint64(1))
		assert.Assert(t, c.Now() > NewTimestamp(time.Now().Add(maxAhead)))
	})
}

func newTestTracer() *Tracer {
	return New("dock", "plade-01", NewHybridClock(timekeeper.System{}))
}

func TestTrafficDoesNotDisplaceControlEvents(t *testing.T) {
	tr := newTestTracer()
	tr.Record(LeaderElected, identifier.RequestID{}, "term 3")
	for range trafficEvents + 10 {
		tr.Record(RequestReceived, identifier.NewRequestID(), "")
	}
	all := tr.Recent(trafficEvents * 2)
	assert.Equal(t, len(all), trafficEvents+1)
	assert.Equal(t, all[0].Kind, LeaderElected)
	assert.Equal(t, len(tr.Recent(5)), 5)
}

func TestEventsArePagedInOrder(t *testing.T) {
	tr := newTestTracer()
	r := rand.New(rand.NewPCG(1, 2))
	wanted := identifier.NewRequestID()
	count := 0
	for range 3 * maxReplyEvents {
		request := identifier.RequestID{}
		if r.IntN(10) == 0 {
			request = wanted
			count++
		}
		tr.Record(Kind(r.IntN(int(InvariantFailed)+1)), request, "")
	}
	var got []Event
	q := EventsRequest{Request: wanted, Limit: 100}
	for {
		page := tr.Events(q)
		got = append(got, page.Events...)
		if !page.IsMore {
			break
		}
		assert.Equal(t, len(page.Events), 100)
		q.Since = page.Events[99].Stamp
	}
	assert.Assert(t, len(got) <= count && len(got) > 0)
	assert.Assert(t, slices.IsSortedFunc(got, func(a, b Event) int { return int(int64(a.Stamp) - int64(b.Stamp)) }))
	for _, e := range got {
		assert.Equal(t, e.Request, wanted)
	}
}

func TestRecordTruncatesTextsAndFields(t *testing.T) {
	tr := newTestTracer()
	fields := make([]Field, maxFields+5)
	fields[0] = F("long", string(make([]byte, 10*maxEventTextBytes)))
	tr.Record(EpochApplied, identifier.RequestID{}, string(make([]byte, 10*maxEventTextBytes)), fields...)
	e := tr.Recent(1)[0]
	assert.Equal(t, len(e.Text), maxEventTextBytes)
	assert.Equal(t, len(e.Fields), maxFields)
	assert.Equal(t, len(e.Fields[0].Value), maxEventTextBytes)
	var none *Tracer
	none.Record(EpochApplied, identifier.RequestID{}, "")
}

func TestReplyFitsAFrame(t *testing.T) {
	tr := newTestTracer()
	long := strings.Repeat("x", maxEventTextBytes)
	fields := make([]Field, maxFields)
	for i := range fields {
		fields[i] = Field{Name: long, Value: long}
	}
	for range maxReplyEvents {
		tr.Record(EpochApplied, identifier.RequestID{}, long, fields...)
	}
	count := 0
	for q := (EventsRequest{}); ; {
		page := tr.Events(q)
		b, err := encoder.Encode(page)
		assert.NilError(t, err)
		assert.Assert(t, len(b) < linker.MaxFrameBytes/2)
		count += len(page.Events)
		if !page.IsMore {
			break
		}
		q.Since = page.Events[len(page.Events)-1].Stamp
	}
	assert.Equal(t, count, maxReplyEvents)
}

func TestEventIsOneLine(t *testing.T) {
	e := Event{
		Stamp: NewTimestamp(time.Date(2026, 12, 3, 22, 0, 0, 5e6, time.UTC)) + 3, Program: "dock", Host: "plade-01",
		Kind: ServerCrashed, Request: identifier.RequestID{1}, Text: "broke\n\x1b[2J",
		Fields: []Field{F("server", "127.0.0.1:1"), F("detail", "a b\n"), F("empty", ""), F("count", 3), F("after", time.Second)},
	}
	want := `2026-12-03T22:00:00.005Z.0003 dock@plade-01 server_crashed request=01000000-0000-0000-0000-000000000000` +
		` server=127.0.0.1:1 detail="a b\n" empty="" count=3 after=1s broke` + "\ufffd\ufffd[2J"
	assert.Equal(t, e.String(), want)
	assert.Assert(t, len(truncate(strings.Repeat("å", maxEventTextBytes))) <= maxEventTextBytes)
}

func TestEventsAreServedOverALink(t *testing.T) {
	tr := newTestTracer()
	tr.Record(ManifestApplied, identifier.RequestID{}, "in force", F("number", 7))
	mux := linker.NewMux()
	tr.Register(mux)
	s, err := linker.Listen(netip.MustParseAddrPort("127.0.0.1:0"), linker.Self{Host: "plade-01", LogicalClock: tr.Clock()}, mux, timekeeper.System{})
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	l := linker.NewLink(s.Address(), linker.Self{Host: "dockctl"}, timekeeper.System{})
	defer func() { _ = l.Close() }()
	reply, err := linker.Call[EventsRequest, EventsReply](t.Context(), l, encoder.KindEvents, EventsRequest{})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, EventsReply{Events: tr.Recent(1)})
}

// FuzzEvents decodes replies as dockctl does and renders their events.
func FuzzEvents(f *testing.F) {
	b, err := encoder.Encode(EventsReply{Events: []Event{{Stamp: 1 << 20, Kind: 99, Text: "a", Fields: []Field{F("b", 1)}}}})
	assert.NilError(f, err)
	f.Add(b)
	f.Add([]byte{0x81, 0xa6, 'E', 'v', 'e', 'n', 't', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		reply, err := encoder.Decode[EventsReply](data)
		if err != nil {
			return
		}
		for _, e := range Merge(reply.Events, reply.Events) {
			_ = e.String()
		}
	})
}

// BenchmarkRecord measures the event that a dock records for each batch.
func BenchmarkRecord(b *testing.B) {
	tr := newTestTracer()
	request := identifier.NewRequestID()
	root := identifier.HostName("plade-01")
	b.ReportAllocs()
	for i := range b.N {
		tr.Record(BatchReceived, request, "", F("attempt", uint32(i)), F("root", root), F("shards", i), F("canary", false))
	}
}
