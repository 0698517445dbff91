package governor

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/publisher"
)

// Poll answers a dock. A keeper that does not lead reports its log and the committed
// manifest; the leader also takes in the report and returns changes of the view.
func (g *Governor) Poll(ctx context.Context, from publisher.Dock, request encoder.PollRequest) (encoder.PollReply, error) {
	// The order matters: what Standing's CommitIndex covers is in the state machine when
	// it is read afterwards, and what it does not cover counts as pending.
	s := g.agreement.GroupStatus()
	if len(s.Voters) == 0 && (request.KnownVoters != 0 || request.KnownManifest != 0) {
		g.agreement.ReportGroup()
	}
	reply := g.describe(s, request)
	if !s.IsLeader {
		return reply, nil
	}
	err := g.inLoop(ctx, func() {
		g.follow(s)
		a := g.publisher.Poll(g.clock.Now(), from, request)
		reply.LeaderReady = a.Ready
		reply.View = a.View
		reply.Resend = a.Resend
		reply.SendView = a.SendView
		reply.Quarantine = a.Quarantine
	})
	return reply, err
}

// describe reports the log and what the dock lacks of the committed state.
func (g *Governor) describe(s GroupStatus, request encoder.PollRequest) encoder.PollReply {
	manifest := g.registrar.Manifest()
	reply := encoder.PollReply{
		Keeper:          s.Self.Name,
		Incarnation:     s.Self.Incarnation,
		Voter:           s.IsVoter,
		VotersDigest:    votersDigest(s.Voters, s.Outgoing),
		Term:            s.Term,
		LastLogTerm:     s.LastLogTerm,
		LastLogIndex:    s.LastLogIndex,
		CommitIndex:     s.CommitIndex,
		Leader:          s.Leader.Name,
		ManifestNumber:  manifest.Number,
		PendingManifest: s.Pending,
	}
	if request.KnownVoters != reply.VotersDigest {
		reply.Voters = s.Voters
		reply.Outgoing = s.Outgoing
	}
	if request.KnownManifest < manifest.Number {
		reply.Manifest = &manifest
	}
	return reply
}

// votersDigest identifies lists of voters. It is never zero.
func votersDigest(lists ...[]encoder.KeeperMember) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, voters := range lists {
		// xxhash's Write never returns an error.
		_, _ = d.Write([]byte{byte(len(voters))})
		for _, v := range voters {
			_, _ = d.WriteString(string(v.Name))
			_, _ = d.Write([]byte{0})
			_, _ = d.WriteString(v.Address.String())
			_, _ = d.Write(incarnationBytes(v.Incarnation))
		}
	}
	return d.Sum64() | 1
}

// incarnationBytes renders an incarnation for hashing.
func incarnationBytes(i identifier.Incarnation) []byte {
	b := make([]byte, 8)
	for n := range b {
		b[n] = byte(i >> (8 * n))
	}
	return b
}
