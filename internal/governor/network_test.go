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

// network loses, delays, duplicates and cuts messages between named hosts.
type network struct {
	mutex     sync.Mutex
	random    *rand.Rand
	loss      float64
	duplicate float64
	delay     time.Duration
	// cut holds pairs of sender and receiver, in one direction.
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

// fate returns when copies of a message arrive: none, one or two.
func (n *network) fate(from, to identifier.HostName) []time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cut[[2]identifier.HostName{from, to}] || n.random.Float64() < n.loss {
		return nil
	}
	arrivals := []time.Duration{n.within(n.delay)}
	if n.random.Float64() < n.duplicate {
		arrivals = append(arrivals, n.within(100*n.delay))
	}
	return arrivals
}

// within draws a duration below a limit.
func (n *network) within(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}

// send delivers a message in goroutines of its own.
func (n *network) send(from, to identifier.HostName, deliver func()) {
	for _, d := range n.fate(from, to) {
		n.tasks.Go(func() {
			time.Sleep(d)
			deliver()
		})
	}
}

// setCut cuts or joins one direction.
func (n *network) setCut(from, to identifier.HostName, isCut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[[2]identifier.HostName{from, to}] = isCut
}

// heal joins everything and loses nothing more.
func (n *network) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cut)
	n.loss = 0
	n.duplicate = 0
	n.delay = 2 * time.Millisecond
}

// call performs a request whose copies and replies meet the network's faults.
func call[A any](ctx context.Context, n *network, from, to identifier.HostName, serve func() (A, error)) (A, error) {
	type result struct {
		answer A
		err    error
	}
	replies := make(chan result, 4)
	n.send(from, to, func() {
		a, err := serve()
		n.send(to, from, func() { replies <- result{a, err} })
	})
	select {
	case r := <-replies:
		return r.answer, r.err
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

// client is a process's way to the keepers.
type client struct {
	world *world
	from  publisher.Dock
}

var (
	_ poller.Caller   = client{}
	_ claimer.KeeperClient = client{}
)

// reach finds the keeper at an address. A keeper that does not run refuses.
func reach[A any](ctx context.Context, c client, address netip.AddrPort, serve func(k *keeper) (A, error)) (A, error) {
	name := c.world.nameAt(address)
	return call(ctx, c.world.network, c.from.Name, name, func() (A, error) {
		k := c.world.keeper(name)
		if k == nil {
			var none A
			return none, errRefused
		}
		return serve(k)
	})
}

func (c client) Poll(ctx context.Context, address netip.AddrPort, q encoder.PollRequest) (encoder.PollReply, error) {
	return reach(ctx, c, address, func(k *keeper) (encoder.PollReply, error) { return k.governor.Poll(k.ctx, c.from, q) })
}

func (c client) Claim(ctx context.Context, address netip.AddrPort, q encoder.ClaimRequest) (encoder.ClaimReply, error) {
	return reach(ctx, c, address, func(k *keeper) (encoder.ClaimReply, error) { return k.governor.Claim(k.ctx, q) })
}

func (c client) Settle(ctx context.Context, address netip.AddrPort, q encoder.SettleRequest) (encoder.SettleReply, error) {
	return reach(ctx, c, address, func(k *keeper) (encoder.SettleReply, error) { return k.governor.Settle(k.ctx, q) })
}

func (c client) Submit(ctx context.Context, address netip.AddrPort, m encoder.ManifestText) (encoder.SubmitReply, error) {
	return reach(ctx, c, address, func(k *keeper) (encoder.SubmitReply, error) {
		return k.governor.Submit(k.ctx, encoder.SubmitRequest{Manifest: m})
	})
}

// transport carries the replicator's messages.
type transport struct {
	world *world
	from  identifier.HostName
}

func (t transport) Send(to replicator.Member, message []byte) {
	t.world.network.send(t.from, to.Name, func() {
		if k := t.world.keeper(to.Name); k != nil {
			k.replicator.Deliver(message)
		}
	})
}
