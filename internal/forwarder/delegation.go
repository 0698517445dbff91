package forwarder

import (
	"errors"
	"net/http"
	"time"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// hopTime is what the way to an owner and back takes of the time that an answer has.
	linkRoundTrip = 4 * time.Millisecond
	// checkParts is the part of the time until the latency target after which an owner says
	// something, if only that it waits, and silenceParts that after which it counts as silent.
	progressDivisor, silenceDivisor = 3, 2
	// silenceSlack is how much longer an owner may be silent.
	silenceSlack = 5 * time.Millisecond
	// silenceAgain is how long an owner that cannot be replaced is awaited further.
	silenceExtension = 50 * time.Millisecond
	// untimedSilence is how long an owner may be silent if there is no latency target.
	defaultSilenceTimeout = 100 * time.Millisecond
)

// remote is a group of shards whose parts another dock gets. Only the query's goroutine touches
// what is not set at creation.
type delegation struct {
	// Set at creation.
	query           *query
	dock            encoder.Dock
	services        []identifier.ServiceName
	id              uint64
	silenceDeadline time.Time

	// more lets run ask for the rest. It gets a value when the query has taken a reply in, after
	// which the query does not replace the owner.
	more chan struct{}

	// pending are the shards without a part, by their index.
	pending map[int]bool
	// hasReplied says that the owner may have the request run more than once.
	hasReplied       bool
	isOver           bool
	ownerFailure     ownerFailure
	lastReplyElapsed time.Duration
}

// remoteReply is what an owner said, or why it said nothing.
type delegationReply struct {
	delegation *delegation
	reply      encoder.GatherReply
	err        error
}

// delegate hands shards to their owners, and returns those that this dock sends to itself.
func (q *query) delegate(services []identifier.ServiceName) []identifier.ServiceName {
	f := q.forwarder
	if q.table == nil {
		return services
	}
	groups := f.owners.groups(q.route.Name)
	if groups == nil {
		return services
	}
	now := f.clock.Now()
	own := []identifier.ServiceName{}
	for _, g := range groups {
		dock, isRemote := f.owners.choose(now, g)
		if isRemote {
			q.delegations = append(q.delegations, q.newDelegation(now, dock, g))
		} else {
			own = append(own, g.Services...)
		}
	}
	q.replies = make(chan delegationReply, len(q.delegations))
	for _, d := range q.delegations {
		f.tasks.Add(1)
		go d.run()
	}
	return own
}

// newRemote prepares the request to an owner.
func (q *query) newDelegation(now time.Time, dock encoder.Dock, g assigner.Group) *delegation {
	d := &delegation{
		query: q, dock: dock, services: g.Services, id: q.forwarder.owners.nextID(),
		silenceDeadline: now.Add(defaultSilenceTimeout), more: make(chan struct{}, 1), pending: map[int]bool{},
	}
	if !q.target.IsZero() {
		d.silenceDeadline = now.Add(q.target.Sub(now)/silenceDivisor + silenceSlack)
	}
	for i := range g.Services {
		d.pending[i] = true
	}
	return d
}

// request is what the owner is told.
func (d *delegation) gatherRequest(now time.Time) encoder.GatherRequest {
	q := d.query
	request := encoder.GatherRequest{
		Query:         d.id,
		Request:       q.prepared.ID,
		Fingerprint:   q.fingerprint,
		Route:         string(q.route.Name),
		Configuration: q.configurationNumber,
		Method:        q.prepared.Method,
		Head:          q.prepared.Head,
		Body:          q.prepared.Body,
		Services:      d.services,
		Rows:          q.rowLimit(),
		Attempts:      q.route.Attempts,
		Remaining:     q.deadline.Sub(now),
		Priority:      q.route.Priority,
	}
	if !q.target.IsZero() {
		request.Target = max(time.Millisecond, q.target.Sub(now)-linkRoundTrip)
	}
	return request
}

// run asks the owner until it has told everything, the link fails or the query's time is up.
func (d *delegation) run() {
	q := d.query
	f := q.forwarder
	defer f.tasks.Done()
	reply, err := f.owners.peers.Gather(q.ctx, d.dock.Address, d.gatherRequest(f.clock.Now()))
	for {
		select {
		case q.replies <- delegationReply{delegation: d, reply: reply, err: err}:
		case <-q.finished:
			return
		}
		if err != nil || reply.IsDone {
			return
		}
		select {
		case <-d.more:
		case <-q.finished:
			return
		}
		reply, err = f.owners.peers.More(q.ctx, d.dock.Address, encoder.MoreRequest{Query: d.id})
	}
}

// isAwaited tells whether the owner has said nothing yet.
func (d *delegation) isAwaited() bool { return !d.isOver && !d.hasReplied }

// takeReply takes in what an owner said.
func (q *query) handleReply(now time.Time, reply delegationReply) Outcome {
	d := reply.delegation
	if d.isOver {
		return nil
	}
	if reply.err != nil {
		return q.handleOwnerError(now, d, reply.err)
	}
	d.hasReplied = true
	d.lastReplyElapsed = now.Sub(q.request.Arrived)
	rows := reply.reply.Rows
	for _, p := range reply.reply.Parts {
		if !d.pending[p.Index] {
			continue
		}
		delete(d.pending, p.Index)
		part := result{service: d.services[p.Index], reason: ReasonLost, hasRun: p.HasRun}
		if p.Stamp != "" {
			// The rows of all parts come with the first of them.
			part.reply = &sender.Reply{Status: http.StatusOK, Body: rows, Facts: sender.Facts{Stamp: p.Stamp}}
			rows = nil
		}
		if o := q.collector.addResult(part); o != nil {
			return o
		}
	}
	if reply.reply.IsDone {
		return q.endDelegation(d)
	}
	d.more <- struct{}{}
	return nil
}

// takeReplies takes in all that owners have said.
func (q *query) handleReplies(now time.Time) Outcome {
	for {
		select {
		case reply := <-q.replies:
			if o := q.handleReply(now, reply); o != nil {
				return o
			}
		default:
			return nil
		}
	}
}

// abandon ends a remote: what it has not delivered is missing.
func (q *query) endDelegation(d *delegation) Outcome {
	d.isOver = true
	for i := range d.services {
		if !d.pending[i] {
			continue
		}
		if o := q.collector.addResult(result{service: d.services[i], reason: ReasonLost, hasRun: true}); o != nil {
			return o
		}
	}
	return nil
}

// replaceFailed sends to a group's servers from here after its owner failed, as far as their
// runs are not used up.
func (q *query) handleOwnerError(now time.Time, d *delegation, err error) Outcome {
	if q.ctx.Err() != nil {
		return nil
	}
	q.forwarder.owners.markSuspect(now, d.dock)
	switch {
	case d.hasReplied:
		// The owner may have used up the runs.
		d.ownerFailure = ownerFailureLost
		return q.endDelegation(d)
	case errors.Is(err, linker.ErrNotSent), errors.Is(err, linker.ErrRemote):
		// The owner did not take the request.
		d.isOver, d.ownerFailure = true, ownerFailureRefused
		return q.start(d.services)
	default:
		d.ownerFailure = ownerFailureLost
		return q.replaceLostOwner(now, d)
	}
}

// replaceSilent sends to the servers of owners that have said nothing for too long. Until an
// owner has replied, it has the request run once at most.
func (q *query) replaceSilentOwners(now time.Time) Outcome {
	if o := q.handleReplies(now); o != nil {
		return o
	}
	for _, d := range q.delegations {
		if !d.isAwaited() || now.Before(d.silenceDeadline) {
			continue
		}
		f := q.forwarder
		f.owners.markSuspect(now, d.dock)
		d.ownerFailure = ownerFailureSilent
		if !f.selector.MayRepeatAll(now, d.services, selector.NeedRetry) {
			// The owner may be slow only, and its parts are better than none.
			d.silenceDeadline = now.Add(silenceExtension)
			continue
		}
		if o := q.sendDirectly(now, d); o != nil {
			return o
		}
	}
	return nil
}

// replaceLost sends to a group's servers from here, as far as the budget allows it.
func (q *query) replaceLostOwner(now time.Time, d *delegation) Outcome {
	affordable := []identifier.ServiceName{}
	for _, s := range d.services {
		if q.forwarder.selector.MayRepeat(now, s, selector.NeedRetry) {
			affordable = append(affordable, s)
		} else if o := q.collector.addResult(result{service: s, reason: ReasonBudget, hasRun: true}); o != nil {
			return o
		}
	}
	d.services = affordable
	return q.sendDirectly(now, d)
}

// replace has the request run once more at most for each shard of a group. The repeats have been
// taken from the budget.
func (q *query) sendDirectly(now time.Time, d *delegation) Outcome {
	d.isOver = true
	latency := q.forwarder.latency(q.route.Name)
	for _, s := range d.services {
		j := newJob(q, s, latency)
		j.maxRuns--
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
