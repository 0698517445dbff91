package forwarder

//go:generate ../../bin/enumer -type ownerFailure -trimprefix ownerFailure -transform snake -output ownerfailure_enumer.go

// ownerFailure is the way in which an owner failed.
type ownerFailure uint8

// Failures of owners.
const (
	// ownerFailureNone means that no failure of the owner was seen.
	ownerFailureNone ownerFailure = iota
	// ownerFailureRefused means that the owner could not be reached or did not accept the
	// request.
	ownerFailureRefused
	// ownerFailureLost means that a call failed after the request may have reached the owner.
	ownerFailureLost
	// ownerFailureSilent means that the owner did not reply in time.
	ownerFailureSilent
)
