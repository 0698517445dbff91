package drawer

import "banyandock.example/banyandock/internal/tracer"

// Category groups kinds of events that have the same color on the page and can be hidden together.
type Category uint8

//go:generate ../../bin/enumer -type Category -transform snake -text -output category_enumer.go

// Categories.
const (
	// Failures are events that an operator should investigate.
	Failures Category = iota
	// Requests are the steps of callers' requests, and all kinds without another category.
	Requests
	// Repeats are the subrequests of hedges, retries and canaries.
	Repeats
	// Manifests are changes of the manifest.
	Manifests
	// Ownership holds changes of the view, that is hosts, backend servers, epochs and shard owners.
	Ownership
	// Agreement holds elections and membership changes of the keepers.
	Agreement
	// Lifecycle holds starts, stops and drains of processes.
	Lifecycle
)

// categoryCount holds a category and the number of its events on the page.
type categoryCount struct {
	Category Category
	Count    int
}

// categoryOf returns the category of a kind of event.
func categoryOf(k tracer.Kind) Category {
	switch k {
	case tracer.InvariantFailed, tracer.ServerCrashed, tracer.ServerEjected, tracer.FingerprintQuarantined, tracer.ManifestStale, tracer.LeaderLost:
		return Failures
	case tracer.HedgeSent, tracer.RetrySent, tracer.CanarySent:
		return Repeats
	case tracer.ManifestAccepted, tracer.ManifestApplied, tracer.ManifestFresh:
		return Manifests
	case tracer.EpochApplied, tracer.ServerAnnounced, tracer.ServerGone, tracer.ShardTaken, tracer.ShardReleased:
		return Ownership
	case tracer.TermStarted, tracer.LeaderElected, tracer.MembershipChanged:
		return Agreement
	case tracer.ProcessStarted, tracer.ProcessStopped, tracer.DrainStarted, tracer.DrainFinished:
		return Lifecycle
	default:
		return Requests
	}
}
