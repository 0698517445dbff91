package forwarder

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// reportInterval is how often the counts of requests by outcome are logged.
	reportInterval = 10 * time.Second
	// maxLoggedJobs bounds the jobs in one log line.
	maxLoggedJobs = 6
)

// Names of outcomes that determine the level or the fields of a log line.
const (
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomePartial = "partial"
)

// reporter counts requests in the metrics and the log, and logs each request that was not
// answered completely and in time. It is safe for concurrent use.
type reporter struct {
	// Set at creation.
	log     zerolog.Logger
	metrics *measurer.Registry
	latency *measurer.Latency
	// customers counts the requests of each customer.
	customers *customerCounter

	// Guarded by mutex.
	mutex         sync.Mutex
	counts        map[string]int
	intervalStart time.Time
}

// newReporter returns a reporter whose first interval begins at now.
func newReporter(log zerolog.Logger, m *measurer.Registry, now time.Time) *reporter {
	return &reporter{
		log:           log,
		metrics:       m,
		customers:     newCustomerCounter(m),
		latency:       m.Latency("request_latency", "Time from a request's arrival to its outcome."),
		counts:        map[string]int{},
		intervalStart: now,
	}
}

// summary describes an outcome for the log and the metrics.
type summary struct {
	name    string
	reason  Reason
	missing int
	after   time.Duration
	// isComplete is set if the caller received a complete answer.
	isComplete bool
}

// summarize returns the summary of an outcome.
func summarize(o Outcome) summary {
	switch o := o.(type) {
	case Answer:
		return summary{name: "answered", isComplete: o.Reply.Kind() == sender.ReplySuccess}
	case Gathered:
		if o.Missing > 0 {
			return summary{name: outcomePartial, missing: o.Missing}
		}
		return summary{name: "whole", isComplete: true}
	case Refused:
		return summary{name: outcomeRefused, reason: o.Reason, after: o.After}
	case Failed:
		return summary{name: outcomeFailed, reason: o.Reason}
	case Unauthorized:
		return summary{name: "unauthorized"}
	default:
		return summary{name: "no_route"}
	}
}

// report counts a request's outcome, and logs the request if its answer was incomplete or late.
func (r *reporter) report(q *query, now time.Time, o Outcome) {
	s := summarize(o)
	elapsed := now.Sub(q.request.Arrived)
	isLate := q.isLate(now)
	r.count(now, q.route.Name, s, isLate, elapsed)
	r.customers.count(q.customer, s, isLate)
	if s.reason == ReasonCongested && q.admission.use > 1 {
		r.metrics.Counter("forwarder.refused_above_mean", "Requests of customers above the mean use that were refused because of congestion.").Inc(1)
	}
	if s.isComplete && !isLate {
		return
	}
	r.logRequest(q, s, elapsed)
}

// logRequest logs one request with the attempts and owners that explain its outcome.
func (r *reporter) logRequest(q *query, s summary, elapsed time.Duration) {
	line := r.log.WithLevel(s.level()).
		Str(recorder.FieldRequest, q.request.ID).
		Str(recorder.FieldRoute, string(q.route.Name)).
		Uint64(recorder.FieldConfiguration, q.configurationNumber).
		Str(recorder.FieldOutcome, s.name).
		Int64(recorder.FieldElapsed, elapsed.Milliseconds()).
		Int64(recorder.FieldTimeout, q.deadline.Sub(q.request.Arrived).Milliseconds())
	if q.customer != nil {
		line = line.Str(recorder.FieldCustomer, string(q.customer.Name))
	}
	if s.reason != ReasonNone {
		line = line.Stringer(recorder.FieldReason, s.reason)
	}
	if s.name == outcomeRefused {
		line = line.Int64(recorder.FieldRetryAfter, s.after.Milliseconds())
	}
	if s.reason == ReasonQuarantined || s.reason == ReasonSuspected {
		line = line.Uint64(recorder.FieldFingerprint, uint64(q.fingerprints.whole)).Uint64(recorder.FieldPathFingerprint, uint64(q.fingerprints.path))
	}
	if s.reason == ReasonCongested {
		line = q.admission.addTo(line)
	}
	if shards := len(q.services()); shards > 1 {
		line = line.Int(recorder.FieldShards, shards).Int(recorder.FieldMissing, s.missing)
	}
	if len(q.relayHosts) > 0 {
		line = line.Array(recorder.FieldRelays, hostList(q.relayHosts))
	}
	if list := q.delegationsToLog(); len(list) > 0 {
		line = line.Array(recorder.FieldOwners, list)
	}
	line.Array(recorder.FieldJobs, q.jobsToLog()).Msg(recorder.EventRequest)
}

// reportBatch counts a batch, and logs it if parts are missing or were late.
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

// level returns the warning level for requests without an answer, and the info level for those
// with a partial or late one.
func (s summary) level() zerolog.Level {
	if s.name == outcomeRefused || s.name == outcomeFailed {
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}

// addTo adds the inputs of an admission decision to a log line.
func (a admission) addTo(line *zerolog.Event) *zerolog.Event {
	return line.Bool(recorder.FieldCongested, a.isCongested).
		Bool(recorder.FieldReturn, a.isResubmission).
		Int64(recorder.FieldAdmitted, int64(100*a.share)).
		Float64(recorder.FieldUse, math.Round(100*a.use)/100)
}

// count counts a request in the metrics and in the current interval, and logs the interval's
// counts once it is over.
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

// routeMetrics and serviceMetrics return the prefix of the names of a route's or service's
// metrics.
func routeMetrics(name matcher.RouteName) string { return "route." + string(name) + "." }

func serviceMetrics(name identifier.ServiceName) string { return "service." + string(name) + "." }

// countAttempt counts retries and hedges by cause, and attempts without success by outcome, for
// each service.
func (r *reporter) countAttempt(service identifier.ServiceName, kind fmt.Stringer) {
	r.metrics.Counter(serviceMetrics(service)+kind.String(), "Attempts at one service's servers beyond the first, and those without an answer, by their end.").Inc(1)
}

// removeStale removes the metrics of routes and services that the new configuration does not
// contain.
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
	r.metrics.Remove(append(gone, r.customers.removeStale(table)...))
}

// isLate reports whether the latency target has passed.
func (q *query) isLate(now time.Time) bool {
	return q.route.LatencyTarget > 0 && now.Sub(q.request.Arrived) > q.route.LatencyTarget
}

// delegationsToLog returns the delegations whose owners failed or did not return all parts.
func (q *query) delegationsToLog() delegationList {
	list := delegationList{}
	for _, d := range q.delegations {
		if d.ownerFailure != ownerFailureNone || len(d.pending) > 0 {
			list = append(list, d)
		}
	}
	return list
}

// delegationList is a list of delegations for a log line.
type delegationList []*delegation

// MarshalZerologArray adds the delegations to a log line.
func (l delegationList) MarshalZerologArray(a *zerolog.Array) {
	for _, d := range l {
		a.Object(d)
	}
}

// MarshalZerologObject adds to a log line the owner, its failure if there was one, the number of
// missing shards, and the time in milliseconds from the request's arrival to the last reply.
func (d *delegation) MarshalZerologObject(e *zerolog.Event) {
	e.Str(recorder.FieldOwner, string(d.dock.Host)).Int(recorder.FieldMissing, len(d.pending))
	if d.ownerFailure != ownerFailureNone {
		e.Stringer(recorder.FieldTrouble, d.ownerFailure)
	}
	if d.hasReplied {
		e.Int64(recorder.FieldAt, d.lastReplyElapsed.Milliseconds())
	}
}

// hostList is a list of hosts for a log line.
type hostList []identifier.HostName

// MarshalZerologArray adds the hosts to a log line.
func (l hostList) MarshalZerologArray(a *zerolog.Array) {
	for _, host := range l {
		a.Str(string(host))
	}
}

// jobsToLog returns the attempts of jobs that were not answered or made more than one attempt.
// Jobs without an answer come first. The list has at most maxLoggedJobs entries.
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
