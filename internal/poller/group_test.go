package poller

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
)

var groupStart = time.UnixMilli(1_700_000_000_000)

// members returns a list of voters whose names are single letters. A capital letter is the keeper
// of that name with another disk.
func members(names string) []encoder.KeeperMember {
	var all []encoder.KeeperMember
	for _, n := range names {
		m := encoder.KeeperMember{Name: identifier.HostName(n | 0x20), Incarnation: identifier.Incarnation(n)}
		m.Address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n))
		all = append(all, m)
	}
	return all
}

// testReply describes a reply: the keeper's name, when it was polled in milliseconds after the
// start, the end of its log, the numbers of its committed and its pending manifest, and the voters
// in its log, with the outgoing ones after a slash.
type testReply struct {
	name              string
	millis            int
	term, index       uint64
	manifest, pending uint64
	voters            string
}

// expectProven checks the time that a set of replies proves for the applied manifest 5, in
// milliseconds after the start. A negative number means that they prove none.
func expectProven(t *testing.T, millis int, replies ...testReply) {
	t.Helper()
	g := newGroup()
	for _, r := range replies {
		m := members(r.name)[0]
		present, outgoing, _ := strings.Cut(r.voters, "/")
		digest := uint64(0)
		for _, v := range r.voters {
			digest = digest*131 + uint64(v)
		}
		g.add(m.Address, groupStart.Add(time.Duration(r.millis)*time.Millisecond), encoder.PollReply{
			Keeper: m.Name, Incarnation: m.Incarnation, Voter: true, VotersDigest: digest, Voters: members(present), Outgoing: members(outgoing),
			LastLogTerm: r.term, LastLogIndex: r.index, ManifestNumber: r.manifest, PendingManifest: r.pending,
		})
	}
	at, ok := g.provenAt(5)
	assert.Equal(t, ok, millis >= 0)
	if ok {
		assert.Equal(t, at, groupStart.Add(time.Duration(millis)*time.Millisecond))
	}
}

func TestMajorityProvesTheManifestAtItsOldestPoll(t *testing.T) {
	expectProven(t, -1)
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abc"})
	expectProven(t, 10, testReply{"a", 10, 1, 1, 5, 0, "abc"}, testReply{"b", 20, 1, 1, 5, 0, "abc"})
	expectProven(t, 20, testReply{"a", 10, 1, 1, 5, 0, "abc"}, testReply{"b", 20, 1, 1, 5, 0, "abc"}, testReply{"c", 30, 1, 1, 5, 0, "abc"})
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abcd"}, testReply{"b", 0, 1, 1, 5, 0, "abcd"})
	expectProven(t, 0, testReply{"a", 0, 1, 1, 5, 0, "a"})
}

func TestNewerManifestPreventsProof(t *testing.T) {
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abc"}, testReply{"b", 0, 1, 1, 6, 0, "abc"})
	// Manifest 6 may be committed, although only one of the voters that replied has it.
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abc"}, testReply{"b", 0, 1, 2, 5, 6, "abc"})
	// The uncommitted tail of a former leader's log is longer but has a lower term.
	expectProven(t, 0, testReply{"a", 0, 1, 9, 5, 6, "abc"}, testReply{"b", 0, 2, 2, 5, 0, "abc"})
	// The tail of the newest leader's log may be committed at any moment.
	expectProven(t, -1, testReply{"a", 10, 2, 3, 5, 0, "abc"}, testReply{"b", 20, 2, 3, 5, 0, "abc"}, testReply{"c", 30, 3, 2, 5, 6, "abc"})
}

func TestVotersOfTheMostUpToDateLogCount(t *testing.T) {
	// The log of a still contains abc, but the newer log of b contains d in the place of a.
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abc"}, testReply{"b", 0, 2, 5, 5, 0, "bcd"})
	expectProven(t, 0, testReply{"a", 0, 1, 1, 5, 0, "abc"}, testReply{"b", 0, 2, 5, 5, 0, "bcd"}, testReply{"d", 0, 2, 5, 5, 0, "bcd"})
	// a came back with an empty disk and counts as another voter.
	expectProven(t, -1, testReply{"a", 0, 1, 1, 5, 0, "abc"}, testReply{"b", 0, 2, 5, 5, 0, "Abc"})
	expectProven(t, 0, testReply{"A", 0, 2, 5, 5, 0, "Abc"}, testReply{"b", 0, 2, 5, 5, 0, "Abc"})
}

func TestIncompleteMembershipChangeNeedsBothMajorities(t *testing.T) {
	// The leader a began to replace c by d and was partitioned together with d. Meanwhile b and c
	// may have elected another leader and accepted a manifest that neither a nor d has.
	expectProven(t, -1, testReply{"a", 0, 1, 9, 5, 0, "abd/abc"}, testReply{"d", 0, 1, 9, 5, 0, "abd/abc"})
	expectProven(t, 0, testReply{"a", 0, 1, 9, 5, 0, "abd/abc"}, testReply{"d", 0, 1, 9, 5, 0, "abd/abc"}, testReply{"c", 0, 1, 5, 5, 0, "abc"})
	expectProven(t, -1, testReply{"a", 0, 1, 9, 5, 0, "abd/abc"}, testReply{"d", 0, 1, 9, 5, 0, "abd/abc"}, testReply{"c", 0, 2, 5, 5, 6, "abc"})
}

func TestStaleRepliesAreIgnored(t *testing.T) {
	g := newGroup()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	assert.Assert(t, g.add(address, groupStart.Add(2), encoder.PollReply{Term: 3, Leader: "a"}))
	assert.Assert(t, !g.add(address, groupStart.Add(1), encoder.PollReply{Term: 4, Leader: "b"}))
	assert.Equal(t, g.leader, identifier.HostName("a"))
	assert.Assert(t, g.add(address, groupStart.Add(3), encoder.PollReply{Term: 2, Leader: "c"}))
	assert.Equal(t, g.leader, identifier.HostName("a"))
	assert.Assert(t, g.add(address, groupStart.Add(4), encoder.PollReply{Term: 5}))
	assert.Equal(t, g.leader, identifier.HostName(""))
}
