package matcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
)

// route returns a valid route to the service "plates".
func route(name, host, prefix string) matcher.Route {
	return matcher.Route{
		Name: matcher.RouteName(name), Host: host, Prefix: prefix, Timeout: time.Second,
		Destination: matcher.Single{Service: "plates"},
	}
}

// configuration returns a configuration with the services "plates" and "tickets".
func configuration(routes ...matcher.Route) matcher.Configuration {
	return matcher.Configuration{
		Number:   7,
		Routes:   routes,
		Services: []matcher.Service{{Name: "plates", Connections: 56}, {Name: "tickets"}},
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	table, err := matcher.Compile(configuration(
		route("all", "a.example", "/"),
		route("short", "a.example", "/plates/"),
		route("long", "a.example", "/plates/status/"),
		route("other", "b.example", "/plates/"),
	))
	assert.NilError(t, err)
	expect := func(host, path, name string) {
		t.Helper()
		r := table.Match(host, path)
		if name == "" {
			assert.Assert(t, r == nil, "%s%s matches %v", host, path, r)
			return
		}
		assert.Assert(t, r != nil, "%s%s matches nothing", host, path)
		assert.Equal(t, string(r.Name), name)
	}
	expect("a.example", "/plates/status/3", "long")
	expect("a.example", "/plates/status/", "long")
	expect("a.example", "/plates/status", "short")
	expect("a.example", "/plates/statuses/3", "short")
	expect("a.example", "/plates", "all")
	expect("a.example", "/", "all")
	expect("b.example", "/plates/x/y/z", "other")
	expect("b.example", "/tickets/", "")
	expect("b.example", "", "")
	expect("c.example", "/plates/", "")
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	refuse := func(problem string, change func(r *matcher.Route)) {
		t.Helper()
		r := route("r", "a.example", "/plates/")
		change(&r)
		_, err := matcher.Compile(configuration(r))
		assert.ErrorIs(t, err, matcher.ErrInvalid)
		assert.ErrorContains(t, err, problem)
	}
	refuse("timeout", func(r *matcher.Route) { r.Timeout = 0 })
	refuse("prefix", func(r *matcher.Route) { r.Prefix = "plates/" })
	refuse("prefix", func(r *matcher.Route) { r.Prefix = "/plates" })
	refuse("unknown", func(r *matcher.Route) { r.Destination = matcher.Single{Service: "gone"} })
	refuse("unknown", func(r *matcher.Route) {
		r.Destination = matcher.Scatter{Services: []identifier.ServiceName{"plates", "gone"}}
	})
	refuse("no service", func(r *matcher.Route) { r.Destination = matcher.Scatter{} })
	refuse("add up to zero", func(r *matcher.Route) {
		r.Destination = matcher.Weighted{Shares: []matcher.Share{{Service: "plates"}, {Service: "tickets"}}}
	})
	refuse("negative", func(r *matcher.Route) {
		r.Destination = matcher.Weighted{Shares: []matcher.Share{{Service: "plates", Weight: -1}, {Service: "tickets", Weight: 2}}}
	})
	_, err := matcher.Compile(configuration(route("one", "a.example", "/x/"), route("two", "a.example", "/x/")))
	assert.ErrorContains(t, err, "share host")
}
