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
	maxLoggedJobs = 6
)

// Names of the outcomes whose lines come before others.
const (
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomePartial = "partial"
)

// reporter counts requests for log and metrics, and tells of those that were not answered
// wholly and in time. It is safe for concurrent use.
type reporter struct {
	// Set at creation.
	log     zerolog.Logger
	metrics *measurer.Registry
	latency *measurer.Latency

	// Guarded by mutex.
	mutex         sync.Mutex
	counts        map[string]int
	intervalStart time.Time
}

// newReporter returns a reporter that has counted nothing.
func newReporter(log zerolog.Logger, m *measurer.Registry, now time.Time) *reporter {
	return &reporter{
		log:           log,
		metrics:       m,
		latency:       m.Latency("request_latency", "Time from a request's arrival to its outcome."),
		counts:        map[string]int{},
		intervalStart: now,
	}
}

// verdict is an outcome in short.
type summary struct {
	name    string
	reason  Reason
	missing int
	after   time.Duration
	// isOrdinary says that the caller got all that it asked for.
	isComplete bool
}

// isAnswer tells whether the caller got an answer, if only a part of it.
func (s summary) isAnswer() bool { return s.isComplete || s.name == outcomePartial }

// judge puts an outcome in short.
func summarize(o Outcome) summary {
	switch o := o.(type) {
	case Answer:
		return summary{name: "answered", isComplete: isSuccess(&o.Reply)}
	case Gathered:
		if o.Missing > 0 {
			return summary{name: outcomePartial, missing: o.Missing}
		}
		return summary{name: "whole", isComplete: true}
	case Refused:
		return summary{name: outcomeRefused, reason: o.Reason, after: o.After}
	case Failed:
		return summary{name: outcomeFailed, reason: o.Reason}
	default:
		return summary{name: "no_route"}
	}
}

// report counts a request's outcome and writes its line if it is not ordinary.
func (r *reporter) report(q *query, now time.Time, o Outcome) {
	s := summarize(o)
	elapsed := now.Sub(q.request.Arrived)
	isLate := q.isLate(now)
	r.count(now, q.route.Name, s, isLate, elapsed)
	if s.isComplete && !isLate {
		return
	}
	r.logRequest(q, s, elapsed)
}

// write tells of one request.
func (r *reporter) logRequest(q *query, s summary, elapsed time.Duration) {
	line := r.log.WithLevel(s.level()).
		Str(recorder.FieldRequest, q.request.ID).
		Str(recorder.FieldRoute, string(q.route.Name)).
		Uint64(recorder.FieldConfiguration, q.configurationNumber).
		Str(recorder.FieldOutcome, s.name).
		Int64(recorder.FieldElapsed, elapsed.Milliseconds()).
		Int64(recorder.FieldTimeout, q.deadline.Sub(q.request.Arrived).Milliseconds())
	if s.reason != ReasonNone {
		line = line.Stringer(recorder.FieldReason, s.reason)
	}
	if s.name == outcomeRefused {
		line = line.Int64(recorder.FieldRetryAfter, s.after.Milliseconds())
	}
	if s.reason == ReasonCongested {
		line = q.admission.addTo(line)
	}
	if shards := len(q.services()); shards > 1 {
		line = line.Int(recorder.FieldShards, shards).Int(recorder.FieldMissing, s.missing)
	}
	if list := q.delegationsToLog(); len(list) > 0 {
		line = line.Array(recorder.FieldOwners, list)
	}
	line.Array(recorder.FieldJobs, q.jobsToLog()).Msg(recorder.EventRequest)
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
		Uint64(recorder.FieldConfiguration, q.configurationNumber).
		Int64(recorder.FieldElapsed, now.Sub(q.request.Arrived).Milliseconds()).
		Int(recorder.FieldShards, len(q.jobs)).Int(recorder.FieldMissing, missing).
		Array(recorder.FieldJobs, q.jobsToLog()).Msg(recorder.EventBatch)
}

// level puts what callers did not get before what was only partial or late.
func (s summary) level() zerolog.Level {
	if s.name == outcomeRefused || s.name == outcomeFailed {
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}

// add tells what an admission rested on.
func (a admission) addTo(line *zerolog.Event) *zerolog.Event {
	return line.Bool(recorder.FieldCongested, a.isCongested).
		Bool(recorder.FieldReturn, a.isResubmission).
		Int64(recorder.FieldAdmitted, int64(100*a.share))
}

// count adds to the metrics and to the counts of the interval.
func (r *reporter) count(now time.Time, route matcher.RouteName, s summary, isLate bool, elapsed time.Duration) {
	r.latency.Record(elapsed)
	name := s.name
	if s.reason != ReasonNone {
		name += "_" + s.reason.String()
	}
	if isLate {
		name += "_late"
	}
	r.metrics.Counter("requests_"+name, "Requests by outcome, reason and whether they missed their latency target.").Inc(1)
	r.metrics.Counter(routeMetrics(route)+name, "Requests of one route by outcome, reason and whether they missed their latency target.").Inc(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[fmt.Sprintf("%s %s", route, name)]++
	if now.Sub(r.intervalStart) < reportInterval {
		return
	}
	r.intervalStart = now
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
func (r *reporter) countAttempt(service identifier.ServiceName, kind fmt.Stringer) {
	r.metrics.Counter(serviceMetrics(service)+kind.String(), "Attempts at one service's servers beyond the first, and those without an answer, by their end.").Inc(1)
}

// forget drops the metrics of routes and services that are no more.
func (r *reporter) removeStale(old, table *matcher.Table) {
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
func (q *query) delegationsToLog() delegationList {
	list := delegationList{}
	for _, d := range q.delegations {
		if d.ownerFailure != ownerFailureNone || len(d.pending) > 0 {
			list = append(list, d)
		}
	}
	return list
}

// remoteTraces is the list of owners that a line tells of.
type delegationList []*delegation

// MarshalZerologArray writes the owners.
func (l delegationList) MarshalZerologArray(a *zerolog.Array) {
	for _, d := range l {
		a.Object(d)
	}
}

// MarshalZerologObject writes an owner, what was wrong with it, the shards that are missing and
// when it replied last.
func (d *delegation) MarshalZerologObject(e *zerolog.Event) {
	e.Str(recorder.FieldOwner, string(d.dock.Host)).Int(recorder.FieldMissing, len(d.pending))
	if d.ownerFailure != ownerFailureNone {
		e.Stringer(recorder.FieldTrouble, d.ownerFailure)
	}
	if d.hasReplied {
		e.Int64(recorder.FieldAt, d.lastReplyElapsed.Milliseconds())
	}
}

// unusualJobs returns the attempts of the jobs that did not go plainly, those without an
// answer first, and not more than maxJobs.
func (q *query) jobsToLog() jobTraces {
	list := jobTraces{}
	for _, wantsAnswered := range []bool{false, true} {
		for _, j := range q.jobs {
			if len(list) == maxLoggedJobs {
				return list
			}
			if !j.trace.isAnsweredByFirst() && j.trace.isAnswered() == wantsAnswered {
				list = append(list, jobTrace{service: j.service, trace: &j.trace})
			}
		}
	}
	return list
}
