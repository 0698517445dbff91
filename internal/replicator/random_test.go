package replicator_test

import (
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/seeder"
)

func init() { seeder.Fix() }

const (
	// faultSteps and recoverySteps are the lengths in ticks of a run's parts with and without
	// faults.
	faultSteps    = 1_500
	recoverySteps = 2_000
)

// heavyFaults are the faults of TestRandomFaults.
var heavyFaults = faults{
	loss: 0.05, duplicate: 0.05, delay: 0.3, maxDelay: 8,
	crash: 0.01, cut: 0.02, freeze: 0.005, loseDisk: 0.01, replaceHost: 0.003,
	call: 0.1,
}

// injectFaults injects the random faults of one step.
func (s *simulation) injectFaults() {
	f := s.faults
	p := s.processes[s.random.IntN(len(s.processes))]
	if s.random.Float64() < f.crash && p.engine != nil {
		// The crash happens at one of the next operations on the disk.
		p.disk.crashAfter = s.random.IntN(12)
	}
	if p.engine == nil && !p.isGone && s.random.IntN(20) == 0 {
		p.start()
	}
	if s.random.Float64() < f.cut {
		a, b := s.initial[s.random.IntN(len(s.initial))].Name, s.initial[s.random.IntN(len(s.initial))].Name
		s.cutLinks[[2]identifier.HostName{a, b}] = true
	}
	if f.cut > 0 && s.random.IntN(60) == 0 {
		clear(s.cutLinks)
	}
	if s.random.Float64() < f.freeze && p.engine != nil {
		p.isFrozen = true
	}
	if p.isFrozen && f.freeze > 0 && s.random.IntN(40) == 0 {
		p.isFrozen = false
	}
	if s.random.Float64() < f.loseDisk && s.canLoseDisk(p) {
		s.loseDisk(p)
	}
	if s.random.Float64() < f.replaceHost && s.canLoseDisk(p) {
		s.replaceHost(p)
	}
	if p.isIsolated && s.random.IntN(100) == 0 && s.isReplaced(p) {
		p.isIsolated = false
		p.isReturned = true
	}
}

// isReplaced reports whether an isolated process was a voter and no longer is one. A process
// that returns before that keeps its place, and its replacement waits.
func (s *simulation) isReplaced(p *process) bool {
	if p.engine == nil || !s.pastVoters[p.engine.Incarnation()] {
		return false
	}
	return !slices.ContainsFunc(s.newest.Voters, func(m replicator.Member) bool {
		return m.Incarnation == p.engine.Incarnation()
	})
}

// canLoseDisk reports whether a process may lose its disk or host: with it, less than half of the
// members of the newest committed configuration are lost. A process that returned after its
// host was replaced keeps its disk, because with an empty one it would be a second new host.
func (s *simulation) canLoseDisk(p *process) bool {
	lost := 0
	for _, m := range s.newest.Voters {
		if !s.isIntact(m) || p.engine != nil && m.Incarnation == p.engine.Incarnation() {
			lost++
		}
	}
	isHere := p.engine != nil && !p.isIsolated && !p.isReturned
	return isHere && 2*lost < len(s.newest.Voters)
}

// isIntact reports whether a voter's process is running with its disk. A process that is down
// has no known incarnation. It counts as lost, so that no further disk is lost meanwhile.
func (s *simulation) isIntact(m replicator.Member) bool {
	for _, p := range s.processes {
		if p.isIsolated || p.member.Name != m.Name {
			continue
		}
		return p.engine != nil && p.engine.Incarnation() == m.Incarnation
	}
	return false
}

// loseDisk restarts a process with an empty disk.
func (s *simulation) loseDisk(p *process) {
	p.crash()
	p.disk = newFakeDisk(s.random)
	p.disk.isSyncIgnored = s.faults.isSyncIgnored
	p.start()
}

// replaceHost isolates a process for a long time and starts another one with its name.
func (s *simulation) replaceHost(p *process) {
	p.isIsolated = true
	s.addProcess(p.member)
}

// stopFaults ends all faults and starts all processes.
func (s *simulation) stopFaults() {
	s.faults = faults{call: 0.05}
	clear(s.cutLinks)
	for _, p := range s.processes {
		p.isFrozen = false
		p.isIsolated = p.isIsolated && !s.isReplaced(p)
		p.disk.crashAfter = -1
		if p.engine == nil {
			p.start()
		}
	}
}

// hasRecovered reports whether a process leads and every host has one voter of its
// configuration that has applied the same entries.
func (s *simulation) hasRecovered() bool {
	var lead replicator.Status
	for _, p := range s.processes {
		if status := p.engine.Status(); status.IsLeader && status.Term > lead.Term {
			lead = status
		}
	}
	caughtUp := 0
	for _, p := range s.processes {
		status := p.engine.Status()
		isVoter := status.IsVoter && slices.Contains(lead.Voters, status.Self)
		if isVoter && !p.isIsolated && status.AppliedIndex == lead.AppliedIndex {
			caughtUp++
		}
	}
	return lead.IsLeader && caughtUp == len(s.initial) && len(lead.Voters) == caughtUp
}

// run steps through the faults and then requires that the group recovers and that the history
// is linearizable.
func (s *simulation) run(steps int) {
	s.t.Helper()
	for range steps {
		s.step()
	}
	s.stopFaults()
	acked := s.acked
	for range recoverySteps {
		s.step()
		if s.hasRecovered() && s.acked > acked+5 {
			break
		}
	}
	if !s.hasRecovered() || s.acked <= acked+5 {
		s.fail("group did not recover: %d answers, %d writes", s.acked, s.writes)
	}
	for _, c := range s.calls {
		s.record(c, "", int64(^uint64(0)>>1))
	}
	if !porcupine.CheckOperations(swapModel, s.history) {
		s.fail("history of %d operations is not linearizable", len(s.history))
	}
}

// TestRandomFaults runs groups with random faults. A larger -rapid.checks makes it run longer,
// and another -rapid.seed makes it choose other runs.
func TestRandomFaults(t *testing.T) {
	runs, answers := 0, 0
	events := map[replicator.EventKind]int{}
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(r, "members")
		seed := rapid.Uint64().Draw(r, "seed")
		s := newSimulation(tb{t, r}, seed, n, heavyFaults)
		s.run(faultSteps)
		runs++
		answers += s.acked
		for kind, count := range s.events {
			events[kind] += count
		}
	})
	t.Logf("%d runs, %d answers, events %v", runs, answers, events)
}

// tb reports logs and failures to rapid and everything else to the test.
type tb struct {
	testing.TB
	rapid *rapid.T
}

func (b tb) Helper() {}

func (b tb) Logf(format string, arguments ...any) { b.rapid.Logf(format, arguments...) }

func (b tb) Fatalf(format string, arguments ...any) { b.rapid.Fatalf(format, arguments...) }
