package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/encoder"
)

// window is the interval in which a server must not get much more than its limit.
const window = 4 * time.Second

var start = time.Unix(1000, 0)

// named returns the statement that a server names a limit.
func named(id string, rate float64) encoder.ServerLimit {
	return encoder.ServerLimit{Server: encoder.ServerID(id), Born: 1, IsNamed: true, Rate: rate}
}

// wants returns a request for a token of one server.
func wants(l ...encoder.ServerLimit) encoder.TokenRequest {
	servers := []encoder.ServerID{}
	for _, one := range l {
		servers = append(servers, one.Server)
	}
	return encoder.TokenRequest{Limits: l, Groups: []encoder.TokenGroup{{Needed: 1, Choices: []encoder.TokenChoice{{Servers: servers}}}}}
}

// ask reports the limits of a request and issues its tokens.
func ask(i *Issuer, now time.Time, r encoder.TokenRequest) encoder.TokenReply {
	i.Report(now, r.Limits)
	return i.Issue(now, r)
}

// most returns the largest number of times within window.
func most(times []time.Time) int {
	worst, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// TestDocksTogetherExceedAServersLimit replays a load of many docks on one server, with changes of the
// leader, and counts the tokens in any window.
func TestDocksTogetherExceedAServersLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.9, 1, 1.8, 7, 45, 400}).Draw(t, "rate")
		demand := rate*rapid.Float64Range(2, 20).Draw(t, "overload") + 5
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		leaderTime := seconds(rapid.Float64Range(2, 20).Draw(t, "leader time"))
		issuer, leaderSince := NewIssuer(), start
		tokens := []time.Time{}
		duration := 30 * time.Second
		for now := start; now.Sub(start) < duration; now = now.Add(seconds(random.ExpFloat64() / demand)) {
			if now.Sub(leaderSince) > leaderTime {
				issuer, leaderSince = NewIssuer(), now
			}
			if len(ask(issuer, now, wants(named("a", rate))).Grants[0].Servers) > 0 {
				tokens = append(tokens, now)
			}
		}
		assert.Assert(t, float64(most(tokens)) <= 1.5*rate*window.Seconds()+5, "%d tokens in %s", most(tokens), window)
		assert.Assert(t, float64(most(tokens)) <= max(minimumRate, rate)*(window+burstTime).Seconds()+1, "%d tokens in %s", most(tokens), window)
		// A new leader has no tokens, so that up to one is lost with each.
		leaders := math.Ceil(duration.Seconds() / leaderTime.Seconds())
		expected := 0.85*max(minimumRate, rate)*duration.Seconds() - 2*leaders - 2
		assert.Assert(t, float64(len(tokens)) >= expected, "only %d tokens, %.0f expected", len(tokens), expected)
	})
}

// TestQueryThatCannotBeAnsweredUsesUpTokens checks that a query gets all tokens that it needs or none.
func TestQueryThatCannotBeAnsweredUsesUpTokens(t *testing.T) {
	i := NewIssuer()
	limits := []encoder.ServerLimit{named("a", 1), named("b", 1), named("c", 0.25)}
	i.Report(start, limits)
	group := func(needed int, servers ...encoder.ServerID) encoder.TokenRequest {
		g := encoder.TokenGroup{Needed: needed}
		for _, s := range servers {
			g.Choices = append(g.Choices, encoder.TokenChoice{Servers: []encoder.ServerID{s}})
		}
		return encoder.TokenRequest{Groups: []encoder.TokenGroup{g}}
	}
	now := start.Add(time.Second)
	r := i.Issue(now, group(3, "a", "b", "c"))
	assert.Equal(t, len(r.Grants[0].Servers), 0)
	assert.Equal(t, r.Waits[0].Server, encoder.ServerID("c"))
	assert.Equal(t, r.Waits[0].Next, 3*time.Second)
	r = i.Issue(now, group(2, "a", "b", "c"))
	assert.DeepEqual(t, r.Grants[0].Servers, []encoder.ServerID{"a", "b", ""})
	assert.Equal(t, len(i.Issue(now, group(0, "a", "b")).Grants[0].Servers), 0)
}

func TestOtherCopyIsUsedWhenTheFirstHasNoToken(t *testing.T) {
	i := NewIssuer()
	i.Report(start, []encoder.ServerLimit{named("a", 1), named("b", 1)})
	now := start.Add(time.Second)
	got := []string{}
	for range 3 {
		got = append(got, fmt.Sprint(i.Issue(now, wants(named("a", 1), named("b", 1))).Grants[0].Servers))
	}
	assert.DeepEqual(t, got, []string{"[a]", "[b]", "[]"})
}

// TestEndedLimitStaysInForce checks that the newest statement counts in whatever order statements
// arrive, and that a server without a limit needs no token.
func TestEndedLimitStaysInForce(t *testing.T) {
	i := NewIssuer()
	i.Report(start, []encoder.ServerLimit{named("a", 0)})
	ended := encoder.ServerLimit{Server: "a", Born: 1, Age: 3 * time.Second}
	now := start.Add(2 * time.Second)
	assert.Equal(t, len(i.Report(now, []encoder.ServerLimit{ended})), 0, "the end is older than the limit")
	ended.Age = time.Second
	assert.Equal(t, len(i.Report(now, []encoder.ServerLimit{ended})), 1)
	stale := named("a", 0)
	stale.Age = 2 * time.Second
	r := ask(i, now, wants(stale))
	assert.DeepEqual(t, r.Grants[0].Servers, []encoder.ServerID{"a"})
	assert.Equal(t, len(r.Limits), 1, "the dock learns that the limit has ended")
	assert.Equal(t, r.Limits[0].IsNamed, false)
	assert.Equal(t, len(i.Limits(now)), 1)
	assert.Equal(t, len(i.Limits(now.Add(endedTime))), 0)
}

// TestLimitOutlivesARestartOfItsServer checks that a new start of a server has no limit, and that
// statements on the earlier one no longer count.
func TestLimitOutlivesARestartOfItsServer(t *testing.T) {
	i := NewIssuer()
	i.Report(start, []encoder.ServerLimit{named("a", 1)})
	restarted := named("a", 100)
	restarted.Born = 2
	i.Report(start, []encoder.ServerLimit{restarted})
	assert.Equal(t, len(i.Report(start, []encoder.ServerLimit{named("a", 1)})), 0)
	assert.Equal(t, i.Limits(start)[0].Rate, 100.0)
}

func TestRefusedCallersAreSpreadOverTheTimeThatTheLimitNeeds(t *testing.T) {
	i := NewIssuer()
	i.Report(start, []encoder.ServerLimit{named("a", 2)})
	r := encoder.TokenReply{}
	for range 4 {
		r = i.Issue(start, wants(named("a", 2)))
	}
	assert.Equal(t, r.Waits[0].Next, 500*time.Millisecond)
	assert.Equal(t, r.Waits[0].Backlog, 2*time.Second)
}
