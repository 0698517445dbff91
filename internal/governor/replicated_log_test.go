package governor_test

import (
	"context"
	"errors"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/replicator"
)

// replicatedLog adapts a replicator to governor.ReplicatedLog.
type replicatedLog struct{ *replicator.Replicator }

func (a replicatedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := a.Replicator.Propose(ctx, command)
	if errors.Is(err, replicator.ErrNotLeader) {
		err = governor.ErrNotLeader
	}
	return result, err
}

func (a replicatedLog) GroupStatus() governor.GroupStatus {
	s := a.Status()
	status := governor.GroupStatus{
		Self: member(s.Self), Leader: member(s.Leader), IsLeader: s.IsLeader, IsVoter: s.IsVoter,
		Term: s.Term, LastLogTerm: s.LastLogTerm, LastLogIndex: s.LastLogIndex, CommitIndex: s.CommitIndex, Pending: s.Pending,
	}
	for _, v := range s.Voters {
		status.Voters = append(status.Voters, member(v))
	}
	for _, v := range s.Outgoing {
		status.Outgoing = append(status.Outgoing, member(v))
	}
	return status
}

func member(m replicator.Member) encoder.KeeperMember {
	return encoder.KeeperMember{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation}
}
