// Package collector gathers state and events from all processes of a deployment. It starts from the
// addresses of some keepers and finds the other processes through them.
package collector

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/tracer"
)

const (
	// callTimeout bounds one call to a process.
	callTimeout = 2 * time.Second
	// maxEventsPerProcess bounds the events of one process: no further page is fetched once it is
	// reached.
	maxEventsPerProcess = 20_000
)

// Processes sends the collector's requests to processes.
type Processes interface {
	// Status returns a keeper's state.
	Status(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error)
	// Events returns events of any process.
	Events(ctx context.Context, process netip.AddrPort, q tracer.EventsRequest) (tracer.EventsReply, error)
}

// Collector queries processes concurrently.
type Collector struct {
	processes Processes
}

// New returns a collector that uses processes to send its requests.
func New(processes Processes) *Collector {
	return &Collector{processes: processes}
}

// Keeper is the status of one keeper, or the error of requesting it.
type Keeper struct {
	Address netip.AddrPort
	Status  encoder.StatusReply
	Err     error
}

// IsLeading reports whether the keeper leads and its view is settled.
func (k Keeper) IsLeading() bool { return k.Err == nil && k.Status.Poll.LeaderReady }

// Keepers queries the keepers at the addresses and all voters that they report. The result is
// sorted by address.
func (c *Collector) Keepers(ctx context.Context, addresses []netip.AddrPort) []Keeper {
	var all []Keeper
	queried := map[netip.AddrPort]bool{}
	for next := addresses; len(next) > 0; {
		replies := mapConcurrently(next, func(a netip.AddrPort) Keeper { return c.queryKeeper(ctx, a) })
		for _, a := range next {
			queried[a] = true
		}
		all = append(all, replies...)
		next = newVoters(replies, queried)
	}
	slices.SortFunc(all, func(a, b Keeper) int { return a.Address.Compare(b.Address) })
	return slices.CompactFunc(all, func(a, b Keeper) bool { return a.Address == b.Address })
}

// queryKeeper queries one keeper.
func (c *Collector) queryKeeper(ctx context.Context, address netip.AddrPort) Keeper {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.processes.Status(ctx, address)
	return Keeper{Address: address, Status: status, Err: err}
}

// newVoters returns the voters that the replies list and that have not been queried yet.
func newVoters(replies []Keeper, queried map[netip.AddrPort]bool) []netip.AddrPort {
	var next []netip.AddrPort
	for _, k := range replies {
		for _, v := range k.Status.Poll.Voters {
			if !queried[v.Address] && !slices.Contains(next, v.Address) {
				next = append(next, v.Address)
			}
		}
	}
	return next
}

// Leader returns the leading keeper with the highest term. A former leader that is partitioned may
// still report that it leads.
func Leader(keepers []Keeper) (Keeper, bool) {
	leading := slices.DeleteFunc(slices.Clone(keepers), func(k Keeper) bool { return !k.IsLeading() })
	if len(leading) == 0 {
		return Keeper{}, false
	}
	return slices.MaxFunc(leading, func(a, b Keeper) int {
		return cmp.Compare(a.Status.Poll.Term, b.Status.Poll.Term)
	}), true
}

// Source is a process from which events are fetched.
type Source struct {
	Program string
	Host    identifier.HostName
	Domain  identifier.DomainName
	Address netip.AddrPort
	// Err is set if the events could not be fetched. Events may then be missing.
	Err error
	// IsTruncated is set if the process holds more events than were fetched.
	IsTruncated bool
}

// Sources returns the keepers, followed by the docks that any of them lists.
func Sources(keepers []Keeper) []Source {
	var sources []Source
	docks := map[identifier.HostName]Source{}
	for _, k := range keepers {
		sources = append(sources, Source{Program: "keeper", Host: k.Status.Poll.Keeper, Address: k.Address})
		for _, d := range k.Status.Docks {
			docks[d.Host.Name] = Source{Program: "dock", Host: d.Host.Name, Domain: d.Host.Domain, Address: d.Host.Address}
		}
	}
	for i := range sources {
		// A keeper runs next to a dock of the same name, in the same failure domain.
		sources[i].Domain = docks[sources[i].Host].Domain
	}
	for _, d := range docks {
		sources = append(sources, d)
	}
	slices.SortFunc(sources, func(a, b Source) int {
		return cmp.Or(-cmp.Compare(a.Program, b.Program), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Host, b.Host))
	})
	return sources
}

// Timeline holds the events of all processes in order of their stamps.
type Timeline struct {
	Sources []Source
	Events  []tracer.Event
}

// Timeline fetches the events of the sources and merges them.
func (c *Collector) Timeline(ctx context.Context, sources []Source, q tracer.EventsRequest) Timeline {
	results := mapConcurrently(sources, func(s Source) sourceEvents { return c.collectEvents(ctx, s, q) })
	line := Timeline{}
	events := make([][]tracer.Event, len(results))
	for i, result := range results {
		line.Sources = append(line.Sources, result.source)
		events[i] = result.events
	}
	line.Events = tracer.Merge(events...)
	return line
}

// sourceEvents holds the events of one source.
type sourceEvents struct {
	source Source
	events []tracer.Event
}

// collectEvents fetches the events of one process page by page.
func (c *Collector) collectEvents(ctx context.Context, s Source, q tracer.EventsRequest) sourceEvents {
	result := sourceEvents{source: s}
	for len(result.events) < maxEventsPerProcess {
		page, err := c.fetchPage(ctx, s, q)
		if err != nil {
			result.source.Err = err
			return result
		}
		result.events = append(result.events, page.Events...)
		if !page.IsMore || len(page.Events) == 0 {
			return result
		}
		q.Since = page.Events[len(page.Events)-1].Stamp
	}
	result.source.IsTruncated = true
	return result
}

// fetchPage fetches one page of events of a process.
func (c *Collector) fetchPage(ctx context.Context, s Source, q tracer.EventsRequest) (tracer.EventsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.processes.Events(ctx, s.Address, q)
}

// mapConcurrently calls a function for all values concurrently and returns the results in order.
func mapConcurrently[Q, A any](values []Q, f func(Q) A) []A {
	results := make([]A, len(values))
	var tasks sync.WaitGroup
	for i, v := range values {
		tasks.Add(1)
		go (&mapTask[Q, A]{value: v, result: &results[i], f: f, done: tasks.Done}).run()
	}
	tasks.Wait()
	return results
}

// mapTask is one call of the function in mapConcurrently.
type mapTask[Q, A any] struct {
	value  Q
	result *A
	f      func(Q) A
	done   func()
}

func (t *mapTask[Q, A]) run() {
	defer t.done()
	*t.result = t.f(t.value)
}
