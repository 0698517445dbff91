// Package matcher holds a configuration of routes and finds the route of a request. A
// configuration is immutable once it is compiled.
package matcher

import (
	"strings"
	"time"

	"banyandock.example/banyandock/internal/identifier"
)

// RouteName names a route.
type RouteName string

// Configuration says which requests are allowed and which services answer them.
type Configuration struct {
	// Number orders configurations. A higher one replaces a lower one.
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route applies to the requests of one host whose path begins with its prefix.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Destination says which services answer.
	Destination Destination
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Attempts bounds the backend servers that one request may run on, per service.
	Attempts int
	// Priority is the rank of the requests. Zero is the highest.
	Priority int
}

// Destination is Single, Weighted or Scatter.
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

// Scatter sends each request to all of its services, which are the shards of an index, and
// gathers the greatest records of their answers.
type Scatter struct {
	Services []identifier.ServiceName
	// RowLimit is the number of records in an answer.
	RowLimit int
	// MinimumCoverage is the share of the services that an answer must include.
	MinimumCoverage float64
}

func (Single) isDestination()   {}
func (Weighted) isDestination() {}
func (Scatter) isDestination()  {}

// Services returns the services that a destination names.
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

// Service is what a configuration tells of a service.
type Service struct {
	Name identifier.ServiceName
	// Connections is the number of connections that one of its servers accepts from all.
	Connections int
	HealthPath  string
}

// Limits bound what callers may send and how long they may take. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds routes. It is immutable.
type Table struct {
	configuration Configuration
	// routes holds, for each host, its routes by prefix.
	routes   map[string]map[string]*Route
	services map[identifier.ServiceName]Service
	// topPriority is the rank of the most urgent routes.
	topPriority int
}

// Compile checks a configuration and builds its table. Its error lists the first problem.
func Compile(c Configuration) (*Table, error) {
	t := &Table{
		configuration: c,
		routes:        map[string]map[string]*Route{},
		services:      map[identifier.ServiceName]Service{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := t.add(&c.Routes[i]); err != nil {
			return nil, err
		}
		if i == 0 || c.Routes[i].Priority < t.topPriority {
			t.topPriority = c.Routes[i].Priority
		}
	}
	return t, nil
}

// Number returns the number of the table's configuration.
func (t *Table) Number() uint64 { return t.configuration.Number }

// TopPriority returns the rank of the most urgent routes.
func (t *Table) TopPriority() int { return t.topPriority }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Services returns all services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// Routes returns all routes of the configuration.
func (t *Table) Routes() []Route { return t.configuration.Routes }

// Service returns what the configuration tells of a service.
func (t *Table) Service(name identifier.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route with the longest prefix of a path, or nil.
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
