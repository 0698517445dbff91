// Package matcher holds the configuration of routes and finds the route of a request. A
// configuration must not be changed after it is compiled.
package matcher

import (
	"strings"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// RouteName is the name of a route.
type RouteName string

// Configuration defines the requests that are accepted and the services that answer them.
type Configuration struct {
	// Number orders configurations: a higher number replaces a lower one.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys is set if callers must present the key of a customer, except on public routes.
	// Customers are then the customers that may send requests.
	RequiresKeys bool
	Customers    []Customer
}

// Route applies to the requests to one host whose path begins with its prefix.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Destination determines the services that answer.
	Destination Destination
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value to the caller.
	LatencyTarget time.Duration
	// Attempts bounds the number of backend servers per service on which one request may run.
	Attempts int
	// Priority is the rank of the requests. Zero is the highest priority.
	Priority int
	// IsPublic is set if requests need no key.
	IsPublic bool
}

// Destination is a Single, a Weighted or a Scatter.
type Destination interface {
	isDestination()
}

// Single sends each request to one service.
type Single struct {
	Service identifier.ServiceName
}

// Weighted sends each request to one of several services in proportion to their weights.
type Weighted struct {
	Shares []Share
}

// Share is one service of a Weighted destination.
type Share struct {
	Service identifier.ServiceName
	Weight  float64
}

// Scatter sends each request to all of its services, which are the shards of an index, and merges
// the greatest records of their answers.
type Scatter struct {
	Services []identifier.ServiceName
	// RowLimit is the maximum number of records in an answer.
	RowLimit int
	// MinimumCoverage is the share of the services, from 0 to 1, that an answer must cover.
	MinimumCoverage float64
}

func (Single) isDestination()   {}
func (Weighted) isDestination() {}
func (Scatter) isDestination()  {}

// Services returns the services of a destination.
func Services(d Destination) []identifier.ServiceName {
	switch d := d.(type) {
	case Single:
		return []identifier.ServiceName{d.Service}
	case Weighted:
		services := []identifier.ServiceName{}
		for _, s := range d.Shares {
			services = append(services, s.Service)
		}
		return services
	case Scatter:
		return d.Services
	}
	return nil
}

// Service is the configuration of a service.
type Service struct {
	Name identifier.ServiceName
	// Connections is the number of connections that each of its servers accepts from all hosts
	// together.
	Connections int
	HealthPath  string
}

// Limits bounds the size of callers' requests and the time that callers may take to send headers or
// keep a connection idle. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	configuration Configuration
	// routes holds the routes by host and prefix.
	routes   map[string]map[string]*Route
	services map[identifier.ServiceName]Service
	// customersByKey and customersByName hold the customers by each of their keys and by their names.
	customersByKey  map[Key]*Customer
	customersByName map[identifier.CustomerName]*Customer
	// topPriority is the smallest priority that a request can have, which is the most urgent one.
	topPriority int
}

// Compile checks a configuration and builds its table. It returns an error that wraps ErrInvalid
// and describes the first problem if the configuration is invalid.
func Compile(c Configuration) (*Table, error) {
	t := &Table{
		configuration: c,
		routes:        map[string]map[string]*Route{},
		services:      map[identifier.ServiceName]Service{},

		customersByKey:  map[Key]*Customer{},
		customersByName: map[identifier.CustomerName]*Customer{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Customers {
		if err := t.addCustomer(&c.Customers[i]); err != nil {
			return nil, err
		}
	}
	t.topPriority = t.findTopPriority()
	return t, nil
}

// Number returns the number of the table's configuration.
func (t *Table) Number() uint64 { return t.configuration.Number }

// TopPriority returns the smallest priority that a request can have, which is the most urgent one.
func (t *Table) TopPriority() int { return t.topPriority }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Services returns all services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// Routes returns all routes of the configuration.
func (t *Table) Routes() []Route { return t.configuration.Routes }

// Service returns the configuration of a service. It returns false if there is no such service.
func (t *Table) Service(name identifier.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of a host with the longest prefix that matches a path, or nil if there is
// none.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.routes[host]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}
