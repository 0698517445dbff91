package owner

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/manifestreader"
)

// meanServiceTime is the mean service time of the simulated servers without slow subrequests.
const meanServiceTime = 8 * time.Millisecond

// simulatedBackend is a Backend with random service times, in the fake time of a synctest
// bubble. Each server runs all its subrequests at once. peak is the largest number of them.
type simulatedBackend struct {
	// Set before use.
	slowShare  float64
	slowFactor float64
	factors    map[netip.AddrPort]float64
	// routineFactor multiplies the service time of routine work. Zero means 1.
	routineFactor float64
	// fault returns the failure of a subrequest after its service time, or nil.
	fault func(server encoder.Server, subrequest Subrequest) *Failure

	mutex   sync.Mutex
	random  *rand.Rand
	running map[netip.AddrPort]int
	peak    map[netip.AddrPort]int
	// runs counts the subrequests that were started, by request and shard.
	runs map[runKey]int
	sent int
}

type runKey struct {
	request identifier.RequestID
	shard   identifier.ShardNumber
}

func newSimulatedBackend(seed uint64) *simulatedBackend {
	return &simulatedBackend{
		slowShare:  0.01,
		slowFactor: 10,
		factors:    map[netip.AddrPort]float64{},
		random:     rand.New(rand.NewPCG(seed, 1)),
		running:    map[netip.AddrPort]int{},
		peak:       map[netip.AddrPort]int{},
		runs:       map[runKey]int{},
	}
}

// Run serves a subrequest.
func (c *simulatedBackend) Run(ctx context.Context, server encoder.Server, s Subrequest) (Result, error) {
	timer := time.NewTimer(c.begin(server, s))
	defer timer.Stop()
	defer c.end(server)
	select {
	case <-timer.C:
	case <-ctx.Done():
		return Result{}, &Failure{Cause: CauseCancelled, Started: true}
	}
	if c.fault != nil {
		if f := c.fault(server, s); f != nil {
			return Result{}, f
		}
	}
	return Result{Rows: []encoder.Row{{Score: 1, Shard: s.Shard.Number}}, Total: 1}, nil
}

// begin counts a subrequest and draws its service time.
func (c *simulatedBackend) begin(server encoder.Server, s Subrequest) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	c.runs[runKey{s.Request, s.Shard.Number}]++
	c.running[server.Address]++
	c.peak[server.Address] = max(c.peak[server.Address], c.running[server.Address])
	d := float64(meanServiceTime) * (0.5 + 0.5*c.random.ExpFloat64())
	if c.random.Float64() < c.slowShare {
		d *= c.slowFactor
	}
	if s.Urgency == manifestreader.Routine && c.routineFactor > 0 {
		d *= c.routineFactor
	}
	if f := c.factors[server.Address]; f > 0 {
		d *= f
	}
	return time.Duration(d)
}

func (c *simulatedBackend) end(server encoder.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[server.Address]--
}

// traffic is a Poisson stream of queries over all shards.
type traffic struct {
	owner    *Owner
	shards   int
	duration time.Duration
	timeout  time.Duration
	// urgent and routine are rates in queries per second.
	urgent, routine float64
	random          *rand.Rand

	// handleReply is called with each reply, one at a time.
	handleReply func(request encoder.ShardBatch, reply encoder.BatchReply, latency time.Duration)
	mutex       sync.Mutex
	wait        sync.WaitGroup
}

// run sends the queries and waits for their replies.
func (f *traffic) run() {
	end := time.Now().Add(f.duration)
	for {
		time.Sleep(time.Duration(f.random.ExpFloat64() / (f.urgent + f.routine) * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		urgency := manifestreader.Routine
		if f.random.Float64() < f.urgent/(f.urgent+f.routine) {
			urgency = manifestreader.Urgent
		}
		batch := makeBatch(urgency, f.shards)
		// The identifier determines the admission rank, so it must depend on the seed too.
		binary.BigEndian.PutUint64(batch.Request[:], f.random.Uint64())
		batch.Operation = identifier.OperationName(urgency.String())
		batch.Timeout = f.timeout
		f.wait.Go(func() { f.query(batch) })
	}
	f.wait.Wait()
}

func (f *traffic) query(batch encoder.ShardBatch) {
	start := time.Now()
	reply := f.owner.Handle(context.Background(), batch)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.handleReply(batch, reply, time.Since(start))
}

// modelRun is one configuration of the simulation and its results.
type modelRun struct {
	seed           uint64
	load           float64
	urgent         float64
	hasSlowReplica bool
	duration       time.Duration
	policy         Policy
	// shards is the number of shards. Zero means 20.
	shards int
	// routineFactor multiplies the service time of routine work. Zero means 1.
	routineFactor float64

	urgentLatencies, routineLatencies []time.Duration
	urgentPartial, routinePartial     int
	sent, firstCount                  int
	peak                              int
	// routineRefused counts routine queries without any covered shard. coveredShards counts the
	// covered shards of all routine queries.
	routineRefused, coveredShards int
	hedges                        int64
}

// capacity returns the queries per second that keep all slots of a shard busy.
func capacity(slots int) float64 {
	return float64(slots) / (meanServiceTime.Seconds() * (0.99 + 0.01*10))
}

// run runs the simulation in a synctest bubble, with 2 replicas of 2 slots for each shard.
func (m *modelRun) run(t *testing.T) {
	shards := m.shards
	if shards == 0 {
		shards = 20
	}
	c := newSimulatedBackend(m.seed)
	c.routineFactor = m.routineFactor
	view := makeView(shards, 2, 2)
	if m.hasSlowReplica {
		c.factors[view.Servers[0].Address] = 3
	}
	o := newOwner(t, c, view, WithPolicy(m.policy), WithSeed(m.seed))
	rate := m.load * capacity(4)
	f := &traffic{
		owner: o, shards: shards, duration: m.duration, timeout: time.Second,
		urgent: m.urgent * rate, routine: (1 - m.urgent) * rate, random: rand.New(rand.NewPCG(m.seed, 2)),
	}
	warmUpEnd := time.Now().Add(2 * time.Second)
	f.handleReply = func(request encoder.ShardBatch, reply encoder.BatchReply, latency time.Duration) {
		if len(reply.Covered)+len(reply.Missing) != shards {
			t.Errorf("%d covered and %d missing", len(reply.Covered), len(reply.Missing))
		}
		if time.Now().Before(warmUpEnd) {
			return
		}
		m.record(request.Urgency, reply, latency)
	}
	f.run()
	m.sent = c.sent
	m.firstCount = int(o.services["plates"].firstCount)
	for _, peak := range c.peak {
		m.peak = max(m.peak, peak)
	}
	m.hedges = o.metricSet.hedges.Count()
}

// record records the latency of a complete answer, or counts a partial one.
func (m *modelRun) record(urgency manifestreader.Urgency, reply encoder.BatchReply, latency time.Duration) {
	if urgency == manifestreader.Routine {
		m.coveredShards += len(reply.Covered)
		if len(reply.Covered) == 0 {
			m.routineRefused++
		}
	}
	switch {
	case urgency == manifestreader.Urgent && len(reply.Missing) > 0:
		m.urgentPartial++
	case urgency == manifestreader.Urgent:
		m.urgentLatencies = append(m.urgentLatencies, latency)
	case len(reply.Missing) > 0:
		m.routinePartial++
	default:
		m.routineLatencies = append(m.routineLatencies, latency)
	}
}

// quantile returns a quantile of latencies.
func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
