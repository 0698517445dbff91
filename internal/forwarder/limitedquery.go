package forwarder

import (
	"math"
	"slices"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/matcher"
	"banyandock.example/banyandock/internal/selector"
)

// coverageSlack is subtracted from a number of parts before it is rounded up, because products of
// shares are not exact.
const coverageSlack = 1e-9

// acquireTokens gets the tokens that a query needs because every reachable server of a service names a
// limit. It returns the services to which the request may be sent, or an outcome if too few of them
// have a token.
func (q *query) acquireTokens(services []identifier.ServiceName) ([]identifier.ServiceName, Outcome) {
	f := q.forwarder
	if q.table == nil {
		// The dock that delegated the query has acquired its tokens.
		return services, nil
	}
	limited := f.selector.LimitedServices(f.clock.Now(), services)
	if len(limited) == 0 {
		return services, nil
	}
	needed := q.neededTokens(services, limited)
	q.tokens = f.tokens.acquireFor(q.ctx, limited, needed)
	if len(q.tokens) < needed {
		return nil, q.refuseLimited(namesOf(limited), len(limited)-needed)
	}
	without := []identifier.ServiceName{}
	for _, l := range limited {
		if q.tokens[l.Service] == "" {
			without = append(without, l.Service)
		}
	}
	isWithout := func(s identifier.ServiceName) bool { return slices.Contains(without, s) }
	return slices.DeleteFunc(slices.Clone(services), isWithout), q.failServices(without, ReasonLimited)
}

// neededTokens returns the number of limited services that must have a token.
func (q *query) neededTokens(services []identifier.ServiceName, limited []selector.LimitedService) int {
	return max(0, q.requiredParts()-(len(services)-len(limited)))
}

// refuseLimited refuses the request, which has not been sent. Spare is the number of the limited
// services that the answer does not need.
func (q *query) refuseLimited(services []identifier.ServiceName, spare int) Outcome {
	return Refused{After: q.selector.RefuseLimited(q.forwarder.clock.Now(), services, spare), Reason: ReasonLimited}
}

// namesOf returns the names of limited services.
func namesOf(limited []selector.LimitedService) []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(limited))
	for _, l := range limited {
		names = append(names, l.Service)
	}
	return names
}

// takeTokens returns the servers of the listed services for which the query has tokens, which it then
// no longer has. It returns nil if there are none.
func (q *query) takeTokens(services []identifier.ServiceName) []encoder.ServerID {
	var list []encoder.ServerID
	for i, s := range services {
		id := q.tokens[s]
		if id == "" {
			continue
		}
		if list == nil {
			list = make([]encoder.ServerID, len(services))
		}
		list[i] = id
		delete(q.tokens, s)
	}
	return list
}

// returnTokens gives back what takeTokens took.
func (q *query) returnTokens(services []identifier.ServiceName, servers []encoder.ServerID) {
	for i, id := range servers {
		if id != "" {
			q.tokens[services[i]] = id
		}
	}
}

// requiredParts returns the number of services that must answer.
func (q *query) requiredParts() int {
	d, ok := q.route.Destination.(matcher.Scatter)
	if !ok {
		return 1
	}
	return max(1, int(math.Ceil(d.MinimumCoverage*float64(len(d.Services))-coverageSlack)))
}
