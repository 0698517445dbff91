package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/selector"
)

// The pattern that this file replays: 20 hosts ask 20 shards of 2 servers each, all of which
// must answer but two. For some seconds more queries come than the servers can run. Without a
// throttle their queues fill, queries wait too long or are turned away by a few servers, and
// what the others did for them is wasted.
const (
	shards     = 20
	hosts      = 20
	needed     = 18
	slots      = 2
	queueLimit = 12
	workTime   = 20 // ms
	inTime     = 138
	// capacity is how many queries a second the servers can run.
	capacity = 2 * slots * 1000 / workTime
)

// simulation runs in steps of a millisecond.
type simulation struct {
	random  *rand.Rand
	now     int
	servers map[encoder.ServerID]*simulatedServer
	// order lists the servers, so that runs repeat.
	order     []*simulatedServer
	names     []identifier.ServiceName
	docks     []*selector.Selector
	throttles []*selector.Throttle
	// served counts the queries answered in time, by the second of their arrival.
	served  map[int]int
	arrived map[int]int
	refused map[int]int
}

// simulatedServer runs parts in the order of their arrival.
type simulatedServer struct {
	running []*part
	waiting []*part
}

// part is one server's part of a query.
type part struct {
	query  *simulatedQuery
	flight *selector.InFlightRequest
	dock   int
	left   int
}

// simulatedQuery counts the parts of one query.
type simulatedQuery struct {
	arrived  int
	answered int
	rejected int
	isOver   bool
}

func newSimulation(isThrottled bool) *simulation {
	m := &simulation{
		random: rand.New(rand.NewPCG(1, 2)), servers: map[encoder.ServerID]*simulatedServer{},
		served: map[int]int{}, arrived: map[int]int{}, refused: map[int]int{},
	}
	all := map[identifier.ServiceName][]locator.Server{}
	for i := range shards {
		name := identifier.ServiceName(fmt.Sprintf("shard-%d", i))
		m.names = append(m.names, name)
		for _, replica := range []string{"a", "b"} {
			id := fmt.Sprintf("%s%d", replica, i)
			all[name] = append(all[name], servers(id)...)
			server := &simulatedServer{}
			m.servers[encoder.ServerID(id)] = server
			m.order = append(m.order, server)
		}
	}
	for i := range hosts {
		s := selector.New("one", selector.BudgetLimits{}, uint64(i))
		s.Update(all)
		m.docks = append(m.docks, s)
		if isThrottled {
			m.throttles = append(m.throttles, selector.NewThrottle())
		}
	}
	return m
}

func (m *simulation) time() time.Time { return start.Add(time.Duration(m.now) * time.Millisecond) }

// run goes on for some seconds with a number of queries a second.
func (m *simulation) run(seconds, rate int) {
	for range 1000 * seconds {
		m.now++
		if m.random.IntN(1000) < rate%1000 {
			m.arrive()
		}
		for _, s := range m.order {
			m.step(s)
		}
	}
}

// arrive admits a query at some host and sends its parts.
func (m *simulation) arrive() {
	dock := m.random.IntN(hosts)
	second := m.now / 1000
	m.arrived[second]++
	s := m.docks[dock]
	if m.throttles != nil && !m.throttles[dock].Admit(m.time(), s.IsCongested(m.time(), m.names, true), false) {
		m.refused[second]++
		return
	}
	q := &simulatedQuery{arrived: m.now}
	for _, name := range m.names {
		m.send(dock, q, name, nil)
	}
}

// send gives a part to a server, and to the other one if the first is full.
func (m *simulation) send(dock int, q *simulatedQuery, name identifier.ServiceName, excluded []encoder.ServerID) {
	s := m.docks[dock]
	target, ok := s.Choose(m.time(), name, excluded)
	if !ok {
		q.rejected++
		q.isOver = q.isOver || q.rejected > shards-needed
		return
	}
	server := m.servers[target.ID]
	p := &part{query: q, dock: dock, flight: s.Begin(m.time(), target.ID, workTime*time.Millisecond), left: 1 + m.random.IntN(2*workTime)}
	if len(server.waiting) >= queueLimit {
		s.Answered(m.time(), p.flight, true, server.load())
		m.send(dock, q, name, append(excluded, target.ID))
		return
	}
	server.waiting = append(server.waiting, p)
}

func (s *simulatedServer) load() *selector.Load {
	return &selector.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: slots}
}

// step runs a server for a millisecond. Parts of queries that are over are cancelled.
func (m *simulation) step(s *simulatedServer) {
	running := s.running[:0]
	for _, p := range s.running {
		p.left--
		switch {
		case p.query.isOver:
			m.docks[p.dock].Cancelled(m.time(), p.flight)
		case p.left <= 0:
			m.finish(s, p)
		default:
			running = append(running, p)
		}
	}
	s.running = running
	for len(s.running) < slots && len(s.waiting) > 0 {
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		if p.query.isOver {
			m.docks[p.dock].Cancelled(m.time(), p.flight)
			continue
		}
		s.running = append(s.running, p)
	}
}

// finish counts a part.
func (m *simulation) finish(s *simulatedServer, p *part) {
	m.docks[p.dock].Answered(m.time(), p.flight, false, s.load())
	q := p.query
	q.answered++
	if q.answered == needed && m.now-q.arrived <= inTime {
		m.served[q.arrived/1000]++
	}
}

// sum adds up the seconds from one to another.
func sum(counts map[int]int, from, to int) int {
	n := 0
	for s := from; s < to; s++ {
		n += counts[s]
	}
	return n
}

func TestOverloadIsTurnedAwayBeforeItIsSent(t *testing.T) {
	// load runs 2 s at 40%, 5 s at 160% and 3 s at 40% of the capacity.
	load := func(isThrottled bool) *simulation {
		m := newSimulation(isThrottled)
		m.run(2, 40*capacity/100)
		m.run(5, 160*capacity/100)
		m.run(3, 40*capacity/100)
		return m
	}
	without, with := load(false), load(true)
	t.Logf("in time during the overload: %d without, %d with a throttle, of %d; refused %d",
		sum(without.served, 2, 7), sum(with.served, 2, 7), sum(with.arrived, 2, 7), sum(with.refused, 2, 7))
	// At least three quarters of what the servers can do is in time.
	assert.Assert(t, sum(with.served, 3, 7) >= 4*capacity*3/4, "%d in time", sum(with.served, 3, 7))
	assert.Assert(t, sum(with.served, 3, 7) > sum(without.served, 3, 7))
	// Calm traffic is not turned away, before or a second after the overload.
	assert.Equal(t, sum(with.refused, 0, 2), 0)
	assert.Assert(t, sum(with.served, 8, 9) >= 95*sum(with.arrived, 8, 9)/100, "%d of %d", sum(with.served, 8, 9), sum(with.arrived, 8, 9))
}

func TestThrottleGivesReturningWorkPrecedence(t *testing.T) {
	first, returning := selector.NewThrottle(), selector.NewThrottle()
	admitted, readmitted := 0, 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		isCongested := i < 100
		if first.Admit(now, isCongested, false) {
			admitted++
		}
		if returning.Admit(now, isCongested, true) {
			readmitted++
		}
	}
	assert.Assert(t, readmitted > admitted, "%d, %d", readmitted, admitted)
	assert.Equal(t, first.Share(), 1.0)
}

func TestThrottleStarvesNothing(t *testing.T) {
	throttle := selector.NewThrottle()
	admitted := 0
	for i := range 10_000 {
		if throttle.Admit(start.Add(time.Duration(i)*10*time.Millisecond), true, false) {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 1000, "%d", admitted)
}
