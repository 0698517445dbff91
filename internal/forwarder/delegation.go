package forwarder

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/assigner"
	"banyandock.example/banyandock/internal/delegator"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/recorder"
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
	// replacementSilence is the least time until a sender counts as silent that replaces another one,
	// because little time may be left until the latency target.
	replacementSilence = 20 * time.Millisecond
	// defaultSilenceTimeout is the time until an owner counts as silent if there is no latency
	// target.
	defaultSilenceTimeout = 100 * time.Millisecond
)

// errPermitEnded reports that a request was not sent to an owner because its permit had ended. It says nothing of
// the owner.
var errPermitEnded = eris.New("the permit has ended")

// delegation is a group of shards whose parts another dock, a sender of the group, gathers. Only the
// query's goroutine accesses the fields that are not set at creation.
type delegation struct {
	// Set at creation. Later, the query's goroutine may extend silenceDeadline and remove
	// services.
	query    *query
	dock     encoder.Dock
	services []identifier.ServiceName
	// group is the group that services are part of, and tried are the senders of it that the request
	// was delegated to, including dock.
	group assigner.Group
	tried []identifier.HostName
	// earlierRuns is the number of the senders tried before that may have run the request.
	earlierRuns int
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
	hasReplied   bool
	isOver       bool
	ownerFailure ownerFailure
	// hasRun is set if the sender told that a server may have run the request for a shard, and isDone if
	// it has told of all shards.
	hasRun           bool
	isDone           bool
	lastReplyElapsed time.Duration
}

// delegationReply is an owner's reply, or the error of the call.
type delegationReply struct {
	delegation *delegation
	reply      encoder.GatherReply
	err        error
}

// delegate sends the request to the owners of the shards, and returns the shards that this dock
// must send to itself. Shards that no dock may send to now end without a run. It also returns the
// outcome, or nil if the query goes on.
func (q *query) delegate(services []identifier.ServiceName) ([]identifier.ServiceName, Outcome) {
	f := q.forwarder
	if q.table == nil {
		return services, nil
	}
	now := f.clock.Now()
	p := q.planSending(now, services)
	delegations := []*delegation{}
	for _, d := range p.delegated {
		delegations = append(delegations, q.newDelegation(now, d.dock, d.group, nil))
	}
	if o := q.failUnsent(p.unsent); o != nil {
		return nil, o
	}
	for _, d := range delegations {
		q.startDelegation(d)
	}
	return p.own, nil
}

// sendingPlan tells which dock sends a request to which services.
type sendingPlan struct {
	own []identifier.ServiceName
	// unsent are the services that no dock may send to now.
	unsent    []identifier.ServiceName
	delegated []plannedDelegation
}

// plannedDelegation is a group that another dock sends to.
type plannedDelegation struct {
	dock  encoder.Dock
	group assigner.Group
}

// planSending determines which dock sends the request to which of some services of the query's own configuration.
// The one in force may be newer and name other services.
func (q *query) planSending(now time.Time, services []identifier.ServiceName) sendingPlan {
	f := q.forwarder
	if _, isScattered := q.route.Destination.(matcher.Scatter); !isScattered {
		// A request to a single service is handed over as a whole by a dock that may not send it.
		return q.keepPermitted(services)
	}
	groups, ungrouped := f.delegator.Divide(services)
	p := q.keepPermitted(ungrouped)
	for _, g := range groups {
		switch dock, kind := f.delegator.Choose(now, g, nil, q.maySend(g.Services)); kind {
		case delegator.Delegate:
			p.delegated = append(p.delegated, plannedDelegation{dock: dock, group: g})
		case delegator.SendSelf:
			p.own = append(p.own, g.Services...)
		case delegator.SendNone:
			p.unsent = append(p.unsent, g.Services...)
		}
	}
	return p
}

// startDelegation sends the request to the sender of a group.
func (q *query) startDelegation(d *delegation) {
	q.delegations = append(q.delegations, d)
	q.forwarder.tasks.Add(1)
	go d.run()
}

// maySend reports whether this dock may send to all services.
func (q *query) maySend(services []identifier.ServiceName) bool {
	return !slices.ContainsFunc(services, func(s identifier.ServiceName) bool { return q.forwarder.selector.Connections(s) == 0 })
}

// keepPermitted returns the plan of services that are not delegated: this dock sends to those that it may send to.
func (q *query) keepPermitted(services []identifier.ServiceName) sendingPlan {
	if q.maySend(services) {
		return sendingPlan{own: services}
	}
	p := sendingPlan{}
	for _, s := range services {
		if q.forwarder.selector.Connections(s) > 0 {
			p.own = append(p.own, s)
		} else {
			p.unsent = append(p.unsent, s)
		}
	}
	return p
}

// failUnsent ends services that no dock may send to now. It returns the outcome, or nil if the query
// goes on.
func (q *query) failUnsent(services []identifier.ServiceName) Outcome {
	for _, s := range services {
		if o := q.collector.addResult(result{service: s, reason: ReasonNoSender}); o != nil {
			return o
		}
	}
	return nil
}

// newDelegation returns the delegation of a group to a sender. Tried holds the senders that it replaces.
func (q *query) newDelegation(now time.Time, dock encoder.Dock, g assigner.Group, tried []identifier.HostName) *delegation {
	d := &delegation{
		query: q, dock: dock, services: g.Services, id: q.forwarder.lastQuery.Add(1),
		group: g, tried: append(slices.Clone(tried), dock.Host),
		silenceDeadline: now.Add(defaultSilenceTimeout), more: make(chan struct{}, 1), pending: map[int]bool{},
	}
	if !q.target.IsZero() {
		d.silenceDeadline = now.Add(q.target.Sub(now)/silenceDivisor + silenceSlack)
	}
	if len(tried) > 0 {
		d.silenceDeadline = later(d.silenceDeadline, now.Add(replacementSilence))
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
		Attempts:      d.attempts(),
		IsReplacement: d.earlierRuns > 0,
		Remaining:     q.giveUpAt().Sub(now),
		Priority:      q.priority(),
	}
	if !q.target.IsZero() {
		request.Target = max(time.Millisecond, q.target.Sub(now)-linkRoundTrip)
	}
	return request
}

// attempts returns the number of servers of each service that may run the request for this delegation.
// Each sender that was replaced may have used one of them.
func (d *delegation) attempts() int {
	attempts := d.query.attempts()
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	return attempts - d.earlierRuns
}

// run requests parts from the owner until it has returned all of them, a call fails or the query
// has finished.
func (d *delegation) run() {
	q := d.query
	f := q.forwarder
	defer f.tasks.Done()
	reply, err := d.gather()
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
		reply, err = f.peers.More(q.sending, d.dock.Address, encoder.MoreRequest{Query: d.id})
	}
}

// gather sends the request to the owner, unless its permit has ended.
func (d *delegation) gather() (encoder.GatherReply, error) {
	q := d.query
	if !q.usePermit() {
		return encoder.GatherReply{}, errPermitEnded
	}
	return q.forwarder.peers.Gather(q.sending, d.dock.Address, d.gatherRequest(q.forwarder.clock.Now()))
}

// mayHaveRun reports whether a server may have run the request for the delegation.
func (d *delegation) mayHaveRun() bool {
	isComplete := d.isDone && len(d.pending) == 0
	return d.hasRun || !isComplete && d.ownerFailure != ownerFailureRefused
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
	if !q.stamps.areUsable(reply.reply.Parts) {
		q.forwarder.log.Warn().Str(recorder.FieldRequest, q.request.ID).Str(recorder.FieldOwner, string(d.dock.Host)).Msg(recorder.EventInvalidParts)
		dropStamps(&reply.reply)
	}
	q.isolation.hasAnswer = q.isolation.hasAnswer || slices.ContainsFunc(reply.reply.Parts, func(p encoder.GatherPart) bool { return p.Stamp != "" })
	d.lastReplyElapsed = now.Sub(q.request.Arrived)
	d.isDone = reply.reply.IsDone
	rows := reply.reply.Rows
	unknown := []identifier.ServiceName{}
	for _, p := range reply.reply.Parts {
		if !d.pending[p.Index] {
			continue
		}
		delete(d.pending, p.Index)
		if p.IsUnknown && q.forwarder.selector.Knows(d.services[p.Index]) {
			unknown = append(unknown, d.services[p.Index])
			continue
		}
		d.hasRun = d.hasRun || p.HasRun || p.Stamp != ""
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
	if len(unknown) > 0 {
		// The sender's directory is older than this dock's.
		q.forwarder.delegator.MarkSuspect(now, d.dock)
		if o := q.reroute(now, d, unknown, d.earlierRuns); o != nil {
			return o
		}
	}
	if reply.reply.IsDone {
		return q.endDelegation(d)
	}
	d.more <- struct{}{}
	return nil
}

// dropStamps turns the parts of a reply into lost ones. Their records are merged, so that none of them can be told
// from those of the part that cannot be used.
func dropStamps(r *encoder.GatherReply) {
	for i := range r.Parts {
		r.Parts[i].HasRun = r.Parts[i].HasRun || r.Parts[i].Stamp != ""
		r.Parts[i].Stamp = ""
	}
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

// isRefusal reports whether a call to a sender failed before the sender accepted the request.
func isRefusal(err error) bool {
	return errors.Is(err, linker.ErrNotSent) || errors.Is(err, linker.ErrRemote)
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
	if q.sending.Err() != nil {
		return nil
	}
	if errors.Is(err, errPermitEnded) {
		return q.endUnpermitted(d)
	}
	if !errors.Is(err, linker.ErrFull) {
		// Only this message had no room.
		q.forwarder.delegator.MarkSuspect(now, d.dock)
	}
	switch {
	case d.hasReplied:
		// The owner may already have used up the runs that the route allows.
		d.ownerFailure = ownerFailureLost
		return q.endDelegation(d)
	case isRefusal(err):
		// The owner did not accept the request, so nothing has run.
		d.isOver, d.ownerFailure = true, ownerFailureRefused
		q.returnTokens(d.services, d.tokens)
		return q.redirect(now, d, d.earlierRuns)
	default:
		d.ownerFailure = ownerFailureLost
		return q.replaceLostOwner(now, d)
	}
}

// endUnpermitted ends a delegation that was not sent because the permit of the request had ended. It returns the
// outcome, or nil if the query goes on.
func (q *query) endUnpermitted(d *delegation) Outcome {
	d.isOver, d.ownerFailure = true, ownerFailureRefused
	q.returnTokens(d.services, d.tokens)
	for i, s := range d.services {
		if !d.pending[i] {
			continue
		}
		if o := q.collector.addResult(result{service: s, reason: ReasonQuotaUnknown}); o != nil {
			return o
		}
	}
	return nil
}
