package routekeeperrunner

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/broadcaster"
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/registrar"
	"banyandock.example/banyandock/internal/replicator"
)

// groupStatus returns the state of the replicated group for the broadcaster.
func (k *Keeper) groupStatus() broadcaster.KeeperState {
	s := k.replicator.Status()
	groupStatus := broadcaster.KeeperState{
		Configuration: k.state.Manifest().Number,
		IsVoter:       s.IsVoter,
		IsLeader:      s.IsLeader,
		Voters:        len(s.Voters),
		IsBehind:      !s.IsCaughtUp,
	}
	// The evacuations are read after the status, so that they are at least as new.
	groupStatus.Evacuated, groupStatus.EvacuationVersion = k.state.Evacuations()
	// Outgoing voters stay members until the membership change is complete, and learners are
	// members because they accept heartbeats.
	for _, list := range [][]replicator.Member{s.Voters, s.Outgoing, s.Learners} {
		for _, m := range list {
			groupStatus.Members = append(groupStatus.Members, encoder.KeeperMember{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	groupStatus.MembersDigest = membersDigest(groupStatus)
	return groupStatus
}

// membersDigest returns a hash of the members and the number of voters. It is never zero.
func membersDigest(s broadcaster.KeeperState) uint64 {
	d := xxhash.New()
	for _, m := range s.Members {
		// xxhash's Write never returns an error.
		_, _ = d.WriteString(m.Address.String())
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(s.Voters)})
	return d.Sum64() | 1
}

// stateMachine is the replicated state machine. It notifies the docks when a configuration or an evacuation
// is applied.
type stateMachine struct {
	*registrar.Registrar
	keeper *Keeper
}

// Apply executes one committed command.
func (m stateMachine) Apply(index uint64, command []byte) []byte {
	before := m.numbers()
	answer := m.Registrar.Apply(index, command)
	m.notifyDocks(before, "committed")
	return answer
}

// Restore replaces the state with a snapshot.
func (m stateMachine) Restore(snapshot []byte) error {
	before := m.numbers()
	err := m.Registrar.Restore(snapshot)
	m.notifyDocks(before, "snapshot")
	return err
}

// numbers are the number of the configuration and the version of the evacuations.
type numbers struct {
	configuration uint64
	evacuations   uint64
}

// numbers returns the numbers of the applied state.
func (m stateMachine) numbers() numbers {
	_, version := m.Evacuations()
	return numbers{configuration: m.Manifest().Number, evacuations: version}
}

// notifyDocks logs a new configuration and new evacuations and notifies the docks. It does nothing if neither
// has changed.
func (m stateMachine) notifyDocks(before numbers, origin string) {
	after := m.numbers()
	if after == before {
		return
	}
	if after.configuration != before.configuration {
		m.keeper.process.Log.Info().Uint64(recorder.FieldConfiguration, after.configuration).
			Uint64(recorder.FieldBefore, before.configuration).Str(recorder.FieldOrigin, origin).Msg(recorder.EventConfigurationApplied)
	}
	if after.evacuations != before.evacuations {
		domains, version := m.Evacuations()
		m.keeper.process.Log.Warn().Strs(recorder.FieldDomains, recorder.Texts(domains)).
			Uint64(recorder.FieldIndex, version).Str(recorder.FieldOrigin, origin).Msg(recorder.EventEvacuations)
	}
	// The broadcaster does not exist yet while storage is being loaded.
	if b := m.keeper.broadcaster; b != nil {
		b.Notify()
	}
}

// recordEvent logs an event of the replicator and stops this keeper if another member has replaced
// it.
func (k *Keeper) recordEvent(e replicator.Event) {
	if e.Kind == replicator.EventRemoved {
		select {
		case k.removed <- e.Member:
		default:
		}
	}
	level := zerolog.InfoLevel
	if e.Kind == replicator.EventFormationRefused {
		level = zerolog.WarnLevel
	}
	line := k.process.Log.WithLevel(level).Stringer(recorder.FieldEvent, e.Kind).
		Uint64(recorder.FieldTerm, e.Term).Uint64(recorder.FieldIndex, e.Index)
	if e.Member.Name != "" {
		line = line.Str(recorder.FieldMember, string(e.Member.Name))
	}
	if e.Detail != "" {
		line = line.Str(recorder.FieldDetail, e.Detail)
	}
	line.Msg(recorder.EventAgreement)
}
