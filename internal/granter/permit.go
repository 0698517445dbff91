package granter

import (
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// maxReturns bounds the permits that wait to be returned, and thereby the size of the next message. Those
// beyond it are lost to their customers, which then get less than their quotas but never more.
const maxReturns = 1024

// Permit allows a dock to send one request of a customer.
type Permit struct {
	Customer identifier.CustomerName
	// Asked is when the dock asked for the permit, which is before the keeper issued it.
	Asked Instant
	// issuer and issued are those of the keeper's reply. A permit of a reserve has no issuer.
	issuer identifier.Incarnation
	issued time.Duration
}

// NewPermit returns a permit of a keeper's reply to a request that was sent at asked.
func NewPermit(customer identifier.CustomerName, asked Instant, reply encoder.QuotaReply) Permit {
	return Permit{Customer: customer, Asked: asked, issuer: reply.Issuer, issued: reply.Issued}
}

// IsValid reports whether the permit may still be used. It answers the load of a dock that resumes with old
// permits after it was paused or suspended.
func (p Permit) IsValid(now Instant) bool { return now.since(p.Asked) < permitLifetime }

// IsReserve reports whether the permit is from a keeper's reserve.
func (p Permit) IsReserve() bool { return p.issuer == 0 }

// Returns holds unused permits until a dock's next message. The zero value is empty. It is not safe for
// concurrent use.
type Returns struct {
	permits []Permit
}

// Add keeps an unused permit. A permit of a reserve is dropped, because a reserve takes none back.
func (r *Returns) Add(p Permit) {
	if !p.IsReserve() && len(r.permits) < maxReturns {
		r.permits = append(r.permits, p)
	}
}

// Take returns the message that gives all permits back and keeps none of them. What is taken counts as
// returned even if the message is lost, because the keeper may have received it.
func (r *Returns) Take() []encoder.QuotaReturn {
	list := []encoder.QuotaReturn{}
	index := map[Permit]int{}
	for _, p := range r.permits {
		key := p
		key.Asked = Instant{}
		i, ok := index[key]
		if !ok {
			i = len(list)
			index[key] = i
			list = append(list, encoder.QuotaReturn{Customer: p.Customer, Issuer: p.issuer, Issued: p.issued})
		}
		list[i].Count++
	}
	r.permits = nil
	return list
}

// Len returns the number of permits that wait to be returned.
func (r *Returns) Len() int { return len(r.permits) }
