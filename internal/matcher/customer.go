package matcher

import (
	"fmt"
	"io"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/identifier"
)

// Customer is an organisation whose callers may send requests. Each request carries one of its keys.
type Customer struct {
	Name identifier.CustomerName
	Keys []Key
	// Rate is the quota of the customer in requests per second, over all docks together. Zero means
	// no limit. Burst is the number of requests that may exceed the rate at once.
	Rate  float64
	Burst float64
	// Priority replaces the priority of the route unless it is nil.
	Priority *int
}

// HasQuota reports whether the number of the customer's requests is limited.
func (c *Customer) HasQuota() bool { return c != nil && c.Rate > 0 }

// Key is the credential of a customer's callers. It is formatted as a hash, so that it cannot get
// into logs or messages by accident.
type Key string

// String returns a hash of the key.
func (k Key) String() string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(k)))) }

// Format writes a hash of the key, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) {
	// A failed write is the formatting caller's error.
	_, _ = io.WriteString(f, k.String())
}

// addCustomer adds a customer to the table. It returns an error that wraps ErrInvalid if another
// customer has one of its keys. Empty keys are left out, because requests without a key have them.
func (t *Table) addCustomer(c *Customer) error {
	for _, k := range c.Keys {
		if k == "" {
			continue
		}
		if earlier := t.customersByKey[k]; earlier != nil && earlier != c {
			return eris.Wrapf(ErrInvalid, "customers %q and %q share a key", earlier.Name, c.Name)
		}
		t.customersByKey[k] = c
	}
	if t.customersByName[c.Name] == nil {
		t.customersByName[c.Name] = c
	}
	return nil
}

// RequiresKeys reports whether callers must present a key, except on public routes.
func (t *Table) RequiresKeys() bool { return t.configuration.RequiresKeys }

// Customers returns all customers of the configuration.
func (t *Table) Customers() []Customer { return t.configuration.Customers }

// Customer returns the customer that holds a key. It returns false if there is none.
func (t *Table) Customer(k Key) (*Customer, bool) {
	c, ok := t.customersByKey[k]
	return c, ok
}

// CustomerNamed returns the customer with a name. It returns false if there is none.
func (t *Table) CustomerNamed(name identifier.CustomerName) (*Customer, bool) {
	c, ok := t.customersByName[name]
	return c, ok
}

// Priority returns the priority of a customer's requests on a route. The customer may be nil.
func Priority(r *Route, c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}

// findTopPriority returns the smallest priority of the requests that the configuration permits. Routes
// whose callers all belong to customers with a priority of their own do not count.
func (t *Table) findTopPriority() int {
	top, isAnyRouteCounted := math.MaxInt, !t.RequiresKeys()
	for _, c := range t.Customers() {
		if c.Priority == nil {
			isAnyRouteCounted = true
			continue
		}
		top = min(top, *c.Priority)
	}
	for _, r := range t.Routes() {
		if isAnyRouteCounted || r.IsPublic {
			top = min(top, r.Priority)
		}
	}
	return top
}
