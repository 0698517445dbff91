package selector

import "time"

const (
	// meanUse is the use of a customer that asks for as much of its rate as the mean of all customers.
	meanUse = 1.0
	// maxUse is the highest use that counts, because an infinite one times zero is not a number.
	maxUse = 1000.0
	// leastWeight is how often any customer is admitted at least, as a part of how often all are. It is a
	// quarter with a margin for the draws that maxDebt refuses, which are below 1% of them.
	leastWeight = 0.26
	// maxDebt is how far the credit may fall below zero by requests of customers above the mean, which are
	// drawn. It bounds how many requests a series of low draws adds to the servers' queues.
	maxDebt = 2.0
	// minCongestedRetry and maxCongestedRetry are the limits of the time after which a refused customer's
	// callers may retry. Their mean is the time that is told if there are no customers.
	minCongestedRetry, maxCongestedRetry = 500 * time.Millisecond, 900 * time.Millisecond
)

// Candidate is a request that a Throttle admits or refuses.
type Candidate struct {
	// IsRetry is set if the caller retries a request that was refused before.
	IsRetry bool
	// Use is what the request's customer asked for lately as a part of its rate, in multiples of the mean of
	// all customers. It is 1 if there is no customer or its use is not known.
	Use float64
	// Draw is a random number from 0 up to but not including 1.
	Draw float64
}

// AdmitWeighted is Admit for requests of customers. Under congestion, requests of a customer above the mean
// are admitted with a lower probability, which answers the load of one customer at many times its usual
// load. What it is refused goes to the other requests at this host. Where there are none, the servers'
// queues become shorter, and the share rises at all hosts. Customers at or below the mean are admitted like
// requests without a customer, which answers the load of all customers at once.
func (t *Throttle) AdmitWeighted(now time.Time, isCongested bool, c Candidate) bool {
	t.update(now, isCongested)
	share := t.shareOf(c.IsRetry)
	if t.share == 1 && !isCongested {
		// A debt must not refuse requests after the end of a burst.
		t.credit = max(0, t.credit)
	}
	t.earn(share)
	if c.Use > meanUse {
		return c.Draw < t.weighted(share, min(c.Use, maxUse)) && t.spend(1-maxDebt)
	}
	return t.spend(1)
}

// weighted returns the probability with which a request of a customer above the mean is admitted. While the
// share is high, refusals are in proportion to the use, and below that, admissions are in inverse proportion.
// The lower bound refers to retries, whose share is the largest, so that it holds whichever requests the
// others send. The probability is never above the share, and the request is drawn instead of counted, because
// a host sees too few requests of a customer to count them.
func (t *Throttle) weighted(share, use float64) float64 {
	return max(1-(1-share)*use, share/use, leastWeight*t.shareOf(true))
}

// CongestedRetryAfter returns the time after which a refused customer's caller may retry. Draw is a random
// number from 0 to 1. It answers the load of many callers that are refused at once, which would
// return in one wave.
func CongestedRetryAfter(draw float64) time.Duration {
	return minCongestedRetry + time.Duration(draw*float64(maxCongestedRetry-minCongestedRetry))
}
