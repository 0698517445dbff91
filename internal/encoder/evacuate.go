package encoder

import "banyandock.example/banyandock/internal/identifier"

// EvacuateRequest orders that nothing more is sent to the servers of a failure domain, or withdraws that.
type EvacuateRequest struct {
	Domain      identifier.DomainName `msgpack:"d"`
	IsWithdrawn bool                  `msgpack:"w,omitempty"`
}

// EvacuateOutcome is the result of an EvacuateRequest.
type EvacuateOutcome uint8

// Evacuate outcomes.
const (
	// EvacuateUnknown means that the order may or may not be committed. The sender must retry.
	EvacuateUnknown EvacuateOutcome = iota
	// EvacuateAccepted means that the order is committed. A resend gets the same answer.
	EvacuateAccepted
	// EvacuateUnsupported means that nothing was done, because not all voters are known to be of a release
	// that knows evacuations.
	EvacuateUnsupported
	// EvacuateFull means that nothing was done, because too many failure domains are evacuated.
	EvacuateFull
)

// EvacuateReply answers an EvacuateRequest.
type EvacuateReply struct {
	Outcome EvacuateOutcome `msgpack:"o"`
	Detail  string          `msgpack:"t,omitempty"`
}
