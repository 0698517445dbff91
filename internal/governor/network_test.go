package governor_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/claimer"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/poller"
	"banyandock.example/banyandock/internal/publisher"
	"banyandock.example/banyandock/internal/replicator"
)

var errRefused = errors.New("connection refused")

// lateFactor is how many times longer than other messages a late message may take.
const lateFactor = 100

// network simulates the links between hosts. It can drop, delay and duplicate messages.
type network struct {
	mutex  sync.Mutex
	random *rand.Rand
	loss   float64
	// late is the share of the messages that arrive late. Of the keepers' own messages, a copy
	// arrives in time as well.
	late  float64
	delay time.Duration
	// cut contains the pairs of sender and receiver whose messages are dropped.
	cut   map[[2]identifier.HostName]bool
	tasks sync.WaitGroup
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)),
		delay:  2 * time.Millisecond,
		cut:    map[[2]identifier.HostName]bool{},
	}
}

// arrivalDelays returns the delay of each copy of a message: no copy, one or two.
func (n *network) arrivalDelays(from, to identifier.HostName) []time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cut[[2]identifier.HostName{from, to}] || n.random.Float64() < n.loss {
		return nil
	}
	delays := []time.Duration{n.randomDelay(n.delay)}
	if n.random.Float64() < n.late {
		delays = append(delays, n.randomDelay(lateFactor*n.delay))
	}
	return delays
}

// randomDelay returns a random duration below a limit.
func (n *network) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}

// send delivers each copy of a message after its delay, in a goroutine of its own.
func (n *network) send(from, to identifier.HostName, deliver func()) {
	for _, d := range n.arrivalDelays(from, to) {
		n.deliverAfter(d, deliver)
	}
}

// sendOnce delivers a message at most once, as a link does. A late message has no other copy.
func (n *network) sendOnce(from, to identifier.HostName, deliver func()) {
	if delays := n.arrivalDelays(from, to); len(delays) > 0 {
		n.deliverAfter(delays[len(delays)-1], deliver)
	}
}

func (n *network) deliverAfter(d time.Duration, deliver func()) {
	n.tasks.Go(func() {
		time.Sleep(d)
		deliver()
	})
}

// setCut cuts or restores the link in one direction.
func (n *network) setCut(from, to identifier.HostName, isCut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[[2]identifier.HostName{from, to}] = isCut
}

// heal restores all links and the short delay, and stops all losses and duplicates.
func (n *network) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cut)
	n.loss = 0
	n.late = 0
	n.delay = 2 * time.Millisecond
}

// call sends a request over the network and returns its reply. Request and reply may be lost or
// arrive late, also after ctx has ended.
func call[A any](ctx context.Context, n *network, from, to identifier.HostName, serve func() (A, error)) (A, error) {
	type result struct {
		answer A
		err    error
	}
	replies := make(chan result, 1)
	n.sendOnce(from, to, func() {
		a, err := serve()
		n.sendOnce(to, from, func() { replies <- result{a, err} })
	})
	select {
	case r := <-replies:
		return r.answer, r.err
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

// keeperClient sends requests of one process to the keepers.
type keeperClient struct {
	cluster *cluster
	from    publisher.Dock
}

var (
	_ poller.Caller        = keeperClient{}
	_ claimer.KeeperClient = keeperClient{}
)

// callKeeper sends a request to the keeper at an address. It returns errRefused if the keeper is
// not running.
func callKeeper[A any](ctx context.Context, c keeperClient, address netip.AddrPort, serve func(k *keeper) (A, error)) (A, error) {
	name := c.cluster.keeperNameAt(address)
	return call(ctx, c.cluster.network, c.from.Name, name, func() (A, error) {
		k := c.cluster.keeper(name)
		if k == nil {
			var none A
			return none, errRefused
		}
		return serve(k)
	})
}

func (c keeperClient) Poll(ctx context.Context, address netip.AddrPort, q encoder.PollRequest) (encoder.PollReply, error) {
	return callKeeper(ctx, c, address, func(k *keeper) (encoder.PollReply, error) { return k.governor.Poll(k.ctx, c.from, q) })
}

func (c keeperClient) Claim(ctx context.Context, address netip.AddrPort, q encoder.ClaimRequest) (encoder.ClaimReply, error) {
	reply, err := callKeeper(ctx, c, address, func(k *keeper) (encoder.ClaimReply, error) { return k.governor.Claim(k.ctx, q) })
	if err != nil || reply.Outcome == encoder.ClaimNoQuorum {
		c.cluster.recordOpenAttempt(q)
	}
	return reply, err
}

func (c keeperClient) Settle(ctx context.Context, address netip.AddrPort, q encoder.SettleRequest) (encoder.SettleReply, error) {
	return callKeeper(ctx, c, address, func(k *keeper) (encoder.SettleReply, error) { return k.governor.Settle(k.ctx, q) })
}

func (c keeperClient) Submit(ctx context.Context, address netip.AddrPort, m encoder.ManifestText) (encoder.SubmitReply, error) {
	return callKeeper(ctx, c, address, func(k *keeper) (encoder.SubmitReply, error) {
		return k.governor.Submit(k.ctx, encoder.SubmitRequest{Manifest: m})
	})
}

// transport sends the replicator's messages over the network.
type transport struct {
	cluster *cluster
	from    identifier.HostName
}

func (t transport) Send(to replicator.Member, message []byte) {
	t.cluster.network.send(t.from, to.Name, func() {
		if k := t.cluster.keeper(to.Name); k != nil {
			k.replicator.Deliver(message)
		}
	})
}
