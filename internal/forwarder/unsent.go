package forwarder

import "slices"

// endUnsent ends the attempts that wait for a connection if no server can have got the request yet. It
// reports whether none has and none will.
func (q *query) endUnsent() bool {
	q.awaitRefusals()
	if q.mayHaveRun() {
		return false
	}
	q.endSending()
	for _, j := range q.jobs {
		for j.inFlight > 0 {
			r := <-q.results
			r.attempt.job.inFlight--
			r.attempt.job.trace.end(r)
		}
	}
	return !q.mayHaveRun()
}

// mayHaveRun reports whether a server may have run the request, here or at a dock that it was delegated
// to.
func (q *query) mayHaveRun() bool {
	return q.isKnownToHaveRun() || slices.ContainsFunc(q.delegations, (*delegation).mayHaveRun)
}

// isKnownToHaveRun reports whether a server got the request from this dock, or a dock that it was
// delegated to has told so.
func (q *query) isKnownToHaveRun() bool {
	return slices.ContainsFunc(q.jobs, func(j *job) bool { return j.written.Load() > 0 }) ||
		slices.ContainsFunc(q.delegations, func(d *delegation) bool { return d.hasRun })
}

// awaitRefusals waits at most linkRoundTrip for the senders that have not replied yet, which may all refuse
// the request, as long as nothing is known to have run.
func (q *query) awaitRefusals() {
	timer := q.forwarder.clock.NewTimer(linkRoundTrip)
	defer timer.Stop()
	for !q.isKnownToHaveRun() && slices.ContainsFunc(q.delegations, (*delegation).isAwaited) {
		select {
		case r := <-q.replies:
			r.delegation.endUnused(r)
		case <-timer.C:
			return
		}
	}
}

// endUnused ends a delegation whose parts are no longer of use.
func (d *delegation) endUnused(r delegationReply) {
	d.isOver = true
	d.hasRun = d.hasRun || r.err == nil
	if isRefusal(r.err) {
		d.ownerFailure = ownerFailureRefused
	}
}
