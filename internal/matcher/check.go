package matcher

import (
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is the error for a configuration that cannot be applied.
var ErrInvalid = eris.New("configuration is invalid")

// add checks a route and adds it to the table. It returns an error that wraps ErrInvalid if the
// route is invalid or has the same host and prefix as another one.
func (t *Table) add(r *Route) error {
	if err := t.check(r); err != nil {
		return eris.Wrapf(ErrInvalid, "route %q: %v", r.Name, err)
	}
	prefixes := t.routes[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		t.routes[r.Host] = prefixes
	}
	if earlier := prefixes[r.Prefix]; earlier != nil {
		return eris.Wrapf(ErrInvalid, "routes %q and %q share host %q and prefix %q", earlier.Name, r.Name, r.Host, r.Prefix)
	}
	prefixes[r.Prefix] = r
	return nil
}

// check returns an error if a route is invalid regardless of the other routes.
func (t *Table) check(r *Route) error {
	if r.Timeout <= 0 {
		return eris.New("the timeout is not positive")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("the prefix %q does not begin and end with a slash", r.Prefix)
	}
	services := Services(r.Destination)
	if len(services) == 0 {
		return eris.New("no service is named")
	}
	for _, s := range services {
		if _, ok := t.services[s]; !ok {
			return eris.Errorf("service %q is unknown", s)
		}
	}
	return checkWeights(r.Destination)
}

// checkWeights returns an error if a weight is negative or all weights are zero.
func checkWeights(d Destination) error {
	weighted, ok := d.(Weighted)
	if !ok {
		return nil
	}
	sum := 0.0
	for _, s := range weighted.Shares {
		if s.Weight < 0 {
			return eris.Errorf("the weight of %q is negative", s.Service)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return eris.New("the weights add up to zero")
	}
	return nil
}
