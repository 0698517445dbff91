package replicator_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
)

const (
	// replacementVoters is the number of voters in the tests of replaced hosts.
	replacementVoters = 5
	// toleratedLosses is the number of voters whose disks may be lost at once.
	toleratedLosses = 2
	// settleSteps is the time in ticks after which a group without faults has a live voter in every
	// place.
	settleSteps = 400
)

// The seeds of TestReplacementsLeaveLiveVoters.
var (
	firstReplacementSeed = flag.Uint64("replacement.seed", 1, "first seed of TestReplacementsLeaveLiveVoters")
	replacementSeeds     = flag.Uint64("replacement.seeds", 20, "number of seeds of TestReplacementsLeaveLiveVoters")
)

// newReplaceableGroup starts hosts of which three form a group that grows to replacementVoters.
func newReplaceableGroup(t testing.TB, seed uint64) *simulation {
	s := newFirstStart(t, seed)
	s.eventually("all hosts vote", s.allPlacesHaveLiveVoters)
	s.isRunning = true
	return s
}

// addHost starts a host with an empty disk at a new address.
func (s *simulation) addHost() *process {
	i := len(s.processes)
	s.addProcess(replicator.Member{
		Name:    identifier.HostName(fmt.Sprintf("%c", 'a'+i)),
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
	})
	return s.processes[i]
}

// removeHost stops a host for good.
func (p *process) removeHost() {
	p.isGone = true
	if p.engine != nil {
		p.crash()
	}
}

// stepAndRejoin advances the simulation by one tick. Processes that were told that they are replaced
// erase their disks and join again, as keepers do.
func (s *simulation) stepAndRejoin() {
	s.step()
	for _, p := range s.processes {
		if p.isRemoved && p.engine != nil && !p.isFrozen {
			p.isRemoved = false
			p.known = append(p.known, p.engine.Status().Voters...)
			p.loseDisk()
		}
	}
}

// loseDisk restarts a process with an empty disk.
func (p *process) loseDisk() {
	if p.engine != nil {
		p.crash()
	}
	p.disk = newFakeDisk(p.simulation.random)
	p.start()
}

// eventually steps until a condition holds.
func (s *simulation) eventually(what string, condition func() bool) {
	s.t.Helper()
	for range settleSteps {
		if condition() {
			return
		}
		s.stepAndRejoin()
	}
	s.fail("condition never held: %s", what)
}

// leaderProcess returns the running process that leads the latest term, or nil.
func (s *simulation) leaderProcess() *process {
	var lead *process
	for _, p := range s.processes {
		if p.engine == nil || p.isFrozen || !p.engine.Status().IsLeader {
			continue
		}
		if lead == nil || p.engine.Status().Term > lead.engine.Status().Term {
			lead = p
		}
	}
	return lead
}

// isLiveVoter reports whether a voter of the newest configuration is a running process.
func (s *simulation) isLiveVoter(m replicator.Member) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool {
		return p.engine != nil && !p.isFrozen && p.engine.Incarnation() == m.Incarnation
	})
}

// allPlacesHaveLiveVoters reports whether a process leads and the newest configuration has as many
// voters as it should have, all of them running.
func (s *simulation) allPlacesHaveLiveVoters() bool {
	if s.leaderProcess() == nil || len(s.newest.Voters) != replacementVoters {
		return false
	}
	return !slices.ContainsFunc(s.newest.Voters, func(m replicator.Member) bool { return !s.isLiveVoter(m) })
}

// isVoting reports whether a process is a voter of the newest configuration.
func (s *simulation) isVoting(p *process) bool {
	return slices.ContainsFunc(s.newest.Voters, func(m replicator.Member) bool { return m.Name == p.member.Name })
}

// freezeUntilReplaced freezes a process until the new host has its vote. The messages of that time wait
// for the process.
func (s *simulation) freezeUntilReplaced(frozen, newHost *process) {
	frozen.isFrozen = true
	s.eventually("the new host votes", func() bool { return s.isVoting(newHost) && !s.isVoting(frozen) })
}

// replaceWhileFrozen lets a new host take the place of a voter that stands still, then removes the host
// that the new one was to replace, and requires that the frozen one gets its place.
func (s *simulation) replaceWhileFrozen(frozen, old *process) {
	s.t.Helper()
	s.freezeUntilReplaced(frozen, s.addHost())
	old.removeHost()
	s.wait(60)
	frozen.isFrozen = false
	s.eventually("live voters only", s.allPlacesHaveLiveVoters)
	assert.Assert(s.t, s.isVoting(frozen) && !s.isVoting(old))
}

// leaderAndAnother returns the leader and one of the other voters.
func (s *simulation) leaderAndAnother() (lead, other *process) {
	lead = s.leaderProcess()
	return lead, s.processes[(slices.Index(s.processes, lead)+1)%replacementVoters]
}

// TestVoterReplacedWhileFrozenVotesAgain guards against a host that stays outside of the group for good,
// while one that was removed keeps its vote: the new host of a planned replacement takes the place of a
// voter that only stands still, and then the host that it is to replace is removed.
func TestVoterReplacedWhileFrozenVotesAgain(t *testing.T) {
	for seed := range uint64(20) {
		s := newReplaceableGroup(t, seed)
		lead, other := s.leaderAndAnother()
		s.replaceWhileFrozen(lead, other)
		s = newReplaceableGroup(t, seed)
		lead, other = s.leaderAndAnother()
		s.replaceWhileFrozen(other, lead)
	}
}

// TestReplacedVoterReturnsBesideAnotherRelease guards against the same between two releases: members of
// the other one answer no probe with a removal, or ask for it by no pre-vote request.
func TestReplacedVoterReturnsBesideAnotherRelease(t *testing.T) {
	for seed := range uint64(5) {
		for _, isUnknown := range []func([]byte) bool{replicator.IsProbe, replicator.IsPreVoteRequest} {
			s := newReplaceableGroup(t, seed)
			lead, other := s.leaderAndAnother()
			s.isIgnored = func(from *process, message []byte) bool {
				isFormer := from == other && from.known == nil
				return isFormer && isUnknown(message)
			}
			s.replaceWhileFrozen(other, lead)
		}
	}
}

// TestReplacedVoterFindsTheGroupByItsMembers guards against a replaced host that forgets with its disk
// where the group is, when all hosts of its settings were removed.
func TestReplacedVoterFindsTheGroupByItsMembers(t *testing.T) {
	s := newReplaceableGroup(t, 1)
	for _, p := range slices.Clone(s.processes[:2]) {
		s.addHost()
		p.removeHost()
		s.eventually("live voters only", s.allPlacesHaveLiveVoters)
	}
	s.replaceWhileFrozen(s.processes[4], s.processes[2])
}

// TestLongestSilentVoterIsReplaced guards against a new host that takes the place of a voter that only stands
// still, while another one has been gone for long.
func TestLongestSilentVoterIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		for _, goneFirst := range []bool{true, false} {
			s := newReplaceableGroup(t, seed)
			lead := s.leaderProcess()
			others := slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p == lead })
			gone, frozen := others[0], others[1]
			if !goneFirst {
				gone, frozen = frozen, gone
			}
			gone.removeHost()
			s.steps(60)
			frozen.isFrozen = true
			s.steps(40)
			newHost := s.addHost()
			s.eventually("the new host votes", func() bool { return s.isVoting(newHost) })
			assert.Assert(t, s.isVoting(frozen) && !s.isVoting(gone), "seed %d", seed)
		}
	}
}

// steps advances the simulation by a number of ticks.
func (s *simulation) steps(n int) {
	for range n {
		s.stepAndRejoin()
	}
}

// disturb lets one of the usual faults of a replacement strike a process: it stands still, its disk
// does, or its messages are lost in one direction.
func (s *simulation) disturb(p *process) {
	switch s.random.IntN(3) {
	case 0:
		p.isFrozen = true
	case 1:
		s.cutFrom(p, true)
	default:
		s.cutFrom(p, false)
	}
}

// cutFrom cuts the links of a process to all others in one direction.
func (s *simulation) cutFrom(p *process, isOutgoing bool) {
	for _, other := range s.processes {
		link := [2]identifier.HostName{other.member.Name, p.member.Name}
		if isOutgoing {
			link = [2]identifier.HostName{p.member.Name, other.member.Name}
		}
		s.cutLinks[link] = true
	}
}

// heal ends the disturbances.
func (s *simulation) heal() {
	clear(s.cutLinks)
	for _, p := range s.processes {
		p.isFrozen = false
	}
}

// liveProcesses returns the processes of the hosts that were not removed.
func (s *simulation) liveProcesses() []*process {
	return slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p.isGone })
}

// wait steps for a random time of at most a number of ticks.
func (s *simulation) wait(most int) {
	s.steps(s.random.IntN(most))
}

// replaceDisturbed replaces a host as planned, the new one first, while another one is disturbed and
// perhaps restarts.
func (s *simulation) replaceDisturbed() {
	live := s.liveProcesses()
	s.random.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	old, disturbed := live[0], live[1]
	s.addHost()
	s.wait(60)
	s.disturb(disturbed)
	s.wait(120)
	old.removeHost()
	s.wait(120)
	s.heal()
	if s.random.IntN(4) == 0 {
		disturbed.crash()
		s.wait(20)
		disturbed.start()
	}
}

// loseDisks lets all hosts lose power at once, and toleratedLosses of them their disks. The hosts' settings
// then name three hosts that were not removed.
func (s *simulation) loseDisks() {
	live := s.liveProcesses()
	s.initial = nil
	for _, p := range live {
		p.crash()
		p.known = nil
		if len(s.initial) < 3 {
			s.initial = append(s.initial, p.member)
		}
	}
	s.random.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	for i, p := range live {
		if i < toleratedLosses {
			p.loseDisk()
			continue
		}
		p.start()
	}
}

// TestReplacementsLeaveLiveVoters replaces hosts while others are disturbed. After a quiet time every
// voter must be a live host, and what was acknowledged must survive the loss of two disks.
func TestReplacementsLeaveLiveVoters(t *testing.T) {
	for i := range *replacementSeeds {
		s := newReplaceableGroup(t, *firstReplacementSeed+i)
		s.faults.call = 0.02
		for range 2 {
			s.replaceDisturbed()
			s.eventually("live voters only", s.allPlacesHaveLiveVoters)
			s.loseDisks()
			s.eventually("live voters only after the loss of disks", s.allPlacesHaveLiveVoters)
		}
		for _, c := range s.calls {
			s.record(c, "", int64(^uint64(0)>>1))
		}
		if !porcupine.CheckOperations(swapModel, s.history) {
			s.fail("history of %d operations is not linearizable", len(s.history))
		}
	}
}
