package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/delegator"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/selector"
)

// replaceSilentOwners sends the request in another way to the servers of owners that have not replied in
// time. Until an owner has replied, it lets the request run at most once per shard.
func (q *query) replaceSilentOwners(now time.Time) Outcome {
	if o := q.handleReplies(now); o != nil {
		return o
	}
	for _, d := range q.delegations {
		if !d.isAwaited() || now.Before(d.silenceDeadline) {
			continue
		}
		f := q.forwarder
		f.delegator.MarkSuspect(now, d.dock)
		d.ownerFailure = ownerFailureSilent
		if !f.selector.MayRepeatAll(now, d.services, selector.RequiredRetry) {
			// The owner may only be slow, so the query keeps waiting for its parts.
			d.silenceDeadline = now.Add(silenceExtension)
			continue
		}
		if o := q.redirect(now, d, d.earlierRuns+1); o != nil {
			return o
		}
	}
	return nil
}

// replaceLostOwner sends the request in another way to those servers of a group that the repeat budget
// allows. The other shards fail.
func (q *query) replaceLostOwner(now time.Time, d *delegation) Outcome {
	affordable := []identifier.ServiceName{}
	for _, s := range d.services {
		if q.forwarder.selector.MayRepeat(now, s, selector.RequiredRetry) {
			affordable = append(affordable, s)
		} else if o := q.collector.addResult(result{service: s, reason: ReasonBudget, hasRun: true}); o != nil {
			return o
		}
	}
	d.services = affordable
	return q.redirect(now, d, d.earlierRuns+1)
}

// redirect ends a delegation and sends the request to its services in another way, as reroute does.
func (q *query) redirect(now time.Time, d *delegation, runs int) Outcome {
	d.isOver = true
	return q.reroute(now, d, d.services, runs)
}

// reroute sends the request to services of a delegation in another way: directly if this dock may, or
// through the next sender. Runs is the number of the route's runs that senders may have used; if there are
// any, the caller has charged the repeat budget. It returns the outcome, or nil if the query goes on.
func (q *query) reroute(now time.Time, d *delegation, services []identifier.ServiceName, runs int) Outcome {
	if len(services) == 0 {
		return nil
	}
	if q.maySend(services) {
		return q.sendDirectly(now, services, runs)
	}
	g := assigner.Group{Services: services, Senders: d.group.Senders}
	dock, kind := q.forwarder.delegator.Choose(now, g, d.tried, false)
	if kind != delegator.Delegate {
		return q.failRerouted(now, services, runs)
	}
	next := q.newDelegation(now, dock, g, d.tried)
	next.earlierRuns = runs
	if next.attempts() <= 0 {
		return q.failRerouted(now, services, runs)
	}
	q.startDelegation(next)
	return nil
}

// failRerouted ends services that no other sender can be asked for, and returns what was charged to the
// repeat budget. It returns the outcome, or nil if the query goes on.
func (q *query) failRerouted(now time.Time, services []identifier.ServiceName, runs int) Outcome {
	if runs == 0 {
		return q.failUnsent(services)
	}
	for _, s := range services {
		q.forwarder.selector.ReturnRepeat(now, s)
		if o := q.collector.addResult(result{service: s, reason: ReasonNoSender, hasRun: true}); o != nil {
			return o
		}
	}
	return nil
}

// sendDirectly sends the request to a server of each of some services. It reserves the runs of the route
// that senders may have used. The caller has charged the repeat budget if there are any.
func (q *query) sendDirectly(now time.Time, services []identifier.ServiceName, runs int) Outcome {
	if runs == 0 {
		return q.start(services)
	}
	latency := q.forwarder.latency(q.route.Name)
	for _, s := range services {
		j := newJob(q, s, latency)
		j.maxRuns -= runs
		j.isReplacement = true
		q.jobs = append(q.jobs, j)
		if j.mayRunMore() && j.startAttempt(now, CauseRetry, true) {
			continue
		}
		j.isOver = true
		q.forwarder.selector.ReturnRepeat(now, s)
		if o := q.collector.addResult(result{service: s, reason: ReasonNoServer, hasRun: true}); o != nil {
			return o
		}
	}
	return nil
}
