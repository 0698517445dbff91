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

// The simulation has 20 hosts that query 20 shards with 2 servers each; a query needs answers from
// all but two shards. For some seconds more queries arrive than the servers can run. Without a
// throttle, the servers' queues fill, queries time out or are refused by a few servers, and the
// work that other servers did for them is wasted.
const (
	shards        = 20
	hosts         = 20
	needed        = 18
	slots         = 2
	queueLimit    = 12
	meanServiceMs = 20
	// targetMs is the latency within which a query must be answered.
	targetMs = 138
	// capacity is the number of queries per second that the servers can run.
	capacity = 2 * slots * 1000 / meanServiceMs
)

// simulation simulates hosts and servers in steps of one millisecond.
type simulation struct {
	random  *rand.Rand
	now     int
	servers map[encoder.ServerID]*simulatedServer
	// serverOrder lists the servers in a fixed order, so that runs are reproducible.
	serverOrder []*simulatedServer
	names       []identifier.ServiceName
	docks       []*selector.Selector
	throttles   []*selector.Throttle
	// inTime, arrived and refused count queries by the second of their arrival. inTime counts those
	// answered within the target.
	inTime  map[int]int
	arrived map[int]int
	refused map[int]int
}

// simulatedServer runs subrequests in the order of their arrival.
type simulatedServer struct {
	running []*subrequest
	waiting []*subrequest
}

// subrequest is the part of a query that one server answers. remaining is its remaining run time in
// milliseconds.
type subrequest struct {
	query     *simulatedQuery
	inFlight  *selector.InFlightRequest
	dock      int
	remaining int
}

// simulatedQuery counts the answered and the refused subrequests of one query. arrived is in
// milliseconds.
type simulatedQuery struct {
	arrived   int
	answered  int
	rejected  int
	hasFailed bool
}

func newSimulation(isThrottled bool) *simulation {
	m := &simulation{
		random: rand.New(rand.NewPCG(1, 2)), servers: map[encoder.ServerID]*simulatedServer{},
		inTime: map[int]int{}, arrived: map[int]int{}, refused: map[int]int{},
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
			m.serverOrder = append(m.serverOrder, server)
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

// run simulates a number of seconds with a rate of queries per second.
func (m *simulation) run(seconds, rate int) {
	for range 1000 * seconds {
		m.now++
		if m.random.IntN(1000) < rate%1000 {
			m.arrive()
		}
		for _, s := range m.serverOrder {
			m.step(s)
		}
	}
}

// arrive has a random host admit a query and send its subrequests.
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

// send sends a subrequest to a server, and to another one if the first server's queue is full.
func (m *simulation) send(dock int, q *simulatedQuery, name identifier.ServiceName, excluded []encoder.ServerID) {
	s := m.docks[dock]
	target, ok := s.Choose(m.time(), name, excluded)
	if !ok {
		q.rejected++
		q.hasFailed = q.hasFailed || q.rejected > shards-needed
		return
	}
	server := m.servers[target.ID]
	p := &subrequest{query: q, dock: dock, inFlight: s.Begin(m.time(), target.ID, meanServiceMs*time.Millisecond), remaining: 1 + m.random.IntN(2*meanServiceMs)}
	if len(server.waiting) >= queueLimit {
		s.Answered(m.time(), p.inFlight, true, server.load())
		m.send(dock, q, name, append(excluded, target.ID))
		return
	}
	server.waiting = append(server.waiting, p)
}

func (s *simulatedServer) load() *selector.Load {
	return &selector.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: slots}
}

// step simulates one millisecond of a server. Subrequests of failed queries are cancelled.
func (m *simulation) step(s *simulatedServer) {
	running := s.running[:0]
	for _, p := range s.running {
		p.remaining--
		switch {
		case p.query.hasFailed:
			m.docks[p.dock].Cancelled(m.time(), p.inFlight)
		case p.remaining <= 0:
			m.finish(s, p)
		default:
			running = append(running, p)
		}
	}
	s.running = running
	for len(s.running) < slots && len(s.waiting) > 0 {
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		if p.query.hasFailed {
			m.docks[p.dock].Cancelled(m.time(), p.inFlight)
			continue
		}
		s.running = append(s.running, p)
	}
}

// finish records an answered subrequest.
func (m *simulation) finish(s *simulatedServer, p *subrequest) {
	m.docks[p.dock].Answered(m.time(), p.inFlight, false, s.load())
	q := p.query
	q.answered++
	if q.answered == needed && m.now-q.arrived <= targetMs {
		m.inTime[q.arrived/1000]++
	}
}

// sum adds the counts of the seconds at least from and less than to.
func sum(counts map[int]int, from, to int) int {
	n := 0
	for s := from; s < to; s++ {
		n += counts[s]
	}
	return n
}

func TestOverloadIsShedBeforeDispatch(t *testing.T) {
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
		sum(without.inTime, 2, 7), sum(with.inTime, 2, 7), sum(with.arrived, 2, 7), sum(with.refused, 2, 7))
	// At least three quarters of the capacity is answered in time.
	assert.Assert(t, sum(with.inTime, 3, 7) >= 4*capacity*3/4, "%d in time", sum(with.inTime, 3, 7))
	assert.Assert(t, sum(with.inTime, 3, 7) > sum(without.inTime, 3, 7))
	// No request is refused before the overload, and nearly all are answered a second after it.
	assert.Equal(t, sum(with.refused, 0, 2), 0)
	assert.Assert(t, sum(with.inTime, 8, 9) >= 95*sum(with.arrived, 8, 9)/100, "%d of %d", sum(with.inTime, 8, 9), sum(with.arrived, 8, 9))
}

func TestThrottlePrefersRetriedRequests(t *testing.T) {
	fresh, retried := selector.NewThrottle(), selector.NewThrottle()
	admitted, retriedAdmitted := 0, 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		isCongested := i < 100
		if fresh.Admit(now, isCongested, false) {
			admitted++
		}
		if retried.Admit(now, isCongested, true) {
			retriedAdmitted++
		}
	}
	assert.Assert(t, retriedAdmitted > admitted, "%d, %d", retriedAdmitted, admitted)
	assert.Equal(t, fresh.Share(), 1.0)
}

func TestThrottleAlwaysAdmitsMinimumShare(t *testing.T) {
	throttle := selector.NewThrottle()
	admitted := 0
	for i := range 10_000 {
		if throttle.Admit(start.Add(time.Duration(i)*10*time.Millisecond), true, false) {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 1000, "%d", admitted)
}
