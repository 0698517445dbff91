package linker

import (
	"net/netip"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/timekeeper"
)

// Pool holds one Link for each address. It is safe for concurrent use.
type Pool struct {
	// Set at creation.
	clock   timekeeper.Clock
	self    Self
	options []Option
	// onOpened is called with the time that it took to open a connection.
	onOpened func(address netip.AddrPort, elapsed time.Duration)

	// Guarded by mutex.
	mutex sync.Mutex
	links map[netip.AddrPort]*Link
}

// NewPool returns an empty pool.
func NewPool(self Self, clock timekeeper.Clock, options ...Option) *Pool {
	return &Pool{clock: clock, self: self, options: options, links: map[netip.AddrPort]*Link{}, onOpened: func(netip.AddrPort, time.Duration) {}}
}

// OnOpened sets the function that is called after a link was opened, with the time that it took. The
// function must not block. It must be set before the first call of Link.
func (p *Pool) OnOpened(onOpened func(address netip.AddrPort, elapsed time.Duration)) {
	p.onOpened = onOpened
}

// Link returns the link to an address, which it creates at the first call.
func (p *Pool) Link(address netip.AddrPort) *Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.links[address]
	if l == nil {
		l = NewLink(address, p.self, p.clock, p.options...)
		l.onOpened = p.onOpened
		p.links[address] = l
	}
	return l
}

// Traffic returns the sum of all links' traffic counters.
func (p *Pool) Traffic() TrafficCount {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var sum TrafficCount
	for _, l := range p.links {
		sum = sum.add(l.traffic.count())
	}
	return sum
}

// Close closes all links.
func (p *Pool) Close() error {
	p.mutex.Lock()
	links := p.links
	p.links = map[netip.AddrPort]*Link{}
	p.mutex.Unlock()
	for _, l := range links {
		_ = l.Close()
	}
	return nil
}
