package forwarder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// crossings counts the requests to servers by whether they cross failure domains.
type crossings struct {
	near     metrics.Counter
	far      metrics.Counter
	sent     metrics.Counter
	received metrics.Counter
}

// newCrossings registers the counters.
func newCrossings(m *measurer.Registry) *crossings {
	bytes := func(name, text string) metrics.Counter {
		m.Describe(name, measurer.Bytes, text)
		return m.Counter(name, text)
	}
	return &crossings{
		near:     m.Counter("forwarder.requests_near", "Requests to servers of this failure domain."),
		far:      m.Counter("forwarder.requests_far", "Requests to servers of other failure domains."),
		sent:     bytes("forwarder.far_bytes_sent", "Bytes of requests to servers of other failure domains."),
		received: bytes("forwarder.far_bytes_received", "Bytes of replies from servers of other failure domains."),
	}
}

// countRequest counts a request that is written to a server.
func (c *crossings) countRequest(target selector.Target, request *sender.PreparedRequest) {
	if target.IsNear {
		c.near.Inc(1)
		return
	}
	c.far.Inc(1)
	c.sent.Inc(int64(len(request.Head) + len(request.Body)))
}

// countReply counts a server's reply, which is empty if there was none.
func (c *crossings) countReply(target selector.Target, reply *sender.Reply) {
	if !target.IsNear {
		c.received.Inc(reply.WireBytes)
	}
}

// ObserveConnection passes on how long it took to open a connection to a server, and updates the connections
// that are opened in advance if a failure domain has become near or far.
func (f *Forwarder) ObserveConnection(address netip.AddrPort, elapsed time.Duration) {
	if f.selector.ObserveConnection(f.clock.Now(), address, elapsed) {
		f.onTargetsChanged()
	}
}

// ObserveLink does the same for a link to another dock, in the failure domain of that dock.
func (f *Forwarder) ObserveLink(address netip.AddrPort, elapsed time.Duration) {
	f.relays.mutex.Lock()
	docks := f.relays.docks
	f.relays.mutex.Unlock()
	for _, d := range slices.Concat(f.delegator.Docks(), docks) {
		if d.Address == address && f.selector.ObserveLink(f.clock.Now(), d.Domain, elapsed) {
			f.onTargetsChanged()
		}
	}
}

// mayCross reports whether a hedge may be sent to a server now. If it goes over a long link and must
// wait, crossAt is set to the time of the next try.
func (j *job) mayCross(now time.Time, target selector.Target) bool {
	if target.RoundTrip == 0 {
		return true
	}
	median := j.latency.Median()
	hedge := selector.FarHedge{
		Elapsed:   now.Sub(j.lastSentAt),
		Usual:     median + j.lastRoundTrip,
		Median:    median,
		RoundTrip: target.RoundTrip,
		UntilEnd:  j.query.giveUpAt().Sub(now),
	}
	if !j.query.target.IsZero() {
		hedge.UntilTarget = j.query.target.Sub(now)
		j.latestHedgeAt = earlier(j.latestHedgeAt, now.Add(hedge.LatestDelay()))
	}
	delay, isUseful := hedge.Delay()
	if !isUseful {
		return false
	}
	if delay > 0 {
		j.crossAt = now.Add(delay)
	}
	return delay == 0
}
