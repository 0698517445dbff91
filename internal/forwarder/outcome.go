package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/sender"
)

//go:generate ../../bin/enumer -type Reason -trimprefix Reason -transform snake -output reason_enumer.go

// Reason says why a request has no answer.
type Reason uint8

// Reasons.
const (
	// ReasonNone is never given.
	ReasonNone Reason = iota
	// ReasonNoConfiguration means that this host knows no configuration yet.
	ReasonNoConfiguration
	// ReasonNoServer means that no server of the service is known or can be reached.
	ReasonNoServer
	// ReasonNotRun means that the servers that were asked turned the request away.
	ReasonNotRun
	// ReasonBudget means that a repeat would exceed the budget.
	ReasonBudget
	// ReasonCongested means that the servers have more work than they can do in time.
	ReasonCongested
	// ReasonLost means that a server got the request and its answer is lost.
	ReasonLost
	// ReasonCoverage means that too few shards answered.
	ReasonCoverage
	// ReasonTimeout means that the time was up.
	ReasonTimeout
	// ReasonQuarantined means that requests like this one crashed servers.
	ReasonQuarantined
	// ReasonCallerLeft means that nobody waits for the answer.
	ReasonCallerLeft
)

// Outcome is Answer, Gathered, Refused, Failed or NoRoute.
type Outcome interface {
	isOutcome()
}

// Answer is one server's answer, passed on unchanged.
type Answer struct {
	Reply sender.Reply
}

// Gathered is put together from the parts of several servers.
type Gathered struct {
	// Stamps are the signatures of the parts.
	Stamps []string
	// Missing is the number of shards that are left out.
	Missing int
	Body    []byte
}

// Refused means that the request has not run and will not run.
type Refused struct {
	// After is when the caller may come back.
	After  time.Duration
	Reason Reason
}

// Failed means that the request may have run.
type Failed struct {
	Reason Reason
}

// NoRoute means that the configuration does not allow the request.
type NoRoute struct{}

func (Answer) isOutcome()   {}
func (Gathered) isOutcome() {}
func (Refused) isOutcome()  {}
func (Failed) isOutcome()   {}
func (NoRoute) isOutcome()  {}
