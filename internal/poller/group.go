package poller

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

// maxVoterLists bounds how many different lists of voters are kept.
const maxVoterLists = 16

// timedReply is one keeper's reply and the time at which the dock sent the poll. The keeper's state
// in the reply is no older than that time.
type timedReply struct {
	sent   time.Time
	reply  encoder.PollReply
	voters voterList
}

// voterList is the set of voters that a keeper's log contains. While a change of the voters is not
// complete, a majority of both lists is needed.
type voterList struct {
	present  []encoder.KeeperMember
	outgoing []encoder.KeeperMember
}

// all returns the members of both lists.
func (v voterList) all() []encoder.KeeperMember {
	return append(slices.Clone(v.present), v.outgoing...)
}

// logPosition is the end of a keeper's log. As in elections, positions are ordered by last term,
// then by last index.
type logPosition struct {
	term  uint64
	index uint64
}

// compare returns a negative number if l is before other, zero if they are equal, and a positive
// number if l is after other.
func (l logPosition) compare(other logPosition) int {
	return cmp.Or(cmp.Compare(l.term, other.term), cmp.Compare(l.index, other.index))
}

// position returns the end of the keeper's log.
func (r timedReply) position() logPosition {
	return logPosition{r.reply.LastLogTerm, r.reply.LastLogIndex}
}

// group is what the dock has read of the keepers' states.
type group struct {
	// replies holds the newest reply from each address.
	replies map[netip.AddrPort]timedReply
	// listsByDigest holds lists of voters by their digests.
	listsByDigest map[uint64]voterList
	// voters is the list in the most up-to-date log that was ever read. Digest is its digest, and
	// position is the end of that log.
	voters   voterList
	digest   uint64
	position logPosition
	// term is the highest term that was read, and leader is the leader of that term, if known.
	term   uint64
	leader identifier.HostName
}

// newGroup returns a group without replies.
func newGroup() group {
	return group{replies: map[netip.AddrPort]timedReply{}, listsByDigest: map[uint64]voterList{}}
}

// add stores a reply. It returns false if the poll was not sent later than the one of the stored
// reply.
func (g *group) add(address netip.AddrPort, sent time.Time, reply encoder.PollReply) bool {
	if last, ok := g.replies[address]; ok && !sent.After(last.sent) {
		return false
	}
	if len(reply.Voters) > 0 {
		if len(g.listsByDigest) >= maxVoterLists {
			clear(g.listsByDigest)
		}
		g.listsByDigest[reply.VotersDigest] = voterList{reply.Voters, reply.Outgoing}
	}
	r := timedReply{sent: sent, reply: reply, voters: g.listsByDigest[reply.VotersDigest]}
	g.replies[address] = r
	if r.position().compare(g.position) >= 0 && len(r.voters.present) > 0 {
		g.position = r.position()
		g.voters = r.voters
		g.digest = reply.VotersDigest
	}
	g.updateLeader(reply)
	return true
}

// updateLeader keeps the leader of the highest term.
func (g *group) updateLeader(reply encoder.PollReply) {
	if reply.Term > g.term {
		g.term = reply.Term
		g.leader = ""
	}
	if reply.Term == g.term && reply.Leader != "" {
		g.leader = reply.Leader
	}
}

// knownVotersDigest returns the digest of the list of voters that the keeper does not need to send
// again. It is zero if there is none.
func (g *group) knownVotersDigest(address netip.AddrPort) uint64 {
	r, ok := g.replies[address]
	if !ok {
		return g.digest
	}
	if _, isKept := g.listsByDigest[r.reply.VotersDigest]; !isKept {
		return 0
	}
	return r.reply.VotersDigest
}

// voterAddresses returns the addresses of the voters of the most up-to-date log, including the
// outgoing ones while a change is not complete.
func (g *group) voterAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, v := range g.voters.all() {
		all = appendMissing(all, v.Address)
	}
	return all
}

// leaderAddress returns the leader's address. It returns an invalid address if there is none.
func (g *group) leaderAddress() netip.AddrPort {
	for _, v := range g.voters.all() {
		if v.Name == g.leader {
			return v.Address
		}
	}
	return netip.AddrPort{}
}

// provenAt returns the latest time for which the replies prove that no manifest newer than the
// applied one was accepted before it. It returns false if they prove none.
//
// A set of replies proves this for the send time of its oldest poll under three conditions: the set
// holds a majority of the voters in its most up-to-date log; while a change of the voters is not
// complete, it also holds a majority of the former voters; and that log holds no manifest newer
// than the applied one. A change that was committed before that time is in the logs of a majority
// of the same voters. One of the replies therefore comes from a log with the change and, by the
// election rule, the most up-to-date log holds the change as well. The uncommitted tail of a leader
// that was partitioned has a lower term and does not count.
func (g *group) provenAt(applied uint64) (time.Time, bool) {
	all := make([]timedReply, 0, len(g.replies))
	for _, r := range g.replies {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b timedReply) int { return b.sent.Compare(a.sent) })
	for n := range all {
		if provesNoNewerManifest(all[:n+1], applied) {
			return all[n].sent, true
		}
	}
	return time.Time{}, false
}

// provesNoNewerManifest reports whether a set of replies proves that no manifest newer than the
// applied one was accepted before the oldest of the polls was sent.
func provesNoNewerManifest(set []timedReply, applied uint64) bool {
	best := set[0]
	for _, r := range set {
		if r.position().compare(best.position()) > 0 {
			best = r
		}
		if r.reply.ManifestNumber > applied {
			return false
		}
	}
	if best.reply.PendingManifest > applied {
		return false
	}
	return isMajority(set, best.voters.present) &&
		(len(best.voters.outgoing) == 0 || isMajority(set, best.voters.outgoing))
}

// isMajority reports whether replies of a majority of the members are in the set.
func isMajority(set []timedReply, members []encoder.KeeperMember) bool {
	answered := 0
	for _, member := range members {
		if slices.ContainsFunc(set, func(r timedReply) bool { return r.isFrom(member) }) {
			answered++
		}
	}
	return answered*2 > len(members)
}

// isFrom reports whether the reply came from the voter. A keeper that lost its disk has another
// incarnation and does not count as the former voter.
func (r timedReply) isFrom(member encoder.KeeperMember) bool {
	return r.reply.Keeper == member.Name && r.reply.Incarnation == member.Incarnation
}

// dropBefore drops the replies to polls sent before a time, because they are too old to prove
// anything.
func (g *group) dropBefore(before time.Time) {
	for address, r := range g.replies {
		if r.sent.Before(before) {
			delete(g.replies, address)
		}
	}
}
