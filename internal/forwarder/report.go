package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
)

const (
	// reportInterval is how often ordinary requests are counted in the log.
	reportInterval = 10 * time.Second
	// maxJobs bounds the services that one line tells of.
	maxJobs = 6
)

// Names of the outcomes whose lines come before others.
const (
	nameRefused = "refused"
	nameFailed  = "failed"
	namePartial = "partial"
)

// reporter counts requests for log and metrics, and tells of those that were not answered
// wholly and in time. It is safe for concurrent use.
type reporter struct {
	// Set at creation.
	log     zerolog.Logger
	metrics *measurer.Registry
	latency *measurer.Latency

	// Guarded by mutex.
	mutex  sync.Mutex
	counts map[string]int
	since  time.Time
}

// newReporter returns a reporter that has counted nothing.
func newReporter(log zerolog.Logger, m *measurer.Registry, now time.Time) *reporter {
	return &reporter{
		log:     log,
		metrics: m,
		latency: m.Latency("request_latency", "Time from a request's arrival to its outcome."),
		counts:  map[string]int{},
		since:   now,
	}
}

// verdict is an outcome in short.
type verdict struct {
	name    string
	reason  Reason
	missing int
	after   time.Duration
	// isOrdinary says that the caller got all that it asked for.
	isOrdinary bool
}

// isAnswer tells whether the caller got an answer, if only a part of it.
func (v verdict) isAnswer() bool { return v.isOrdinary || v.name == namePartial }

// judge puts an outcome in short.
func judge(o Outcome) verdict {
	switch o := o.(type) {
	case Answer:
		return verdict{name: "answered", isOrdinary: isSuccess(&o.Reply)}
	case Gathered:
		if o.Missing > 0 {
			return verdict{name: namePartial, missing: o.Missing}
		}
		return verdict{name: "whole", isOrdinary: true}
	case Refused:
		return verdict{name: nameRefused, reason: o.Reason, after: o.After}
	case Failed:
		return verdict{name: nameFailed, reason: o.Reason}
	default:
		return verdict{name: "no_route"}
	}
}

// report counts a request's outcome and writes its line if it is not ordinary.
func (r *reporter) report(q *query, now time.Time, o Outcome) {
	v := judge(o)
	elapsed := now.Sub(q.request.Arrived)
	isLate := q.isLate(now)
	r.count(now, q.route.Name, v, isLate, elapsed)
	if v.isOrdinary && !isLate {
		return
	}
	r.write(q, v, elapsed)
}

// write tells of one request.
func (r *reporter) write(q *query, v verdict, elapsed time.Duration) {
	line := r.log.WithLevel(v.level()).
		Str(recorder.FieldRequest, q.request.ID).
		Str(recorder.FieldRoute, string(q.route.Name)).
		Uint64(recorder.FieldConfiguration, q.number).
		Str(recorder.FieldOutcome, v.name).
		Int64(recorder.FieldElapsed, elapsed.Milliseconds()).
		Int64(recorder.FieldTimeout, q.deadline.Sub(q.request.Arrived).Milliseconds())
	if v.reason != ReasonNone {
		line = line.Stringer(recorder.FieldReason, v.reason)
	}
	if v.name == nameRefused {
		line = line.Int64(recorder.FieldRetryAfter, v.after.Milliseconds())
	}
	if v.reason == ReasonCongested {
		line = q.admission.add(line)
	}
	if shards := len(q.services()); shards > 1 {
		line = line.Int(recorder.FieldShards, shards).Int(recorder.FieldMissing, v.missing)
	}
	if list := q.unusualRemotes(); len(list) > 0 {
		line = line.Array(recorder.FieldOwners, list)
	}
	line.Array(recorder.FieldJobs, q.unusualJobs()).Msg(recorder.EventRequest)
}

// reportBatch tells of shards whose parts another dock did not get in time.
func (r *reporter) reportBatch(q *query, now time.Time) {
	r.metrics.Counter("gather.batches", "Requests of other docks for the parts of some shards.").Inc(1)
	missing := 0
	for _, j := range q.jobs {
		if !j.trace.isAnswered() {
			missing++
		}
	}
	isLate := !q.target.IsZero() && now.After(q.target)
	if missing == 0 && !isLate {
		return
	}
	r.metrics.Counter("gather.batches_late", "Requests of other docks that were late or not wholly answered.").Inc(1)
	r.log.Info().Str(recorder.FieldRequest, q.request.ID).
		Str(recorder.FieldRoute, string(q.route.Name)).
		Uint64(recorder.FieldConfiguration, q.number).
		Int64(recorder.FieldElapsed, now.Sub(q.request.Arrived).Milliseconds()).
		Int(recorder.FieldShards, len(q.jobs)).Int(recorder.FieldMissing, missing).
		Array(recorder.FieldJobs, q.unusualJobs()).Msg(recorder.EventBatch)
}

// level puts what callers did not get before what was only partial or late.
func (v verdict) level() zerolog.Level {
	if v.name == nameRefused || v.name == nameFailed {
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}

// add tells what an admission rested on.
func (a admission) add(line *zerolog.Event) *zerolog.Event {
	return line.Bool(recorder.FieldCongested, a.isCongested).
		Bool(recorder.FieldReturn, a.isReturn).
		Int64(recorder.FieldAdmitted, int64(100*a.share))
}

// count adds to the metrics and to the counts of the interval.
func (r *reporter) count(now time.Time, route matcher.RouteName, v verdict, isLate bool, elapsed time.Duration) {
	r.latency.Record(elapsed)
	name := v.name
	if v.reason != ReasonNone {
		name += "_" + v.reason.String()
	}
	if isLate {
		name += "_late"
	}
	r.metrics.Counter("requests_"+name, "Requests by outcome, reason and whether they missed their latency target.").Inc(1)
	r.metrics.Counter(routeMetrics(route)+name, "Requests of one route by outcome, reason and whether they missed their latency target.").Inc(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[fmt.Sprintf("%s %s", route, name)]++
	if now.Sub(r.since) < reportInterval {
		return
	}
	r.since = now
	list := zerolog.Arr()
	for _, key := range slices.Sorted(maps.Keys(r.counts)) {
		list = list.Str(fmt.Sprintf("%s %d", key, r.counts[key]))
	}
	clear(r.counts)
	r.log.Info().Array(recorder.FieldCounts, list).Msg(recorder.EventRequests)
}

// routeMetrics and serviceMetrics begin the names of the metrics of one route or service.
func routeMetrics(name matcher.RouteName) string { return "route." + string(name) + "." }

func serviceMetrics(name identifier.ServiceName) string { return "service." + string(name) + "." }

// countAttempt counts attempts that went otherwise than usual, by service.
func (r *reporter) countAttempt(service identifier.ServiceName, what fmt.Stringer) {
	r.metrics.Counter(serviceMetrics(service)+what.String(), "Attempts at one service's servers beyond the first, and those without an answer, by their end.").Inc(1)
}

// forget drops the metrics of routes and services that are no more.
func (r *reporter) forget(old, table *matcher.Table) {
	if old == nil {
		return
	}
	routes, services := map[matcher.RouteName]bool{}, map[identifier.ServiceName]bool{}
	for _, route := range table.Routes() {
		routes[route.Name] = true
	}
	for _, s := range table.Services() {
		services[s.Name] = true
	}
	gone := []string{}
	for _, route := range old.Routes() {
		if !routes[route.Name] {
			gone = append(gone, routeMetrics(route.Name))
		}
	}
	for _, s := range old.Services() {
		if !services[s.Name] {
			gone = append(gone, serviceMetrics(s.Name))
		}
	}
	r.metrics.Remove(gone)
}

// isLate tells whether the latency target has passed.
func (q *query) isLate(now time.Time) bool {
	return q.route.LatencyTarget > 0 && now.Sub(q.request.Arrived) > q.route.LatencyTarget
}

// unusualRemotes returns the owners that did not deliver all parts.
func (q *query) unusualRemotes() remoteTraces {
	list := remoteTraces{}
	for _, r := range q.remotes {
		if r.trouble != troubleNone || len(r.pending) > 0 {
			list = append(list, r)
		}
	}
	return list
}

// remoteTraces is the list of owners that a line tells of.
type remoteTraces []*remote

// MarshalZerologArray writes the owners.
func (l remoteTraces) MarshalZerologArray(a *zerolog.Array) {
	for _, r := range l {
		a.Object(r)
	}
}

// MarshalZerologObject writes an owner, what was wrong with it, the shards that are missing and
// when it replied last.
func (r *remote) MarshalZerologObject(e *zerolog.Event) {
	e.Str(recorder.FieldOwner, string(r.dock.Host)).Int(recorder.FieldMissing, len(r.pending))
	if r.trouble != troubleNone {
		e.Stringer(recorder.FieldTrouble, r.trouble)
	}
	if r.hasReplied {
		e.Int64(recorder.FieldAt, r.elapsed.Milliseconds())
	}
}

// unusualJobs returns the attempts of the jobs that did not go plainly, those without an
// answer first, and not more than maxJobs.
func (q *query) unusualJobs() jobTraces {
	list := jobTraces{}
	for _, wantsAnswered := range []bool{false, true} {
		for _, j := range q.jobs {
			if len(list) == maxJobs {
				return list
			}
			if !j.trace.isPlain() && j.trace.isAnswered() == wantsAnswered {
				list = append(list, jobTrace{service: j.service, trace: &j.trace})
			}
		}
	}
	return list
}
