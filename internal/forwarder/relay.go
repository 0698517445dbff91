package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/reserver"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// maxRelays is the number of docks that a request may be handed over to one after the other.
	maxRelays = 4
	// maxRelayed bounds the requests of other docks that this dock runs at the same time.
	maxRelayed = 512
)

var (
	// errDetached is returned when this dock cannot reach servers either.
	errDetached = eris.New("the dock has lost its links to the servers")
	// errOlderConfiguration is returned when this dock's configuration is older than the sender's.
	errOlderConfiguration = eris.New("the configuration is older than the sender's")
	// errTooManyRelayed is returned when this dock runs maxRelayed requests of other docks.
	errTooManyRelayed = eris.New("too many requests of other docks")
)

// relays holds the docks that requests can be handed over to. It is safe for concurrent use.
type relays struct {
	// Guarded by mutex.
	mutex sync.Mutex
	docks []encoder.Dock
	// inFlight counts the requests that are handed over to each dock now.
	inFlight map[netip.AddrPort]int
}

// SetRelays replaces the list of docks that can reach servers.
func (f *Forwarder) SetRelays(docks []encoder.Dock) {
	f.relays.mutex.Lock()
	defer f.relays.mutex.Unlock()
	f.relays.docks = docks
}

// chooseRelay returns a dock to hand a request over to: of two that are drawn at random, the one with
// fewer requests of this dock, so that the load spreads over all of them. It leaves out those that were
// tried or failed lately. It returns false if there is none.
func (f *Forwarder) chooseRelay(now time.Time, tried map[identifier.HostName]bool) (encoder.Dock, bool) {
	f.relays.mutex.Lock()
	docks := f.relays.docks
	f.relays.mutex.Unlock()
	if len(docks) == 0 {
		docks = f.delegator.Docks()
	}
	candidates := []encoder.Dock{}
	for _, d := range docks {
		if d.Host != f.host && d.Address.IsValid() && !tried[d.Host] && !f.delegator.IsSuspect(now, d) {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		return encoder.Dock{}, false
	}
	first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	f.relays.mutex.Lock()
	defer f.relays.mutex.Unlock()
	if f.relays.inFlight[second.Address] < f.relays.inFlight[first.Address] {
		return second, true
	}
	return first, true
}

// count changes the number of requests that are handed over to a dock.
func (r *relays) count(dock netip.AddrPort, change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inFlight[dock] += change; r.inFlight[dock] == 0 {
		delete(r.inFlight, dock)
	}
}

// relay hands the request over to docks that can reach servers until one has taken it. It returns nil if
// none did, so that it has not run. Attempts limits the servers of a service that may run it, if it is
// not zero.
func (q *query) relay(attempts int) Outcome {
	f := q.forwarder
	tried := map[identifier.HostName]bool{}
	for range maxRelays {
		now := f.clock.Now()
		dock, ok := f.chooseRelay(now, tried)
		if !ok || !now.Before(q.giveUpAt()) {
			return nil
		}
		tried[dock.Host] = true
		if o := q.offer(now, dock, attempts); o != nil {
			return o
		}
	}
	return nil
}

// relayTo hands the request over to the first of some docks that takes it, those that failed lately last.
// It returns nil if none did, so that it has not run.
func (q *query) relayTo(docks []encoder.Dock) Outcome {
	f := q.forwarder
	for _, dock := range f.orderSenders(f.clock.Now(), docks) {
		now := f.clock.Now()
		if !now.Before(q.giveUpAt()) {
			return nil
		}
		if o := q.offer(now, dock, 0); o != nil {
			return o
		}
	}
	return nil
}

// orderSenders returns docks in the order in which a request is offered to them.
func (f *Forwarder) orderSenders(now time.Time, docks []encoder.Dock) []encoder.Dock {
	ordered := slices.Clone(docks)
	slices.SortStableFunc(ordered, func(a, b encoder.Dock) int {
		return compareBool(f.delegator.IsSuspect(now, a), f.delegator.IsSuspect(now, b))
	})
	return ordered
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// offer hands the request over to a dock. It returns the outcome, or nil if the dock did not take it or
// refused it because it knows no server, so that it has not run. A dock that has taken it runs it as often
// as the route allows, so that no other one gets it after that.
func (q *query) offer(now time.Time, dock encoder.Dock, attempts int) Outcome {
	q.relayHosts = append(q.relayHosts, dock.Host)
	reply, err := q.callRelay(dock, attempts)
	switch {
	case err == nil && reply.Outcome == encoder.RelayRefused && isLocalReason(reply.Reason):
		return nil
	case err == nil:
		return q.forwarder.relayedOutcome(reply)
	case isRefusal(err):
		if !errors.Is(err, linker.ErrFull) {
			q.forwarder.delegator.MarkSuspect(now, dock)
		}
		return nil
	default:
		return q.relayFailure(dock)
	}
}

// isLocalReason reports whether a dock refused a request for a reason that another dock may not have: it
// knows or reaches no server, may not connect to any, reaches no keeper that issues permits, is stopping, or has
// another configuration.
func isLocalReason(reason string) bool {
	switch reason {
	case ReasonNoServer.String(), ReasonNoSender.String(), ReasonStopping.String(), ReasonQuotaUnknown.String(),
		ReasonOtherConfiguration.String():
		return true
	default:
		return false
	}
}

// relayFailure returns the outcome of a request that another dock took and did not answer.
func (q *query) relayFailure(dock encoder.Dock) Outcome {
	f := q.forwarder
	now := f.clock.Now()
	switch {
	case !now.Before(q.giveUpAt()):
		f.delegator.MarkSuspect(now, dock)
		return Failed{Reason: ReasonTimeout}
	case q.ctx.Err() != nil:
		return Failed{Reason: ReasonCallerLeft}
	case f.ending.ctx.Err() != nil:
		return Failed{Reason: ReasonStopping}
	default:
		f.delegator.MarkSuspect(now, dock)
		return Failed{Reason: ReasonLost}
	}
}

// callRelay hands the request over to one dock and waits for its reply.
func (q *query) callRelay(dock encoder.Dock, attempts int) (encoder.RelayReply, error) {
	f := q.forwarder
	f.relays.count(dock.Address, 1)
	defer f.relays.count(dock.Address, -1)
	ctx, cancel := context.WithDeadline(q.ctx, q.giveUpAt())
	defer cancel()
	defer context.AfterFunc(f.ending.ctx, cancel)()
	r := &q.request.Request
	hasPermit := q.hasPermit()
	reply, err := f.peers.Relay(ctx, dock.Address, encoder.RelayRequest{
		Request: r.ID, Method: r.Method, Target: r.Target, Path: q.request.Path, Host: r.Host,
		Header: r.Header, Body: r.Body, Remaining: q.deadline.Sub(f.clock.Now()) - linkRoundTrip, Configuration: q.configurationNumber,
		Attempts: attempts, Customer: string(q.customerName()),
		HasPermit: hasPermit,
	})
	isRefused := err == nil && reply.Outcome == encoder.RelayRefused
	if hasPermit && !isRefused && !errors.Is(err, linker.ErrNotSent) && !errors.Is(err, linker.ErrRemote) {
		q.permit.relayed()
	}
	// The reply is held already. The wait for its reservation ends stalled transfers, and the reply counts either way.
	_ = reserver.HoldOf(ctx).Reserve(ctx, int64(len(reply.Body)), reserver.Answer)
	return reply, err
}

// relayedOutcome returns the outcome that another dock replied with. That dock may be of an earlier release, which also
// passes on what is no answer.
func (f *Forwarder) relayedOutcome(r encoder.RelayReply) Outcome {
	// An unknown reason, of a newer release, is reported as none.
	reason, _ := ReasonString(r.Reason)
	switch r.Outcome {
	case encoder.RelayAnswered:
		reply := f.sender.Interpret(r.Status, r.Header, r.Body)
		if kind := reply.Kind(); kind != sender.ReplySuccess && kind != sender.ReplyFailure {
			return Failed{Reason: ReasonInvalid}
		}
		return Answer{Reply: reply}
	case encoder.RelayGathered:
		if !areStamps(r.Stamps) {
			return Failed{Reason: ReasonInvalid}
		}
		return Gathered{Stamps: r.Stamps, Missing: r.Missing, Body: r.Body}
	case encoder.RelayRefused:
		return Refused{After: r.After, Reason: reason}
	case encoder.RelayNoRoute:
		return NoRoute{}
	case encoder.RelayUnauthorized:
		return Unauthorized{}
	case encoder.RelayFailed:
	}
	return Failed{Reason: reason}
}

// relayReply returns the message for an outcome.
func relayReply(o Outcome) encoder.RelayReply {
	switch o := o.(type) {
	case Answer:
		return encoder.RelayReply{Outcome: encoder.RelayAnswered, Status: o.Reply.Status, Header: o.Reply.Header, Body: o.Reply.Body, Stamp: o.Reply.Metadata.Stamp}
	case Gathered:
		return encoder.RelayReply{Outcome: encoder.RelayGathered, Stamps: o.Stamps, Missing: o.Missing, Body: o.Body}
	case Refused:
		return encoder.RelayReply{Outcome: encoder.RelayRefused, Reason: o.Reason.String(), After: o.After}
	case NoRoute:
		return encoder.RelayReply{Outcome: encoder.RelayNoRoute}
	case Unauthorized:
		return encoder.RelayReply{Outcome: encoder.RelayUnauthorized}
	case Failed:
		return encoder.RelayReply{Outcome: encoder.RelayFailed, Reason: o.Reason.String()}
	}
	return encoder.RelayReply{Outcome: encoder.RelayFailed}
}

// HandleRelayed answers a request that another dock has handed over, because it cannot reach servers.
// With an error, the request has not run. The context must be cancelled when the other dock no longer
// waits.
func (f *Forwarder) HandleRelayed(ctx context.Context, r encoder.RelayRequest) (encoder.RelayReply, error) {
	table := f.table.Load()
	switch {
	case f.IsDetached():
		return encoder.RelayReply{}, errDetached
	case table == nil || table.Number() < r.Configuration:
		return encoder.RelayReply{}, errOlderConfiguration
	case r.Attempts > 0 && table.Number() != r.Configuration:
		// The request may have run on servers, and must not run on those of other shards as its repeat.
		return relayReply(Refused{After: f.retryAfter(), Reason: ReasonOtherConfiguration}), nil
	}
	if err := f.beginRelayed(); err != nil {
		return encoder.RelayReply{}, err
	}
	defer f.endRelayed()
	// The link accounts for the memory of the request, and this Hold for that of the replies.
	hold := f.account.Open(netip.AddrPort{}, func() {})
	defer hold.Close()
	message := reserver.HoldOf(ctx)
	ctx = reserver.WithHold(ctx, hold)
	request := &Request{
		Request: sender.Request{ID: r.Request, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body},
		Path:    r.Path, Arrived: f.clock.Now(), Timeout: r.Remaining, isRelayed: true, maxRuns: r.Attempts,
		customer: identifier.CustomerName(r.Customer), hasPermit: r.HasPermit, message: message,
	}
	return relayReply(f.handle(ctx, table, request)), nil
}

// beginRelayed counts a request of another dock.
func (f *Forwarder) beginRelayed() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.isStopping:
		return errStopping
	case f.relayedCount >= maxRelayed:
		return errTooManyRelayed
	}
	f.relayedCount++
	return nil
}

// endRelayed ends a request that beginRelayed counted.
func (f *Forwarder) endRelayed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relayedCount--
}

// handedOver is the outcome of a query that waits for servers which this dock can no longer reach, and
// whose request may run on others. No caller gets it.
type handedOver struct {
	// attempts is the number of servers of each service that may still run the request.
	attempts int
}

func (handedOver) isOutcome() {}

// giveUpServers ends a query that waits for servers which this dock can no longer reach, so that the
// caller need not wait for nothing. A request that no server can have got is refused, and may be handed over
// as one that was never sent. It returns nil if the query must go on: the request may not be repeated, or
// other docks have parts of it.
func (q *query) giveUpServers(now time.Time) Outcome {
	switch {
	case len(q.delegations) > 0:
		return nil
	case q.endUnsent():
		return q.refuseUnsent()
	case !q.route.Idempotent:
		return nil
	}
	left := q.route.Attempts
	running := []identifier.ServiceName{}
	for _, j := range q.jobs {
		left = min(left, j.maxRuns-j.runs)
		if j.runs > 0 {
			running = append(running, j.service)
		}
	}
	if q.canRelay() && left > 0 && q.forwarder.selector.MayRepeatAll(now, running, selector.RequiredRetry) {
		return handedOver{attempts: left}
	}
	return Failed{Reason: ReasonLost}
}

// refuseUnsent refuses a request that no server can have got from this dock, which is cut off.
func (q *query) refuseUnsent() Outcome {
	if q.isolation.isInTrial() && !q.canRelay() {
		return Refused{After: isolatedRetryAfter, Reason: ReasonSuspected}
	}
	return Refused{After: q.forwarder.retryAfter(), Reason: ReasonNoServer}
}

// relayUnanswered hands a request over that servers may have run. A refusal of the other dock is only true of that
// dock, so that the caller gets a failure, which promises nothing.
func (q *query) relayUnanswered(h handedOver) Outcome {
	switch o := q.relay(h.attempts).(type) {
	case Answer, Gathered, Failed:
		return o
	default:
		return Failed{Reason: ReasonLost}
	}
}

// canRelay reports whether the request may be handed over to other docks.
func (q *query) canRelay() bool {
	return q.forwarder.peers != nil && q.table != nil && !q.request.isRelayed
}

// isServerless reports whether a query was refused because this dock reaches no server, though others
// may.
func (q *query) isServerless(o Outcome) bool {
	refused, ok := o.(Refused)
	return ok && refused.Reason == ReasonNoServer && q.forwarder.detachment.isDoubtful()
}

// isDoubtful reports whether this dock may be cut off.
func (d *detachment) isDoubtful() bool {
	now := d.forwarder.clock.Now()
	return d.monitor.IsDetached() || d.monitor.IsSuspect(now)
}
