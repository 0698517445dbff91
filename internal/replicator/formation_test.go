package replicator_test

import (
	"flag"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

const (
	// formationHosts is the number of hosts of a first start, of which three are the initial ones.
	formationHosts = replacementVoters
	// formationSteps is the time in ticks that the simulation's hosts take to form a group.
	formationSteps = 30
)

// The seeds of TestFirstStartsFormOneGroup.
var (
	firstFormationSeed = flag.Uint64("formation.seed", 1, "first seed of TestFirstStartsFormOneGroup")
	formationSeeds     = flag.Uint64("formation.seeds", 30, "number of seeds of TestFirstStartsFormOneGroup")
)

// newFirstStart starts hosts for the first time, whose settings tell them so.
func newFirstStart(t testing.TB, seed uint64) *simulation {
	s := newSimulation(t, seed, 3, faults{})
	s.voters = replacementVoters
	s.isFirstStartKnown = true
	for _, p := range s.processes {
		p.crash()
		p.disk = newFakeDisk(s.random)
		p.hasStarted = false
		p.start()
	}
	for len(s.processes) < formationHosts {
		s.addHost()
	}
	return s
}

// restart stops a process for some ticks. It keeps its disk unless isDiskLost is set.
func (s *simulation) restart(p *process, isDiskLost bool) {
	p.crash()
	s.wait(10)
	if isDiskLost {
		p.disk = newFakeDisk(s.random)
	}
	p.start()
}

// groups returns the groups in which an entry is committed, of all hosts that run.
func (s *simulation) groups() []identifier.Incarnation {
	var groups []identifier.Incarnation
	for _, p := range s.processes {
		if p.engine == nil || p.engine.Status().CommitIndex == 0 {
			continue
		}
		if group := p.engine.Group(); !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups
}

// TestDiskLostBeforeTheFirstGroup guards against hosts that never form a group: one of them loses its disk,
// or is only started again, after the first start and before there is a group. The settings of a contract
// deployment do not tell whether it is the first start.
func TestDiskLostBeforeTheFirstGroup(t *testing.T) {
	for host := range formationHosts {
		for _, isDiskLost := range []bool{true, false} {
			for _, isFirstStartKnown := range []bool{true, false} {
				s := newFirstStart(t, uint64(host))
				s.isFirstStartKnown = isFirstStartKnown
				s.steps(formationSteps / 2)
				assert.Equal(t, len(s.groups()), 0)
				s.restart(s.processes[host], isDiskLost)
				s.eventually("all hosts vote", s.allPlacesHaveLiveVoters)
			}
		}
	}
}

// TestFounderIsStartedAgainWithALostDisk lets the founder lose its disk before, during and after the
// formation. Whatever the others hold, they continue with it or form a group with the founder.
func TestFounderIsStartedAgainWithALostDisk(t *testing.T) {
	for ticks := range 3 * formationSteps {
		s := newFirstStart(t, uint64(ticks))
		s.steps(ticks)
		s.restart(s.processes[0], true)
		s.eventually("all hosts vote", s.allPlacesHaveLiveVoters)
		assert.Equal(t, len(s.groups()), 1)
	}
}

// TestLostGroupIsNotReplacedByANewOne lets two of the three initial hosts lose their disks, before or after
// they formed a group. The third one may have missed what they committed, so no group is formed until the
// operator orders it, and the founder says why.
func TestLostGroupIsNotReplacedByANewOne(t *testing.T) {
	for _, lost := range [][]int{{0, 1}, {0, 2}, {1, 2}} {
		s := newFirstStart(t, uint64(lost[0]+lost[1]))
		s.processes[3].removeHost()
		s.processes[4].removeHost()
		third := s.processes[3-lost[0]-lost[1]]
		third.isIsolated = true
		s.steps(formationSteps)
		for _, p := range s.processes[:3] {
			p.crash()
		}
		third.isIsolated = false
		for i, p := range s.processes[:3] {
			if slices.Contains(lost, i) {
				p.disk = newFakeDisk(s.random)
			}
			p.start()
		}
		s.steps(10 * formationSteps)
		assert.Equal(t, len(s.groups()), 0)
		assert.Assert(t, s.events[replicator.EventFormationRefused] == 1, "%v", s.events)
		s.orderFirstStart(s.processes[0])
		s.steps(10 * formationSteps)
		assert.Equal(t, len(s.groups()), 1)
	}
}

// orderFirstStart restarts the founder by order of the operator: its settings tell that this is the first
// start.
func (s *simulation) orderFirstStart(founder *process) {
	founder.crash()
	founder.hasStarted = false
	founder.start()
}

// TestOtherHostsDoNotDelayTheFirstGroup guards against a host that prevents the formation although it has
// no part in it: it has no entries, and its settings name other initial hosts.
func TestOtherHostsDoNotDelayTheFirstGroup(t *testing.T) {
	s := newFirstStart(t, 1)
	initial := s.initial
	s.initial = []replicator.Member{s.processes[0].member, s.processes[1].member, s.processes[3].member}
	s.isRunning = true
	s.addHost()
	s.initial = initial
	s.eventually("all places have live voters", s.allPlacesHaveLiveVoters)
}

// TestHostsThatWereNotInitialFormNoGroup lets three hosts be the initial ones of later settings that had no
// part in the first formation. Their empty logs say nothing of the group, which they cannot reach.
func TestHostsThatWereNotInitialFormNoGroup(t *testing.T) {
	s := newFirstStart(t, 1)
	outside := []*process{s.processes[3], s.processes[4], s.addHost()}
	for _, p := range outside {
		p.isIsolated = true
	}
	s.eventually("a group", func() bool { return len(s.groups()) == 1 })
	s.initial = nil
	for _, p := range outside {
		p.crash()
		s.initial = append(s.initial, p.member)
	}
	for _, p := range s.processes[:3] {
		p.isIsolated = true
	}
	for _, p := range outside {
		p.isIsolated = false
		p.start()
	}
	s.steps(10 * formationSteps)
	assert.Equal(t, len(s.groups()), 1)
}

// drawFirstStart starts hosts, some of the release before, and restarts some of them, with their disks or
// without, in the time of the formation and after it. It returns how many of the initial hosts lost their
// disks before a group was there.
func (s *simulation) drawFirstStart() int {
	lost, lostInitial := 0, 0
	for range s.random.IntN(5) {
		s.wait(formationSteps)
		i := s.random.IntN(formationHosts)
		hasGroup := len(s.groups()) > 0
		// While the group grows, the loss of two disks may leave no majority.
		mayLoseDisk := !hasGroup || lost == 0 || s.allPlacesHaveLiveVoters()
		isDiskLost := s.random.IntN(2) == 0 && mayLoseDisk
		if isDiskLost {
			lost++
		}
		if isDiskLost && i < len(s.initial) && !hasGroup {
			lostInitial++
		}
		s.restart(s.processes[i], isDiskLost)
		if s.random.IntN(3) == 0 {
			s.disturb(s.processes[s.random.IntN(formationHosts)])
		}
	}
	s.heal()
	return lostInitial
}

// TestFirstStartsFormOneGroup draws first starts with restarts, lost disks, frozen hosts and links cut one
// way. There is never more than one group in which anything was committed, and there is one after a quiet
// time unless two of the three initial hosts lost their disks before it was formed.
func TestFirstStartsFormOneGroup(t *testing.T) {
	formed := 0
	for i := range *formationSeeds {
		s := newFirstStart(t, *firstFormationSeed+i)
		s.faults.call = 0.02
		s.faults.delay, s.faults.maxDelay, s.faults.loss = 0.3, 8, 0.05
		lost := s.drawFirstStart()
		if lost < 2 {
			s.eventually("all hosts vote", s.allPlacesHaveLiveVoters)
		} else {
			s.steps(settleSteps)
		}
		if n := len(s.groups()); n > 1 {
			s.fail("%d groups", n)
		}
		formed += len(s.groups())
	}
	t.Logf("%d of %d first starts formed a group", formed, *formationSeeds)
}

// TestFirstStartsBesideTheReleaseBefore draws first starts in which some hosts are of the release before.
// Those report a group when they are started again, which may prevent the formation, but there is never
// more than one group. Without such a report there is one.
func TestFirstStartsBesideTheReleaseBefore(t *testing.T) {
	for i := range *formationSeeds {
		s := newFirstStart(t, *firstFormationSeed+i)
		s.faults.call = 0.02
		s.faults.delay, s.faults.maxDelay, s.faults.loss = 0.3, 8, 0.05
		for _, p := range s.processes {
			p.isFormerRelease = s.random.IntN(2) == 0
		}
		lost := s.drawFirstStart()
		if lost < 2 && !s.hasReportedGroup() {
			s.eventually("all hosts vote", s.allPlacesHaveLiveVoters)
		} else {
			s.steps(settleSteps)
		}
		if n := len(s.groups()); n > 1 {
			s.fail("%d groups", n)
		}
	}
}

// hasReportedGroup reports whether a host of the release before was started again.
func (s *simulation) hasReportedGroup() bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool { return p.hasReported })
}
