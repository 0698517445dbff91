package forwarder

import (
	"time"

	"banyandock.example/banyandock/internal/sender"
)

//go:generate ../../bin/enumer -type Reason -trimprefix Reason -transform snake -output reason_enumer.go

// Reason is the reason why a request or a shard has no answer, or why an attempt was not made.
type Reason uint8

// Reasons.
const (
	// ReasonNone means that there is no reason to report.
	ReasonNone Reason = iota
	// ReasonNoConfiguration means that this host has received no configuration yet.
	ReasonNoConfiguration
	// ReasonNoServer means that no server of the service is known or reachable, or that all of
	// them were tried.
	ReasonNoServer
	// ReasonNotRun means that a server replied that it did not run the request.
	ReasonNotRun
	// ReasonBudget means that a repeat would exceed the repeat budget.
	ReasonBudget
	// ReasonCongested means that the servers have more requests waiting than they can answer in
	// time.
	ReasonCongested
	// ReasonLost means that a server may have run the request and there is no successful answer.
	ReasonLost
	// ReasonCoverage means that too few shards answered to reach the required coverage.
	ReasonCoverage
	// ReasonTimeout means that the timeout of the caller or the route ended.
	ReasonTimeout
	// ReasonQuarantined means that requests with this fingerprint crashed servers.
	ReasonQuarantined
	// ReasonLimited means that the servers have named limits that do not permit the request now.
	ReasonLimited
	// ReasonSuspected means that requests with this fingerprint may crash servers, and that the
	// servers on which they are tried are down.
	ReasonSuspected
	// ReasonNoSender means that this dock may not connect to the servers, and no dock that may was
	// available.
	ReasonNoSender
	// ReasonStopping means that this host stops before an answer can be expected.
	ReasonStopping
	// ReasonCallerLeft means that the caller no longer waits for the answer.
	ReasonCallerLeft
	// ReasonOverQuota means that the customer has sent more requests than its quota permits.
	ReasonOverQuota
	// ReasonQuotaUnknown means that no keeper could tell whether the customer's quota permits the
	// request.
	ReasonQuotaUnknown
	// ReasonFar means that a hedge over a long link must wait or would come too late.
	ReasonFar
	// ReasonOtherConfiguration means that another dock may have sent the request to the shards of a
	// configuration that is not in force here.
	ReasonOtherConfiguration
	// ReasonInvalid means that a server may have run the request, and that its reply is no answer.
	ReasonInvalid
)

// Outcome is Answer, Gathered, Refused, Failed, NoRoute or Unauthorized.
type Outcome interface {
	isOutcome()
}

// Answer is the reply of a single server, passed on unchanged.
type Answer struct {
	Reply sender.Reply
}

// Gathered is an answer merged from the parts of several servers.
type Gathered struct {
	// Stamps are the signatures of the parts.
	Stamps []string
	// Missing is the number of shards without a part in the answer.
	Missing int
	Body    []byte
}

// Refused means that the request has not run and will not run, so that the caller may retry it.
type Refused struct {
	// After is the time after which the caller may retry.
	After  time.Duration
	Reason Reason
}

// Failed means that the request may have run.
type Failed struct {
	Reason Reason
}

// NoRoute means that the configuration has no route for the request.
type NoRoute struct{}

// Unauthorized means that the request carries no key of a customer, and that its route is not public.
type Unauthorized struct{}

func (Answer) isOutcome()   {}
func (Gathered) isOutcome() {}
func (Refused) isOutcome()  {}
func (Failed) isOutcome()   {}
func (NoRoute) isOutcome()  {}

func (Unauthorized) isOutcome() {}
