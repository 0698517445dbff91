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
func (l *serverLogger) logChange(b selector.ServerEvent) {
	line := l.log.Info().Str(recorder.FieldServer, string(b.Server)).Str(recorder.FieldService, string(b.Service))
	if b.Ratio > 0 {
		line = line.Float64(recorder.FieldSlowness, b.Ratio)
	}
	if b.Failures > 0 {
		line = line.Int(recorder.FieldCount, b.Failures)
	}
	if b.Kind == selector.ServerLeaving {
		line = line.Int64(recorder.FieldBorn, b.Born)
	}
	if b.Kind == selector.ServerLimited {
		line = line.Float64(recorder.FieldLimit, b.Limit)
	}
	line.Msg(eventName(b.Kind))
}

// eventName returns the message of the log line for a kind of change.
func eventName(k selector.ServerEventKind) string {
	switch k {
	case selector.ServerUnreachable:
		return recorder.EventServerUnreachable
	case selector.ServerReachable:
		return recorder.EventServerReached
	case selector.ServerAdded:
		return recorder.EventServerAvailable
	case selector.ServerRemoved:
		return recorder.EventServerGone
	case selector.ServerSlow:
		return recorder.EventServerSlow
	case selector.ServerRecovered:
		return recorder.EventServerRecovered
	case selector.ServerLimited:
		return recorder.EventServerLimited
	case selector.ServerReplaced:
		return recorder.EventServerReplaced
	case selector.ServerOverCap:
		return recorder.EventServerOverCap
	case selector.ServerLeaving:
		return recorder.EventServerLeaving
	case selector.ServerSlowStart:
		return recorder.EventServerSlowStart
	case selector.ServerFullPace:
		return recorder.EventServerFullPace
	case selector.ServerUnlimited:
		return recorder.EventServerUnlimited
	}
	return k.String()
}
