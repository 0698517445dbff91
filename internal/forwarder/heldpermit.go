package forwarder

import (
	"context"
	"sync"

	"banyandock.example/banyandock/internal/granter"
)

// heldPermit is the permit of a query. The zero value is that of a query that needs none. It is safe for
// concurrent use.
type heldPermit struct {
	// Guarded by mutex.
	mutex  sync.Mutex
	permit granter.Permit
	// isNeeded is set if the request must not be sent without a permit, and isUsed once it was sent.
	// isExpired is set if the permit ended before that.
	isNeeded  bool
	isUsed    bool
	isExpired bool
}

// acquirePermit gets the permit of the query's customer. It returns the outcome if there is none.
func (q *query) acquirePermit() Outcome {
	if !q.customer.HasQuota() || q.request.hasPermit {
		return nil
	}
	ctx, cancel := context.WithDeadline(q.ctx, q.giveUpAt())
	defer cancel()
	r := q.forwarder.permits.acquire(ctx, q.customer, q.configurationNumber)
	switch r.outcome {
	case permitOverQuota:
		return Refused{After: r.wait, Reason: ReasonOverQuota}
	case permitGranted:
		q.permit.mutex.Lock()
		defer q.permit.mutex.Unlock()
		q.permit.permit, q.permit.isNeeded = r.permit, true
		return nil
	case permitUnknown:
	}
	return Refused{After: r.wait, Reason: ReasonQuotaUnknown}
}

// usePermit reports whether the request may be sent now. The first call uses up the permit; hedges, retries
// and further services of the same request need none.
func (q *query) usePermit() bool {
	h := &q.permit
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isNeeded || h.isUsed {
		return true
	}
	h.isUsed = !h.isExpired && h.permit.IsValid(q.forwarder.permits.now())
	h.isExpired = !h.isUsed
	return h.isUsed
}

// hasPermit reports whether a dock that runs the request now needs no permit for it.
func (q *query) hasPermit() bool {
	h := &q.permit
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isNeeded {
		return q.request.hasPermit
	}
	return h.isUsed || h.permit.IsValid(q.forwarder.permits.now())
}

// relayed records that another dock may have run the request by this query's permit.
func (h *heldPermit) relayed() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isUsed = true
}

// settlePermit returns a permit that was not used. It returns the outcome, which for a request that was
// refused because its permit had ended says so.
func (q *query) settlePermit(o Outcome) Outcome {
	h := &q.permit
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.isNeeded || h.isUsed {
		return o
	}
	q.forwarder.permits.giveBack(h.permit)
	// An attempt that has not been sent yet must not use the permit after its return.
	wasExpired := h.isExpired
	h.isExpired = true
	if !wasExpired {
		return o
	}
	q.forwarder.permits.counts.expired.Inc(1)
	if _, ok := o.(Refused); ok {
		return Refused{After: unknownRetryAfter, Reason: ReasonQuotaUnknown}
	}
	return o
}
