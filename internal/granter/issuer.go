package granter

import (
	"cmp"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

const (
	// unusedTime is how long the bucket of a customer is kept that no dock has mentioned.
	unusedTime = time.Minute
	// sweepInterval is how often unused buckets are removed and the mean use is computed.
	sweepInterval = 100 * time.Millisecond
)

// Issuer issues permits for one term of a leader, from a token bucket for each customer. The buckets are
// empty at the start of the term, because the leader does not know what the former one issued. It answers
// the load of many docks on which a customer's requests are spread. It is not safe for concurrent use.
type Issuer struct {
	settings  Settings
	id        identifier.Incarnation
	since     Instant
	customers map[identifier.CustomerName]*bucket
	// meanUse is the mean of what the customers that asked in the last window asked for, in parts of
	// their rates, as of sweptAt.
	meanUse float64
	sweptAt time.Duration
}

// NewIssuer returns the Issuer of a term that starts now. The id must be unique to the term.
func NewIssuer(s Settings, id identifier.Incarnation, now Instant) *Issuer {
	return &Issuer{settings: s, id: id, since: now, customers: map[identifier.CustomerName]*bucket{}}
}

// Issue answers a dock's request. The caller must have confirmed that no other keeper leads.
func (i *Issuer) Issue(now Instant, request encoder.QuotaRequest) encoder.QuotaReply {
	elapsed := now.Monotonic - i.since.Monotonic
	i.sweep(now)
	for _, r := range request.Returned {
		if b := i.customers[r.Customer]; b != nil && r.Issuer == i.id {
			b.refill(now)
			b.takeBack(r.Count, i.since.Monotonic+r.Issued)
		}
	}
	reply := encoder.QuotaReply{Issuer: i.id, Issued: elapsed, IsNew: elapsed < i.settings.window()}
	for _, w := range request.Wants {
		reply.Grants = append(reply.Grants, i.grant(now, request.Configuration, w))
	}
	return reply
}

// grant issues the permits of one customer. A rate of 0 means that there is no limit.
func (i *Issuer) grant(now Instant, configuration uint64, w encoder.QuotaWant) encoder.QuotaGrant {
	if w.Rate <= 0 {
		return encoder.QuotaGrant{Granted: w.Count, Use: 1}
	}
	b := i.bucket(now, configuration, w)
	b.mentioned = now.Monotonic
	n := b.take(w.Count)
	b.asked.add(now.Monotonic, i.settings.window(), float64(max(0, w.Count)))
	b.granted.add(now.Monotonic, i.settings.window(), float64(n))
	g := encoder.QuotaGrant{Granted: n, Use: i.relativeUse(now, b)}
	if n < w.Count {
		g.Wait = b.wait()
	}
	return g
}

// bucket returns a customer's bucket with the limits of the configuration with the highest number, filled
// up to now. One that is created holds what has accrued since the start of the term.
func (i *Issuer) bucket(now Instant, configuration uint64, w encoder.QuotaWant) *bucket {
	b := i.customers[w.Customer]
	if b == nil {
		b = &bucket{filled: i.since.Monotonic}
		i.customers[w.Customer] = b
	}
	if configuration >= b.configuration {
		if b.size > 0 {
			b.refill(now)
		}
		b.configuration, b.limit = configuration, Limit{Rate: w.Rate, Burst: w.Burst}
		b.size, b.rate = i.settings.bucketLimit(b.limit)
		b.tokens = min(b.tokens, b.size)
	}
	b.refill(now)
	return b
}

// relativeUse returns what the customer asked for in the last window as a part of its rate, divided by the
// mean of all customers that asked.
func (i *Issuer) relativeUse(now Instant, b *bucket) float64 {
	if i.meanUse <= 0 {
		return 1
	}
	return b.use(now.Monotonic, i.settings.window()) / i.meanUse
}

// sweep removes unused buckets and computes the mean use at intervals. A bucket that is not full is kept,
// because it would be full if it were created anew.
func (i *Issuer) sweep(now Instant) {
	if now.Monotonic-i.sweptAt < sweepInterval && i.sweptAt > 0 {
		return
	}
	i.sweptAt = now.Monotonic
	sum, count := 0.0, 0
	for customer, b := range i.customers {
		b.refill(now)
		if now.Monotonic-b.mentioned > unusedTime && b.tokens >= b.size {
			delete(i.customers, customer)
			continue
		}
		if use := b.use(now.Monotonic, i.settings.window()); use > 0 {
			sum += use
			count++
		}
	}
	i.meanUse = sum / float64(max(1, count))
}

// Nearest returns the customers that use the largest parts of their quotas, at most count of them.
func (i *Issuer) Nearest(now Instant, count int) []encoder.QuotaUse {
	window := i.settings.window()
	list := []encoder.QuotaUse{}
	for customer, b := range i.customers {
		b.refill(now)
		list = append(list, encoder.QuotaUse{
			Customer: customer, Asked: b.asked.total(now.Monotonic, window), Granted: b.granted.total(now.Monotonic, window),
			Limit: b.limit.Rate*window.Seconds() + b.limit.Burst, Rate: b.limit.Rate, Burst: b.limit.Burst, Left: b.tokens,
		})
	}
	part := func(u encoder.QuotaUse) float64 { return u.Asked / max(u.Limit, 1) }
	slices.SortFunc(list, func(a, b encoder.QuotaUse) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a.Customer, b.Customer))
	})
	return list[:min(count, len(list))]
}
