package forwarder

import (
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// identify removes the key from a request, finds the customer that holds it, and puts the customer's name
// into the request in place of any that the caller sent. The customer is nil if requests need no key, or
// on a public route if the key is unknown. It returns false if the request must not run.
func (f *Forwarder) identify(table *matcher.Table, route *matcher.Route, r *Request) (*matcher.Customer, bool) {
	key := matcher.Key(f.sender.TakeKey(&r.Request))
	if !table.RequiresKeys() {
		return nil, true
	}
	customer, ok := findCustomer(table, route, key, r.customer)
	if !ok {
		f.reporter.reportUnauthorized(r, route, key)
		return nil, false
	}
	name := identifier.CustomerName("")
	if customer != nil {
		name = customer.Name
	}
	f.sender.SetCustomer(&r.Request, string(name))
	return customer, true
}

// findCustomer returns the customer with a name that another dock has identified, or that holds a key if
// the name is empty. The customer is nil if requests need no key, or on a public route if the key is unknown.
// It returns false if the request must not run.
func findCustomer(table *matcher.Table, route *matcher.Route, key matcher.Key, name identifier.CustomerName) (*matcher.Customer, bool) {
	if !table.RequiresKeys() {
		return nil, true
	}
	customer, ok := table.Customer(key)
	if name != "" {
		customer, ok = table.CustomerNamed(name)
	}
	return customer, ok || route.IsPublic
}

// customerName returns the name of the query's customer, or an empty one if there is none.
func (q *query) customerName() identifier.CustomerName {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// priority returns the priority of the request. Zero is the highest.
func (q *query) priority() int { return matcher.Priority(q.route, q.customer) }
