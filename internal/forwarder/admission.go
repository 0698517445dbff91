package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
)

// admissionStream separates the random numbers of admission from others with the same seed.
const admissionStream = 7

// admission holds the inputs of the admission decision on a request.
type admission struct {
	// isCongested is set if the servers had more requests waiting than they can answer in time.
	isCongested bool
	// isResubmission is set if the request was probably refused before.
	isResubmission bool
	// share is the share of the route's requests that is admitted after the decision, from 0 to 1.
	share float64
	// use is what the customer asked for lately as a part of its rate, in multiples of the mean of all
	// customers.
	use float64
}

// admit reports whether the route's throttle admits a request, and records in the query what the
// decision was based on.
func (f *Forwarder) admit(q *query) bool {
	now := f.clock.Now()
	inputs := q.admissionInputs(now)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return q.decideAdmission(now, f.state(q.route.Name).throttle, inputs, f.random.Float64())
}

// admissionInputs returns what admission is decided on.
func (q *query) admissionInputs(now time.Time) admission {
	services := matcher.Services(q.route.Destination)
	return admission{
		isCongested:    q.selector.IsCongested(now, services, q.priority() <= q.table.TopPriority()),
		isResubmission: q.request.Timeout > 0 && q.request.Timeout < resubmitNumerator*q.route.Timeout/resubmitDenominator,
		use:            q.forwarder.permits.recentUse(q.customerName()),
	}
}

// decideAdmission reports whether a throttle admits the request, and records the decision in the query. Draw
// is a random number from 0 to 1.
func (q *query) decideAdmission(now time.Time, t *selector.Throttle, inputs admission, draw float64) bool {
	isAdmitted := t.AdmitWeighted(now, inputs.isCongested, selector.Candidate{IsRetry: inputs.isResubmission, Use: inputs.use, Draw: draw})
	q.admission = inputs
	q.admission.share = t.Share()
	return isAdmitted
}

// congestedRetryAfter returns the time after which the caller of a request that was refused because of
// congestion may retry.
func (f *Forwarder) congestedRetryAfter(q *query) time.Duration {
	if len(q.table.Customers()) == 0 {
		return congestedRetryAfter
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return selector.CongestedRetryAfter(f.random.Float64())
}
