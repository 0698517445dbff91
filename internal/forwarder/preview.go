package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
	"banyandock.example/banyandock/internal/sender"
)

// maxPreviewChoices bounds the choices that a preview of a scattered request describes.
const maxPreviewChoices = 10

// preview determines what would be done with a request. The methods that decide on requests run on copies
// of the state, so that nothing is sent, counted or changed.
type preview struct {
	forwarder *Forwarder
	query     *query
	now       time.Time
	reply     encoder.RouteReply
}

// Preview tells what this dock would do now with a request, and why. It asks for no permit and no token.
func (f *Forwarder) Preview(ctx context.Context, r encoder.RouteRequest) encoder.RouteReply {
	p := &preview{forwarder: f, now: f.clock.Now()}
	p.reply = encoder.RouteReply{Dock: f.host, IsDetached: f.IsDetached(), IsStopping: f.ending.at.Load() != nil}
	if r.Key != "" {
		p.reply.KeyHash = r.Key.String()
	}
	table := f.table.Load()
	if table == nil {
		p.refuse(Refused{After: f.retryAfter(), Reason: ReasonNoConfiguration})
		return p.reply
	}
	p.reply.Configuration = table.Number()
	path, _, _ := strings.Cut(r.Path, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		p.refuse(NoRoute{})
		return p.reply
	}
	p.reply.Route = string(route.Name)
	customer, ok := findCustomer(table, route, r.Key, "")
	if !ok {
		p.refuse(Unauthorized{})
		return p.reply
	}
	p.query = f.newQuery(ctx, table, route, customer, &Request{
		Request: sender.Request{Method: r.Method, Target: r.Path, Host: r.Host, Header: http.Header{}},
		Path:    path, Arrived: p.now, Timeout: r.Timeout,
	})
	defer p.query.detach()
	defer p.query.cancel()
	p.query.selector = f.selector.Snapshot()
	p.run()
	return p.reply
}

// refuse records a refusal unless there is one already. Other outcomes are ignored.
func (p *preview) refuse(o Outcome) {
	if p.reply.Refusal != nil {
		return
	}
	switch o := o.(type) {
	case Refused:
		p.reply.Refusal = &encoder.RouteRefusal{Reason: o.Reason.String(), After: o.After}
	case NoRoute:
		p.reply.Refusal = &encoder.RouteRefusal{Reason: "no_route"}
	case Unauthorized:
		p.reply.Refusal = &encoder.RouteRefusal{Reason: "unauthorized"}
	}
}

// run follows the steps of query.admitAndAnswer. It goes on after a refusal, so that the reply also tells of
// the servers.
func (p *preview) run() {
	f, q := p.forwarder, p.query
	p.describeCustomer()
	p.reply.Quarantine = f.suspector.QuarantineRemaining(p.now, q.fingerprints.list())
	p.reply.Services = len(q.services())
	if o := q.refuseUnfit(p.now); o != nil {
		p.refuse(o)
	}
	if f.IsDetached() && q.canRelay() {
		p.relay()
		return
	}
	p.admit()
	p.answer()
}

// describeCustomer describes the customer and its quota.
func (p *preview) describeCustomer() {
	q := p.query
	p.reply.Customer, p.reply.Priority = q.customerName(), q.priority()
	if !q.customer.HasQuota() {
		return
	}
	p.reply.Quota = &encoder.RouteQuota{Rate: q.customer.Rate, Burst: q.customer.Burst}
	if multiple, age, ok := p.forwarder.permits.lastUse(q.customer.Name); ok {
		p.reply.Quota.Use, p.reply.Quota.Age = multiple, age
	}
}

// relay describes that the request is handed over because this dock is cut off.
func (p *preview) relay() {
	if _, ok := p.forwarder.chooseRelay(p.now, nil); !ok {
		p.refuse(Refused{After: p.forwarder.retryAfter(), Reason: ReasonNoServer})
		return
	}
	p.reply.IsRelayed = p.reply.Refusal == nil
}

// admit decides on a copy of the route's throttle, with the most favourable draw because it must draw none.
func (p *preview) admit() {
	f, q := p.forwarder, p.query
	f.mutex.Lock()
	throttle := *f.state(q.route.Name).throttle
	f.mutex.Unlock()
	if !q.decideAdmission(p.now, &throttle, q.admissionInputs(p.now), 0) {
		p.refuse(Refused{After: congestedRetryAfter, Reason: ReasonCongested})
	}
	a := q.admission
	p.reply.Admission = &encoder.RouteAdmission{Share: a.share, IsCongested: a.isCongested, IsResubmission: a.isResubmission}
}

// answer follows the steps of query.answer.
func (p *preview) answer() {
	switch d := p.query.route.Destination.(type) {
	case matcher.Single:
		p.sendSingle(d.Service)
	case matcher.Weighted:
		p.sendSingle(p.forwarder.roundRobin(p.query.route.Name).peek(d.Shares))
	case matcher.Scatter:
		c := &scatterCollector{query: p.query, destination: d, topRecords: topRecords{limit: d.RowLimit}}
		if o := c.refuseUnreachable(p.now); o != nil {
			p.refuse(o)
		}
		p.begin(c, d.Services)
	}
}

// sendSingle follows the steps of query.sendSingle.
func (p *preview) sendSingle(service identifier.ServiceName) {
	f := p.forwarder
	p.reply.Services = 1
	if p.query.sendsItself(service) {
		p.begin(&singleCollector{query: p.query}, []identifier.ServiceName{service})
		return
	}
	if !f.selector.HasReachable(service, p.now) {
		p.refuse(Refused{After: f.retryAfter(), Reason: ReasonNoServer})
	}
	p.sendThrough(service, Refused{After: f.retryAfter(), Reason: ReasonNoSender})
}

// sendThrough describes that a sender of a service gets the request first. It records the refusal if there
// is none.
func (p *preview) sendThrough(service identifier.ServiceName, otherwise Refused) {
	f := p.forwarder
	if senders := f.orderSenders(p.now, f.delegator.SendersOf(service)); len(senders) > 0 {
		p.addSender(senders[0].Host, 1)
		return
	}
	p.refuse(otherwise)
}

// begin follows the steps of query.begin.
func (p *preview) begin(c collector, services []identifier.ServiceName) {
	q := p.query
	q.collector = c
	services = p.dropLimited(services)
	known := p.forwarder.suspector.Suspicion(p.now, q.fingerprints.list())
	q.isolation.Suspicion = known
	p.reply.IsSuspect = known.IsSuspect
	if !known.IsSuspect || len(services) < 2 {
		p.send(services)
		return
	}
	first := q.firstService(p.now, known, services)
	if q.canRelay() && !q.maySend([]identifier.ServiceName{first}) {
		p.sendThrough(first, Refused{After: isolatedRetryAfter, Reason: ReasonSuspected})
		return
	}
	p.choose([]identifier.ServiceName{first})
}

// dropLimited returns the services without those of which no server has a token.
func (p *preview) dropLimited(services []identifier.ServiceName) []identifier.ServiceName {
	q := p.query
	limited := q.selector.LimitedServices(p.now, services)
	without := []identifier.ServiceName{}
	q.tokens = map[identifier.ServiceName]encoder.ServerID{}
	for _, l := range limited {
		if len(l.Servers) == 0 {
			without = append(without, l.Service)
			continue
		}
		q.tokens[l.Service] = l.Servers[0]
	}
	if needed := q.neededTokens(services, limited); len(q.tokens) < needed {
		p.refuse(q.refuseLimited(namesOf(limited), len(limited)-needed))
		// The servers that are passed over are of interest all the same.
		return services
	}
	p.refuse(q.failServices(without, ReasonLimited))
	return slices.DeleteFunc(slices.Clone(services), func(s identifier.ServiceName) bool { return slices.Contains(without, s) })
}

// send follows the steps of query.send.
func (p *preview) send(services []identifier.ServiceName) {
	plan := p.query.planSending(p.now, services)
	for _, d := range plan.delegated {
		p.addSender(d.dock.Host, len(d.group.Services))
	}
	p.refuse(p.query.failUnsent(plan.unsent))
	p.choose(plan.own)
}

// addSender adds services that a dock sends to.
func (p *preview) addSender(dock identifier.HostName, services int) {
	i := slices.IndexFunc(p.reply.Senders, func(s encoder.RouteSender) bool { return s.Dock == dock })
	if i < 0 {
		p.reply.Senders = append(p.reply.Senders, encoder.RouteSender{Dock: dock})
		i = len(p.reply.Senders) - 1
	}
	p.reply.Senders[i].Services += services
}

// choose makes the choices of the services that this dock sends to.
func (p *preview) choose(services []identifier.ServiceName) {
	if len(services) == 0 {
		return
	}
	p.addSender(p.forwarder.host, len(services))
	latency := p.forwarder.latency(p.query.route.Name)
	for _, service := range services {
		p.chooseServer(newJob(p.query, service, latency))
	}
}

// chooseServer makes the choice of one service.
func (p *preview) chooseServer(j *job) {
	target, hasToken, ok := j.choose(p.now)
	choice := encoder.RouteChoice{Service: j.service, Passed: p.passedOver(j.service, target.ID)}
	if ok {
		server := describeTarget(target, hasToken)
		choice.Server = &server
		p.describeHedge(j)
	} else {
		reason := j.missingServerReason(p.now)
		choice.Denied = reason.String()
		p.refuse(p.query.collector.addResult(result{service: j.service, reason: reason}))
	}
	isNear := ok && target.IsNear && !slices.ContainsFunc(choice.Passed, func(s encoder.RouteServer) bool {
		return s.IsNear && s.Score < target.Score
	})
	if isNear {
		p.reply.Near++
	}
	if p.reply.Services == 1 || !isNear && len(p.reply.Choices) < maxPreviewChoices {
		p.reply.Choices = append(p.reply.Choices, choice)
	}
}

// describeTarget describes a server that would be chosen. A request that has a token of the keepers' needs
// one all the same, because the preview asks for none.
func describeTarget(t selector.Target, hasToken bool) encoder.RouteServer {
	return encoder.RouteServer{
		Server: t.ID, Domain: t.Domain, IsNear: t.IsNear, Score: t.Score, Seen: t.Seen, NeedsToken: t.IsLimited || hasToken,
	}
}

// passedOver describes the servers of a service other than the chosen one.
func (p *preview) passedOver(service identifier.ServiceName, chosen encoder.ServerID) []encoder.RouteServer {
	list := []encoder.RouteServer{}
	for _, s := range p.query.selector.PassedOver(p.now, service, chosen) {
		server := encoder.RouteServer{Server: s.ID, Domain: s.Domain, IsNear: s.IsNear, Score: s.Score, Seen: s.Seen}
		for _, c := range s.Causes {
			server.Causes = append(server.Causes, c.String())
		}
		list = append(list, server)
	}
	return list
}

// describeHedge describes when a hedge would be sent. The times are the same for all services.
func (p *preview) describeHedge(j *job) {
	if !p.query.route.Idempotent || j.maxRuns < 2 || p.reply.Hedge != nil {
		return
	}
	early, latest := j.hedgeTimes(p.now)
	p.reply.Hedge = &encoder.RouteHedge{Early: early, Latest: latest}
}
