package keeperrunner

import (
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/replicator"
	"banyandock.example/banyandock/internal/tracer"
)

// recordEvent records an event of the replicator and logs it.
func (k *Keeper) recordEvent(e replicator.Event) {
	fields := []tracer.Field{
		tracer.F("term", e.Term),
		tracer.F("index", e.Index),
		tracer.F("member", e.Member.Name),
	}
	if e.Detail != "" {
		fields = append(fields, tracer.F("detail", e.Detail))
	}
	k.process.Events.Record(eventKind(e.Kind), identifier.RequestID{}, e.Kind.String(), fields...)
	k.process.Log.Info().
		Uint64("term", e.Term).
		Uint64("index", e.Index).
		Str("member", string(e.Member.Name)).
		Str("detail", e.Detail).
		Msg("agreement: " + e.Kind.String())
}

// eventKind maps a kind of the replicator's events to one of the tracer's.
func eventKind(k replicator.EventKind) tracer.Kind {
	switch k {
	case replicator.EventElected:
		return tracer.LeaderElected
	case replicator.EventSteppedDown:
		return tracer.LeaderLost
	case replicator.EventFollowing:
		return tracer.TermStarted
	default:
		return tracer.MembershipChanged
	}
}
