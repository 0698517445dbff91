// Package loader is an open-loop load generator. Queries start at scheduled times, regardless of
// the progress of earlier queries, and latency counts from the scheduled time, so that a slow
// system cannot hide its delays by slowing the generator down (coordinated omission).
package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/cmd/standin/internal/settingsreader"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/timekeeper"
)

// answerGrace is how long after its deadline a query still waits for an answer.
const answerGrace = 2 * time.Second

// initialRateShare is the share of the full rate at which the warm-up starts.
const initialRateShare = 0.05

// Loader sends the queries of one run.
type Loader struct {
	settings *settingsreader.Load
	clock    timekeeper.Clock
	log      zerolog.Logger
	client   *http.Client
	random   *rand.Rand
	// bodyPrefix makes the bodies of this run different from those of other runs.
	bodyPrefix  string
	shardCounts map[identifier.IndexVersion]uint32

	queries sync.WaitGroup
	result  *Result
}

// Option configures a Loader under construction.
type Option func(*Loader)

// WithClock replaces the system clock.
func WithClock(c timekeeper.Clock) Option {
	return func(l *Loader) { l.clock = c }
}

// WithLog sets the logger.
func WithLog(g zerolog.Logger) Option {
	return func(l *Loader) { l.log = g }
}

// New returns a loader with the given settings.
func New(settings *settingsreader.Load, options ...Option) *Loader {
	l := &Loader{
		settings: settings,
		clock:    timekeeper.System{},
		log:      zerolog.Nop(),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: settings.ConnectionsPerDock,
		}},
		random:     rand.New(rand.NewPCG(settings.Seed, 0)),
		bodyPrefix: fmt.Sprintf("%x", uint64(identifier.NewIncarnation())),
		result:     newResult(settings),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Run sends all queries, waits for their answers and returns the measured results.
func (l *Loader) Run(ctx context.Context) (*Result, error) {
	defer l.client.CloseIdleConnections()
	before, err := l.readCounters(ctx)
	if err != nil {
		return nil, err
	}
	l.shardCounts = before.shardCounts
	l.send(ctx)
	l.queries.Wait()
	after, err := l.readCounters(ctx)
	if err != nil {
		return nil, err
	}
	l.result.ServerCounts = after.counts
	l.result.Subrequests = after.counts.Received - before.counts.Received
	l.result.StartedSubrequests = after.counts.Started - before.counts.Started
	l.result.Busy = time.Duration(after.counts.BusyNanoseconds - before.counts.BusyNanoseconds)
	l.result.Repeated = after.repeated - before.repeated
	if err := l.checkNotRun(ctx); err != nil {
		return nil, err
	}
	return l.result, nil
}

// send starts each query at its scheduled time. It returns early if the context ends.
func (l *Loader) send(ctx context.Context) {
	start := l.clock.Now()
	measuredFrom := start.Add(l.settings.WarmUp)
	end := measuredFrom.Add(l.settings.Duration)
	scheduledAt := start
	for number := 0; ; number++ {
		scheduledAt = scheduledAt.Add(l.drawInterval(scheduledAt.Sub(start)))
		if scheduledAt.After(end) || !l.sleepUntil(ctx, scheduledAt) {
			return
		}
		q := l.newQuery(number, scheduledAt, !scheduledAt.Before(measuredFrom))
		l.queries.Add(1)
		go q.run()
	}
}

// drawInterval draws the time between two arrivals of a Poisson process. The rate rises to the full
// rate during the first half of the warm-up. Without this ramp, a system that opens its connections
// for the first queries would start with a backlog.
func (l *Loader) drawInterval(elapsed time.Duration) time.Duration {
	rate := l.settings.Rate
	if ramp := l.settings.WarmUp / 2; elapsed < ramp {
		rate *= max(float64(elapsed)/float64(ramp), initialRateShare)
	}
	return time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
}

// sleepUntil sleeps until the given time. It returns false if the context ends first.
func (l *Loader) sleepUntil(ctx context.Context, at time.Time) bool {
	left := at.Sub(l.clock.Now())
	if left <= 0 {
		return ctx.Err() == nil
	}
	t := l.clock.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newQuery returns a query with a randomly drawn class and body.
func (l *Loader) newQuery(number int, scheduledAt time.Time, isMeasured bool) *query {
	class := l.drawClass()
	q := &query{
		loader:      l,
		class:       class,
		dock:        l.settings.Docks[number%len(l.settings.Docks)],
		scheduledAt: scheduledAt,
		isMeasured:  isMeasured,
	}
	bodyNumber := number
	if l.settings.Bodies > 0 {
		bodyNumber = l.random.IntN(l.settings.Bodies)
	}
	q.body = fmt.Appendf(nil, `{"plate":"%s-%d"}`, l.bodyPrefix, bodyNumber)
	if l.settings.Classes[class].IsKeyed {
		// The ledger derives the age of a key from its version 7 UUID.
		q.key = uuid.Must(uuid.NewV7()).String()
		q.body = fmt.Appendf(nil, `{"plate":"%s-%d","order":%d}`, l.bodyPrefix, bodyNumber, number)
	}
	return q
}

func (l *Loader) drawClass() int {
	var sum float64
	for _, c := range l.settings.Classes {
		sum += c.Share
	}
	remaining := l.random.Float64() * sum
	for i, c := range l.settings.Classes {
		remaining -= c.Share
		if remaining < 0 {
			return i
		}
	}
	return len(l.settings.Classes) - 1
}
