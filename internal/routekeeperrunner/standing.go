package routekeeperrunner

import (
	"github.com/cespare/xxhash/v2"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
)

// groupStatus tells the broadcaster how the agreement stands.
func (k *Keeper) groupStatus() broadcaster.Standing {
	s := k.replicator.Status()
	standing := broadcaster.Standing{
		Configuration: k.state.Manifest().Number,
		IsVoter:       s.IsVoter,
		IsLeader:      s.IsLeader,
		Voters:        len(s.Voters),
	}
	// Former voters are heard until the change is complete, and learners take heartbeats.
	for _, list := range [][]replicator.Member{s.Voters, s.Outgoing, s.Learners} {
		for _, m := range list {
			standing.Members = append(standing.Members, encoder.KeeperMember{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	standing.MembersDigest = membersDigest(standing)
	return standing
}

// membersDigest identifies a list of members. It is never zero.
func membersDigest(s broadcaster.Standing) uint64 {
	d := xxhash.New()
	for _, m := range s.Members {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(m.Address.String())
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(s.Voters)})
	return d.Sum64() | 1
}

// stateMachine is the replicated state that wakes the docks when a configuration is applied.
type stateMachine struct {
	*registrar.Registrar
	keeper *Keeper
}

// Apply executes one committed command.
func (w stateMachine) Apply(index uint64, command []byte) []byte {
	before := w.Manifest().Number
	answer := w.Registrar.Apply(index, command)
	w.notifyDocks(before, "committed")
	return answer
}

// Restore replaces the state by a snapshot.
func (w stateMachine) Restore(snapshot []byte) error {
	before := w.Manifest().Number
	err := w.Registrar.Restore(snapshot)
	w.notifyDocks(before, "snapshot")
	return err
}

// notifyDocks tells docks and log of a new configuration.
func (w stateMachine) notifyDocks(before uint64, origin string) {
	number := w.Manifest().Number
	if number == before {
		return
	}
	w.keeper.process.Log.Info().Uint64(recorder.FieldConfiguration, number).
		Uint64(recorder.FieldBefore, before).Str(recorder.FieldOrigin, origin).Msg(recorder.EventConfigurationApplied)
	// While storage is being loaded there is nobody to tell.
	if b := w.keeper.broadcaster; b != nil {
		b.Notify()
	}
}

// recordEvent logs an event of the agreement, and stops a member that lost its place.
func (k *Keeper) recordEvent(e replicator.Event) {
	if e.Kind == replicator.EventRemoved {
		select {
		case k.removed <- struct{}{}:
		default:
		}
	}
	line := k.process.Log.Info().Stringer(recorder.FieldEvent, e.Kind).
		Uint64(recorder.FieldTerm, e.Term).Uint64(recorder.FieldIndex, e.Index)
	if e.Member.Name != "" {
		line = line.Str(recorder.FieldMember, string(e.Member.Name))
	}
	if e.Detail != "" {
		line = line.Str(recorder.FieldDetail, e.Detail)
	}
	line.Msg(recorder.EventAgreement)
}
