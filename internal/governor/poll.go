package governor

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/publisher"
)

// Poll answers a dock's poll. Every keeper reports the state of its log and the committed manifest.
// The leader also records the dock's report in the directory and returns changes of the view.
func (g *Governor) Poll(ctx context.Context, from publisher.Dock, request encoder.PollRequest) (encoder.PollReply, error) {
	// The status must be read before the state machine: the state machine then includes all
	// entries up to CommitIndex, and manifests in later entries are reported as pending.
	s := g.replicatedLog.GroupStatus()
	if len(s.Voters) == 0 && (request.KnownVoters != 0 || request.KnownManifest != 0) {
		g.replicatedLog.ReportGroup()
	}
	reply := g.newPollReply(s, request)
	if !s.IsLeader {
		return reply, nil
	}
	err := g.runInLoop(ctx, func() {
		g.updateLeadership(s)
		answer := g.publisher.Poll(g.clock.Now(), from, request)
		reply.LeaderReady = answer.Ready
		reply.View = answer.View
		reply.Resend = answer.Resend
		reply.SendView = answer.SendView
		reply.Quarantine = answer.Quarantine
	})
	return reply, err
}

// newPollReply returns the state of the log, and those parts of the voters and of the committed
// manifest that the dock does not have yet.
func (g *Governor) newPollReply(s GroupStatus, request encoder.PollRequest) encoder.PollReply {
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

// votersDigest returns a hash of lists of voters. It is never zero, because zero in a request means
// that the dock has no voters yet.
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

// incarnationBytes encodes an incarnation for hashing, in little-endian order.
func incarnationBytes(i identifier.Incarnation) []byte {
	b := make([]byte, 8)
	for n := range b {
		b[n] = byte(i >> (8 * n))
	}
	return b
}
