package dockrunner

import (
	"banyandock.example/banyandock/internal/encoder"
	"banyandock.example/banyandock/internal/identifier"
	"banyandock.example/banyandock/internal/owner"
	"banyandock.example/banyandock/internal/tracer"
)

// recordOwnerEvent records an event of the owner.
func recordOwnerEvent(events *tracer.Tracer, e owner.Event) {
	none := identifier.RequestID{}
	switch e := e.(type) {
	case owner.ServerCrashed:
		events.Record(tracer.ServerCrashed, e.Request, "connection broke while a subrequest ran",
			tracer.F("server", e.Server), tracer.F("shard", e.Shard), tracer.F("fingerprint", e.Fingerprint), tracer.F("alone", e.Isolated), tracer.F("crashes", e.Crashes))
	case owner.ServerEjected:
		events.Record(tracer.ServerEjected, none, "left alone after failures", tracer.F("server", e.Server), tracer.F("until", e.Until))
	case owner.ShardTaken:
		events.Record(tracer.ShardTaken, none, "", tracer.F("service", e.Service), tracer.F("shard", e.Number), tracer.F("former", e.Former))
	case owner.ShardReleased:
		events.Record(tracer.ShardReleased, none, "", tracer.F("service", e.Service), tracer.F("shard", e.Number))
	}
}

// reportQuarantine records that a fingerprint was quarantined and reports it to the keepers.
func (d *dock) reportQuarantine(n encoder.QuarantineNotice) {
	d.process.Events.Record(tracer.FingerprintQuarantined, identifier.RequestID{}, "", tracer.F("fingerprint", n.Fingerprint), tracer.F("crashes", n.Crashes))
	d.notices.send(n)
}
