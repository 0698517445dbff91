package forwarder

import (
	"github.com/rs/zerolog"

	"banyandock.example/banyandock/internal/recorder"
	"banyandock.example/banyandock/internal/selector"
)

// diary writes down what this host comes to believe of backend servers.
type diary struct {
	log zerolog.Logger
}

// note writes one change.
func (d *diary) note(b selector.ServerEvent) {
	line := d.log.Info().Str(recorder.FieldServer, string(b.Server)).Str(recorder.FieldService, string(b.Service))
	if b.Ratio > 0 {
		line = line.Float64(recorder.FieldSlowness, b.Ratio)
	}
	if b.Failures > 0 {
		line = line.Int(recorder.FieldCount, b.Failures)
	}
	line.Msg(event(b.Kind))
}

// event names the event of a belief.
func event(k selector.ServerEventKind) string {
	switch k {
	case selector.ServerUnreachable:
		return recorder.EventServerUnreachable
	case selector.ServerReachable:
		return recorder.EventServerReached
	case selector.ServerAdded:
		return recorder.EventServerTaken
	case selector.ServerRemoved:
		return recorder.EventServerGone
	case selector.ServerSlow:
		return recorder.EventServerSlow
	case selector.ServerRecovered:
		return recorder.EventServerRecovered
	}
	return k.String()
}
