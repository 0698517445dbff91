package selector_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/selector"
)

// TestDockWithoutLinksReportsServersAsSlow replays the loss of all requests of a dock. Its observations
// must not reach the other docks before a server answers, because its links may have failed.
func TestDockWithoutLinksReportsServersAsSlow(t *testing.T) {
	s := selector.New("one", selector.BudgetLimits{}, 1)
	list := []locator.Server{}
	for i := range 4 {
		list = append(list, locator.Server{Registration: encoder.Registration{
			ID: encoder.ServerID(fmt.Sprint(i)), Service: "plates", Slots: 2, Born: 1,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)),
		}})
	}
	s.Update(map[identifier.ServiceName][]locator.Server{"plates": list})
	now := time.Unix(1000, 0)
	end := func(server int, isAnswered bool) {
		f := s.Begin(now, encoder.ServerID(fmt.Sprint(server)), 10*time.Millisecond)
		now = now.Add(time.Millisecond)
		if isAnswered {
			s.Answered(now, f, false, nil)
		} else {
			s.Lost(now, f, true)
		}
	}
	for i := range 4 {
		end(i, false)
	}
	assert.Equal(t, len(s.TakeObservations()), 0)
	end(1, true)
	observations := s.TakeObservations()
	assert.Equal(t, len(observations), 4, "another server has answered, so the losses count")
	for i := range 8 {
		end(i%4, false)
	}
	assert.Assert(t, !s.HasReachable("plates", now))
	s.ForgetFailures()
	assert.Assert(t, s.HasReachable("plates", now))
	end(1, true)
	observations = s.TakeObservations()
	assert.Equal(t, len(observations), 1, "what was observed while the dock was cut off does not count")
	assert.Equal(t, observations[0].Server, encoder.ServerID("1"))
}
