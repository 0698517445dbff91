package keeperrunner

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/governor"
	"banyandock.example/banyandock/internal/replicator"
)

// ReplicatedLog adapts the replicator to the governor's interface.
type ReplicatedLog struct {
	Replicator *replicator.Replicator
}

var _ governor.ReplicatedLog = ReplicatedLog{}

// Propose commits a command and returns the state machine's result. Its errors match
// governor.ErrNotLeader or governor.ErrUnknown.
func (l ReplicatedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := l.Replicator.Propose(ctx, command)
	return result, translateError(err)
}

// Barrier confirms with a quorum that this keeper is the leader. Its errors match
// governor.ErrNotLeader or governor.ErrUnknown.
func (l ReplicatedLog) Barrier(ctx context.Context) error {
	return translateError(l.Replicator.Barrier(ctx))
}

// ReportGroup records that a group exists, so that a keeper without one does not form another.
func (l ReplicatedLog) ReportGroup() {
	l.Replicator.ReportGroup()
}

// GroupStatus returns the replicator's current state.
func (l ReplicatedLog) GroupStatus() governor.GroupStatus {
	s := l.Replicator.Status()
	status := governor.GroupStatus{
		Self:         keeperMember(s.Self),
		Leader:       keeperMember(s.Leader),
		IsLeader:     s.IsLeader,
		IsVoter:      s.IsVoter,
		Term:         s.Term,
		LastLogTerm:  s.LastLogTerm,
		LastLogIndex: s.LastLogIndex,
		CommitIndex:  s.CommitIndex,
		Pending:      s.Pending,
	}
	for _, v := range s.Voters {
		status.Voters = append(status.Voters, keeperMember(v))
	}
	for _, v := range s.Outgoing {
		status.Outgoing = append(status.Outgoing, keeperMember(v))
	}
	return status
}

// keeperMember converts a member to its form in messages.
func keeperMember(m replicator.Member) encoder.KeeperMember {
	return encoder.KeeperMember{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation}
}

// translateError converts the replicator's errors to the governor's.
func translateError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replicator.ErrNotLeader):
		return eris.Wrapf(governor.ErrNotLeader, "%v", err)
	default:
		return eris.Wrapf(governor.ErrUnknown, "%v", err)
	}
}
