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
func (d *diary) note(b selector.Belief) {
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
func event(k selector.BeliefKind) string {
	switch k {
	case selector.BeliefUnreachable:
		return recorder.EventServerUnreachable
	case selector.BeliefReached:
		return recorder.EventServerReached
	case selector.BeliefTaken:
		return recorder.EventServerAvailable
	case selector.BeliefDropped:
		return recorder.EventServerGone
	case selector.BeliefSlow:
		return recorder.EventServerSlow
	case selector.BeliefRecovered:
		return recorder.EventServerRecovered
	}
	return k.String()
}
