package forwarder

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

const (
	// linkRoundTrip is the time reserved for the round trip between this dock and an owner.
	linkRoundTrip = 4 * time.Millisecond
	// An owner replies at the latest after 1/progressDivisor of the time until the latency target,
	// even without new parts. It counts as silent after 1/silenceDivisor of that time, plus
	// silenceSlack.
	progressDivisor, silenceDivisor = 3, 2
	// silenceSlack extends the time until an owner counts as silent.
	silenceSlack = 5 * time.Millisecond
	// silenceExtension is how much longer the query waits for a silent owner that cannot be
	// replaced.
	silenceExtension = 50 * time.Millisecond
	// defaultSilenceTimeout is the time until an owner counts as silent if there is no latency
	// target.
	defaultSilenceTimeout = 100 * time.Millisecond
)

// delegation is a group of shards whose parts another dock, the owner, gathers. Only the query's
// goroutine accesses the fields that are not set at creation.
type delegation struct {
	// Set at creation. Later, the query's goroutine may extend silenceDeadline and remove
	// services.
	query    *query
	dock     encoder.Dock
	services []identifier.ServiceName
	// tokens holds the servers for which the query had tokens. It is empty or as long as services.
	tokens []encoder.ServerID
	// id is the query's number in the messages to the owner.
	id uint64
	// silenceDeadline is when the owner counts as silent unless it has replied.
	silenceDeadline time.Time

	// more lets run request more parts. It receives a value when the query has processed a reply,
	// after which the query no longer replaces the owner.
	more chan struct{}

	// pending are the indexes in services of the shards without a result.
	pending map[int]bool
	// hasReplied is set after the first reply. The owner may then have the request run more than
	// once.
	hasReplied       bool
	isOver           bool
	ownerFailure     ownerFailure
	lastReplyElapsed time.Duration
}

// delegationReply is an owner's reply, or the error of the call.
type delegationReply struct {
	delegation *delegation
	reply      encoder.GatherReply
	err        error
}

// delegate sends the request to the owners of the shards, and returns the shards that this dock
// must send to itself.
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
	isPartial := len(services) < len(q.services())
	for _, g := range groups {
		if isPartial {
			g.Services = slices.DeleteFunc(slices.Clone(g.Services), func(s identifier.ServiceName) bool { return !slices.Contains(services, s) })
		}
		if len(g.Services) == 0 {
			continue
		}
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

// newDelegation returns the delegation of a group to an owner.
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
	d.tokens = q.takeTokens(g.Services)
	return d
}

// gatherRequest returns the message to the owner.
func (d *delegation) gatherRequest(now time.Time) encoder.GatherRequest {
	q := d.query
	request := encoder.GatherRequest{
		Query:       d.id,
		Request:     q.prepared.ID,
		Fingerprint: q.fingerprints.whole,

		PathFingerprint: q.fingerprints.path,

		Route:         string(q.route.Name),
		Configuration: q.configurationNumber,
		Method:        q.prepared.Method,
		Head:          q.prepared.Head,
		Body:          q.prepared.Body,
		Services:      d.services,
		Tokens:        d.tokens,
		Rows:          q.rowLimit(),
		Attempts:      q.attempts(),
		Remaining:     q.deadline.Sub(now),
		Priority:      q.route.Priority,
	}
	if !q.target.IsZero() {
		request.Target = max(time.Millisecond, q.target.Sub(now)-linkRoundTrip)
	}
	return request
}

// run requests parts from the owner until it has returned all of them, a call fails or the query
// has finished.
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

// isAwaited reports whether the first reply of the owner is still awaited.
func (d *delegation) isAwaited() bool { return !d.isOver && !d.hasReplied }

// handleReply processes the reply of an owner. It returns the outcome, or nil if the query goes on.
func (q *query) handleReply(now time.Time, reply delegationReply) Outcome {
	d := reply.delegation
	if d.isOver {
		return nil
	}
	if reply.err != nil {
		return q.handleOwnerError(now, d, reply.err)
	}
	d.hasReplied = true
	q.isolation.hasAnswer = q.isolation.hasAnswer || slices.ContainsFunc(reply.reply.Parts, func(p encoder.GatherPart) bool { return p.Stamp != "" })
	d.lastReplyElapsed = now.Sub(q.request.Arrived)
	rows := reply.reply.Rows
	for _, p := range reply.reply.Parts {
		if !d.pending[p.Index] {
			continue
		}
		delete(d.pending, p.Index)
		part := result{service: d.services[p.Index], reason: ReasonLost, hasRun: p.HasRun}
		if p.Stamp != "" {
			// The rows of all parts are attached to the first one that has a stamp.
			part.reply = &sender.Reply{Status: http.StatusOK, Body: rows, Metadata: sender.ReplyMetadata{Stamp: p.Stamp}}
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

// handleReplies processes all replies that have arrived. It returns the outcome, or nil if the
// query goes on.
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

// endDelegation ends a delegation and counts its pending shards as lost. It returns the outcome, or
// nil if the query goes on.
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

// handleOwnerError handles a failed call to an owner. If the request may still run at the group's
// servers, this dock sends it to them directly.
func (q *query) handleOwnerError(now time.Time, d *delegation, err error) Outcome {
	if q.ctx.Err() != nil {
		return nil
	}
	q.forwarder.owners.markSuspect(now, d.dock)
	switch {
	case d.hasReplied:
		// The owner may already have used up the runs that the route allows.
		d.ownerFailure = ownerFailureLost
		return q.endDelegation(d)
	case errors.Is(err, linker.ErrNotSent), errors.Is(err, linker.ErrRemote):
		// The owner did not accept the request, so nothing has run.
		d.isOver, d.ownerFailure = true, ownerFailureRefused
		q.returnTokens(d.services, d.tokens)
		return q.start(d.services)
	default:
		d.ownerFailure = ownerFailureLost
		return q.replaceLostOwner(now, d)
	}
}

// replaceSilentOwners sends the request directly to the servers of owners that have not replied in
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
		f.owners.markSuspect(now, d.dock)
		d.ownerFailure = ownerFailureSilent
		if !f.selector.MayRepeatAll(now, d.services, selector.RequiredRetry) {
			// The owner may only be slow, so the query keeps waiting for its parts.
			d.silenceDeadline = now.Add(silenceExtension)
			continue
		}
		if o := q.sendDirectly(now, d); o != nil {
			return o
		}
	}
	return nil
}

// replaceLostOwner sends the request directly to those servers of a group that the repeat budget
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
	return q.sendDirectly(now, d)
}

// sendDirectly sends the request to a server of each shard of a group. It reserves one of the
// route's runs for the owner, which may have used it. The caller has charged the repeat budget.
func (q *query) sendDirectly(now time.Time, d *delegation) Outcome {
	d.isOver = true
	latency := q.forwarder.latency(q.route.Name)
	for _, s := range d.services {
		j := newJob(q, s, latency)
		j.maxRuns--
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
