package routekeeperrunner

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/granter"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/linker"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/timekeeper"
)

const (
	// quotaConfirmTimeout bounds the confirmation of the leadership, because a dock asks the reserves
	// when it has waited for 120 ms.
	quotaConfirmTimeout = 200 * time.Millisecond
	// electionPollInterval is how often a keeper checks whether it leads. Permits accrue from the first
	// confirmation of a term on.
	electionPollInterval = 100 * time.Millisecond
	// nearestQuotas is the number of customers in a status.
	nearestQuotas = 10
)

// errUnconfirmed reports a keeper that may no longer lead.
var errUnconfirmed = eris.New("the leadership is not confirmed")

// quotaGroup is the part of the replicator that a quotaIssuer uses.
type quotaGroup interface {
	Status() replicator.Status
	Barrier(ctx context.Context) error
}

// quotaIssuer issues permits of customers' quotas on one keeper. It is safe for concurrent use.
type quotaIssuer struct {
	// Set at creation.
	group    quotaGroup
	settings granter.Settings
	clock    timekeeper.Clock
	base     granter.Clock
	counts   quotaCounts
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	// status returns the keeper's report for operators without the quotas.
	status func(ctx context.Context) (encoder.StatusReply, error)
	log    func(term uint64)

	// Guarded by mutex.
	mutex   sync.Mutex
	reserve *granter.Reserve
	// lease and issuer are of the term. The issuer is nil before the keeper has led.
	lease  granter.Lease
	issuer *granter.Issuer
	term   uint64
	// isRenewing is set while the leadership is confirmed before the lease ends.
	isRenewing bool
}

// quotaCounts are the metrics of a quotaIssuer.
type quotaCounts struct {
	asked, granted, refused, returned, reserveAsked, reserveGranted metrics.Counter
}

// newQuotaIssuer returns the issuer of a keeper and starts to watch whether it leads.
func newQuotaIssuer(k *Keeper, isFirstStart bool) *quotaIssuer {
	q := &quotaIssuer{
		group: k.replicator, clock: k.process.Clock, base: granter.Clock{Base: k.process.Clock.Now()},
		settings: granter.Settings{Window: k.settings.QuotaWindow, Overage: k.settings.QuotaOverage, Slack: k.settings.QuotaSlack},
		counts:   newQuotaCounts(k.process.Metrics),
		status:   func(ctx context.Context) (encoder.StatusReply, error) { return k.governor.Status(ctx) },
		log: func(term uint64) {
			k.process.Log.Info().Uint64(recorder.FieldTerm, term).Msg(recorder.EventPermitsStart)
		},
	}
	q.start(isFirstStart)
	return q
}

// start creates the reserve and starts to watch whether the keeper leads.
func (q *quotaIssuer) start(isFirstStart bool) {
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.reserve = granter.NewReserve(q.settings, q.now(), isFirstStart)
	q.tasks.Add(1)
	go q.loop()
}

// newQuotaCounts registers the metrics.
func newQuotaCounts(m *measurer.Registry) quotaCounts {
	return quotaCounts{
		asked:          m.Counter("quota.asked", "Permits of customers' quotas that docks asked this keeper for as the leader."),
		granted:        m.Counter("quota.granted", "Permits that this keeper granted as the leader."),
		refused:        m.Counter("quota.refused", "Permits that this keeper refused as the leader."),
		returned:       m.Counter("quota.returned", "Permits that docks did not use and returned."),
		reserveAsked:   m.Counter("quota.reserve_asked", "Permits that docks asked this keeper's reserve for."),
		reserveGranted: m.Counter("quota.reserve_granted", "Permits that this keeper granted from its reserve."),
	}
}

// register adds the handlers for docks and operators.
func (q *quotaIssuer) register(mux *linker.Mux) {
	linker.Handle(mux, encoder.KindQuota, func(ctx context.Context, _ linker.Peer, r encoder.QuotaRequest) (encoder.QuotaReply, error) {
		return q.answer(ctx, r)
	})
	// The governor's handler is replaced by one that adds the quotas.
	linker.Handle(mux, encoder.KindStatus, func(ctx context.Context, _ linker.Peer, _ encoder.StatusRequest) (encoder.StatusReply, error) {
		reply, err := q.status(ctx)
		reply.Quotas = q.nearest()
		return reply, err
	})
}

// close ends the goroutines and waits for them.
func (q *quotaIssuer) close() {
	q.cancel()
	q.tasks.Wait()
}

// now returns the present by both clocks.
func (q *quotaIssuer) now() granter.Instant { return q.base.At(q.clock.Now()) }

// loop observes the group. A new leadership is confirmed at once, so that permits accrue before a dock asks
// for one.
func (q *quotaIssuer) loop() {
	defer q.tasks.Done()
	ticker := q.clock.NewTicker(electionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.ctx.Done():
			return
		case <-ticker.C:
			q.observe(q.group.Status())
		}
	}
}

// observe handles the state of the group.
func (q *quotaIssuer) observe(s replicator.Status) {
	q.mutex.Lock()
	q.reserve.Observe(q.now(), s.IsVoter)
	q.mutex.Unlock()
	if s.IsLeader && s.Term != q.issuerTerm() {
		// A failure is repeated at the next tick.
		_ = q.confirm(q.ctx)
	}
}

// issuerTerm returns the term that permits were issued in last.
func (q *quotaIssuer) issuerTerm() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.term
}

// answer answers a dock.
func (q *quotaIssuer) answer(ctx context.Context, r encoder.QuotaRequest) (encoder.QuotaReply, error) {
	if r.IsReserve {
		return q.issueReserve(r), nil
	}
	s := q.group.Status()
	if !s.IsLeader {
		return encoder.QuotaReply{Leader: s.Leader.Address, Term: s.Term}, nil
	}
	if reply, ok := q.issue(s.Term, r); ok {
		return reply, nil
	}
	if err := q.confirm(ctx); err != nil {
		return encoder.QuotaReply{}, err
	}
	reply, ok := q.issue(s.Term, r)
	if !ok {
		return encoder.QuotaReply{}, errUnconfirmed
	}
	return reply, nil
}

// issueReserve issues permits of the reserve.
func (q *quotaIssuer) issueReserve(r encoder.QuotaRequest) encoder.QuotaReply {
	s := q.group.Status()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	reply := q.reserve.Issue(q.now(), s.IsVoter, len(s.Voters), r)
	reply.Leader, reply.Term = s.Leader.Address, s.Term
	for n, w := range r.Wants {
		q.counts.reserveAsked.Inc(int64(w.Count))
		q.counts.reserveGranted.Inc(int64(reply.Grants[n].Granted))
	}
	return reply
}

// issue issues permits as the leader. It returns false if the leadership of the term must be confirmed
// first.
func (q *quotaIssuer) issue(term uint64, r encoder.QuotaRequest) (encoder.QuotaReply, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	if q.term != term || !q.lease.IsValid(now) {
		return encoder.QuotaReply{}, false
	}
	if q.lease.IsRenewalDue(now) {
		q.startRenewal()
	}
	reply := q.issuer.Issue(now, r)
	for n, w := range r.Wants {
		q.counts.asked.Inc(int64(w.Count))
		q.counts.granted.Inc(int64(reply.Grants[n].Granted))
		q.counts.refused.Inc(int64(w.Count - reply.Grants[n].Granted))
	}
	for _, returned := range r.Returned {
		q.counts.returned.Inc(int64(returned.Count))
	}
	return reply, true
}

// confirm confirms the leadership with a quorum. It starts with empty buckets if the term is new.
func (q *quotaIssuer) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quotaConfirmTimeout)
	defer cancel()
	start, before := q.now(), q.group.Status()
	if err := q.group.Barrier(ctx); err != nil {
		return err
	}
	// The barrier says nothing of another term that began meanwhile.
	after := q.group.Status()
	if !before.IsLeader || !after.IsLeader || before.Term != after.Term {
		return errUnconfirmed
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if after.Term < q.term {
		return errUnconfirmed
	}
	if after.Term > q.term || q.issuer == nil {
		q.term, q.lease = after.Term, granter.Lease{}
		q.issuer = granter.NewIssuer(q.settings, identifier.NewIncarnation(), q.now())
		q.log(after.Term)
	}
	q.lease.Confirm(start)
	return nil
}

// startRenewal confirms the leadership before the lease ends, so that no dock has to wait for that. The
// caller holds the lock.
func (q *quotaIssuer) startRenewal() {
	if q.isRenewing || q.ctx.Err() != nil {
		return
	}
	q.isRenewing = true
	q.tasks.Add(1)
	go q.renew()
}

// renew confirms the leadership. A failure leaves the lease as it is.
func (q *quotaIssuer) renew() {
	defer q.tasks.Done()
	_ = q.confirm(q.ctx)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.isRenewing = false
}

// nearest returns the customers that are nearest to their quotas, if this keeper leads.
func (q *quotaIssuer) nearest() []encoder.QuotaUse {
	s := q.group.Status()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !s.IsLeader || q.term != s.Term || q.issuer == nil {
		return nil
	}
	return q.issuer.Nearest(q.now(), nearestQuotas)
}

// isEmptyFolder reports whether a folder has no files or does not exist.
func isEmptyFolder(path string) bool {
	files, err := os.ReadDir(path)
	return os.IsNotExist(err) || err == nil && len(files) == 0
}
