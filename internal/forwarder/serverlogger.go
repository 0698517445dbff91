package forwarder

import (
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
)

// serverLogger logs changes in this host's view of the state of backend servers.
type serverLogger struct {
	log zerolog.Logger
}

// logChange logs one change.
func (l *serverLogger) logChange(b selector.Belief) {
	line := l.log.Info().Str(recorder.FieldServer, string(b.Server)).Str(recorder.FieldService, string(b.Service))
	if b.Ratio > 0 {
		line = line.Float64(recorder.FieldSlowness, b.Ratio)
	}
	if b.Failures > 0 {
		line = line.Int(recorder.FieldCount, b.Failures)
	}
	line.Msg(eventName(b.Kind))
}

// eventName returns the message of the log line for a kind of change.
func eventName(k selector.BeliefKind) string {
	switch k {
	case selector.BeliefUnreachable:
		return recorder.EventServerUnreachable
	case selector.BeliefReached:
		return recorder.EventServerReached
	case selector.BeliefTaken:
		return recorder.EventServerTaken
	case selector.BeliefDropped:
		return recorder.EventServerGone
	case selector.BeliefSlow:
		return recorder.EventServerSlow
	case selector.BeliefRecovered:
		return recorder.EventServerRecovered
	}
	return k.String()
}
