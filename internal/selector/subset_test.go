package selector_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/locator"
	"banyandock.example/banyandock/internal/selector"
)

// TestHostsUseSubsetWhenConnectionsAreScarce has 102 hosts and 3 servers that accept 86 connections
// each.
func TestHostsUseSubsetWhenConnectionsAreScarce(t *testing.T) {
	const docks = 102
	planned := map[string]int{}
	for i := range docks {
		s := selector.New("elsewhere", selector.BudgetLimits{}, uint64(i+1))
		s.Update(map[identifier.ServiceName][]locator.Server{"plates": servers("a", "b", "c")})
		s.SetDocks(docks, 1)
		s.SetServices(map[identifier.ServiceName]int{"plates": 86})
		for range 20 {
			target, ok := s.Choose(start, "plates", nil)
			assert.Assert(t, ok)
			planned[string(target.ID)+string(rune(i))]++
		}
		last, ok := s.Choose(start, "plates", []encoder.ServerID{"a", "b"})
		assert.Assert(t, ok && last.ID == "c", "servers outside the subset remain as a last choice")
	}
	assert.Equal(t, len(planned), 2*docks, "each host uses two of the servers")
	perServer := map[byte]int{}
	for pair := range planned {
		perServer[pair[0]]++
	}
	for id, n := range perServer {
		assert.Assert(t, n <= 86, "%d hosts use server %c", n, id)
	}
}

func TestHostsUseAllServersWhenConnectionsSuffice(t *testing.T) {
	s := selector.New("elsewhere", selector.BudgetLimits{}, 1)
	s.Update(map[identifier.ServiceName][]locator.Server{"plates": servers("a", "b", "c")})
	s.SetDocks(20, 1)
	s.SetServices(map[identifier.ServiceName]int{"plates": 58})
	used := map[encoder.ServerID]bool{}
	for range 100 {
		target, _ := s.Choose(start, "plates", nil)
		used[target.ID] = true
	}
	assert.Equal(t, len(used), 3)
}
