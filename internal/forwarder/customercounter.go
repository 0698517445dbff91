package forwarder

import (
	"sync"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/measurer"
	"banyandock.example/banyandock/internal/recorder"
)

// maxCountedCustomers bounds the customers with metrics of their own, and thereby the size of a page of
// metrics. The requests of the others are counted together, under otherCustomers.
const (
	maxCountedCustomers = 256
	otherCustomers      = "others"
)

// customerCounter counts requests by customer and outcome. It is safe for concurrent use.
type customerCounter struct {
	// Set at creation.
	metrics *measurer.Registry

	// Guarded by mutex.
	mutex   sync.Mutex
	counted map[identifier.CustomerName]bool
}

// newCustomerCounter returns a counter that has counted nothing.
func newCustomerCounter(m *measurer.Registry) *customerCounter {
	return &customerCounter{metrics: m, counted: map[identifier.CustomerName]bool{}}
}

// count counts a request of a customer, which may be nil.
func (c *customerCounter) count(customer *matcher.Customer, s summary, isLate bool) {
	if customer == nil {
		return
	}
	kind := "served"
	switch {
	case s.reason == ReasonOverQuota:
		kind = "over_quota"
	case s.name == outcomeRefused:
		kind = "refused"
	case s.name == outcomeFailed:
		kind = "failed"
	case isLate:
		kind = "late"
	}
	c.metrics.Counter(customerMetrics(c.metricName(customer.Name))+kind,
		"Requests of one customer: served in time, late, failed, over its quota, or refused for another reason.").Inc(1)
}

// metricName returns the name under which the requests of a customer are counted.
func (c *customerCounter) metricName(name identifier.CustomerName) identifier.CustomerName {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counted[name] {
		return name
	}
	if len(c.counted) >= maxCountedCustomers {
		return otherCustomers
	}
	c.counted[name] = true
	return name
}

// removeStale forgets the customers that the new configuration does not contain, and returns the prefixes
// of the names of their metrics.
func (c *customerCounter) removeStale(table *matcher.Table) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	gone := []string{}
	for name := range c.counted {
		if _, ok := table.CustomerNamed(name); !ok {
			delete(c.counted, name)
			gone = append(gone, customerMetrics(name))
		}
	}
	return gone
}

// customerMetrics returns the prefix of the names of a customer's metrics.
func customerMetrics(name identifier.CustomerName) string { return "customer." + string(name) + "." }

// reportUnauthorized counts and logs a request without the key of a customer.
func (r *reporter) reportUnauthorized(request *Request, route *matcher.Route, key matcher.Key) {
	r.metrics.Counter("requests_unauthorized", "Requests without the key of a customer on routes that are not public.").Inc(1)
	line := r.log.Info().Str(recorder.FieldRequest, request.ID).Str(recorder.FieldRoute, string(route.Name))
	if key != "" {
		line = line.Stringer(recorder.FieldKeyHash, key)
	}
	line.Msg(recorder.EventUnauthorized)
}
