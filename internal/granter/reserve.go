package granter

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// reserveSweepSize is the number of customers from which on each request removes those without permits in
	// the last issueWindow.
	reserveSweepSize = 256
	// formationTime is how long after its first start a keeper that becomes a voter counts as one of those
	// that found the group. A keeper that becomes a voter later may replace one that has issued permits.
	formationTime = 3 * time.Second
)

// Reserve is the permits that one keeper may issue whoever leads: for each customer a part of the slack in
// any issueWindow. It answers the load of a deployment whose leader was just lost. It is not safe for
// concurrent use.
type Reserve struct {
	settings Settings
	// readyAt is when all permits have ended that were issued by an earlier start of this keeper or by the
	// voter that it replaced. It is set each time the keeper becomes a voter.
	readyAt  time.Duration
	wasVoter bool
	// formingUntil is the end of formationTime. It is zero except on the first start of the deployment.
	formingUntil time.Duration
	// voters holds the numbers of voters that were seen within the last issueWindow, each with its last time. A
	// smaller group must not issue what the larger one has already issued.
	voters map[int]time.Duration
	// issued holds the times of each customer's permits within the last issueWindow.
	issued map[identifier.CustomerName][]time.Duration
}

// NewReserve returns the reserve of a keeper that starts now. On the first start of the deployment, no
// earlier start can have issued permits.
func NewReserve(s Settings, now Instant, isFirstStart bool) *Reserve {
	r := &Reserve{settings: s, voters: map[int]time.Duration{}, issued: map[identifier.CustomerName][]time.Duration{}}
	if isFirstStart {
		r.formingUntil = now.Monotonic + formationTime
	}
	return r
}

// Observe records whether the keeper is a voter. A keeper that becomes one waits until the permits of its
// earlier start and of the voter that it replaces have ended.
func (r *Reserve) Observe(now Instant, isVoter bool) {
	if isVoter && !r.wasVoter && now.Monotonic >= r.formingUntil {
		r.readyAt = now.Monotonic + r.settings.issueWindow()
	}
	r.wasVoter = isVoter
}

// Issue answers a request from the reserve. Only voters have one, each an equal part.
func (r *Reserve) Issue(now Instant, isVoter bool, voters int, request encoder.QuotaRequest) encoder.QuotaReply {
	r.Observe(now, isVoter)
	part := 0
	if isVoter && voters > 0 && now.Monotonic >= r.readyAt {
		part = int(r.settings.reserveSlack() / float64(r.mostVoters(now, voters)))
	}
	r.sweep(now)
	reply := encoder.QuotaReply{}
	for _, w := range request.Wants {
		reply.Grants = append(reply.Grants, encoder.QuotaGrant{Granted: r.take(now, w, part)})
	}
	return reply
}

// mostVoters records the present number of voters, and returns the largest within the last issueWindow.
func (r *Reserve) mostVoters(now Instant, voters int) int {
	r.voters[voters] = now.Monotonic
	most := voters
	for n, at := range r.voters {
		if now.Monotonic-at > r.settings.issueWindow() {
			delete(r.voters, n)
			continue
		}
		most = max(most, n)
	}
	return most
}

// take issues permits of one customer and returns their number. Part is the most in an issueWindow.
func (r *Reserve) take(now Instant, w encoder.QuotaWant, part int) int {
	issued := r.recent(now, w.Customer)
	n := max(0, min(w.Count, part-len(issued)))
	for range n {
		issued = append(issued, now.Monotonic)
	}
	if len(issued) > 0 {
		r.issued[w.Customer] = issued
	} else {
		delete(r.issued, w.Customer)
	}
	return n
}

// recent returns the times of a customer's permits within the last issueWindow.
func (r *Reserve) recent(now Instant, customer identifier.CustomerName) []time.Duration {
	issued := r.issued[customer]
	for len(issued) > 0 && now.Monotonic-issued[0] > r.settings.issueWindow() {
		issued = issued[1:]
	}
	return issued
}

// sweep forgets customers that used nothing lately if there are many of them.
func (r *Reserve) sweep(now Instant) {
	if len(r.issued) < reserveSweepSize {
		return
	}
	for customer := range r.issued {
		if len(r.recent(now, customer)) == 0 {
			delete(r.issued, customer)
		}
	}
}
