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
	hopTime = 4 * time.Millisecond
	// checkParts is the part of the time until the latency target after which an owner says
	// something, if only that it waits, and silenceParts that after which it counts as silent.
	checkParts, silenceParts = 3, 2
	// silenceSlack is how much longer an owner may be silent.
	silenceSlack = 5 * time.Millisecond
	// silenceAgain is how long an owner that cannot be replaced is awaited further.
	silenceAgain = 50 * time.Millisecond
	// untimedSilence is how long an owner may be silent if there is no latency target.
	untimedSilence = 100 * time.Millisecond
)

// remote is a group of shards whose parts another dock gets. Only the query's goroutine touches
// what is not set at creation.
type remote struct {
	// Set at creation.
	query    *query
	dock     encoder.Dock
	services []identifier.ServiceName
	number   uint64
	silentAt time.Time

	// more lets run ask for the rest. It gets a value when the query has taken a reply in, after
	// which the query does not replace the owner.
	more chan struct{}

	// pending are the shards without a part, by their index.
	pending map[int]bool
	// hasReplied says that the owner may have the request run more than once.
	hasReplied bool
	isOver     bool
	trouble    trouble
	elapsed    time.Duration
}

// remoteReply is what an owner said, or why it said nothing.
type remoteReply struct {
	remote *remote
	reply  encoder.GatherReply
	err    error
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
			q.remotes = append(q.remotes, q.newRemote(now, dock, g))
		} else {
			own = append(own, g.Services...)
		}
	}
	q.replies = make(chan remoteReply, len(q.remotes))
	for _, r := range q.remotes {
		f.tasks.Add(1)
		go r.run()
	}
	return own
}

// newRemote prepares the request to an owner.
func (q *query) newRemote(now time.Time, dock encoder.Dock, g assigner.Group) *remote {
	r := &remote{
		query: q, dock: dock, services: g.Services, number: q.forwarder.owners.nextID(),
		silentAt: now.Add(untimedSilence), more: make(chan struct{}, 1), pending: map[int]bool{},
	}
	if !q.target.IsZero() {
		r.silentAt = now.Add(q.target.Sub(now)/silenceParts + silenceSlack)
	}
	for i := range g.Services {
		r.pending[i] = true
	}
	return r
}

// request is what the owner is told.
func (r *remote) request(now time.Time) encoder.GatherRequest {
	q := r.query
	request := encoder.GatherRequest{
		Query:         r.number,
		Request:       q.prepared.ID,
		Fingerprint:   q.fingerprint,
		Route:         string(q.route.Name),
		Configuration: q.number,
		Method:        q.prepared.Method,
		Head:          q.prepared.Head,
		Body:          q.prepared.Body,
		Services:      r.services,
		Rows:          q.rowLimit(),
		Attempts:      q.route.Attempts,
		Remaining:     q.deadline.Sub(now),
		Priority:      q.route.Priority,
	}
	if !q.target.IsZero() {
		request.Target = max(time.Millisecond, q.target.Sub(now)-hopTime)
	}
	return request
}

// run asks the owner until it has told everything, the link fails or the query's time is up.
func (r *remote) run() {
	q := r.query
	f := q.forwarder
	defer f.tasks.Done()
	reply, err := f.owners.peers.Gather(q.ctx, r.dock.Address, r.request(f.clock.Now()))
	for {
		select {
		case q.replies <- remoteReply{remote: r, reply: reply, err: err}:
		case <-q.finished:
			return
		}
		if err != nil || reply.IsDone {
			return
		}
		select {
		case <-r.more:
		case <-q.finished:
			return
		}
		reply, err = f.owners.peers.More(q.ctx, r.dock.Address, encoder.MoreRequest{Query: r.number})
	}
}

// isAwaited tells whether the owner has said nothing yet.
func (r *remote) isAwaited() bool { return !r.isOver && !r.hasReplied }

// takeReply takes in what an owner said.
func (q *query) takeReply(now time.Time, reply remoteReply) Outcome {
	r := reply.remote
	if r.isOver {
		return nil
	}
	if reply.err != nil {
		return q.replaceFailed(now, r, reply.err)
	}
	r.hasReplied = true
	r.elapsed = now.Sub(q.request.Arrived)
	rows := reply.reply.Rows
	for _, p := range reply.reply.Parts {
		if !r.pending[p.Index] {
			continue
		}
		delete(r.pending, p.Index)
		part := result{service: r.services[p.Index], reason: ReasonLost, hasRun: p.HasRun}
		if p.Stamp != "" {
			// The rows of all parts come with the first of them.
			part.reply = &sender.Reply{Status: http.StatusOK, Body: rows, Metadata: sender.ReplyMetadata{Stamp: p.Stamp}}
			rows = nil
		}
		if o := q.collector.ended(part); o != nil {
			return o
		}
	}
	if reply.reply.IsDone {
		return q.abandon(r)
	}
	r.more <- struct{}{}
	return nil
}

// takeReplies takes in all that owners have said.
func (q *query) takeReplies(now time.Time) Outcome {
	for {
		select {
		case r := <-q.replies:
			if o := q.takeReply(now, r); o != nil {
				return o
			}
		default:
			return nil
		}
	}
}

// abandon ends a remote: what it has not delivered is missing.
func (q *query) abandon(r *remote) Outcome {
	r.isOver = true
	for i := range r.services {
		if !r.pending[i] {
			continue
		}
		if o := q.collector.ended(result{service: r.services[i], reason: ReasonLost, hasRun: true}); o != nil {
			return o
		}
	}
	return nil
}

// replaceFailed sends to a group's servers from here after its owner failed, as far as their
// runs are not used up.
func (q *query) replaceFailed(now time.Time, r *remote, err error) Outcome {
	if q.ctx.Err() != nil {
		return nil
	}
	q.forwarder.owners.suspect(now, r.dock)
	switch {
	case r.hasReplied:
		// The owner may have used up the runs.
		r.trouble = troubleLost
		return q.abandon(r)
	case errors.Is(err, linker.ErrNotSent), errors.Is(err, linker.ErrRemote):
		// The owner did not take the request.
		r.isOver, r.trouble = true, troubleRefused
		return q.start(r.services)
	default:
		r.trouble = troubleLost
		return q.replaceLost(now, r)
	}
}

// replaceSilent sends to the servers of owners that have said nothing for too long. Until an
// owner has replied, it has the request run once at most.
func (q *query) replaceSilent(now time.Time) Outcome {
	if o := q.takeReplies(now); o != nil {
		return o
	}
	for _, r := range q.remotes {
		if !r.isAwaited() || now.Before(r.silentAt) {
			continue
		}
		f := q.forwarder
		f.owners.suspect(now, r.dock)
		r.trouble = troubleSilent
		if !f.selector.MayRepeatAll(now, r.services, selector.NeedRetry) {
			// The owner may be slow only, and its parts are better than none.
			r.silentAt = now.Add(silenceAgain)
			continue
		}
		if o := q.replace(now, r); o != nil {
			return o
		}
	}
	return nil
}

// replaceLost sends to a group's servers from here, as far as the budget allows it.
func (q *query) replaceLost(now time.Time, r *remote) Outcome {
	affordable := []identifier.ServiceName{}
	for _, s := range r.services {
		if q.forwarder.selector.MayRepeat(now, s, selector.NeedRetry) {
			affordable = append(affordable, s)
		} else if o := q.collector.ended(result{service: s, reason: ReasonBudget, hasRun: true}); o != nil {
			return o
		}
	}
	r.services = affordable
	return q.replace(now, r)
}

// replace has the request run once more at most for each shard of a group. The repeats have been
// taken from the budget.
func (q *query) replace(now time.Time, r *remote) Outcome {
	r.isOver = true
	latency := q.forwarder.latency(q.route.Name)
	for _, s := range r.services {
		j := newJob(q, s, latency)
		j.attempts--
		q.jobs = append(q.jobs, j)
		if j.mayRunMore() && j.launch(now, CauseRetry, true) {
			continue
		}
		j.isOver = true
		q.forwarder.selector.ReturnRepeat(now, s)
		if o := q.collector.ended(result{service: s, reason: ReasonNoServer, hasRun: true}); o != nil {
			return o
		}
	}
	return nil
}
