// Package collector gathers state and events from all processes of a deployment, starting
// from the addresses of some keepers.
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
	// callTimeout bounds one message to a process.
	callTimeout = 2 * time.Second
	// maxEventsPerProcess bounds the events taken from one process.
	maxEventsPerProcess = 20_000
)

// Processes are the messages that the collector exchanges.
type Processes interface {
	// Status asks a keeper for its state.
	Status(ctx context.Context, keeper netip.AddrPort) (encoder.StatusReply, error)
	// Events asks any process for its events.
	Events(ctx context.Context, process netip.AddrPort, q tracer.EventsRequest) (tracer.EventsReply, error)
}

// Collector asks processes side by side.
type Collector struct {
	processes Processes
}

// New returns a collector.
func New(processes Processes) *Collector {
	return &Collector{processes: processes}
}

// Keeper is what one keeper said, or the error of asking it.
type Keeper struct {
	Address netip.AddrPort
	Status  encoder.StatusReply
	Err     error
}

// IsLeading says whether the keeper leads and its view is settled.
func (k Keeper) IsLeading() bool { return k.Err == nil && k.Status.Poll.LeaderReady }

// Keepers asks the keepers at the addresses and all voters that these name. They come in
// order of their addresses.
func (c *Collector) Keepers(ctx context.Context, addresses []netip.AddrPort) []Keeper {
	var all []Keeper
	asked := map[netip.AddrPort]bool{}
	for next := addresses; len(next) > 0; {
		answers := each(next, func(a netip.AddrPort) Keeper { return c.keeper(ctx, a) })
		for _, a := range next {
			asked[a] = true
		}
		all = append(all, answers...)
		next = unasked(answers, asked)
	}
	slices.SortFunc(all, func(a, b Keeper) int { return a.Address.Compare(b.Address) })
	return slices.CompactFunc(all, func(a, b Keeper) bool { return a.Address == b.Address })
}

// keeper asks one keeper.
func (c *Collector) keeper(ctx context.Context, address netip.AddrPort) Keeper {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.processes.Status(ctx, address)
	return Keeper{Address: address, Status: status, Err: err}
}

// unasked returns the voters that the answers name and that were not asked yet.
func unasked(answers []Keeper, asked map[netip.AddrPort]bool) []netip.AddrPort {
	var next []netip.AddrPort
	for _, k := range answers {
		for _, v := range k.Status.Poll.Voters {
			if !asked[v.Address] && !slices.Contains(next, v.Address) {
				next = append(next, v.Address)
			}
		}
	}
	return next
}

// Leader returns the leading keeper with the highest term. A cut-off old leader may still
// believe that it leads.
func Leader(keepers []Keeper) (Keeper, bool) {
	leading := slices.DeleteFunc(slices.Clone(keepers), func(k Keeper) bool { return !k.IsLeading() })
	if len(leading) == 0 {
		return Keeper{}, false
	}
	return slices.MaxFunc(leading, func(a, b Keeper) int {
		return cmp.Compare(a.Status.Poll.Term, b.Status.Poll.Term)
	}), true
}

// Source is a process that events are taken from.
type Source struct {
	Program string
	Host    identifier.HostName
	Domain  identifier.DomainName
	Address netip.AddrPort
	// Err is set if the process could not be asked. Its events are then missing.
	Err error
	// IsTruncated says that the process holds more events than were taken.
	IsTruncated bool
}

// Sources returns the keepers, then the docks that any of them knows.
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
		// A keeper runs beside a dock of the same name, in the same failure domain.
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

// TimeLine is the events of all processes in order of their stamps.
type TimeLine struct {
	Sources []Source
	Events  []tracer.Event
}

// TimeLine takes the events from the sources and merges them.
func (c *Collector) TimeLine(ctx context.Context, sources []Source, q tracer.EventsRequest) TimeLine {
	answers := each(sources, func(s Source) answer { return c.source(ctx, s, q) })
	line := TimeLine{}
	events := make([][]tracer.Event, len(answers))
	for i, a := range answers {
		line.Sources = append(line.Sources, a.source)
		events[i] = a.events
	}
	line.Events = tracer.Merge(events...)
	return line
}

// answer is what one source gave.
type answer struct {
	source Source
	events []tracer.Event
}

// source takes the events of one process, page by page.
func (c *Collector) source(ctx context.Context, s Source, q tracer.EventsRequest) answer {
	a := answer{source: s}
	for len(a.events) < maxEventsPerProcess {
		page, err := c.page(ctx, s, q)
		if err != nil {
			a.source.Err = err
			return a
		}
		a.events = append(a.events, page.Events...)
		if !page.IsMore || len(page.Events) == 0 {
			return a
		}
		q.Since = page.Events[len(page.Events)-1].Stamp
	}
	a.source.IsTruncated = true
	return a
}

// page takes some events of one process.
func (c *Collector) page(ctx context.Context, s Source, q tracer.EventsRequest) (tracer.EventsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.processes.Events(ctx, s.Address, q)
}

// each calls a function for all values side by side and returns the results in order.
func each[Q, A any](values []Q, f func(Q) A) []A {
	results := make([]A, len(values))
	var tasks sync.WaitGroup
	for i, v := range values {
		tasks.Add(1)
		go (&task[Q, A]{value: v, result: &results[i], f: f, done: tasks.Done}).run()
	}
	tasks.Wait()
	return results
}

// task is one call of each.
type task[Q, A any] struct {
	value  Q
	result *A
	f      func(Q) A
	done   func()
}

func (t *task[Q, A]) run() {
	defer t.done()
	*t.result = t.f(t.value)
}
